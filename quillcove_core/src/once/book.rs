//! Record of the runs of requests that must run at most once, held by the agent that owns them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ticket::{RunTicket, TicketSecret};
use crate::ids::{CallerId, HostId, Incarnation, MonoTime};
use crate::verdict::{RefusalReason, RunVerdict, SHORT_RETRY_DELAY, WorkRefusal};

/// Identifies a run that must happen at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OnceKey {
    /// Serial number of a ticket that this process start of the agent issued.
    Serial(u64),
    /// Idempotency key chosen by a caller, used without a ticket.
    Named(CallerId, String),
}

/// What a caller presents to claim its run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OnceClaim {
    /// Encoded ticket.
    Ticket(String),
    /// Idempotency key chosen by the caller.
    Key(CallerId, String),
}

/// State of a claimed run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnceState {
    /// The request waits for the service or was sent to it.
    Underway,
    /// The service responded, with this HTTP status.
    Ran(u16),
    /// The service's response was lost.
    Uncertain,
}

/// Size and lifetimes of an [`OnceBook`].
#[derive(Clone, Copy, Debug)]
pub struct BookLimits {
    /// Validity of a ticket.
    pub ticket_lifetime: Duration,
    /// Time for which a key without a ticket is kept.
    pub key_lifetime: Duration,
    /// Maximum number of entries. At the limit, new claims are rejected; no entry is evicted before it
    /// expires.
    pub entries: usize,
}

