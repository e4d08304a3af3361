//! A relay beside a store whose list of replicas changes, goes away and comes back.
//!
//! The relay's machine runs unchanged. Around it stand two replicas that live, drain and leave, a
//! store that drops all entries while it is away, and news that the relay gets one after the other.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use quillcove_core::relay::replica::{ReplicaRecord, ReplicaState, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig, ServiceRecord};
use quillcove_core::route::{RouteKind, RouteRecord, example_route};

use super::search::World;

const REPLICAS: usize = 2;

/// Time that a step of the clock takes.
const TICK: Duration = Duration::from_millis(800);

/// Steps of the clock after the store's return within which living replicas are listed again. Two
/// seconds are promised; an entry that is missing after that is of a replica that is gone.
const RETURN_TICKS: u32 = 2;

/// Steps of the clock after the store's return from which a missing entry means gone.
const GONE_TICKS: u32 = 3;

/// Rules that a wrong relay would follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRule {
    Right,
    /// An entry that lapses while the store is away counts as gone at once.
    LapseIsGone,
    /// An entry that lapsed while the store was away is kept whatever comes after.
    LapseIsKept,
    /// News that a replica drains is passed over.
    DrainIsUnheard,
    /// Entries of replicas that are gone are passed over.
    GoneIsUnheard,
}

/// What may happen, and how often.
#[derive(Clone, Copy, Debug)]
pub struct ListBounds {
    pub drains: u32,
    pub leaves: u32,
    pub outages: u32,
    pub ticks: u32,
}

/// The truth about one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Truth {
    Lives,
    Drains,
    Left,
}

/// News on their way from the store to the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum News {
    Listed(usize, ReplicaState),
    Removed(usize),
}

#[derive(Clone, Debug)]
pub struct ListWorld {
    rule: ListRule,
    left: ListBounds,
    machine: RelayMachine,
    now: Duration,
    truth: [Truth; REPLICAS],
    /// Whether the store has an entry of each replica.
    entries: [bool; REPLICAS],
    /// What the relay was told of each replica last: listed as ready.
    told_ready: [bool; REPLICAS],
    /// Whether the relay was told that the replica's entry is gone while the store was well.
    told_gone: [bool; REPLICAS],
    news: VecDeque<News>,
    is_store_up: bool,
    /// Steps of the clock since the store returned.
    since_return: Option<u32>,
    fault: Option<String>,
}

fn id(number: usize) -> String {
    format!("i-{number}")
}

fn record(number: usize, state: ReplicaState) -> ReplicaRecord {
    let address = ([127, 0, 0, 1], 1 + number as u16).into();
    ReplicaRecord { address, state, models: Vec::new(), ..example_record(&id(number)) }
}

fn route() -> RouteRecord {
    RouteRecord {
        host: "a".to_string(),
        timeout: Duration::from_secs(60),
        aim: Duration::from_secs(1),
        ..example_route(RouteKind::Unsafe)
    }
}

impl ListWorld {
    pub fn new(rule: ListRule, left: ListBounds) -> Self {
        let mut machine = RelayMachine::new(RelayRules::default(), 1);
        let service = ServiceRecord {
            name: "s".to_string(),
            connection_limit: 100,
            cold_rate: None,
            engine: None,
        };
        let limits = CallerLimits::default();
        machine.apply_configuration(PublishedConfig::new(1, vec![route()], vec![service], limits));
        for number in 0..REPLICAS {
            machine.list(record(number, ReplicaState::Ready), Duration::ZERO);
        }
        Self {
            rule,
            left,
            machine,
            now: Duration::ZERO,
            truth: [Truth::Lives; REPLICAS],
            entries: [true; REPLICAS],
            told_ready: [true; REPLICAS],
            told_gone: [false; REPLICAS],
            news: VecDeque::new(),
            is_store_up: true,
            since_return: None,
            fault: None,
        }
    }

    /// News leave the store only while it is up.
    fn write(&mut self, number: usize, state: Option<ReplicaState>) {
        self.entries[number] = state.is_some();
        self.news.push_back(match state {
            Some(state) => News::Listed(number, state),
            None => News::Removed(number),
        });
    }

    fn drain(&self, number: usize) -> Self {
        let mut next = self.clone();
        next.left.drains -= 1;
        next.truth[number] = Truth::Drains;
        if next.is_store_up {
            next.write(number, Some(ReplicaState::Draining));
        }
        next
    }

    fn leave(&self, number: usize) -> Self {
        let mut next = self.clone();
        next.left.leaves -= 1;
        next.truth[number] = Truth::Left;
        if next.is_store_up && next.entries[number] {
            next.write(number, None);
        }
        next
    }

    /// The store goes away; all entries run out meanwhile.
    fn lose_store(&self) -> Self {
        let mut next = self.clone();
        next.left.outages -= 1;
        next.is_store_up = false;
        next.since_return = None;
        for number in 0..REPLICAS {
            if next.entries[number] {
                next.write(number, None);
            }
        }
        if next.rule != ListRule::LapseIsGone {
            next.machine.set_store_reachable(false, next.now);
        }
        next
    }

