//! The copies of adapters that the engine's host keeps, as the times of loads show.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{AdapterKey, AdapterVersion};

/// Number of loaded adapters that are remembered: several times the copies that any measured host keeps (31).
const RECENT_LIMIT: usize = 256;

/// Assumed time of a load from the weight store until the first has been measured.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(300);

/// Number of recent loads from the store of which the shortest is kept: about half of those of an engine in a measured
/// day, so that a store that slows down for some seconds does not set it.
const STORE_TIMES_LIMIT: usize = 32;

/// Weight of a load in the moving averages of load times: about the last four count, as the store slows down with the
/// loads in progress.
const MEAN_WEIGHT: f64 = 0.25;

/// Share of the time of loads from the store below which a load came from a copy. The measured times of the two differ
/// by a factor of ten.
const COPY_TIME_SHARE: f64 = 0.5;

/// Where an adapter was loaded from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// The weight store.
    Store,
    /// The host's copy.
    Copy,
}

/// The adapters that the engine has loaded, the last one first, and the number of them of which the host keeps a copy.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::ids::AdapterKey;
/// use quillcove_core::relay::loader::{HostCopies, LoadSource};
///
/// let key = |name: &str| AdapterKey { model: "m".into(), adapter: name.into() };
/// let mut copies = HostCopies::default();
/// for name in ["a1", "a2", "a3"] {
///     assert_eq!(copies.record_load(key(name), 1, Duration::from_millis(288)), LoadSource::Store);
/// }
/// assert_eq!(copies.limit(), None, "no load has come from a copy");
/// assert_eq!(copies.record_load(key("a1"), 1, Duration::from_millis(29)), LoadSource::Copy);
/// assert_eq!(copies.limit(), Some(3), "two others had been loaded since");
/// assert!(copies.contains(&key("a2"), 1) && !copies.contains(&key("a2"), 2));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HostCopies {
    recent: VecDeque<(AdapterKey, AdapterVersion)>,
    limit: Option<usize>,
    /// Rank of a load from the store that contradicts the limit, until another load agrees with either.
    contradiction: Option<usize>,
    store_time: Option<Duration>,
    /// Times of the recent loads from the store.
    store_times: VecDeque<Duration>,
    copy_time: Option<Duration>,
}

impl HostCopies {
    /// Records a completed load and returns where it came from.
    ///
    /// See [`HostCopies`] for an example.
    pub fn record_load(
        &mut self,
        key: AdapterKey,
        version: AdapterVersion,
        took: Duration,
    ) -> LoadSource {
        let rank = self.rank_of(&key, version);
        // After a restart of the loader, the rank of a load from a copy is unknown.
        let source = match took < self.least_store_time().mul_f64(COPY_TIME_SHARE) {
            true => LoadSource::Copy,
            false => LoadSource::Store,
        };
        let mean = match source {
            LoadSource::Store => {
                self.store_times.push_front(took);
                self.store_times.truncate(STORE_TIMES_LIMIT);
                &mut self.store_time
            },
            LoadSource::Copy => &mut self.copy_time,
        };
        let previous = mean.unwrap_or(took);
        *mean = Some(previous.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT));
        if let Some(rank) = rank {
            self.learn_limit(rank, source);
        }
        self.recent.retain(|(other, _)| *other != key);
        self.recent.push_front((key, version));
        self.recent.truncate(RECENT_LIMIT);
        source
    }

    /// Returns the smaller of the mean and the shortest recent time of loads from the store. The mean alone rises while
    /// the store slows down, so that an ordinary load would seem to come from a copy.
    fn least_store_time(&self) -> Duration {
        let initial = (self.store_times.len() < STORE_TIMES_LIMIT).then_some(INITIAL_LOAD_TIME);
        let shortest = self.store_times.iter().copied().chain(initial).min();
        shortest.unwrap_or(INITIAL_LOAD_TIME).min(self.store_time())
    }

    /// Adapts the limit to a load of the adapter with this rank. A single load from the store does not lower it, as its
    /// copy may have taken long to read.
    fn learn_limit(&mut self, rank: usize, source: LoadSource) {
        let Some(limit) = self.limit else {
            if source == LoadSource::Copy {
                self.limit = Some(rank + 1);
            }
            return;
        };
        match source {
            LoadSource::Copy => {
                self.limit = Some(limit.max(rank + 1));
                self.contradiction = self.contradiction.filter(|lost| rank < *lost);
            },
            LoadSource::Store if rank >= limit => {},
            LoadSource::Store => match self.contradiction.take() {
                Some(lost) => self.limit = Some(lost.max(rank).min(limit)),
                None => self.contradiction = Some(rank),
            },
        }
    }

    /// Returns how many other adapters have been loaded since this one, if it was loaded in this version.
    fn rank_of(&self, key: &AdapterKey, version: AdapterVersion) -> Option<usize> {
        self.recent.iter().position(|(other, held)| other == key && *held >= version)
    }

    /// Returns the number of most recently loaded adapters of which the host keeps a copy; `None` until a load has
    /// shown it.
    ///
    /// See [`HostCopies`] for an example.
    pub fn limit(&self) -> Option<u32> {
        self.limit.map(|limit| limit as u32)
    }

    /// Returns whether the host has a copy of an adapter in this version or a newer one, as far as is known.
    ///
    /// See [`HostCopies`] for an example.
    pub fn contains(&self, key: &AdapterKey, version: AdapterVersion) -> bool {
        let rank = self.rank_of(key, version);
        rank.is_some_and(|rank| self.limit.is_some_and(|limit| rank < limit))
    }

    /// Returns the expected time of a load from the weight store.
    ///
    /// ```
    /// use quillcove_core::relay::loader::HostCopies;
    ///
    /// assert_eq!(HostCopies::default().store_time().as_millis(), 300);
    /// ```
    pub fn store_time(&self) -> Duration {
        self.store_time.unwrap_or(INITIAL_LOAD_TIME)
    }

    /// Returns the expected time of a load of an adapter.
    ///
    /// ```
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::loader::HostCopies;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert_eq!(HostCopies::default().load_time(&key, 0).as_millis(), 300);
    /// ```
    pub fn load_time(&self, key: &AdapterKey, version: AdapterVersion) -> Duration {
        let copy_time = self.copy_time.filter(|_| self.contains(key, version));
        copy_time.unwrap_or_else(|| self.store_time())
    }

    /// Forgets the copies of a host that has none any more. The limit and the times stay.
    ///
    /// ```
    /// quillcove_core::relay::loader::HostCopies::default().forget();
    /// ```
    pub fn forget(&mut self) {
        self.recent.clear();
    }
}
