//! Record of the origins of streams, bounded in number and time.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{OriginAnswer, OriginDigest, StreamKey, StreamOrigin};
use crate::ids::MonoTime;

/// Maximum number of streams in a book. A relay before 300 streams a second that may be taken up for 60 s holds 18,000;
/// at 420 relays, each process holds a few hundred.
pub(super) const MAX_STREAMS: usize = 65_536;

/// Longest lifetime of a stream that is accepted, so that a caller with an extreme deadline does not occupy memory.
pub const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// Interval at which expired streams are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// What is known of where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownOrigin {
    /// It began at this service and software version.
    Began(OriginDigest),
    /// Several origins were reported under one id, so that the id identifies no stream.
    Ambiguous,
}

#[derive(Clone, Copy, Debug)]
struct OriginEntry {
    known: KnownOrigin,
    expires: MonoTime,
}

/// Origins of streams that may be taken up again.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::origin::{KnownOrigin, OriginBook, OriginDigest, StreamKey, StreamOrigin};
///
/// let (stream, origin) = (StreamKey::of("r1"), OriginDigest::of("s", Some("v1")));
/// let mut book = OriginBook::default();
/// book.record(&StreamOrigin { stream, origin, lifetime: Duration::from_secs(9) }, Duration::ZERO);
/// assert_eq!(book.find(stream, Duration::from_secs(8)), Some(KnownOrigin::Began(origin)));
/// assert_eq!(book.find(stream, Duration::from_secs(9)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OriginBook {
    entries: HashMap<StreamKey, OriginEntry>,
    sweep_due: MonoTime,
}

impl OriginBook {
    /// Records an origin. Returns `false` if the book is full, so that the origin stays unknown.
    ///
    /// See [`OriginBook`] for an example.
    pub fn record(&mut self, report: &StreamOrigin, now: MonoTime) -> bool {
        self.insert(report.stream, KnownOrigin::Began(report.origin), report.lifetime, now)
    }

    /// Records the answer of another process. Returns whether the origin is known from then on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::{OriginAnswer, OriginBook, StreamKey};
    ///
    /// let answer = OriginAnswer { stream: StreamKey::of("r1"), known: None };
    /// assert!(!OriginBook::default().record_answer(&answer, Duration::ZERO));
    /// ```
    pub fn record_answer(&mut self, answer: &OriginAnswer, now: MonoTime) -> bool {
        let Some((known, lifetime)) = answer.known else {
            return false;
        };
        self.insert(answer.stream, known, lifetime, now)
    }

    fn insert(
        &mut self,
        stream: StreamKey,
        known: KnownOrigin,
        lifetime: Duration,
        now: MonoTime,
    ) -> bool {
        self.sweep(now);
        let expires = now + lifetime.min(MAX_LIFETIME);
        let is_full = self.entries.len() >= MAX_STREAMS;
        match self.entries.entry(stream) {
            Entry::Occupied(mut occupied) => {
                let entry = occupied.get_mut();
                let is_same = entry.known == known;
                if !is_same && now < entry.expires {
                    entry.known = KnownOrigin::Ambiguous;
                    entry.expires = entry.expires.max(expires);
                } else {
                    *entry = OriginEntry { known, expires: entry.expires.max(expires) };
                }
                true
            },
            Entry::Vacant(_) if is_full => false,
            Entry::Vacant(vacant) => {
                vacant.insert(OriginEntry { known, expires });
                true
            },
        }
    }

    /// Returns what is known of a stream.
    ///
    /// See [`OriginBook`] for an example.
    pub fn find(&self, stream: StreamKey, now: MonoTime) -> Option<KnownOrigin> {
        let entry = self.entries.get(&stream)?;
        (now < entry.expires).then_some(entry.known)
    }

    /// Returns the answer to a question for a stream.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::{OriginBook, StreamKey};
    ///
    /// assert_eq!(OriginBook::default().answer(StreamKey::of("r1"), Duration::ZERO).known, None);
    /// ```
    pub fn answer(&self, stream: StreamKey, now: MonoTime) -> OriginAnswer {
        let entry = self.entries.get(&stream).filter(|entry| now < entry.expires);
        let known = entry.map(|entry| (entry.known, entry.expires - now));
        OriginAnswer { stream, known }
    }

    /// Returns the number of streams in the book.
    ///
    /// ```
    /// assert_eq!(quillcove_core::relay::origin::OriginBook::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the book has no streams.
    ///
    /// ```
    /// assert!(quillcove_core::relay::origin::OriginBook::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn sweep(&mut self, now: MonoTime) {
        if now >= self.sweep_due {
            self.sweep_due = now + SWEEP_INTERVAL;
            self.entries.retain(|_, entry| now < entry.expires);
        }
    }
}
