//! Which requests are let in: their keys, the age of what is known of keys, and limits of workspaces.

use super::{RelayMachine, RelayQuery};
use crate::access::grant::{AccessGrant, AccessRefusal};
use crate::access::key::KeyDigest;
use crate::access::ledger::LimitLedger;
use crate::access::limit::{UseCharge, UseClaim};
use crate::access::right::{RENEWAL_TIME, RightStep};
use crate::access::spending::SpendBeacon;
use crate::ids::MonoTime;
use crate::route::RouteRecord;

impl RelayMachine {
    /// Lets a request of a route in by its key, and charges it to its workspace; `None` where no key is
    /// needed.
    ///
    /// # Errors
    ///
    /// When the key is not valid, when that can't be told, or when its workspace has used what it may.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::limit::UseClaim;
    /// use quillcove_core::access::workspace::AccessTable;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::sheet::{CallerLimits, RouteSheet};
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
    ///     is_public: false,
    ///     targets: Vec::new(),
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.let_in(&route, None, UseClaim::default(), Duration::ZERO).is_ok());
    /// let sheet = RouteSheet::new(1, Vec::new(), Vec::new(), CallerLimits::default());
    /// machine.take_sheet(sheet.with_access(AccessTable::default()));
    /// assert!(machine.let_in(&route, None, UseClaim::default(), Duration::ZERO).is_err());
    /// ```
    pub fn let_in(
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
        // An old table tells neither which keys are valid nor which are not: one may have been added.
        if !self.rules.right.holds(self.knowledge.proved_at(), now) {
            return Err(AccessRefusal::KnowledgeOld { come_back: RENEWAL_TIME });
        }
        let holder = key.and_then(|key| Some((key, access.find(&key)?)));
        let (key, workspace) = holder.ok_or(AccessRefusal::KeyUnknown)?;
        let charge = self.ledger.charge(workspace, claim, now);
        let charge = charge.map_err(|come_back| AccessRefusal::LimitReached { come_back })?;
        Ok(Some(AccessGrant { workspace: workspace.clone(), key, charge }))
    }

    /// Whether the key of a request has been taken away since it came.
    pub(super) fn is_revoked(&self, query: &RelayQuery) -> bool {
        let access = self.sheet.as_ref().and_then(|sheet| sheet.access());
        match (&query.grant, access) {
            (Some(grant), Some(access)) => access.find(&grant.key).is_none(),
            (None, _) | (_, None) => false,
        }
    }

    /// Gives back what a request was charged with that did not run.
    ///
    /// ```
    /// use quillcove_core::access::limit::UseCharge;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let charge = UseCharge { workspace: "w".into(), cost: 1 };
    /// RelayMachine::new(RelayRules::default(), 1).give_back(&charge);
    /// ```
    pub fn give_back(&mut self, charge: &UseCharge) {
        self.ledger.give_back(charge);
    }

    /// What workspaces have used, as this relay believes it.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).ledger().account_of("w").is_none());
    /// ```
    pub fn ledger(&self) -> &LimitLedger {
        &self.ledger
    }

    /// The same, to tell others of it.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).ledger_mut().forget("front-1");
    /// ```
    pub fn ledger_mut(&mut self) -> &mut LimitLedger {
        &mut self.ledger
    }

    /// Takes what another relay has spent of limits that are in force here.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::spending::SpendBeacon;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let (uptime, spent, levels) = (Duration::ZERO, Vec::new(), Vec::new());
    /// let told = SpendBeacon { host: "front-2".into(), incarnation: 1, uptime, spent, levels };
    /// RelayMachine::new(RelayRules::default(), 1).take_spent(&told, Duration::ZERO);
    /// ```
    pub fn take_spent(&mut self, told: &SpendBeacon, now: MonoTime) {
        let Some(access) = self.sheet.as_ref().and_then(|sheet| sheet.access()) else {
            return;
        };
        let limit_of = |name: &str| access.workspace(name).and_then(|workspace| workspace.limit);
        self.ledger.take_told(told, limit_of, now);
    }

    /// What to do about the age of what is known of keys; `asked_at` is when others were asked last.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::right::RightStep;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.right_step(None, Duration::ZERO), RightStep::Rest);
    /// ```
    pub fn right_step(&self, asked_at: Option<MonoTime>, now: MonoTime) -> RightStep {
        let has_keys = self.sheet.as_ref().is_some_and(|sheet| sheet.access().is_some());
        match has_keys {
            true => self.rules.right.step(self.knowledge.proved_at(), asked_at, now),
            false => RightStep::Rest,
        }
    }
}
