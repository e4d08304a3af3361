//! How long ago callers tried first, and how long requests of first and later tries wait.

#[allow(dead_code, unused_imports, unused_macros)]
mod fuzz;

#[allow(dead_code)]
mod relay_site;

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng};
use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport};
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use quillcove_core::relay::policy::{RelayPolicy, WaitingRule};
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::relay::tries::CallerTries;
use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
use relay_site::{address, engine_service, ms};

fn route() -> RouteRecord {
    RouteRecord {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        kind: RouteKind::Stream,
        timeout: ms(15_000),
        aim: ms(200),
        patience: Some(ms(2_000)),
        priority: 0,
        attempt_limit: 1,
        target_gap: None,
        is_public: true,
        targets: vec![RouteShare { service: "s".into(), weight: 1 }],
    }
}

/// One engine that holds no adapter and has a place for one.
fn machine(waiting: WaitingRule) -> RelayMachine {
    let policy = RelayPolicy { waiting, ..RelayPolicy::default() };
    let rules = RelayRules { hall: "hall-a".into(), policy, ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(8, 3.0)];
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![route()],
        services,
        CallerLimits::default(),
    ));
    machine.list(ReplicaRecord { address: address(1), ..example_record("i-1") }, ms(0));
    let beacon = EngineHeartbeat {
        host: "h1".into(),
        engine: address(1),
        number: 1,
        incarnation: 1,
        report: EngineReport { models: vec!["m".into()], ..EngineReport::default() },
        model_loads: Vec::new(),
        content: 1,
        uses: Vec::new(),
        spare_places: Some(1),
        arrivals: Vec::new(),
        relays: Vec::new(),
    };
    machine.take_report(&beacon, ms(1_000));
    machine
}

fn query(age: Duration, patience: Duration) -> RelayQuery {
    RelayQuery {
        route: Arc::new(route()),
        service: "s".into(),
        model: Some("m".into()),
        adapter: Some(AdapterKey { model: "m".into(), adapter: "a1".into() }),
        prompt_tokens: Some(500),
        received: ms(1_000),
        since_first_attempt: age,
        deadline: ms(1_000) + patience,
        choice_count: 0,
        grant: None,
        identity: None,
        parts: Vec::new(),
        origin: None,
    }
}

#[test]
fn who_comes_back_waits_for_a_late_adapter_and_a_first_try_is_told_when_to_come() {
    // A load takes 300 ms until one has been seen, and the aim is 200 ms.
    let mut machine = machine(WaitingRule::Returned);
    let first = machine.choose(&query(ms(0), ms(15_000)), &[], ms(1_000));
    let RelayChoice::Refuse(refusal) = first else { panic!("{first:?}") };
    assert!(refusal.retry_after.is_some_and(|after| after >= ms(300)), "{refusal:?}");
    let back = machine.choose(&query(ms(400), ms(15_000)), &[], ms(1_000));
    assert!(matches!(back, RelayChoice::Wait(_)), "{back:?}");
}

#[test]
fn who_comes_back_and_can_not_be_served_is_refused_at_once() {
    let mut machine = machine(WaitingRule::Returned);
    let back = machine.choose(&query(ms(400), ms(250)), &[], ms(1_000));
    assert!(matches!(back, RelayChoice::Refuse(_)), "{back:?}");
}

#[test]
fn a_return_that_is_told_apart_no_more_is_refused_again() {
    let mut machine = machine(WaitingRule::Aim);
    let back = machine.choose(&query(ms(400), ms(15_000)), &[], ms(1_000));
    assert!(matches!(back, RelayChoice::Refuse(_)), "{back:?}");
}

#[test]
fn what_a_caller_waits_for_ends_with_its_patience() {
    let query = query(ms(0), ms(15_000));
    assert_eq!(query.abandon_at(), ms(3_000));
    assert_eq!(query.due(), ms(1_200));
    assert_eq!(RelayQuery { since_first_attempt: ms(500), ..query }.due(), ms(700));
}

#[test]
fn callers_that_wait_unequally_long_are_not_taken_for_returns() {
    let mut tries = CallerTries::default();
    for number in 0..400u64 {
        tries.time_since_first_attempt(ms(1_000 + number * 37 % 4_000));
    }
    assert_eq!(tries.time_since_first_attempt(ms(2_000)), ms(0));
}

