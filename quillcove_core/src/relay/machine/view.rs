//! A relay's state in a dump.

use serde::Serialize;

use super::RelayMachine;
use crate::entry::retry::RetryBudget;
use crate::ids::MonoTime;
use crate::relay::replica::{ReplicaRecord, ReplicaView};
use crate::relay::sheet::SheetVersion;

/// A relay's state in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct RelayView {
    /// Version of the sheet in force, 0 for none.
    pub sheet: SheetVersion,
    /// Routes in it.
    pub routes: usize,
    /// Requests in flight.
    pub requests: usize,
    /// Repeats that the budget allows now.
    pub retry_budget: f64,
    /// Whether new connections are to end, as the process stops.
    pub stopping: bool,
    /// Replicas known.
    pub replicas: Vec<ReplicaSummary>,
}

/// One replica in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaSummary {
    /// As listed.
    #[serde(flatten)]
    pub record: ReplicaRecord,
    /// Requests of this process in flight there.
    pub in_flight: u32,
    /// Its load, as a share of its places.
    pub load: f64,
    /// Whether it seems to work.
    pub is_well: bool,
    /// Whether its loader's report is fresh.
    pub has_report: bool,
}

impl RelayMachine {
    /// The state at this time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.view(Duration::ZERO).requests, 0);
    /// ```
    pub fn view(&self, now: MonoTime) -> RelayView {
        let summary = |view: &ReplicaView| ReplicaSummary {
            record: view.record.clone(),
            in_flight: view.in_flight,
            load: view.load(now),
            is_well: view.seems_well(now),
            has_report: view.report(now).is_some(),
        };
        RelayView {
            sheet: self.sheet.as_ref().map_or(0, |sheet| sheet.version),
            routes: self.sheet.as_ref().map_or(0, |sheet| sheet.route_count()),
            requests: self.requests,
            retry_budget: self.budgets.values().map(RetryBudget::left).sum(),
            stopping: self.is_stopping,
            replicas: self.table.all().map(summary).collect(),
        }
    }
}
