//! Tracks the adapters that engines report as incoming, whichever relay requested them, with the
//! estimated time at which each will be loaded.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AdapterKey, MonoTime};
use crate::relay::replica::{REPORT_LIFETIME, ReplicaView};

/// An adapter that an engine is loading.
#[derive(Clone, Debug)]
struct IncomingLoad {
    expected: MonoTime,
    /// When it was last reported.
    last_seen: MonoTime,
}

/// The adapters that engines are loading, with their estimated completion.
#[derive(Clone, Debug, Default)]
pub(super) struct IncomingLoads {
    loads: BTreeMap<AdapterKey, IncomingLoad>,
}

impl IncomingLoads {
    /// Records an engine's report. A load that is reported for the first time is expected to complete
    /// `load_time` from now.
    pub(super) fn record(&mut self, view: &ReplicaView, load_time: Duration, now: MonoTime) {
        for held in view.adapters(now) {
            self.loads.remove(&held.key);
        }
        let Some(report) = view.report(now) else {
            return;
        };
        for held in &report.incoming {
            let new_load = || IncomingLoad { expected: now + load_time, last_seen: now };
            self.loads.entry(held.key.clone()).or_insert_with(new_load).last_seen = now;
        }
    }

    /// Drops loads that no engine has reported within [`REPORT_LIFETIME`].
    pub(super) fn expire(&mut self, now: MonoTime) {
        self.loads.retain(|_, load| now.saturating_sub(load.last_seen) < REPORT_LIFETIME);
    }

    /// Returns the estimated time at which an incoming adapter will be loaded; `None` if it is not incoming.
    pub(super) fn ready_at(&self, key: &AdapterKey, now: MonoTime) -> Option<MonoTime> {
        self.loads.get(key).map(|load| load.expected.max(now))
    }
}
