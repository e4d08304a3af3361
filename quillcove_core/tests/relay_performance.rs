//! Load: engines that differ in speed by 2.4 and become slower by 3.5 for seconds, with prompts of 1,800 tokens in
//! chunks of 2,048 between the decode steps of running streams. Guards against requests that are sent where their
//! first event or a pause will be late although another holder would serve them on time.

#[allow(dead_code)]
mod relay_site;

use std::time::Duration;

use quillcove_core::relay::beacon::{EngineReport, EngineRun};
use quillcove_core::relay::engine_status::{
    EnginePerformance, EngineStatus, PendingPrompts, PromptReport,
};
use quillcove_core::relay::loader::{LoaderMachine, PerformanceMeter};
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use quillcove_core::relay::policy::{ContentionRule, RelayPolicy};
use quillcove_core::relay::reading::{PrefillAverages, PrefillPrompt, PrefillQueue};
use quillcove_core::relay::replica::{ReplicaRecord, ReplicaTable, ReplicaView, example_record};
use quillcove_core::relay::routing::{RoutingCost, StreamTargets, choose};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::route::{RouteKind, RouteRecord};
use relay_site::{address, engine_service, ms};

/// Tokens of a prompt chunk, and of the prompts.
const CHUNK: u64 = 2_048;
const PROMPT: u64 = 1_800;
/// Decode steps of an event.
const EVENT_STEPS: u64 = 3;

struct FakeRun {
    run: EngineRun,
    unread: u64,
    steps: u64,
    last_event: Option<Duration>,
}

/// An engine at speed 1.0 takes 20 ms for a decode step and 1 ms for 19.2 prompt tokens.
#[derive(Default)]
struct FakeEngine {
    speed: f64,
    clock: Duration,
    runs: Vec<FakeRun>,
    prompts: u64,
    /// Time and length of each pause.
    pauses: Vec<(Duration, Duration)>,
}

impl FakeEngine {
    fn new(speed: f64) -> Self {
        Self { speed, ..Self::default() }
    }

    fn add(&mut self, tokens: u64) {
        self.prompts += 1;
        let run = EngineRun { id: self.prompts.to_string(), tokens, events: 0 };
        self.runs.push(FakeRun { run, unread: tokens, steps: 0, last_event: None });
    }

    fn unfinished(&self) -> usize {
        self.runs.iter().filter(|run| run.run.events == 0).count()
    }

    /// Makes all steps that end until then.
    fn advance(&mut self, until: Duration) {
        loop {
            let chunk = self.runs.iter().map(|run| run.unread).sum::<u64>().min(CHUNK);
            let millis = (20.0 + chunk as f64 / 19.2) / self.speed;
            let end = self.clock + Duration::from_secs_f64(millis / 1_000.0);
            if end > until {
                return;
            }
            self.clock = end;
            let mut left = chunk;
            for run in &mut self.runs {
                if run.unread > 0 {
                    let read = run.unread.min(left);
                    (run.unread, left) = (run.unread - read, left - read);
                    continue;
                }
                run.steps += 1;
                if run.steps.is_multiple_of(EVENT_STEPS) {
                    run.run.events += 1;
                    let last = run.last_event.replace(end);
                    self.pauses.extend(last.map(|last| (end, end - last)));
                }
            }
        }
    }

    fn report(&self) -> EngineReport {
        let runs = self.runs.iter().map(|run| run.run.clone()).collect();
        EngineReport { runs, ..EngineReport::default() }
    }

    /// Runs from one time to another; with `backlog`, so many prompts are unfinished after each report.
    fn measure(&mut self, meter: &mut PerformanceMeter, span: [u64; 2], backlog: usize) {
        let mut at = ms(span[0]);
        for step in 0.. {
            at += ms([100, 150, 200, 120][step % 4]);
            if at > ms(span[1]) {
                return;
            }
            self.advance(at);
            meter.record(&self.report(), at);
            while self.unfinished() < backlog {
                self.add(PROMPT);
            }
        }
    }
}

fn assert_near(measured: f64, real: f64, share: f64) {
    assert!((measured - real).abs() <= real * share, "measured {measured}, real {real}");
}