proptest! {
    #![proptest_config(fuzz::config_of(64))]

    /// Guards against requests that count as older than they can be.
    #[test]
    fn ages_are_at_most_what_is_missing(times in proptest::collection::vec(0u64..20_000, 1..400)) {
        let mut tries = CallerTries::default();
        let mut longest = 0;
        for (number, time) in times.into_iter().enumerate() {
            longest = longest.max(time);
            let age = tries.time_since_first_attempt(ms(time));
            prop_assert!(age <= ms(longest - time));
            prop_assert!(age == ms(0) || number >= 32, "the band is not known yet");
        }
    }

    /// Guards against first attempts that are ranked behind because their caller started with less time than
    /// others, against retries that get the rank of a first attempt, and against retries that count as older than
    /// they are. The load: 10 requests/s of a route for 100 s, 5 to 30 % of them retries, and half of them for 6 s.
    #[test]
    fn retries_are_recognized_among_callers_with_unequal_times(
        seed in any::<u64>(), retry_share in 0.05f64..0.3, longest in 2_000f64..20_000.0,
    ) {
        let requests = draw_requests(seed, retry_share, longest, 0.85);
        let mut tries = CallerTries::default();
        let outcome = classify(&requests, longest, |stated| tries.time_since_first_attempt(stated));
        prop_assert!(outcome.mistaken_share() <= 0.02, "{outcome:?}");
        prop_assert!(outcome.missed_share() <= 0.02, "{outcome:?}");
        prop_assert!(outcome.overestimated_share() <= 0.02, "{outcome:?}");
    }

    /// Guards against a change for callers that all start with the same time: after the start, each request
    /// that states less than 98 % of it counts as older by what is missing.
    #[test]
    fn callers_with_equal_times_are_told_apart_by_what_is_missing(
        seed in any::<u64>(), retry_share in 0.05f64..0.3,
    ) {
        let requests = draw_requests(seed, retry_share, 5_000.0, 1.0);
        let mut tries = CallerTries::default();
        for (number, request) in requests.iter().enumerate() {
            let age = tries.time_since_first_attempt(request.stated);
            let missing = ms(5_000) - request.stated;
            let expected = if request.stated < ms(4_900) { missing } else { ms(0) };
            // During the start a retry may pass for a first attempt.
            let is_starting = number < START_COUNT && age == ms(0);
            prop_assert!(age == expected || is_starting, "{number}: {age:?}, not {expected:?}");
        }
    }
}

/// Requests by which the band has to be known: 6 s of a relay's share of a route.
const START_COUNT: usize = 64;

/// One request, as its caller sees it.
struct DrawnRequest {
    stated: Duration,
    /// Time since the first attempt; `None` for a first attempt.
    age: Option<Duration>,
}

/// Draws the requests of a route. First attempts state from `band` to 1 of the longest time, retries 30 to 98 %.
fn draw_requests(seed: u64, retry_share: f64, longest: f64, band: f64) -> Vec<DrawnRequest> {
    let mut random = TestRng::from_seed(RngAlgorithm::XorShift, &seed.to_le_bytes().repeat(2));
    let mut between = |low: f64, high: f64| random.random_range(low..=high);
    let draw = |number: usize| {
        let share = if (150..210).contains(&number) { 0.5 } else { retry_share };
        let first = between(band, 1.0);
        let is_retry = between(0.0, 1.0) < share;
        let stated = if is_retry { between(0.3, first.min(0.98)) } else { first };
        let time = |share: f64| Duration::from_secs_f64(share * longest / 1_000.0);
        DrawnRequest { stated: time(stated), age: is_retry.then(|| time(first) - time(stated)) }
    };
    (0..1_000).map(draw).collect()
}

/// How requests were classified.
#[derive(Debug, Default)]
struct ClassifyOutcome {
    firsts: usize,
    /// First attempts that were taken for retries.
    mistaken: usize,
    /// Retries that state less than 78 % of the longest time, after the start.
    clear_retries: usize,
    /// Those of them that were taken for first attempts.
    missed: usize,
    retries: usize,
    /// Retries that were taken to be older than they are.
    overestimated: usize,
}

impl ClassifyOutcome {
    fn mistaken_share(&self) -> f64 {
        self.mistaken as f64 / self.firsts as f64
    }

    fn missed_share(&self) -> f64 {
        self.missed as f64 / self.clear_retries.max(1) as f64
    }

    fn overestimated_share(&self) -> f64 {
        self.overestimated as f64 / self.retries.max(1) as f64
    }
}

fn classify(
    requests: &[DrawnRequest],
    longest: f64,
    mut age_of: impl FnMut(Duration) -> Duration,
) -> ClassifyOutcome {
    let mut outcome = ClassifyOutcome::default();
    for (number, request) in requests.iter().enumerate() {
        let age = age_of(request.stated);
        match request.age {
            None => {
                outcome.firsts += 1;
                outcome.mistaken += usize::from(age > ms(0));
            },
            Some(true_age) => {
                let is_clear = request.stated.as_secs_f64() < 0.78 * longest / 1_000.0;
                let is_clear = is_clear && number >= START_COUNT;
                outcome.clear_retries += usize::from(is_clear);
                outcome.missed += usize::from(is_clear && age == ms(0));
                outcome.retries += 1;
                outcome.overestimated += usize::from(age > true_age);
            },
        }
    }
    outcome
}

#[test]
fn a_fixed_edge_and_the_longest_time_fail_the_bounds() {
    // The earlier rule: an edge at 98 %, and the age counted from the longest time.
    let requests = draw_requests(1, 0.2, 5_000.0, 0.85);
    let rule_with = |edge: u64| {
        move |stated: Duration| if stated < ms(edge) { ms(5_000) - stated } else { ms(0) }
    };
    let fixed = classify(&requests, 5_000.0, rule_with(4_900));
    assert!(fixed.mistaken_share() > 0.5, "{fixed:?}");
    // The right edge, but the upper bound of the age.
    let upper = classify(&requests, 5_000.0, rule_with(4_250));
    assert!(upper.mistaken == 0 && upper.overestimated_share() > 0.5, "{upper:?}");
    let blind = classify(&requests, 5_000.0, |_| ms(0));
    assert!(blind.missed_share() == 1.0, "{blind:?}");
}

#[test]
fn one_caller_with_a_longer_time_does_not_make_first_attempts_retries() {
    let mut tries = CallerTries::default();
    for number in 0..600 {
        let stated = if number == 100 { ms(60_000) } else { ms(5_000) };
        assert_eq!(tries.time_since_first_attempt(stated), ms(0), "request {number}");
    }
    assert_eq!(tries.time_since_first_attempt(ms(4_000)), ms(1_000));
}
