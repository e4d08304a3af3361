//! Limits that replicas name for all relays together: this relay's part of each, and what relays tell each other.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AttemptOrder, RelayMachine};
use crate::access::ledger::FleetSize;
use crate::ids::{HostId, MonoTime};
use crate::relay::beacon::{LimitBeacon, LimitWord, ReplicaId};
use crate::relay::replica::ReplicaView;
use crate::relay::sharing::{self, LimitKind, RelayPeers};
use crate::standing::limit::RateLimit;

/// Beacons with which news of a limit are told. What gets lost is made up for by [`REPEAT_INTERVAL`].
const TOLD_TIMES: u32 = 2;

/// Time after the end of a limit from which on a good answer shows that it is over to relays which had an answer with
/// the limit at about the time of its end.
const CONFIRM_TIME: Duration = Duration::from_secs(1);

/// Time after which the first relay in rank repeats what it knows, for those that missed it or are new.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which the end of a limit is repeated.
const END_LIFETIME: Duration = Duration::from_secs(30);

/// Time from the start of the process until the other relays are known, as far as cold replicas go: one that knows
/// none would take the whole of what a replica bears for itself.
const PEERS_KNOWN: Duration = Duration::from_millis(600);

/// Words in one message, so that it fits into a datagram, and in all messages of one beacon: some 40 bytes each.
const MOST_WORDS: usize = 24;

/// What was told of one replica's limit.
#[derive(Clone, Copy, Debug)]
struct ToldLimit {
    /// Beacons with which it is still to be told.
    left: u32,
    at: MonoTime,
    /// Whether the end of the limit was told once more.
    is_confirmed: bool,
}

/// Whether a replica's word is to be told with a beacon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DueWord {
    None,
    /// By whoever learnt it.
    News,
    /// By the first relay in rank.
    Old,
}

/// What was told of limits.
#[derive(Clone, Debug, Default)]
pub(super) struct LimitTeller {
    told: BTreeMap<ReplicaId, ToldLimit>,
}

impl LimitTeller {
    /// Notes what a replica has said itself.
    fn note_news(&mut self, replica: &str, now: MonoTime) {
        let told = ToldLimit { left: TOLD_TIMES, at: now, is_confirmed: false };
        self.told.insert(replica.to_string(), told);
    }

    /// Notes a good answer without a limit that came long after the end of one.
    fn confirm_end(&mut self, replica: &str, now: MonoTime) {
        if self.told.get(replica).is_none_or(|told| !told.is_confirmed) {
            let told = ToldLimit { left: TOLD_TIMES, at: now, is_confirmed: true };
            self.told.insert(replica.to_string(), told);
        }
    }

    /// Notes that another relay tells what this one knows as well, or knows by it, so that few tell the same.
    fn note_heard(&mut self, replica: &str, is_confirmed: bool, now: MonoTime) {
        self.told.insert(replica.to_string(), ToldLimit { left: 0, at: now, is_confirmed });
    }

    fn due(&self, replica: &str, now: MonoTime) -> DueWord {
        match self.told.get(replica) {
            Some(told) if told.left > 0 => DueWord::News,
            Some(told) if now.saturating_sub(told.at) < REPEAT_INTERVAL => DueWord::None,
            Some(_) | None => DueWord::Old,
        }
    }

    fn note_told(&mut self, replica: &str, now: MonoTime) {
        let fresh = || ToldLimit { left: 0, at: now, is_confirmed: false };
        let told = self.told.entry(replica.to_string()).or_insert_with(fresh);
        told.left = told.left.saturating_sub(1);
        told.at = now;
    }
}

impl RelayMachine {
    /// Takes which other relays are heard, by their hosts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.set_peers(vec!["relay-b".into()], Duration::ZERO);
    /// ```
    pub fn set_peers(&mut self, others: Vec<HostId>, now: MonoTime) {
        let peers = RelayPeers::new(self.rules.host.clone(), others);
        if peers != self.peers {
            self.peers = peers;
            self.most_peers = self.most_peers.max(self.peers.count());
            self.share_limits(now);
        }
    }

    /// Takes a good answer to an attempt that names no limit; tells whether a limit ends by it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let record = example_record("i-1");
    /// let order = AttemptOrder::to(&record);
    /// machine.list(record, Duration::ZERO);
    /// assert!(!machine.note_no_limit(&order, Duration::ZERO), "it has named none");
    /// ```
    pub fn note_no_limit(&mut self, order: &AttemptOrder, now: MonoTime) -> bool {
        let known = self.table.get(&order.replica).and_then(|view| view.standing.limit_word(now));
        let Some(known) = known else {
            return false;
        };
        let spread = self.return_spread();
        let is_end =
            self.table.note_no_limit(&order.replica, order.born, order.chosen_at, spread, now);
        if is_end {
            self.limits.note_news(&order.replica, now);
        } else if known.limit.is_none() && known.known_for >= CONFIRM_TIME {
            self.limits.confirm_end(&order.replica, now);
        }
        is_end
    }