    fn return_store(&self) -> Self {
        let mut next = self.clone();
        next.is_store_up = true;
        next.since_return = Some(0);
        if next.rule != ListRule::LapseIsKept {
            next.machine.set_store_reachable(true, next.now);
        }
        next
    }

    /// A replica that lives writes its entry again.
    fn renew(&self, number: usize) -> Self {
        let mut next = self.clone();
        let state = match next.truth[number] {
            Truth::Lives => ReplicaState::Ready,
            Truth::Drains | Truth::Left => ReplicaState::Draining,
        };
        next.write(number, Some(state));
        next
    }

    fn deliver(&self) -> Self {
        let mut next = self.clone();
        let Some(news) = next.news.pop_front() else {
            return next;
        };
        match news {
            News::Listed(number, state) => {
                next.told_ready[number] = state == ReplicaState::Ready;
                next.told_gone[number] = false;
                let is_unheard =
                    state == ReplicaState::Draining && next.rule == ListRule::DrainIsUnheard;
                if !is_unheard {
                    next.machine.list(record(number, state), next.now);
                }
            },
            News::Removed(number) => {
                // Only while the store was away does a removal leave room for a return.
                next.told_gone[number] = next.is_store_up && next.since_return.is_none();
                if next.rule != ListRule::GoneIsUnheard {
                    next.machine.unlist(&id(number), next.now);
                }
            },
        }
        next.check();
        next
    }

    fn tick(&self) -> Self {
        let mut next = self.clone();
        next.left.ticks -= 1;
        next.now += TICK;
        next.since_return = next.since_return.map(|ticks| ticks + 1);
        next.machine.tick(next.now);
        next.check();
        next
    }

    /// Tells whether an entry that is missing means by now that its replica is gone.
    fn is_surely_gone(&self, number: usize) -> bool {
        let is_late = self.since_return.is_some_and(|ticks| ticks >= GONE_TICKS);
        self.told_gone[number] || (is_late && self.news.is_empty() && !self.entries[number])
    }

    /// Looks where a request would go now.
    fn check(&mut self) {
        let query = RelayQuery {
            route: Arc::new(route()),
            service: "s".to_string(),
            model: None,
            adapter: None,
            received: self.now,
            deadline: self.now + Duration::from_secs(60),
            prompt_tokens: None,
            since_first_attempt: Duration::ZERO,
            choice_count: 0,
            grant: None,
            identity: None,
            parts: Vec::new(),
            origin: None,
        };
        let mut machine = self.machine.clone();
        let mut tried = Vec::new();
        while let RelayChoice::Send(order) = machine.choose(&query, &tried, self.now) {
            let number = order.replica[2..].parse().unwrap_or(0);
            if self.is_surely_gone(number) {
                self.fault = Some(format!("{} is gone and gets a request", order.replica));
            } else if !self.told_ready[number] {
                self.fault = Some(format!("{} leaves and gets a request", order.replica));
            }
            tried.push(order.replica);
        }
        let is_lost = |number: usize| {
            let may_return =
                !self.is_store_up || self.since_return.is_some_and(|ticks| ticks < RETURN_TICKS);
            let was_well = self.truth[number] == Truth::Lives && self.told_ready[number];
            was_well && may_return && !tried.contains(&id(number))
        };
        if let Some(number) = (0..REPLICAS).find(|number| is_lost(*number)) {
            self.fault = Some(format!("i-{number} lives and gets no requests"));
        }
    }
}

impl World for ListWorld {
    fn steps(&self) -> Vec<(String, Self)> {
        let mut steps = Vec::new();
        for number in 0..REPLICAS {
            if self.truth[number] == Truth::Lives && self.left.drains > 0 {
                steps.push((format!("i-{number} drains"), self.drain(number)));
            }
            if self.truth[number] != Truth::Left && self.left.leaves > 0 {
                steps.push((format!("i-{number} leaves"), self.leave(number)));
            }
            let may_renew = self.is_store_up && self.truth[number] != Truth::Left;
            if may_renew && !self.entries[number] {
                steps.push((format!("i-{number} is listed again"), self.renew(number)));
            }
        }
        if self.is_store_up && self.left.outages > 0 {
            steps.push(("the store goes away".to_string(), self.lose_store()));
        }
        if !self.is_store_up {
            steps.push(("the store returns".to_string(), self.return_store()));
        }
        if !self.news.is_empty() && self.is_store_up {
            steps.push((format!("news: {:?}", self.news[0]), self.deliver()));
        }
        // Living replicas are listed again in time, and their news are read, before it goes on.
        let is_due = |number: usize| {
            self.truth[number] != Truth::Left && !self.entries[number] && self.is_store_up
        };
        let must_renew = self.since_return.is_some_and(|ticks| ticks + 1 >= RETURN_TICKS)
            && ((0..REPLICAS).any(is_due) || !self.news.is_empty());
        if self.left.ticks > 0 && !must_renew {
            steps.push(("time passes".to_string(), self.tick()));
        }
        steps
    }

    fn fault(&self) -> Option<String> {
        self.fault.clone()
    }
}
