//! What became of each request that must run at most once, kept by its owner.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ticket::{RunTicket, TicketSecret};
use crate::ids::{CallerId, HostId, Incarnation, MonoTime};
use crate::verdict::{RefusalReason, RunVerdict, SOON, WorkRefusal};

/// Names one run that must not happen twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum OnceKey {
    /// A ticket of this run of the agent, by its serial number.
    Serial(u64),
    /// A caller's own key, given without a ticket.
    Named(CallerId, String),
}

/// How a caller names its run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OnceClaim {
    /// With a ticket's text.
    Ticket(String),
    /// With a key of its own.
    Key(CallerId, String),
}

/// State of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnceState {
    /// It was handed to the service, or waits for it.
    Underway,
    /// The service answered; the number is the status of its answer.
    Ran(u16),
    /// The service's answer was lost.
    Uncertain,
}

/// Sizes and lifetimes of the book.
#[derive(Clone, Copy, Debug)]
pub struct BookLimits {
    /// How long a ticket may be used.
    pub ticket_lifetime: Duration,
    /// How long a key without a ticket is remembered.
    pub key_lifetime: Duration,
    /// Most entries; beyond them new claims are refused and nothing is forgotten early.
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

/// The owner's record of runs.
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
    keys_sure_from: MonoTime,
}

impl OnceBook {
    /// An empty book. Keys without a ticket are refused until the lifetime of a key has passed,
    /// because an earlier run of the agent may have run them.
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
            keys_sure_from: now + limits.key_lifetime,
        }
    }

    /// Issues a ticket.
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
        ticket.seal(&self.secret)
    }

    /// Doubts all keys again, because the bundle divided them anew among the replicas.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook, OnceClaim};
    ///
    /// let mut book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let later = BookLimits::default().key_lifetime;
    /// book.doubt_keys(later);
    /// assert!(book.claim(later, &OnceClaim::Key("app".into(), "k".into())).is_err());
    /// ```
    pub fn doubt_keys(&mut self, now: MonoTime) {
        self.keys_sure_from = now + self.limits.key_lifetime;
    }

    /// Claims the right to run. It is given once; [`OnceBook::settle`] may give it back when the
    /// run certainly did not happen.
    ///
    /// # Errors
    ///
    /// A refusal whose verdict says what became of the first claim.
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
        self.forget_expired(now);
        let (key, expires) = self.locate(now, claim)?;
        if let Some(run) = self.runs.get(&key) {
            return Err(refusal_of(run.state));
        }
        if self.runs.len() >= self.limits.entries {
            return Err(WorkRefusal::overloaded());
        }
        self.record(key.clone(), OnceRun { state: OnceState::Underway, expires });
        Ok(key)
    }

    fn record(&mut self, key: OnceKey, run: OnceRun) {
        self.expiries.insert((run.expires, self.next_expiry), key.clone());
        self.next_expiry += 1;
        self.runs.insert(key, run);
    }

    fn locate(&self, now: MonoTime, claim: &OnceClaim) -> Result<(OnceKey, MonoTime), WorkRefusal> {
        match claim {
            OnceClaim::Ticket(text) => {
                let ticket = self.open(now, text)?;
                Ok((OnceKey::Serial(ticket.serial), ticket.expires))
            },
            OnceClaim::Key(caller, name) => {
                let key = OnceKey::Named(caller.clone(), name.clone());
                if now < self.keys_sure_from && !self.runs.contains_key(&key) {
                    return Err(WorkRefusal {
                        reason: RefusalReason::KeyUncertain,
                        verdict: RunVerdict::MayHaveRun,
                        retry_after: Some(self.keys_sure_from - now),
                    });
                }
                Ok((key, now + self.limits.key_lifetime))
            },
        }
    }

    /// A ticket of another run of the agent may have been used there, and a ticket that expired
    /// may have been used before its record went: both leave the verdict open.
    fn open(&self, now: MonoTime, text: &str) -> Result<RunTicket, WorkRefusal> {
        let unknown = WorkRefusal::may_have_run(RefusalReason::TicketUnknown);
        let ticket = RunTicket::open(text, &self.secret).ok_or(unknown)?;
        let own = ticket.owner == self.host && ticket.incarnation == self.incarnation;
        match own && now < ticket.expires {
            true => Ok(ticket),
            false => Err(unknown),
        }
    }

    /// Records what became of a claimed run. Only a run that certainly did not happen gives the
    /// right back. A key's lifetime counts from here, so that a slow run is not forgotten early.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook, OnceClaim, OnceState};
    ///
    /// let mut book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let ticket = OnceClaim::Ticket(book.issue(Duration::ZERO));
    /// let key = book.claim(Duration::ZERO, &ticket).unwrap();
    /// book.settle(Duration::ZERO, &key, None);
    /// assert!(book.claim(Duration::ZERO, &ticket).is_ok());
    /// ```
    pub fn settle(&mut self, now: MonoTime, key: &OnceKey, state: Option<OnceState>) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let Some(state) = state else { return };
        let expires = match key {
            OnceKey::Serial(_) => run.expires.max(now),
            OnceKey::Named(..) => now + self.limits.key_lifetime,
        };
        self.record(key.clone(), OnceRun { state, expires });
    }

    /// What became of a ticket; `None` for one that was not used yet.
    ///
    /// # Errors
    ///
    /// A refusal for a ticket that is not this run's or has expired.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let mut book = OnceBook::new("b1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let ticket = book.issue(Duration::ZERO);
    /// assert_eq!(book.state_of(Duration::ZERO, &ticket), Ok(None));
    /// ```
    pub fn state_of(&self, now: MonoTime, text: &str) -> Result<Option<OnceState>, WorkRefusal> {
        let ticket = self.open(now, text)?;
        Ok(self.runs.get(&OnceKey::Serial(ticket.serial)).map(|run| run.state))
    }

    /// Number of runs on record.
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

    /// Drops what has expired. A run underway stays until it is settled, and a key whose record
    /// was renewed stays until the renewed expiry.
    fn forget_expired(&mut self, now: MonoTime) {
        while let Some(entry) = self.expiries.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let key = entry.remove();
            let over = |run: &OnceRun| run.state != OnceState::Underway && run.expires <= now;
            if self.runs.get(&key).is_some_and(over) {
                self.runs.remove(&key);
            }
        }
    }
}

fn refusal_of(state: OnceState) -> WorkRefusal {
    let verdict = match state {
        OnceState::Ran(_) => RunVerdict::Ran,
        OnceState::Underway | OnceState::Uncertain => RunVerdict::MayHaveRun,
    };
    let retry_after = match state {
        OnceState::Underway => Some(SOON),
        OnceState::Ran(_) | OnceState::Uncertain => None,
    };
    WorkRefusal { reason: RefusalReason::AlreadyUsed, verdict, retry_after }
}