    /// Takes what another relay tells of limits.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{LimitBeacon, LimitWord};
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.list(example_record("i-1"), Duration::ZERO);
    /// let limit = RateLimit::per_second(2.0);
    /// let word = LimitWord { replica: "i-1".into(), born: None, limit, age: Duration::ZERO };
    /// machine.take_limits(&LimitBeacon { words: vec![word] }, Duration::ZERO);
    /// assert!(!machine.table().get("i-1").unwrap().takes_work(Duration::ZERO));
    /// ```
    pub fn take_limits(&mut self, beacon: &LimitBeacon, now: MonoTime) {
        for word in &beacon.words {
            let spread = self.return_spread();
            let LimitWord { replica, born, limit, age } = word;
            if self.table.note_told_limit(replica, *born, *limit, *age, spread, now) {
                self.share_limit(replica, now);
            }
            let known = self.table.get(replica).and_then(|view| view.standing.limit_word(now));
            if let Some(known) = known.filter(|known| known.limit == *limit) {
                let is_confirmed = *age + CONFIRM_TIME <= known.known_for;
                self.limits.note_heard(replica, is_confirmed, now);
            }
        }
    }

    /// What is to be told of limits with a beacon.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).tell_limits(Duration::ZERO).is_none());
    /// ```
    pub fn tell_limits(&mut self, now: MonoTime) -> Option<LimitBeacon> {
        let due = self.table.all().filter_map(|view| self.due_word(view, now));
        let due: Vec<(DueWord, LimitWord)> = due.take(MOST_WORDS).collect();
        let mut words = Vec::new();
        for (due, word) in due {
            self.limits.note_told(&word.replica, now);
            if due == DueWord::News || self.peers.rank(&word.replica) == 0 {
                words.push(word);
            }
        }
        let table = &self.table;
        self.limits.told.retain(|replica, _| table.get(replica).is_some());
        (!words.is_empty()).then_some(LimitBeacon { words })
    }

    fn due_word(&self, view: &ReplicaView, now: MonoTime) -> Option<(DueWord, LimitWord)> {
        let known = view.standing.limit_word(now)?;
        let is_over = known.limit.is_none() && known.known_for >= END_LIFETIME;
        let replica = &view.record.id;
        let due = self.limits.due(replica, now);
        if is_over || due == DueWord::None {
            return None;
        }
        let (limit, age) = (known.limit, known.age);
        Some((due, LimitWord { replica: replica.clone(), born: view.record.born, limit, age }))
    }

    /// Notes that a replica has named another limit to this relay than was known.
    pub(super) fn note_limit_news(&mut self, replica: &str, now: MonoTime) {
        self.limits.note_news(replica, now);
        self.share_limit(replica, now);
    }

    pub(super) fn share_limits(&mut self, now: MonoTime) {
        let is_limited = |view: &&ReplicaView| {
            view.standing.limit().is_some() || view.standing.cold_rate(now).is_some()
        };
        let limited = self.table.all().filter(is_limited);
        let limited: Vec<ReplicaId> = limited.map(|view| view.record.id.clone()).collect();
        for replica in limited {
            self.share_limit(&replica, now);
        }
    }

    /// Sets this relay's parts of what a replica takes: of the limit that it names, and of what it bears while it is
    /// cold.
    pub(super) fn share_limit(&mut self, replica: &str, now: MonoTime) {
        let Some(view) = self.table.get(replica) else {
            return;
        };
        let (named, cold) = (view.standing.limit(), view.standing.cold_rate(now));
        if let Some(limit) = named {
            let gap = self.gap_of(replica, limit, LimitKind::Named);
            self.table.set_limit_gap(replica, gap, now);
        }
        if let Some(rate) = cold {
            let gap = self.gap_of(replica, rate, LimitKind::Cold);
            self.table.set_cold_gap(replica, gap.filter(|_| now >= PEERS_KNOWN), now);
        }
    }

    /// Time between two requests of this relay to a replica with a limit; `None` when others send them.
    fn gap_of(&self, replica: &str, limit: RateLimit, kind: LimitKind) -> Option<Duration> {
        let relays = self.peers.count();
        let sharers = sharing::sharers(limit, kind, relays, self.rules.policy.sharing);
        // Relays that are not heard may be cut off and go on with their part.
        let heard = FleetSize { heard: relays, most: self.most_peers }.share();
        let gap = limit.gap().mul_f64(sharers as f64 / heard);
        (self.peers.rank(replica) < sharers).then_some(gap)
    }

    /// Takes that a replica is cold, if its entry says so. Relays return to it one after the other.
    pub(super) fn note_cold(&mut self, replica: &str, now: MonoTime) -> bool {
        let Some(record) = self.table.get(replica).map(|view| &view.record) else {
            return false;
        };
        let left = record.cold_left;
        let service = self.sheet.as_ref().and_then(|sheet| sheet.service(&record.service));
        let Some(rate) = service.and_then(|service| service.cold_rate) else {
            return false;
        };
        if left.is_zero() {
            return false;
        }
        let until = now + left + self.return_spread();
        let is_news = self.table.note_cold(replica, rate, until, now);
        if is_news {
            self.share_limit(replica, now);
        }
        is_news
    }

    /// Takes the parts of cold replicas once the other relays are known.
    pub(super) fn share_when_peers_are_known(&mut self, now: MonoTime) {
        if !self.are_peers_known && now >= PEERS_KNOWN {
            self.are_peers_known = true;
            self.share_limits(now);
        }
    }
}