/// Measures ten streams alone until 2 s and then with a backlog until 4 s.
fn loaded_engine(speed: f64, backlog: usize) -> (FakeEngine, PerformanceMeter) {
    let (mut engine, mut meter) = (FakeEngine::new(speed), PerformanceMeter::default());
    // The streams begin in different steps.
    for step in 0..10 {
        engine.add(20);
        engine.advance(ms(step * 35));
    }
    engine.measure(&mut meter, [400, 2_000], 0);
    engine.measure(&mut meter, [2_000, 4_000], backlog);
    (engine, meter)
}

#[test]
fn the_speed_of_an_engine_is_known_within_two_seconds_of_load() {
    for (speed, backlog) in
        [0.7, 1.0, 1.7].into_iter().flat_map(|speed| [(speed, 1), (speed, 4), (speed, 10)])
    {
        let (_, meter) = loaded_engine(speed, backlog);
        let performance = meter.performance(ms(4_000)).expect("prompts were measured");
        // Speeds that differ by 2.4 are told apart with errors below the root of it, 1.55.
        assert_near(f64::from(performance.prefill_rate), 19_200.0 * speed, 0.35);
        assert_near(performance.event_interval.as_secs_f64(), 0.060 / speed, 0.15);
    }
}

#[test]
fn an_engine_is_measured_only_once_its_decode_steps_are_known() {
    for (speed, backlog) in [(0.7, 1), (0.7, 10), (1.7, 1), (1.7, 10)] {
        let (mut engine, mut meter) = (FakeEngine::new(speed), PerformanceMeter::default());
        (0..10).for_each(|_| engine.add(20));
        (0..backlog).for_each(|_| engine.add(PROMPT));
        // Without a span free of prefill, the time of decode steps cannot be told from that of prefill.
        engine.measure(&mut meter, [0, 4_000], backlog);
        assert_eq!(meter.performance(ms(4_000)), None);
        engine.measure(&mut meter, [4_000, 8_000], 0);
        engine.measure(&mut meter, [8_000, 10_000], backlog);
        let performance = meter.performance(ms(10_000)).expect("prompts were measured");
        assert_near(f64::from(performance.prefill_rate), 19_200.0 * speed, 0.35);
        assert_near(performance.event_interval.as_secs_f64(), 0.060 / speed, 0.15);
    }
}

#[test]
fn the_first_prompts_of_a_backlog_do_not_make_an_engine_seem_slow() {
    // Their events follow their prefill by three steps, in which the engine processes the next prompts.
    for speed in [0.7, 1.0, 1.7] {
        let (mut engine, mut meter) = loaded_engine(speed, 0);
        engine.measure(&mut meter, [4_000, 5_500], 10);
        let performance = meter.performance(ms(5_500)).expect("prompts were measured");
        assert_near(f64::from(performance.prefill_rate), 19_200.0 * speed, 0.35);
    }
}

#[test]
fn the_longest_pause_under_backlog_is_measured() {
    for speed in [0.7, 1.0, 1.7] {
        let (engine, meter) = loaded_engine(speed, 10);
        let measured = meter.performance(ms(4_000)).expect("it was measured").longest_pause;
        let recent = engine.pauses.iter().filter(|(at, _)| *at >= ms(3_000));
        let longest = recent.map(|(_, pause)| *pause).max().expect("streams are running");
        assert_near(measured.as_secs_f64(), longest.as_secs_f64(), 0.2);
    }
}

#[test]
fn a_slowdown_is_measured_within_two_seconds() {
    let (mut engine, mut meter) = loaded_engine(1.0, 5);
    let before = meter.performance(ms(4_000)).expect("it was measured").prefill_rate;
    engine.speed = 1.0 / 3.5;
    engine.measure(&mut meter, [4_000, 6_000], 5);
    let after = meter.performance(ms(6_000)).expect("it is measured").prefill_rate;
    assert!(after < before / 2.0, "{after} after {before}");
}

