//! Streams that this relay began, reported anew when other processes become their holders.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use super::book::MAX_STREAMS;
use super::holders::{HOLDERS, HolderRank, rank_holders, rank_of};
use super::{MAX_LIFETIME, StreamKey, StreamOrigin};
use crate::ids::MonoTime;

#[derive(Clone, Debug)]
struct OwnStream {
    report: StreamOrigin,
    expires: MonoTime,
    holders: Vec<SocketAddr>,
}

impl OwnStream {
    /// Returns whether a change of the engines gives the stream other holders.
    fn has_other_holders(&self, joined: &[SocketAddr], left: &[SocketAddr]) -> bool {
        let stream = self.report.stream;
        let ranks = self.holders.iter().map(|holder| rank_of(stream, *holder));
        let last: Option<HolderRank> = ranks.max().filter(|_| self.holders.len() == HOLDERS);
        let ranks_higher =
            |engine: &SocketAddr| last.is_none_or(|it| rank_of(stream, *engine) < it);
        left.iter().any(|engine| self.holders.contains(engine)) || joined.iter().any(ranks_higher)
    }
}

/// Streams that this relay began and that may still be taken up, with the engines whose loaders hold their origins.
///
/// A relay that starts later knows only the engines that are listed then. If the holders of a stream were those of its
/// begin, that relay could not find the ones whose engines have left since.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::origin::{OriginDigest, OwnStreams, StreamKey, StreamOrigin};
///
/// let engines = [1, 2, 3].map(|port| std::net::SocketAddr::from(([127, 0, 0, 1], port)));
/// let (stream, origin) = (StreamKey::of("r1"), OriginDigest::of("s", Some("v1")));
/// let report = StreamOrigin { stream, origin, lifetime: Duration::from_secs(9) };
/// let mut own = OwnStreams::default();
/// assert!(own.set_engines(engines.into(), Duration::ZERO).is_empty());
/// own.add(report, Duration::ZERO);
/// let renewed = own.set_engines([engines[0]].into(), Duration::from_secs(5));
/// assert_eq!(renewed[0].lifetime, Duration::from_secs(4));
/// assert!(own.set_engines([engines[0]].into(), Duration::from_secs(5)).is_empty(), "no change");
/// ```
#[derive(Clone, Debug, Default)]
pub struct OwnStreams {
    streams: HashMap<StreamKey, OwnStream>,
    /// Engines whose loaders may be holders.
    engines: BTreeSet<SocketAddr>,
}

impl OwnStreams {
    /// Adds a stream that is being reported. One too many keeps the holders of its begin.
    ///
    /// See [`OwnStreams`] for an example.
    pub fn add(&mut self, report: StreamOrigin, now: MonoTime) {
        if self.streams.len() >= MAX_STREAMS {
            return;
        }
        let holders = rank_holders(report.stream, self.engines.iter().copied(), HOLDERS);
        let expires = now + report.lifetime.min(MAX_LIFETIME);
        self.streams.insert(report.stream, OwnStream { report, expires, holders });
    }

    /// Records the engines whose loaders may be holders; returns the reports of the streams that have other holders by
    /// that.
    ///
    /// See [`OwnStreams`] for an example.
    pub fn set_engines(
        &mut self,
        engines: BTreeSet<SocketAddr>,
        now: MonoTime,
    ) -> Vec<StreamOrigin> {
        self.streams.retain(|_, own| now < own.expires);
        let joined: Vec<SocketAddr> = engines.difference(&self.engines).copied().collect();
        let left: Vec<SocketAddr> = self.engines.difference(&engines).copied().collect();
        self.engines = engines;
        if joined.is_empty() && left.is_empty() {
            return Vec::new();
        }
        let changed = self.streams.values_mut().filter(|own| own.has_other_holders(&joined, &left));
        let mut renewed = Vec::new();
        for own in changed {
            let engines = self.engines.iter().copied();
            own.holders = rank_holders(own.report.stream, engines, HOLDERS);
            let lifetime = own.expires.saturating_sub(now);
            renewed.push(StreamOrigin { lifetime, ..own.report });
        }
        renewed
    }
}
