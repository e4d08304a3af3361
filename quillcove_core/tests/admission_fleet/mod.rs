//! Relays that send prompts to engines whose queues they know late.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::access::grant::AccessGrant;
use quillcove_core::access::key::KeyDigest;
use quillcove_core::access::limit::{UseClaim, UseLimit, UseUnit};
use quillcove_core::access::spending::UsageReport;
use quillcove_core::access::workspace::{AccessTable, WorkspaceRecord};
use quillcove_core::ids::{AdapterKey, MonoTime};
use quillcove_core::relay::admission::reports::ReportOccasion;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport, HeldAdapter, OtherRelays};
use quillcove_core::relay::engine_status::{EngineStatus, PromptReport};
use quillcove_core::relay::loader::RelayPrompts;
use quillcove_core::relay::machine::{
    ReadingStart, RelayChoice, RelayMachine, RelayQuery, RelayRules,
};
use quillcove_core::relay::policy::{ContentionRule, RelayPolicy};
use quillcove_core::relay::replica::{AttemptOutcome, ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::rendezvous;

#[path = "../relay_site/mod.rs"]
#[allow(dead_code)]
mod relay_site;
use relay_site::{address, engine_service, ms, query, stream_route};

const ENGINES: u16 = 8;
const TOKENS: u32 = 2_100;
const PREFILL_TIME: Duration = Duration::from_millis(109);
const BURST_TIME: Duration = Duration::from_secs(6);
/// When the burst begins: after the time in which the accounts of workspaces wait for other relays.
const START: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(5);

/// A load and the rule by which relays answer it.
#[derive(Clone, Copy)]
pub struct Load {
    pub relays: usize,
    pub rule: ContentionRule,
    /// What callers send, as a multiple of what the engines can serve.
    pub demand: f64,
    /// How much of each workspace's usual traffic is sent.
    pub workspaces: &'static [f64],
    /// Requests that a rejected caller sends at once when it returns.
    pub copies_on_return: usize,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            relays: 1,
            rule: ContentionRule::Always,
            demand: 2.0,
            workspaces: &[1.0],
            copies_on_return: 1,
        }
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub timely: usize,
    pub late: usize,
    /// Of the late ones, those that were expected to be in time.
    pub late_with_timely_rank: usize,
    /// Sent, but without a first event when the caller left.
    pub abandoned: usize,
    pub rejected: usize,
    pub returned_and_rejected: usize,
    /// First attempts, and of these the ones that began in time, by workspace.
    pub by_workspace: BTreeMap<String, (usize, usize)>,
}

impl Outcome {
    /// Returns the share of what the engines can serve during the burst that began in time.
    pub fn timely_share(&self) -> f64 {
        let capacity = BURST_TIME.as_secs_f64() / PREFILL_TIME.as_secs_f64() * f64::from(ENGINES);
        self.timely as f64 / capacity
    }
}

/// A request from its arrival at a relay until its first event.
struct Sent {
    relay: usize,
    query: RelayQuery,
    start: ReadingStart,
}

#[derive(Default)]
struct FakeEngine {
    /// Requests by rank and order of arrival.
    queue: BTreeMap<(u8, u64), Sent>,
    current: Option<(Sent, MonoTime)>,
    prompts: RelayPrompts,
    /// Reports on their way to the relays, by time of arrival.
    reports: Vec<(MonoTime, EngineHeartbeat, EngineStatus)>,
}

pub struct Fleet {
    load: Load,
    machines: Vec<RelayMachine>,
    engines: Vec<FakeEngine>,
    /// Callers that return, by time.
    returns: Vec<(MonoTime, RelayQuery)>,
    outcome: Outcome,
    draws: u64,
}

fn key() -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: "a1".to_string() }
}

impl Fleet {
    pub fn new(load: Load) -> Self {
        let policy = RelayPolicy { contention: load.rule, ..RelayPolicy::default() };
        let rules = RelayRules { hall: "hall-a".to_string(), policy, ..RelayRules::default() };
        let machine = |seed: usize| {
            let mut machine = RelayMachine::new(rules.clone(), seed as u64 * 1_000_000);
            let services = vec![engine_service(1_000_000, 3.0)];
            let routes = vec![stream_route()];
            let limits = CallerLimits::default();
            let config = PublishedConfig::new(1, routes, services, limits);
            let names = (0..load.workspaces.len()).map(|index| format!("w{index}"));
            let holders = names.map(|name| (workspace(&name), vec![KeyDigest::of(&name)]));
            let access = AccessTable::new(holders.collect());
            machine.apply_configuration(config.with_access(access));
            for port in 1..=ENGINES {
                let record = example_record(&format!("i-{port}"));
                let record = ReplicaRecord { address: address(port), places: 64, ..record };
                machine.list(record, ms(0));
            }
            let count = load.relays - 1;
            machine.set_others(OtherRelays { count, recent: count, lacking: 0 }, ms(0));
            measure_engines(&mut machine);
            machine
        };
        Self {
            machines: (0..load.relays).map(machine).collect(),
            engines: (0..ENGINES).map(|_| FakeEngine::default()).collect(),
            returns: Vec::new(),
            outcome: Outcome::default(),
            draws: 0,
            load,
        }
    }