#[test]
fn a_pause_of_the_loader_is_no_pause_of_the_engine() {
    let (mut engine, mut meter) = loaded_engine(1.0, 5);
    let before = meter.performance(ms(4_000)).expect("it was measured");
    engine.advance(ms(7_000));
    meter.record(&engine.report(), ms(7_000));
    let after = meter.performance(ms(7_000)).expect("the value is kept");
    assert_eq!(after.prefill_rate, before.prefill_rate);
    assert!(after.age >= ms(2_900), "relays no longer use it: {after:?}");
    assert_eq!(after.longest_pause, Duration::ZERO);
}

#[test]
fn requests_that_wait_for_a_request_slot_do_not_lower_the_rate() {
    let (mut engine, mut meter) = loaded_engine(1.0, 5);
    let before = meter.performance(ms(4_000)).expect("it was measured");
    // All prompts in the batch are read; one request a second gets a slot, and the others wait.
    for step in 1..40 {
        let at = ms(4_000 + step * 100);
        engine.advance(at);
        let is_read = engine.unfinished() == 0;
        meter.record(&EngineReport { waiting: 9, ..engine.report() }, at);
        if step % 10 == 0 && is_read {
            engine.add(PROMPT);
        }
    }
    let after = meter.performance(ms(8_000)).expect("the value is kept");
    assert!(after.prefill_rate > before.prefill_rate * 0.7, "{after:?} after {before:?}");
}

#[test]
fn the_measurement_of_an_engine_ends_with_its_process() {
    let mut machine = LoaderMachine::new("e1".into(), 1);
    let mut uncontended = LoaderMachine::new("e1".into(), 1);
    let mut engine = FakeEngine::new(1.0);
    let relay = address(9);
    let pending = PendingPrompts::default();
    (0..10).for_each(|_| engine.add(20));
    for step in 1..30 {
        let at = ms(step * 100);
        machine.record_prompts(PromptReport { relay, number: step, incarnation: 1, pending }, at);
        engine.advance(at);
        let report = EngineReport { born: Some(1), ..engine.report() };
        machine.record_report(report.clone(), at);
        uncontended.record_report(report, at);
        // Streams run alone at first, which shows the event interval.
        while step > 10 && engine.unfinished() < 5 {
            engine.add(PROMPT);
        }
    }
    assert!(machine.status(address(1), ms(2_900)).performance.is_some());
    assert_eq!(uncontended.status(address(1), ms(2_900)).performance, None);
    for machine in [&machine, &uncontended] {
        assert!(machine.report().runs.is_empty(), "clones and dumps would carry them");
    }
    machine.record_report(EngineReport { born: Some(2), ..EngineReport::default() }, ms(3_000));
    assert_eq!(machine.status(address(1), ms(3_000)).performance, None);
}

fn performance(prefill_rate: f32, event_interval: u64) -> EnginePerformance {
    let event_interval = ms(event_interval);
    EnginePerformance { prefill_rate, event_interval, longest_pause: ms(0), age: ms(0) }
}

fn status(port: u16, number: u64, performance: Option<EnginePerformance>) -> EngineStatus {
    EngineStatus { number, performance, ..EngineStatus::unknown(address(port)) }
}

fn prompt(tokens: u32) -> PrefillPrompt {
    PrefillPrompt { tokens, rank: 0 }
}

/// A table of engines at ports from 1 on, each with 200 statuses of its rate in tokens per second until `at`.
fn table_of(rates: &[f32], at: Duration) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for port in 1..=rates.len() as u16 {
        let record =
            ReplicaRecord { address: address(port), ..example_record(&format!("i-{port}")) };
        table.list(record, ms(0));
    }
    for number in 1..=200 {
        for (port, rate) in (1..).zip(rates) {
            let interval = 1_200_000.0 / rate;
            table
                .record_status(status(port, number, Some(performance(*rate, interval as u64))), at);
        }
    }
    table
}

/// Time to first event in milliseconds of a prompt at an engine.
fn first_event_ms(table: &ReplicaTable, id: &str, tokens: u32, now: Duration) -> u128 {
    let averages = table.norm("s").with_measurements(now);
    table.get(id).unwrap().reading.time_to_first_event(prompt(tokens), &averages).as_millis()
}

