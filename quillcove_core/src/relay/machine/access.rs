//! Admission of requests: key validation, the age of the access table, and the limits of workspaces.

use super::{RelayMachine, RelayQuery};
use crate::access::grant::{AccessGrant, AccessRefusal};
use crate::access::key::KeyDigest;
use crate::access::ledger::LimitLedger;
use crate::access::limit::{UseCharge, UseClaim};
use crate::access::right::{ProofStep, RENEWAL_TIME};
use crate::access::spending::UsageReport;
use crate::ids::MonoTime;
use crate::route::RouteRecord;

impl RelayMachine {
    /// Authorizes a request by its API key and charges it to the limit of the key's workspace. Returns `None` where no
    /// key is needed: the route is public, or the configuration has no access table.
    ///
    /// # Errors
    ///
    /// [`AccessRefusal::KnowledgeOld`] when the access table is too old to validate keys, [`AccessRefusal::KeyUnknown`]
    /// when the key is missing or not valid, and [`AccessRefusal::LimitReached`] when the workspace has reached its
    /// limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::limit::UseClaim;
    /// use quillcove_core::access::workspace::AccessTable;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
    /// use quillcove_core::route::{RouteKind, RouteRecord};
    ///
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Safe,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     patience: None,
    ///     priority: 0,
    ///     attempt_limit: 1,
    ///     target_gap: None,
    ///     is_public: false,
    ///     targets: Vec::new(),
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.authorize(&route, None, UseClaim::default(), Duration::ZERO).is_ok());
    /// let sheet = PublishedConfig::new(1, Vec::new(), Vec::new(), CallerLimits::default());
    /// machine.apply_configuration(sheet.with_access(AccessTable::default()));
    /// assert!(machine.authorize(&route, None, UseClaim::default(), Duration::ZERO).is_err());
    /// ```
    pub fn authorize(
        &mut self,
        route: &RouteRecord,
        key: Option<KeyDigest>,
        claim: UseClaim,
        now: MonoTime,
    ) -> Result<Option<AccessGrant>, AccessRefusal> {
        let access = self.sheet.as_ref().and_then(|sheet| sheet.access());
        let Some(access) = access.filter(|_| !route.is_public) else {
            return Ok(None);
        };
        // An outdated table can neither accept nor reject a key: keys may have been revoked or added since.
        if !self.rules.right.holds(self.knowledge.proved_at(), now) {
            return Err(AccessRefusal::KnowledgeOld { come_back: RENEWAL_TIME });
        }
        let holder = key.and_then(|key| Some((key, access.find(&key)?)));
        let (key, workspace) = holder.ok_or(AccessRefusal::KeyUnknown)?;
        let charge = self.ledger.charge(workspace, claim, now);
        let charge = charge.map_err(|come_back| AccessRefusal::LimitReached { come_back })?;
        Ok(Some(AccessGrant { workspace: workspace.clone(), key, charge }))
    }

    /// Returns whether the key of a request has been revoked since the request was authorized.
    pub(super) fn is_revoked(&self, query: &RelayQuery) -> bool {
        let access = self.sheet.as_ref().and_then(|sheet| sheet.access());
        match (&query.grant, access) {
            (Some(grant), Some(access)) => access.find(&grant.key).is_none(),
            (None, _) | (_, None) => false,
        }
    }

    /// Refunds the charge of a request that was not run.
    ///
    /// ```
    /// use quillcove_core::access::limit::UseCharge;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let charge = UseCharge { workspace: "w".into(), cost: 1 };
    /// RelayMachine::new(RelayRules::default(), 1).refund(&charge);
    /// ```
    pub fn refund(&mut self, charge: &UseCharge) {
        self.ledger.refund(charge);
    }

    /// Returns the usage accounts of workspaces as this relay knows them.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).ledger().account_of("w").is_none());
    /// ```
    pub fn ledger(&self) -> &LimitLedger {
        &self.ledger
    }

    /// Returns mutable access to the usage accounts, for the exchange of usage reports with other relays.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).ledger_mut().forget("front-1");
    /// ```
    pub fn ledger_mut(&mut self) -> &mut LimitLedger {
        &mut self.ledger
    }

    /// Applies another relay's usage report, for the limits in force here.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::spending::UsageReport;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let (uptime, spent, levels) = (Duration::ZERO, Vec::new(), Vec::new());
    /// let report = UsageReport { host: "front-2".into(), incarnation: 1, uptime, spent, levels };
    /// RelayMachine::new(RelayRules::default(), 1).apply_usage_report(&report, Duration::ZERO);
    /// ```
    pub fn apply_usage_report(&mut self, report: &UsageReport, now: MonoTime) {
        let Some(access) = self.sheet.as_ref().and_then(|sheet| sheet.access()) else {
            return;
        };
        let limit_of = |name: &str| access.workspace(name).and_then(|workspace| workspace.limit);
        let increases = self.ledger.record_increases(report, limit_of, now);
        for (workspace, unit, units) in increases {
            self.record_reported_usage(&workspace, unit, units);
        }
    }

    /// Returns how the freshness proof of the access table has to be renewed now, if at all. `asked_at` is when other
    /// relays were last asked for a newer proof.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::right::ProofStep;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.proof_step(None, Duration::ZERO), ProofStep::Idle);
    /// ```
    pub fn proof_step(&self, asked_at: Option<MonoTime>, now: MonoTime) -> ProofStep {
        let has_keys = self.sheet.as_ref().is_some_and(|sheet| sheet.access().is_some());
        match has_keys {
            true => self.rules.right.step(self.knowledge.proved_at(), asked_at, now),
            false => ProofStep::Idle,
        }
    }
}
