//! Adapters that engines report to be on their way, whichever relay asked for them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::MonoTime;
use crate::relay::beacon::AdapterKey;
use crate::relay::replica::{REPORT_LIFETIME, ReplicaView};

/// An adapter on its way.
#[derive(Clone, Debug)]
struct ComingLoad {
    expected: MonoTime,
    /// When it was last reported.
    seen: MonoTime,
}

/// When the adapters that are on their way will be there.
#[derive(Clone, Debug, Default)]
pub(super) struct ComingLoads {
    loads: BTreeMap<AdapterKey, ComingLoad>,
}

impl ComingLoads {
    /// Takes an engine's report; `load_time` is what a load takes that is seen for the first time.
    pub(super) fn note(&mut self, view: &ReplicaView, load_time: Duration, now: MonoTime) {
        for held in view.adapters(now) {
            self.loads.remove(&held.key);
        }
        let Some(report) = view.report(now) else {
            return;
        };
        for coming in &report.incoming {
            let fresh = || ComingLoad { expected: now + load_time, seen: now };
            self.loads.entry(coming.key.clone()).or_insert_with(fresh).seen = now;
        }
    }

    /// Forgets what no engine has reported lately.
    pub(super) fn tick(&mut self, now: MonoTime) {
        self.loads.retain(|_, load| now.saturating_sub(load.seen) < REPORT_LIFETIME);
    }

    /// When an adapter on its way will be there.
    pub(super) fn ready_at(&self, key: &AdapterKey, now: MonoTime) -> Option<MonoTime> {
        self.loads.get(key).map(|load| load.expected.max(now))
    }
}