    pub fn run(mut self) -> Outcome {
        let interval = PREFILL_TIME.div_f64(f64::from(ENGINES) * self.load.demand);
        let (mut now, mut next_arrival) = (ms(0), START);
        while now < START + BURST_TIME + ms(5_500) {
            if now.as_millis().is_multiple_of(50) {
                self.tick(now);
            }
            while next_arrival <= now && next_arrival < START + BURST_TIME {
                let name = self.draw_workspace();
                self.outcome.by_workspace.entry(name.clone()).or_default().0 += 1;
                self.begin(first_attempt(next_arrival, &name), now);
                next_arrival += interval;
            }
            let (due, later) = self.returns.drain(..).partition(|(at, _)| *at <= now);
            self.returns = later;
            for (_, query) in due {
                for _ in 0..self.load.copies_on_return {
                    self.begin(query.clone(), now);
                }
            }
            for engine in 0..self.engines.len() {
                self.step_engine(engine, now);
            }
            now += STEP;
        }
        self.outcome
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws += 1;
        (rendezvous::weight("fleet", &self.draws.to_string()) % below as u64) as usize
    }

    fn draw_workspace(&mut self) -> String {
        let total: f64 = self.load.workspaces.iter().sum();
        let mut at = self.draw(1_000_000) as f64 / 1e6 * total;
        let is_reached = |(_, weight): &(usize, &f64)| {
            at -= **weight;
            at < 0.0
        };
        let drawn = self.load.workspaces.iter().enumerate().find(is_reached);
        format!("w{}", drawn.map_or(0, |(index, _)| index))
    }

    /// Sends what relays and loaders report; engines' reports are 0.1 s old when they arrive. The next
    /// ones follow after 0.4 s, or after 0.1 s while prompts wait, as loaders send them.
    fn tick(&mut self, now: MonoTime) {
        let occasion = match now.as_millis().is_multiple_of(500) {
            true => ReportOccasion::Heartbeat(now.as_millis() as u64 / 500),
            false => ReportOccasion::Tick,
        };
        for (index, machine) in self.machines.iter_mut().enumerate() {
            machine.tick(now);
            for (engine, pending) in machine.take_prompt_reports(occasion) {
                let (relay, number) = (address(1_000 + index as u16), now.as_millis() as u64);
                let report = PromptReport { relay, number, incarnation: 1, pending };
                self.engines[usize::from(engine.port()) - 1].prompts.record(report, now);
            }
        }
        if matches!(occasion, ReportOccasion::Heartbeat(_)) && self.load.workspaces.len() > 1 {
            self.exchange_usage(now);
        }
        for index in 0..self.engines.len() {
            let interval = if self.engines[index].queue.is_empty() { 400 } else { 100 };
            // The engines do not report at the same time.
            if (now + ms(50) * index as u32).as_millis().is_multiple_of(interval) {
                let delay = ms(100);
                let report = engine_report(index, &self.engines[index], now);
                self.engines[index].reports.push((now + delay, report.0, report.1));
            }
            let reports = std::mem::take(&mut self.engines[index].reports);
            let (due, later) = reports.into_iter().partition(|(at, ..)| *at <= now || now < START);
            self.engines[index].reports = later;
            for (_, heartbeat, status) in due {
                for machine in &mut self.machines {
                    machine.take_report(&heartbeat, now);
                    machine.take_status(status.clone(), now);
                }
            }
        }
    }

    fn exchange_usage(&mut self, now: MonoTime) {
        let relays = self.machines.iter_mut().enumerate();
        let reports: Vec<UsageReport> = relays
            .map(|(index, machine)| {
                let (host, spent) = (format!("r-{index}"), machine.ledger_mut().tell(true, now));
                UsageReport { host, incarnation: 1, uptime: now, spent, levels: Vec::new() }
            })
            .collect();
        for (index, machine) in self.machines.iter_mut().enumerate() {
            let others = reports.iter().enumerate().filter(|(other, _)| *other != index);
            others.for_each(|(_, report)| machine.apply_usage_report(report, now));
        }
    }

    /// Has a random relay decide on a request.
    fn begin(&mut self, query: RelayQuery, now: MonoTime) {
        let relay = self.draw(self.load.relays);
        let machine = &mut self.machines[relay];
        let record = query.grant.as_ref().expect("a grant").workspace.clone();
        let claim = UseClaim { tokens: Some(u64::from(TOKENS)), rank: 0 };
        let charge = machine.ledger_mut().charge(&record, claim, now).expect("within the limit");
        match machine.choose(&query, &[], now) {
            RelayChoice::Send(order) => {
                machine.begin_attempt(&order.replica, None, now);
                let start = machine.begin_prefill(&order.replica, &query, now);
                self.draws += 1;
                let engine = &mut self.engines[usize::from(order.address.port()) - 1];
                engine.queue.insert((start.rank, self.draws), Sent { relay, query, start });
            },
            RelayChoice::Refuse(refusal) => {
                machine.refund(&charge.expect("a charge"));
                self.outcome.rejected += 1;
                self.outcome.returned_and_rejected += usize::from(query.is_retry());
                let back = now + refusal.retry_after.expect("a retry delay");
                let since_first_attempt = back - query.received;
                let retry = RelayQuery { received: back, since_first_attempt, ..query.clone() };
                if !query.is_retry() {
                    self.returns.push((back, retry));
                }
            },
            RelayChoice::Wait(_) => panic!("an engine holds the adapter"),
        }
    }