#[test]
fn a_measurement_replaces_own_samples_for_two_seconds() {
    let table = table_of(&[10_000.0, 20_000.0, 25_000.0], ms(1_000));
    assert_eq!(first_event_ms(&table, "i-1", 2_000, ms(1_000)), 359);
    assert_eq!(first_event_ms(&table, "i-1", 2_000, ms(2_999)), 359);
    let own =
        PrefillQueue::default().time_to_first_event(prompt(2_000), &PrefillAverages::default());
    assert_eq!(first_event_ms(&table, "i-1", 2_000, ms(3_000)), own.as_millis());
}

#[test]
fn an_old_measurement_in_a_new_status_is_not_used() {
    let mut table = table_of(&[20_000.0, 20_000.0], ms(1_000));
    let old = EnginePerformance { age: ms(1_900), ..performance(6_000.0, 60) };
    table.record_status(status(1, 201, Some(old)), ms(1_000));
    assert_eq!(first_event_ms(&table, "i-1", 1_800, ms(1_099)), 377);
    assert!(first_event_ms(&table, "i-1", 1_800, ms(1_100)) < 200, "that of the service");
}

#[test]
fn a_late_or_invalid_status_changes_nothing_lasting() {
    let mut table = table_of(&[20_000.0, 20_000.0], ms(0));
    let before = first_event_ms(&table, "i-1", 1_800, ms(0));
    table.record_status(status(1, 5, Some(performance(5_000.0, 60))), ms(0));
    assert_eq!(
        first_event_ms(&table, "i-1", 1_800, ms(0)),
        before,
        "it was sent before the known one"
    );
    let odd = EnginePerformance { age: Duration::MAX, ..performance(20_000.0, 60) };
    let longest = EnginePerformance { longest_pause: Duration::MAX, ..performance(20_000.0, 60) };
    let invalid =
        [performance(0.0, 60), performance(f32::NAN, 60), performance(-1.0, 60), odd, longest];
    for (number, performance) in (201..).zip(invalid) {
        table.record_status(status(1, number, Some(performance)), ms(0));
        let averages = table.norm("s").with_measurements(ms(0));
        let pause = table.get("i-1").unwrap().reading.longest_pause(prompt(1_800), &averages);
        assert!(pause.expect("the service is measured") < ms(2_000));
        assert_eq!(first_event_ms(&table, "i-2", 1_800, ms(0)), before);
    }
}

#[test]
fn a_wrong_value_is_limited_and_corrected_by_responses() {
    let mut table = table_of(&[20_000.0, 20_000.0, 20_000.0], ms(0));
    table.record_status(status(1, 201, Some(performance(200.0, 60))), ms(0));
    let limited = first_event_ms(&table, "i-1", 1_800, ms(0));
    assert!((300..=450).contains(&limited), "4 times 90 ms and an interval, not 9 s: {limited} ms");
    // The responses of this relay show that the engine is like the others.
    for number in 0..40 {
        table.begin_reading("i-1", number, prompt(1_800), ms(0));
        table.end_reading("i-1", number, Some(ms(150)));
    }
    let corrected = first_event_ms(&table, "i-1", 1_800, ms(0));
    assert!(corrected < limited * 3 / 4, "{corrected} ms after {limited} ms");
}

#[test]
fn responses_that_others_overtook_correct_nothing() {
    let mut table = table_of(&[20_000.0, 20_000.0], ms(0));
    let before = first_event_ms(&table, "i-1", 1_800, ms(0));
    for number in 0..40 {
        table.begin_reading("i-1", number, PrefillPrompt { tokens: 1_800, rank: 5 }, ms(0));
        table.end_reading("i-1", number, Some(ms(4_000)));
    }
    assert_eq!(first_event_ms(&table, "i-1", 1_800, ms(0)), before);
}