impl Default for BookLimits {
    fn default() -> Self {
        Self {
            ticket_lifetime: Duration::from_secs(600),
            key_lifetime: Duration::from_secs(600),
            entries: 200_000,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OnceRun {
    state: OnceState,
    expires: MonoTime,
}

/// Runs claimed at one agent.
#[derive(Clone, Debug)]
pub struct OnceBook {
    host: HostId,
    incarnation: Incarnation,
    secret: TicketSecret,
    limits: BookLimits,
    next_serial: u64,
    runs: BTreeMap<OnceKey, OnceRun>,
    expiries: BTreeMap<(MonoTime, u64), OnceKey>,
    next_expiry: u64,
    keys_certain_from: MonoTime,
}

impl OnceBook {
    /// Creates an empty book. Keys without a ticket are rejected until the lifetime of a key has
    /// passed, because they may have run before the agent restarted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook, OnceClaim};
    ///
    /// let mut book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let ticket = OnceClaim::Ticket(book.issue(Duration::ZERO));
    /// assert!(book.claim(Duration::ZERO, &ticket).is_ok());
    /// assert!(book.claim(Duration::ZERO, &ticket).is_err());
    /// ```
    pub fn new(
        host: &str,
        incarnation: Incarnation,
        secret: TicketSecret,
        limits: BookLimits,
        now: MonoTime,
    ) -> Self {
        Self {
            host: host.to_string(),
            incarnation,
            secret,
            limits,
            next_serial: 0,
            runs: BTreeMap::new(),
            expiries: BTreeMap::new(),
            next_expiry: 0,
            keys_certain_from: now + limits.key_lifetime,
        }
    }

    /// Issues a ticket and returns its encoded form.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let mut book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// assert!(book.issue(Duration::ZERO).starts_with("b1~5~0~"));
    /// ```
    pub fn issue(&mut self, now: MonoTime) -> String {
        let ticket = RunTicket {
            owner: self.host.clone(),
            incarnation: self.incarnation,
            serial: self.next_serial,
            expires: now + self.limits.ticket_lifetime,
        };
        self.next_serial += 1;
        ticket.encode(&self.secret)
    }

    /// Rejects new keys until the lifetime of a key has passed, because a new bundle reassigned keys
    /// to replicas and another replica may have run them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook, OnceClaim};
    ///
    /// let mut book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let later = BookLimits::default().key_lifetime;
    /// book.mark_keys_uncertain(later);
    /// assert!(book.claim(later, &OnceClaim::Key("app".into(), "k".into())).is_err());
    /// ```
    pub fn mark_keys_uncertain(&mut self, now: MonoTime) {
        self.keys_certain_from = now + self.limits.key_lifetime;
    }

    /// Claims a run. A run can be claimed once, and again only after [`OnceBook::record_outcome`] has recorded
    /// that it certainly did not happen.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose verdict tells the outcome of the first claim.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook, OnceClaim};
    ///
    /// let mut book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let stranger = OnceClaim::Ticket("b1~4~0~ffffff~00".into());
    /// assert!(book.claim(Duration::ZERO, &stranger).is_err());
    /// ```
    pub fn claim(&mut self, now: MonoTime, claim: &OnceClaim) -> Result<OnceKey, WorkRefusal> {
        self.remove_expired(now);
        let (key, expires) = self.resolve_claim(now, claim)?;
        if let Some(run) = self.runs.get(&key) {
            return Err(refusal_for(run.state));
        }
        if self.runs.len() >= self.limits.entries {
            return Err(WorkRefusal::overloaded());
        }
        self.insert_run(key.clone(), OnceRun { state: OnceState::Underway, expires });
        Ok(key)
    }

    fn insert_run(&mut self, key: OnceKey, run: OnceRun) {
        self.expiries.insert((run.expires, self.next_expiry), key.clone());
        self.next_expiry += 1;
        self.runs.insert(key, run);
    }

    fn resolve_claim(
        &self,
        now: MonoTime,
        claim: &OnceClaim,
    ) -> Result<(OnceKey, MonoTime), WorkRefusal> {
        match claim {
            OnceClaim::Ticket(text) => {
                let ticket = self.verify_ticket(now, text)?;
                Ok((OnceKey::Serial(ticket.serial), ticket.expires))
            },
            OnceClaim::Key(caller, name) => {
                let key = OnceKey::Named(caller.clone(), name.clone());
                if now < self.keys_certain_from && !self.runs.contains_key(&key) {
                    return Err(WorkRefusal {
                        reason: RefusalReason::KeyUncertain,
                        verdict: RunVerdict::MayHaveRun,
                        retry_after: Some(self.keys_certain_from - now),
                    });
                }
                Ok((key, now + self.limits.key_lifetime))
            },
        }
    }

    /// Decodes and verifies a ticket. A ticket from another process start of the agent may have been
    /// used there, and an expired ticket may have been used before its record was removed, so the
    /// refusal of both says that the request may have run.
    fn verify_ticket(&self, now: MonoTime, text: &str) -> Result<RunTicket, WorkRefusal> {
        let unknown = WorkRefusal::may_have_run(RefusalReason::TicketUnknown);
        let ticket = RunTicket::decode(text, &self.secret).ok_or(unknown)?;
        let is_own = ticket.owner == self.host && ticket.incarnation == self.incarnation;
        match is_own && now < ticket.expires {
            true => Ok(ticket),
            false => Err(unknown),
        }
    }

    /// Records the outcome of a claimed run. `None` means that it certainly did not happen, and
    /// allows another claim. The lifetime of a key starts here, so that the record of a slow run is
    /// kept for the full lifetime.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook, OnceClaim, OnceState};
    ///
    /// let mut book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let ticket = OnceClaim::Ticket(book.issue(Duration::ZERO));
    /// let key = book.claim(Duration::ZERO, &ticket).unwrap();
    /// book.record_outcome(Duration::ZERO, &key, None);
    /// assert!(book.claim(Duration::ZERO, &ticket).is_ok());
    /// ```
    pub fn record_outcome(&mut self, now: MonoTime, key: &OnceKey, state: Option<OnceState>) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let Some(state) = state else { return };
        let expires = match key {
            OnceKey::Serial(_) => run.expires.max(now),
            OnceKey::Named(..) => now + self.limits.key_lifetime,
        };
        self.insert_run(key.clone(), OnceRun { state, expires });
    }

    /// Returns the state of a ticket's run, or `None` if the ticket has not been used yet.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the ticket was not issued by this process start or has expired.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let mut book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let ticket = book.issue(Duration::ZERO);
    /// assert_eq!(book.ticket_run_state(Duration::ZERO, &ticket), Ok(None));
    /// ```
    pub fn ticket_run_state(
        &self,
        now: MonoTime,
        text: &str,
    ) -> Result<Option<OnceState>, WorkRefusal> {
        let ticket = self.verify_ticket(now, text)?;
        Ok(self.runs.get(&OnceKey::Serial(ticket.serial)).map(|run| run.state))
    }

    /// Returns the number of recorded runs.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// assert_eq!(book.runs(), 0);
    /// ```
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Removes expired runs. A run underway is kept until its outcome is recorded, and a key with a
    /// renewed record until its new expiry.
    fn remove_expired(&mut self, now: MonoTime) {
        while let Some(entry) = self.expiries.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let key = entry.remove();
            let is_expired = |run: &OnceRun| run.state != OnceState::Underway && run.expires <= now;
            if self.runs.get(&key).is_some_and(is_expired) {
                self.runs.remove(&key);
            }
        }
    }
}

fn refusal_for(state: OnceState) -> WorkRefusal {
    let verdict = match state {
        OnceState::Ran(_) => RunVerdict::Ran,
        OnceState::Underway | OnceState::Uncertain => RunVerdict::MayHaveRun,
    };
    let retry_after = match state {
        OnceState::Underway => Some(SHORT_RETRY_DELAY),
        OnceState::Ran(_) | OnceState::Uncertain => None,
    };
    WorkRefusal { reason: RefusalReason::AlreadyUsed, verdict, retry_after }
}
