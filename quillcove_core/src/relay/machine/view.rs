//! Serializable snapshot of a relay's state, for the `dump` command and the operator's port.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::{RelayMachine, SoftwareSummary};
use crate::access::account::LimitAccount;
use crate::access::workspace::WorkspaceRecord;
use crate::crash::book::CrashSummary;
use crate::entry::retry::RetryBudget;
use crate::ids::MonoTime;
use crate::relay::position::ReadPositions;
use crate::relay::replica::{ReplicaRecord, ReplicaView};
use crate::relay::sheet::ConfigVersion;
use crate::standing::LeavingSource;
use crate::standing::limit::RateLimit;

/// Snapshot of a relay's state.
#[derive(Clone, Debug, Serialize)]
pub struct RelayView {
    /// Version of the configuration in force, 0 for none.
    pub sheet: ConfigVersion,
    /// Number of routes in the configuration.
    pub routes: usize,
    /// Positions in the store up to which the relay knows its parts.
    pub store: ReadPositions,
    /// Number of known relays, this one included.
    pub relays: usize,
    /// Number of requests in flight.
    pub requests: usize,
    /// Number of streams of which the relay knows where they began.
    pub origins: usize,
    /// Number of open lookups of where streams began.
    pub origin_lookups: usize,
    /// Software versions of the services.
    pub software: Vec<SoftwareSummary>,
    /// Retries that the budgets of all services allow now.
    pub retry_budget: f64,
    /// Whether the process is stopping, so that new connections are to be closed.
    pub stopping: bool,
    /// Age, in milliseconds, of the latest freshness proof, i.e. the proof that all revoked keys are known; absent
    /// without one.
    pub key_age_ms: Option<u64>,
    /// Workspaces in the configuration in force.
    pub workspaces: Vec<WorkspaceSummary>,
    /// Summary of the requests suspected of making replicas exit.
    pub suspected: CrashSummary,
    /// Known replicas.
    pub replicas: Vec<ReplicaSummary>,
}

/// Snapshot of a workspace, without its keys.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceSummary {
    /// The workspace as published.
    #[serde(flatten)]
    pub record: WorkspaceRecord,
    /// Units that the workspace may still use, as far as this relay knows; absent before its first request.
    pub left: Option<f64>,
    /// Units that the workspace has used through this relay.
    pub used: i64,
}

/// Snapshot of a replica.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaSummary {
    /// The replica as listed by the platform.
    #[serde(flatten)]
    pub record: ReplicaRecord,
    /// Requests of this process in flight at the replica.
    pub in_flight: u32,
    /// Load as a share of the replica's request slots.
    pub load: f64,
    /// Whether the replica seems healthy.
    pub is_well: bool,
    /// Whether a recent report of the replica's loader is known.
    pub has_report: bool,
    /// Prompt tokens per second that the replica's loader has measured and reported recently.
    pub prefill_rate: Option<f32>,
    /// Longest pause between two events of a stream that the loader saw within a second, in milliseconds.
    pub longest_pause_ms: Option<u64>,
    /// How long the replica has been known to be draining by its own report or its loader's, in milliseconds.
    pub leaving_ms: Option<u64>,
    /// Source of the report that the replica is draining: a response to this relay, its listing, or another process.
    pub leaving_by: Option<LeavingSource>,
    /// Remaining time of the requested pause, in milliseconds.
    pub rest_left_ms: Option<u64>,
    /// Requests that may be sent to the replica now, during and shortly after a requested pause.
    pub may_take: Option<u32>,
    /// Rate limit announced by the replica for all relays together, in requests per second.
    pub limit: Option<f64>,
    /// Time until the next request may be sent to the replica under its limit, by this or another relay, in milliseconds.
    pub next_in_ms: Option<u64>,
}

impl RelayMachine {
    /// Returns a snapshot of the state.
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
        let performance = |view: &ReplicaView| view.status(now)?.performance;
        let summary = |view: &ReplicaView| ReplicaSummary {
            record: view.record.clone(),
            in_flight: view.in_flight,
            load: view.load(now),
            is_well: view.seems_well(now),
            has_report: view.report(now).is_some(),
            prefill_rate: performance(view).map(|it| it.prefill_rate),
            longest_pause_ms: performance(view).map(|it| millis(it.longest_pause)),
            leaving_ms: view.leaving_since().map(age),
            leaving_by: view.standing.leaving().map(|word| word.source),
            rest_left_ms: view.standing.pause_end(now).map(|end| millis(end.saturating_sub(now))),
            may_take: view.standing.remaining_requests(now),
            limit: view.standing.limit().map(RateLimit::rate),
            next_in_ms: view
                .standing
                .limit()
                .map(|_| millis(view.standing.next_request_time(now).saturating_sub(now))),
        };
        RelayView {
            key_age_ms: self.knowledge.proved_at().map(age),
            workspaces: self.workspace_summaries(),
            sheet: self.sheet.as_ref().map_or(0, |sheet| sheet.version),
            routes: self.sheet.as_ref().map_or(0, |sheet| sheet.route_count()),
            store: self.read(),
            relays: self.relays,
            requests: self.requests,
            origins: self.origins.book().len(),
            origin_lookups: self.origins.lookup_count(),
            software: self.software_summaries(),
            suspected: self.crashes.book().summary(),
            retry_budget: self.budgets.values().map(RetryBudget::left).sum(),
            stopping: self.is_stopping,
            replicas: self.table.all().map(summary).collect(),
        }
    }

    /// Returns snapshots of all workspaces in the configuration in force.
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