#[test]
fn responses_to_queued_prompts_correct_nothing() {
    // The queue before them may change its order or shrink, which is no difference in speed.
    let mut table = table_of(&[20_000.0, 20_000.0], ms(0));
    let before = first_event_ms(&table, "i-2", 1_800, ms(0));
    table.begin_reading("i-1", 0, prompt(18_000), ms(0));
    for number in 1..40 {
        table.begin_reading("i-1", number, prompt(1_800), ms(0));
        table.end_reading("i-1", number, Some(ms(150)));
    }
    table.end_reading("i-1", 0, None);
    for id in ["i-1", "i-2"] {
        assert_eq!(first_event_ms(&table, id, 1_800, ms(0)), before, "{id}");
    }
}

#[test]
fn the_correction_by_responses_ends_with_the_measurement() {
    let mut table = table_of(&[20_000.0, 20_000.0], ms(0));
    for number in 0..40 {
        table.begin_reading("i-1", number, prompt(1_800), ms(0));
        table.end_reading("i-1", number, Some(ms(400)));
    }
    table.record_status(status(1, 201, None), ms(0));
    table.record_status(status(1, 202, Some(performance(20_000.0, 60))), ms(0));
    let times = ["i-1", "i-2"].map(|id| first_event_ms(&table, id, 1_800, ms(0)));
    assert_eq!(times[0], times[1], "the engine may have restarted");
}

#[test]
fn the_event_interval_counts_once_where_own_samples_meet_the_value_of_the_service() {
    let mut table = table_of(&[20_000.0, 20_000.0], ms(0));
    table.record_status(status(1, 201, None), ms(0));
    let expected = first_event_ms(&table, "i-1", 1_800, ms(0));
    for number in 0..60 {
        table.begin_reading("i-1", number, prompt(1_800), ms(0));
        table.end_reading("i-1", number, Some(ms(expected as u64)));
    }
    assert_near(first_event_ms(&table, "i-1", 1_800, ms(0)) as f64, expected as f64, 0.02);
}

#[test]
fn the_longest_pause_grows_with_the_pending_prompts_of_slow_engines() {
    let mut table = table_of(&[13_400.0, 13_400.0, 32_600.0], ms(0));
    let pause = |table: &ReplicaTable, id: &str| {
        let averages = table.norm("s").with_measurements(ms(0));
        table.get(id).unwrap().reading.longest_pause(prompt(1_800), &averages).unwrap()
    };
    assert!(pause(&table, "i-1") < ms(250), "{:?}", pause(&table, "i-1"));
    for id in ["i-1", "i-3"] {
        (0..4).for_each(|number| table.begin_reading(id, number, prompt(1_800), ms(0)));
    }
    assert!(pause(&table, "i-1") > ms(400), "{:?}", pause(&table, "i-1"));
    assert!(pause(&table, "i-3") < ms(250), "{:?}", pause(&table, "i-3"));
}

#[test]
fn pauses_at_light_load_do_not_lower_the_pause_expected_under_backlog() {
    // With one prompt pending, a pause contains that prompt only, not all that fits between two events.
    let mut table = table_of(&[10_000.0, 10_000.0], ms(0));
    let pending = PendingPrompts { timely_tokens: 1_800, deferred_tokens: 0 };
    for number in 201..300 {
        let measured = EnginePerformance { longest_pause: ms(300), ..performance(10_000.0, 120) };
        let status = EngineStatus { pending, ..status(2, number, Some(measured)) };
        table.record_status(status, ms(0));
    }
    (0..9).for_each(|number| table.begin_reading("i-1", number, prompt(1_000), ms(0)));
    let averages = table.norm("s").with_measurements(ms(0));
    let pause = table.get("i-1").unwrap().reading.longest_pause(prompt(1_000), &averages).unwrap();
    assert_near(pause.as_secs_f64(), 0.12 + 0.6144, 0.02);
}

#[test]
fn a_recent_pause_counts_at_an_engine_whose_last_prefill_is_old() {
    let mut table = table_of(&[20_000.0, 20_000.0], ms(0));
    let idle =
        EnginePerformance { age: ms(5_000), longest_pause: ms(500), ..performance(20_000.0, 60) };
    table.record_status(status(1, 201, Some(idle)), ms(0));
    table.record_status(status(2, 201, Some(performance(20_000.0, 60))), ms(2_000));
    let pause = |now| {
        let averages = table.norm("s").with_measurements(now);
        let pause = table.get("i-1").unwrap().reading.longest_pause(prompt(100), &averages);
        pause.expect("the service is measured")
    };
    assert_eq!(pause(ms(1_999)), ms(500));
    assert!(pause(ms(2_000)) < ms(100), "two seconds after the status arrived");
}

