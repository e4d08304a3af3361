//! A relay's state in a dump.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::RelayMachine;
use crate::access::account::LimitAccount;
use crate::access::workspace::WorkspaceRecord;
use crate::crash::book::CrashSummary;
use crate::entry::retry::RetryBudget;
use crate::ids::MonoTime;
use crate::relay::position::ReadPositions;
use crate::relay::replica::{ReplicaRecord, ReplicaView};
use crate::relay::sheet::SheetVersion;
use crate::standing::LeavingSource;
use crate::standing::limit::RateLimit;

/// A relay's state in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct RelayView {
    /// Version of the sheet in force, 0 for none.
    pub sheet: SheetVersion,
    /// Routes in it.
    pub routes: usize,
    /// Positions in the platform's store up to which its parts are known.
    pub store: ReadPositions,
    /// Relays that are there, as far as this one hears, itself included.
    pub relays: usize,
    /// Requests in flight.
    pub requests: usize,
    /// Repeats that the budget allows now.
    pub retry_budget: f64,
    /// Whether new connections are to end, as the process stops.
    pub stopping: bool,
    /// Age in milliseconds of the proof that all keys that were taken away are known; absent without one.
    pub key_age_ms: Option<u64>,
    /// Workspaces in force.
    pub workspaces: Vec<WorkspaceSummary>,
    /// What is known of requests under which replicas end.
    pub suspected: CrashSummary,
    /// Replicas known.
    pub replicas: Vec<ReplicaSummary>,
}

/// One workspace in a dump. Its keys are not shown.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceSummary {
    /// As published.
    #[serde(flatten)]
    pub record: WorkspaceRecord,
    /// Units that it may still use, as far as this relay knows; absent before its first request.
    pub left: Option<f64>,
    /// Units that it used through this relay.
    pub used: i64,
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
    /// For how long it has been known to leave by its own word or its loader's.
    pub leaving_ms: Option<u64>,
    /// Who said that it leaves, by an answer of its own or to another relay.
    pub leaving_by: Option<LeavingSource>,
    /// How long it still rests.
    pub rest_left_ms: Option<u64>,
    /// Requests that may go to it now, when it has just rested.
    pub may_take: Option<u32>,
    /// Requests a second that it takes from all relays together, where it names a limit.
    pub limit: Option<f64>,
    /// When one may go to it, or to another relay's part of its limit.
    pub next_in_ms: Option<u64>,
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
        let millis = |time: Duration| time.as_millis() as u64;
        let age = |at| millis(now.saturating_sub(at));
        let summary = |view: &ReplicaView| ReplicaSummary {
            record: view.record.clone(),
            in_flight: view.in_flight,
            load: view.load(now),
            is_well: view.seems_well(now),
            has_report: view.report(now).is_some(),
            leaving_ms: view.leaving_since().map(age),
            leaving_by: view.standing.leaving().map(|word| word.source),
            rest_left_ms: view.standing.rest_end(now).map(|end| millis(end.saturating_sub(now))),
            may_take: view.standing.left(now),
            limit: view.standing.limit().map(RateLimit::rate),
            next_in_ms: view
                .standing
                .limit()
                .map(|_| millis(view.standing.takes_work_from(now).saturating_sub(now))),
        };
        RelayView {
            key_age_ms: self.knowledge.proved_at().map(age),
            workspaces: self.workspace_summaries(),
            sheet: self.sheet.as_ref().map_or(0, |sheet| sheet.version),
            routes: self.sheet.as_ref().map_or(0, |sheet| sheet.route_count()),
            store: self.read(),
            relays: self.relays,
            requests: self.requests,
            suspected: self.crashes.book().summary(),
            retry_budget: self.budgets.values().map(RetryBudget::left).sum(),
            stopping: self.is_stopping,
            replicas: self.table.all().map(summary).collect(),
        }
    }

    fn workspace_summaries(&self) -> Vec<WorkspaceSummary> {
        let access = self.sheet.as_ref().and_then(|sheet| sheet.access());
        let records = access.into_iter().flat_map(|access| access.workspaces());
        let summary = |record: &Arc<WorkspaceRecord>| {
            let account = self.ledger.account_of(&record.name);
            WorkspaceSummary {
                record: WorkspaceRecord::clone(record),
                left: account.map(LimitAccount::level),
                used: account.map_or(0, LimitAccount::spent),
            }
        };
        records.map(summary).collect()
    }
}
