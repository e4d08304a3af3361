//! The intervals at which adapter slots of the engine are released.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::ids::{AdapterKey, MonoTime};

/// Number of recent releases from which the interval is computed: about three for each of five slots, so that one
/// long request does not decide it.
const RELEASE_LIMIT: usize = 16;

/// Age at which a release no longer counts. Demand shifts to other adapters every few seconds.
const RELEASE_LIFETIME: Duration = Duration::from_secs(10);

/// Recent releases of adapter slots: moments at which an adapter became idle, so that another can take its slot.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::ids::AdapterKey;
/// use quillcove_core::relay::loader::SlotReleases;
///
/// let idle = |name: &str| [AdapterKey { model: "m".into(), adapter: name.into() }].into();
/// let mut releases = SlotReleases::default();
/// releases.record_idle([].into(), Duration::ZERO);
/// releases.record_idle(idle("a1"), Duration::from_millis(100));
/// assert_eq!(releases.interval(Duration::from_millis(200)), None, "one release shows no interval");
/// releases.record_idle(idle("a2"), Duration::from_millis(400));
/// assert_eq!(releases.interval(Duration::from_millis(400)), Some(Duration::from_millis(300)));
/// assert_eq!(releases.interval(Duration::from_millis(900)), Some(Duration::from_millis(800)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotReleases {
    /// Adapters that were idle at the last call; `None` before the first.
    idle: Option<BTreeSet<AdapterKey>>,
    released_at: VecDeque<MonoTime>,
}

impl SlotReleases {
    /// Records which adapters are idle now. Those that were idle at the first call are no releases, as nothing shows
    /// when they became so.
    ///
    /// See [`SlotReleases`] for an example.
    pub fn record_idle(&mut self, idle: BTreeSet<AdapterKey>, now: MonoTime) {
        if let Some(before) = &self.idle {
            let released = idle.difference(before).map(|_| now);
            self.released_at.extend(released);
        }
        self.idle = Some(idle);
        let excess = self.released_at.len().saturating_sub(RELEASE_LIMIT);
        self.released_at.drain(..excess);
        self.released_at.retain(|at| now.saturating_sub(*at) < RELEASE_LIFETIME);
    }

    /// Returns the mean interval between releases. It includes the time since the last one, so that it grows while no
    /// slot is released. `None` if fewer than two are known.
    ///
    /// See [`SlotReleases`] for an example.
    pub fn interval(&self, now: MonoTime) -> Option<Duration> {
        let is_recent = |at: &&MonoTime| now.saturating_sub(**at) < RELEASE_LIFETIME;
        let mut recent = self.released_at.iter().filter(is_recent);
        let first = recent.next()?;
        let intervals = recent.count() as u32;
        (intervals > 0).then(|| now.saturating_sub(*first) / intervals)
    }
}