#[test]
fn the_pause_expected_includes_prompts_of_other_relays() {
    let expected_pause = |pending| {
        let mut machine = machine(ContentionRule::Always);
        let status = EngineStatus { pending, ..status(1, 1, Some(performance(20_000.0, 60))) };
        machine.take_status(status, ms(0));
        machine.begin_prefill("i-1", &query(1_000), ms(0)).expected_pause.expect("it is measured")
    };
    let alone = expected_pause(PendingPrompts::default());
    let shared = expected_pause(PendingPrompts { timely_tokens: 1_000, deferred_tokens: 2_000 });
    // The service's value has moved a little from its initial one, which limits the engine's.
    assert!(shared > alone.mul_f64(1.7), "{shared:?} after {alone:?}");
}

/// The engine that is chosen for a prompt of 1,800 tokens.
fn chosen(table: &ReplicaTable, targets: Option<StreamTargets>) -> String {
    let norm = match targets {
        Some(_) => table.norm("s").with_measurements(ms(0)),
        None => table.norm("s"),
    };
    let views: Vec<&ReplicaView> = table.all().collect();
    let cost = RoutingCost { prompt: Some(prompt(1_800)), norm: &norm, hall: "hall-a", targets };
    choose(&views, &cost, ms(0), 7).expect("there are engines").record.id.clone()
}

#[test]
fn a_stream_goes_where_neither_its_start_nor_a_pause_is_late() {
    let mut table = table_of(&[13_400.0, 13_400.0, 32_600.0], ms(0));
    table.record_status(status(2, 201, None), ms(0));
    // The first event would be soonest at the slow engine, where a pause would be late.
    (0..2).for_each(|number| table.begin_reading("i-1", number, prompt(1_800), ms(0)));
    (0..3).for_each(|number| table.begin_reading("i-2", number, prompt(1_800), ms(0)));
    (0..8).for_each(|number| table.begin_reading("i-3", number, prompt(1_800), ms(0)));
    let times = ["i-1", "i-3"].map(|id| first_event_ms(&table, id, 1_800, ms(0)));
    assert!(times[0] < times[1], "{times:?}");
    let targets = |first, pause| Some(StreamTargets { first_event_in: ms(first), pause });
    assert_eq!(chosen(&table, targets(1_000, Some(ms(400)))), "i-3");
    assert_eq!(chosen(&table, targets(1_000, None)), "i-1", "without a limit the sooner one");
    assert_eq!(chosen(&table, targets(0, None)), "i-1", "both are late: the sooner one");
}

fn machine(contention: ContentionRule) -> RelayMachine {
    let policy = RelayPolicy { contention, ..RelayPolicy::default() };
    let rules = RelayRules { hall: "hall-a".into(), policy, ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(100, 3.0)];
    let routes = vec![relay_site::stream_route()];
    machine.apply_configuration(PublishedConfig::new(1, routes, services, CallerLimits::default()));
    for port in [1, 2] {
        let record =
            ReplicaRecord { address: address(port), ..example_record(&format!("i-{port}")) };
        machine.list(record, ms(0));
    }
    machine
}

/// A request of `tokens` prompt tokens on a route with a limit for pauses.
fn query(tokens: u32) -> RelayQuery {
    let route = RouteRecord { target_gap: Some(ms(400)), ..relay_site::stream_route() };
    RelayQuery { prompt_tokens: Some(tokens), ..relay_site::query(route, None, ms(0)) }
}

/// Chooses for 20 requests and returns the engines with their ranks and expected times.
fn decisions(machine: &mut RelayMachine) -> Vec<(String, u8, Option<Duration>, Option<Duration>)> {
    let query = query(1_800);
    let mut decide = || {
        let RelayChoice::Send(order) = machine.choose(&query, &[], ms(0)) else {
            panic!("both engines hold the model");
        };
        let start = machine.begin_prefill(&order.replica, &query, ms(0));
        (order.replica, start.rank, start.expected, start.expected_pause)
    };
    (0..20).map(|_| decide()).collect()
}

