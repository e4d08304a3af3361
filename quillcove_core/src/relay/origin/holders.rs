//! Selects the processes that hold the origin of a stream.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::StreamKey;
use crate::ids::MonoTime;
use crate::rendezvous::stable_hash;

/// Number of processes to which the origin of a stream is reported. One of them may be lost together with the relay
/// that began the stream.
pub const HOLDERS: usize = 2;

/// Number of processes that are asked for the origin of a stream while the list of engines is the same: one more than
/// hold it, as the one that asks may know an engine that the one that reported did not.
pub const ASKED_HOLDERS: usize = 3;

/// Maximum number of processes that are asked for the origin of a stream.
const MAX_ASKED: usize = 8;

/// Longest time by which two relays differ in when an engine entered or left the list.
const LIST_DELAY: Duration = Duration::from_secs(1);

/// Time for which an engine was listed.
#[derive(Clone, Copy, Debug)]
pub struct ListedTime {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// When it was listed; zero if that was before this process knew the list.
    pub from: MonoTime,
    /// When it was last known to be listed.
    pub until: MonoTime,
}

impl ListedTime {
    /// Returns whether each relay listed the engine at `at`.
    fn was_listed_by_all(&self, at: MonoTime) -> bool {
        let has_come = self.from.is_zero() || self.from + LIST_DELAY <= at;
        has_come && at.saturating_add(LIST_DELAY) <= self.until
    }

    /// Returns the moments since `since` at which the number of engines that rank higher may be lowest while any relay may
    /// have listed this engine: its own begin and end, and where another one is not listed yet or no longer.
    fn moments<'a>(
        &self,
        since: MonoTime,
        higher: &'a [ListedTime],
    ) -> impl Iterator<Item = MonoTime> + 'a {
        let end = self.until.saturating_add(LIST_DELAY);
        let begin = self.from.saturating_sub(LIST_DELAY).max(since).min(end);
        let edges = higher.iter().flat_map(|other| [other.from, other.until]);
        edges.chain([begin, end]).map(move |at| at.clamp(begin, end))
    }
}

/// Returns the engines that may have been among the first for a stream at any moment since `since` at which they were
/// listed, those that rank first before the others.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::origin::{ListedTime, StreamKey, possible_holders};
///
/// let engines = [1, 2, 3, 4, 5].map(|port| std::net::SocketAddr::from(([127, 0, 0, 1], port)));
/// let (from, until) = (Duration::ZERO, Duration::MAX);
/// let listed = engines.map(|engine| ListedTime { engine, from, until });
/// let first = possible_holders(StreamKey::of("r1"), from, listed);
/// assert_eq!(first.len(), 3);
/// // Engines that came later do not hide those that were there before.
/// let late = |it: ListedTime| ListedTime { from: Duration::from_secs(50), ..it };
/// let listed = listed.map(|it| if first.contains(&it.engine) { late(it) } else { it });
/// assert_eq!(possible_holders(StreamKey::of("r1"), from, listed).len(), 5);
/// assert_eq!(possible_holders(StreamKey::of("r1"), Duration::from_secs(55), listed).len(), 3);
/// ```
pub fn possible_holders(
    stream: StreamKey,
    since: MonoTime,
    listed: impl IntoIterator<Item = ListedTime>,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<ListedTime> = listed.into_iter().collect();
    ranked.sort_by_cached_key(|listed| rank_of(stream, listed.engine));
    let mut possible: Vec<ListedTime> = Vec::new();
    for candidate in ranked {
        let is_among_first = |at: MonoTime| {
            possible.iter().filter(|higher| higher.was_listed_by_all(at)).count() < ASKED_HOLDERS
        };
        if candidate.moments(since, &possible).any(is_among_first) {
            possible.push(candidate);
        }
        if possible.len() == MAX_ASKED {
            break;
        }
    }
    possible.into_iter().map(|listed| listed.engine).collect()
}

/// Rank of a process for a stream; the lowest ranks first.
pub type HolderRank = (Reverse<u64>, SocketAddr);

/// Returns the rank of a process for a stream.
pub(super) fn rank_of(stream: StreamKey, address: SocketAddr) -> HolderRank {
    (Reverse(stable_hash(&(stream, address))), address)
}

/// Returns the addresses that rank first for a stream.
///
/// ```
/// use quillcove_core::relay::origin::{StreamKey, rank_holders};
///
/// let all = [1, 2, 3].map(|port| std::net::SocketAddr::from(([127, 0, 0, 1], port)));
/// let first = rank_holders(StreamKey::of("r1"), all, 2);
/// assert_eq!(first, rank_holders(StreamKey::of("r1"), all.into_iter().rev(), 2));
/// assert_eq!(first.len(), 2);
/// ```
pub fn rank_holders(
    stream: StreamKey,
    addresses: impl IntoIterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<HolderRank> =
        addresses.into_iter().map(|address| rank_of(stream, address)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(count).map(|(_, address)| address).collect()
}