    fn step_engine(&mut self, index: usize, now: MonoTime) {
        let engine = &mut self.engines[index];
        let mut ended = Vec::new();
        let is_abandoned = |sent: &Sent| now >= sent.query.deadline;
        let abandoned: Vec<(u8, u64)> = engine
            .queue
            .iter()
            .filter(|(_, sent)| is_abandoned(sent))
            .map(|(place, _)| *place)
            .collect();
        ended.extend(abandoned.iter().filter_map(|at| Some((engine.queue.remove(at)?, None))));
        // A prefill that ends within a step is followed by the next one from its end on, not from the step's.
        let mut free_at = now;
        while let Some((sent, end)) = engine.current.take_if(|(_, end)| *end <= now) {
            free_at = end;
            ended.push((sent, Some(end)));
            engine.current = pop_first(engine, free_at);
        }
        if engine.current.is_none() {
            engine.current = pop_first(engine, free_at.max(now));
        }
        for (sent, first_event_at) in ended {
            let machine = &mut self.machines[sent.relay];
            let replica = format!("i-{}", index + 1);
            machine.end_prefill(&replica, sent.start.number.expect("a prompt"), first_event_at);
            let outcome = match first_event_at {
                Some(_) => AttemptOutcome::Answered,
                None => AttemptOutcome::Abandoned,
            };
            machine.end_attempt(&replica, None, outcome, now);
            match first_event_at {
                Some(at) if at <= sent.query.due() => {
                    self.outcome.timely += 1;
                    let workspace = sent.query.grant.expect("a grant").workspace.name.clone();
                    self.outcome.by_workspace.entry(workspace).or_default().1 += 1;
                },
                Some(_) => {
                    self.outcome.late += 1;
                    self.outcome.late_with_timely_rank += usize::from(sent.start.rank < 5);
                },
                None => self.outcome.abandoned += 1,
            }
        }
    }
}

fn pop_first(engine: &mut FakeEngine, now: MonoTime) -> Option<(Sent, MonoTime)> {
    let (_, sent) = engine.queue.pop_first()?;
    Some((sent, now + PREFILL_TIME))
}

/// Has a relay measure the engines' speed, which is not what these tests are about.
fn measure_engines(machine: &mut RelayMachine) {
    for sample in 0..usize::from(ENGINES) * 20 {
        let replica = format!("i-{}", sample % usize::from(ENGINES) + 1);
        let start = machine.begin_prefill(&replica, &first_attempt(ms(0), "w0"), ms(0));
        machine.end_prefill(&replica, start.number.expect("a prompt"), Some(PREFILL_TIME));
    }
}

fn workspace(name: &str) -> WorkspaceRecord {
    let unit = UseUnit::Tokens { plain: 1 };
    let limit = Some(UseLimit { unit, rate: 400_000.0, burst: 400_000.0 });
    WorkspaceRecord { name: name.to_string(), priority: None, limit }
}

fn first_attempt(received: MonoTime, name: &str) -> RelayQuery {
    let mut route = stream_route();
    (route.aim, route.timeout, route.priority) = (ms(1_000), ms(5_000), 0);
    let workspace = workspace(name);
    let key_digest = KeyDigest::of(&workspace.name);
    let grant = AccessGrant { workspace: Arc::new(workspace), key: key_digest, charge: None };
    let query = query(route, Some(key()), received);
    RelayQuery { prompt_tokens: Some(TOKENS), grant: Some(grant), ..query }
}

fn engine_report(
    index: usize,
    engine: &FakeEngine,
    now: MonoTime,
) -> (EngineHeartbeat, EngineStatus) {
    let at = address(index as u16 + 1);
    let report = EngineReport {
        models: vec!["m".to_string()],
        adapters: vec![HeldAdapter { key: key(), version: 1 }],
        waiting: engine.queue.len() as u32,
        ..EngineReport::default()
    };
    let heartbeat = EngineHeartbeat {
        host: format!("h-{index}"),
        engine: at,
        number: now.as_millis() as u64 + 1,
        incarnation: 1,
        content: 1,
        report,
        uses: vec![0],
        model_loads: Vec::new(),
        arrivals: Vec::new(),
        spare_places: Some(0),
        relays: Vec::new(),
    };
    let number = now.as_millis() as u64 + 1;
    let pending = engine.prompts.total(now);
    (heartbeat, EngineStatus { number, pending, ..EngineStatus::unknown(at) })
}