#[test]
fn with_the_switch_off_the_statuses_of_loaders_change_no_decision() {
    for (rule, is_used) in [
        (ContentionRule::Always, true),
        (ContentionRule::Never, false),
        // Eight adapter slots beside eight request slots are not scarce.
        (ContentionRule::Auto, false),
    ] {
        let (mut informed, mut uninformed) = (machine(rule), machine(rule));
        for number in 1..50 {
            informed.take_status(status(1, number, Some(performance(5_000.0, 200))), ms(0));
            informed.take_status(status(2, number, Some(performance(20_000.0, 60))), ms(0));
        }
        let earlier = decisions(&mut uninformed);
        assert!(earlier.iter().all(|(_, _, _, pause)| pause.is_none()));
        assert_eq!(decisions(&mut informed) != earlier, is_used, "{rule:?}");
    }
}

/// The engine that a machine chooses.
fn choice_of(machine: &mut RelayMachine, query: &RelayQuery) -> String {
    match machine.choose(query, &[], ms(0)) {
        RelayChoice::Send(order) => order.replica,
        _ => panic!("both engines hold the model"),
    }
}

#[test]
fn the_cost_of_a_replica_is_its_expected_loss_only_for_streams_with_the_switch_on() {
    for (rule, kind, expected) in [
        (ContentionRule::Always, RouteKind::Stream, "i-2"),
        (ContentionRule::Always, RouteKind::Safe, "i-1"),
        (ContentionRule::Never, RouteKind::Stream, "i-1"),
        (ContentionRule::Auto, RouteKind::Stream, "i-1"),
    ] {
        let mut machine = machine(rule);
        for number in 1..200 {
            machine.take_status(status(1, number, Some(performance(13_400.0, 90))), ms(0));
            machine.take_status(status(2, number, Some(performance(32_600.0, 37))), ms(0));
        }
        // The first event would be sooner at i-1, where a pause would be late.
        for id in ["i-1"; 2].into_iter().chain(["i-2"; 8]) {
            machine.begin_prefill(id, &query(1_800), ms(0));
        }
        let query = query(1_800);
        let route = RouteRecord { kind, aim: ms(2_000), ..(*query.route).clone() };
        let query = RelayQuery { route: route.into(), ..query };
        assert_eq!(choice_of(&mut machine, &query), expected, "{rule:?} {kind:?}");
    }
}

#[test]
fn a_full_engine_is_not_expected_on_time() {
    let mut machine = machine(ContentionRule::Always);
    for (number, port) in (1..200).flat_map(|number| [(number, 1), (number, 2)]) {
        machine.take_status(status(port, number, Some(performance(20_000.0, 60))), ms(0));
    }
    // A request would wait at i-1 until one of those in progress ends, at i-2 for a prompt.
    (0..8).for_each(|_| machine.begin_attempt("i-1", None, ms(0)));
    machine.begin_prefill("i-2", &query(5_000), ms(0));
    let route = RouteRecord { target_gap: None, ..relay_site::stream_route() };
    let query = RelayQuery { prompt_tokens: Some(1_800), ..relay_site::query(route, None, ms(0)) };
    assert_eq!(choice_of(&mut machine, &query), "i-2");
}

#[test]
fn without_a_recent_measurement_a_contended_service_chooses_as_others_do() {
    for rule in [ContentionRule::Always, ContentionRule::Never, ContentionRule::Auto] {
        let mut machine = machine(rule);
        // All request slots of i-1 are in use, and i-2 has a prompt to process.
        (0..8).for_each(|_| machine.begin_attempt("i-1", None, ms(0)));
        machine.begin_prefill("i-2", &query(8_000), ms(0));
        machine.begin_attempt("i-2", None, ms(0));
        assert_eq!(choice_of(&mut machine, &query(1_800)), "i-2", "{rule:?}");
    }
}
