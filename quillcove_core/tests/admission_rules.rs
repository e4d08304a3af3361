//! The rules of admission control one by one. Each test names the failure that it guards against.

#[allow(dead_code)]
mod relay_site;

use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::admission::decision::{AdmissionCase, AdmissionStep, DeferralReason};
use quillcove_core::relay::admission::reports::{ReportOccasion, ReportedPrompts};
use quillcove_core::relay::admission::returns::PlannedReturns;
use quillcove_core::relay::admission::shares::{WorkspaceShares, WorkspaceStanding};
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport, HeldAdapter};
use quillcove_core::relay::engine_status::{EngineStatus, PendingPrompts, PromptReport};
use quillcove_core::relay::loader::RelayPrompts;
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use quillcove_core::relay::policy::{ContentionRule, RelayPolicy};
use quillcove_core::relay::reading::PrefillPrompt;
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::verdict::RefusalReason;
use relay_site::{address, engine_service, ms, query, stream_route};

const SECOND: Duration = Duration::from_secs(1);

fn key() -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: "a1".to_string() }
}

/// A relay with three engines, of which the first holds the adapter; all relays have `uses` requests for it in flight.
fn relay(contention: ContentionRule, waiting: u32, uses: u32) -> RelayMachine {
    let policy = RelayPolicy { contention, ..RelayPolicy::default() };
    let rules = RelayRules { hall: "hall-a".to_string(), policy, ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(10_000, 3.0)];
    let limits = CallerLimits::default();
    machine.apply_configuration(PublishedConfig::new(1, vec![stream_route()], services, limits));
    for port in 1..=3 {
        let record = example_record(&format!("i-{port}"));
        machine.list(ReplicaRecord { address: address(port), places: 64, ..record }, ms(0));
        let is_holder = port == 1;
        let held = HeldAdapter { key: key(), version: 1 };
        let report = EngineReport {
            models: vec!["m".to_string()],
            adapters: if is_holder { vec![held] } else { Vec::new() },
            waiting: if is_holder { waiting } else { 0 },
            ..EngineReport::default()
        };
        machine.take_report(
            &EngineHeartbeat {
                host: format!("h-{port}"),
                engine: address(port),
                number: 1,
                incarnation: 1,
                content: 1,
                report,
                uses: if is_holder { vec![uses] } else { Vec::new() },
                model_loads: Vec::new(),
                arrivals: Vec::new(),
                spare_places: Some(4),
                relays: Vec::new(),
            },
            ms(0),
        );
    }
    machine
}

fn pending(timely_tokens: u32, deferred_tokens: u32) -> PendingPrompts {
    PendingPrompts { timely_tokens, deferred_tokens }
}

fn status(number: u64, pending: PendingPrompts) -> EngineStatus {
    EngineStatus { number, pending, ..EngineStatus::unknown(address(1)) }
}

/// A first attempt for the adapter with this many tokens; its target latency is 800 ms and its rank 1.
fn sized(tokens: u32, received: Duration) -> RelayQuery {
    RelayQuery { prompt_tokens: Some(tokens), ..query(stream_route(), Some(key()), received) }
}

/// Returns the expected time to the first event of a small timely request on a copy of the machine.
fn expected(machine: &RelayMachine, now: Duration) -> Duration {
    let start = machine.clone().begin_prefill("i-1", &sized(1_000, now), now);
    start.expected.expect("an estimate")
}

fn case() -> AdmissionCase {
    AdmissionCase {
        now: ms(0),
        due: SECOND,
        abandon_at: ms(5_000),
        rank: 0,
        own_time: ms(100),
        timely_wait: ms(1_500),
        deferred_wait: ms(6_000),
        workspace: WorkspaceStanding::Unlimited,
        relays: 25,
        draw: 0.5,
        is_rejectable: true,
    }
}

/// Against counting a relay's own prompts twice, once as its own and once in the loader's sum.
#[test]
fn the_own_part_of_the_sum_is_subtracted() {
    let mut machine = relay(ContentionRule::Always, 0, 0);
    machine.begin_prefill("i-1", &sized(10_000, ms(0)), ms(0));
    let before = expected(&machine, ms(0));
    let reported = machine.take_prompt_reports(ReportOccasion::Tick);
    assert_eq!(reported, [(address(1), pending(10_000, 0))]);
    machine.take_status(status(1, pending(10_000, 0)), ms(0));
    assert_eq!(expected(&machine, ms(0)), before);
    machine.take_status(status(2, pending(15_000, 0)), ms(0));
    assert!(expected(&machine, ms(0)) > before);
}

/// Against the collapse: deferred prompts of other relays make no timely request late.
#[test]
fn deferred_prompts_of_others_are_not_ahead_of_timely_ones() {
    let mut machine = relay(ContentionRule::Always, 50, 0);
    let by_count = expected(&machine, ms(0));
    machine.take_status(status(1, pending(0, 500_000)), ms(0));
    let by_rank = machine.begin_prefill("i-1", &sized(1_000, ms(0)), ms(0));
    assert!(by_rank.expected.expect("an estimate") < ms(100) && by_count > SECOND);
    assert_eq!((by_rank.rank, by_rank.admission), (1, Some(AdmissionStep::Timely)));
}

/// Against decisions on a status that is old, late or lost: the waiting count of the report applies again.
#[test]
fn an_outdated_status_gives_way_to_the_waiting_count() {
    let mut machine = relay(ContentionRule::Always, 10, 0);
    let by_count = expected(&machine, ms(0));
    machine.take_status(status(2, pending(0, 0)), ms(0));
    machine.take_status(status(1, pending(900_000, 0)), ms(0));
    assert!(expected(&machine, ms(0)) < ms(100));
    machine.tick(ms(1_400));
    assert!(expected(&machine, ms(1_400)) < ms(100));
    machine.tick(ms(1_600));
    assert_eq!(expected(&machine, ms(1_600)), by_count);
}

/// Against a change for deployments whose slots are not scarce: statuses change nothing, nothing is reported, and a holder
/// is sent any request, ranked by the count of waiting requests.
#[test]
fn with_the_switch_off_all_decisions_are_the_earlier_ones() {
    for waiting in [0, 5, 30, 400] {
        let mut told = relay(ContentionRule::Never, waiting, 40);
        let mut untold = relay(ContentionRule::Never, waiting, 40);
        for step in 0..200 {
            let now = ms(step * 10);
            told.take_status(status(step + 1, pending(step as u32 * 900, 70_000)), now);
            told.tick(now);
            untold.tick(now);
            let request = sized(500 + step as u32 * 7, now);
            let choice = told.choose(&request, &[], now);
            assert_eq!(choice, untold.choose(&request, &[], now));
            assert!(matches!(choice, RelayChoice::Send(_)));
            let (norm, tokens) = (told.table().norm("s"), request.prompt_tokens.expect("a prompt"));
            let reading = &told.table().get("i-1").expect("listed").reading;
            let time = reading.time_to_first_event(PrefillPrompt { tokens, rank: 1 }, &norm);
            let start = told.begin_prefill("i-1", &request, now);
            assert_eq!(start.rank, if now + time > request.due() { 6 } else { 1 });
            assert_eq!(start, untold.begin_prefill("i-1", &request, now));
            assert_eq!(start.admission, None);
            assert!(told.take_prompt_reports(ReportOccasion::Heartbeat(step)).is_empty());
        }
        assert!(told.take_admission_counts().is_empty());
    }
}

/// Against rejecting a caller again that could be served: only what cannot begin before the caller leaves is rejected.
#[test]
fn a_request_that_can_be_served_before_its_caller_leaves_is_sent() {
    let servable = AdmissionCase { deferred_wait: ms(4_900), ..case() };
    assert!(matches!(servable.decide(), AdmissionStep::Deferred(_)));
    let unservable = AdmissionCase { deferred_wait: ms(4_901), ..case() };
    assert!(matches!(unservable.decide(), AdmissionStep::Reject { .. }));
}

/// Against callers that are held for a response that cannot come: where room is short, a request is deferred only if it
/// can be served behind the others before its caller leaves.
#[test]
fn a_timely_request_is_not_deferred_behind_more_than_its_caller_waits_for() {
    let short_of_room = AdmissionCase {
        workspace: WorkspaceStanding::Above,
        timely_wait: ms(700),
        deferred_wait: ms(2_000),
        ..case()
    };
    assert!(matches!(short_of_room.decide(), AdmissionStep::Deferred(DeferralReason::Room)));
    let held_in_vain = AdmissionCase { deferred_wait: ms(6_000), ..short_of_room };
    assert_eq!(held_in_vain.decide(), AdmissionStep::Timely);
}

/// Against a response that says that a request did not run although an attempt was sent, and against large prompts that
/// no return can serve.
#[test]
fn sent_requests_and_large_prompts_are_not_rejected() {
    let sent = AdmissionCase { is_rejectable: false, ..case() };
    assert!(matches!(sent.decide(), AdmissionStep::Deferred(_)));
    let large = AdmissionCase { own_time: ms(5_100), ..case() };
    assert!(matches!(large.decide(), AdmissionStep::Deferred(_)));
    let mut machine = relay(ContentionRule::Always, 0, 0);
    machine.take_status(status(1, pending(900_000, 0)), ms(0));
    let tried = vec!["i-2".to_string()];
    assert!(matches!(machine.choose(&sized(1_000, ms(0)), &[], ms(0)), RelayChoice::Refuse(_)));
    assert!(matches!(machine.choose(&sized(1_000, ms(0)), &tried, ms(0)), RelayChoice::Send(_)));
}

/// Against retry delays that callers do not obey, and against none at all.
#[test]
fn retry_delays_are_within_a_third_of_the_time_left() {
    let mut machine = relay(ContentionRule::Always, 0, 0);
    machine.take_status(status(1, pending(900_000, 0)), ms(0));
    let mut delays = Vec::new();
    for _ in 0..50 {
        match machine.choose(&sized(1_000, ms(0)), &[], ms(0)) {
            RelayChoice::Refuse(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Overloaded);
                delays.push(refusal.retry_after.expect("a retry delay"));
            },
            other => panic!("{other:?}"),
        }
    }
    assert!(delays.iter().all(|delay| (ms(2_000)..=ms(5_000)).contains(delay)), "{delays:?}");
    delays.dedup();
    assert!(delays.len() > 40, "returns must not arrive together");
}

/// Against less urgent routes taking the room of more urgent ones, and against an idle engine that defers anything.
#[test]
fn where_room_is_short_the_less_urgent_route_is_deferred_first() {
    let is_timely = |rank: u8, wait: u64, workspace: WorkspaceStanding| {
        let timely_wait = ms(wait);
        // Its caller would still be there behind the deferred requests, otherwise it is not deferred.
        let deferred_wait = ms(2_000);
        let case = AdmissionCase { rank, timely_wait, deferred_wait, workspace, ..case() };
        case.decide() == AdmissionStep::Timely
    };
    let standings =
        [WorkspaceStanding::Unlimited, WorkspaceStanding::Within, WorkspaceStanding::Above];
    for standing in standings {
        assert!(is_timely(4, 0, standing));
        for wait in (0..1_200).step_by(10) {
            for rank in 1..=4 {
                assert!(is_timely(rank - 1, wait, standing) || !is_timely(rank, wait, standing));
            }
        }
    }
    assert!(is_timely(0, 850, WorkspaceStanding::Within));
    assert!(!is_timely(0, 460, WorkspaceStanding::Above));
}

/// Against rejections for a return that is late as well: a caller is sent back only if another engine will have the adapter
/// in time, once, and not after it has waited.
#[test]
fn a_first_attempt_is_rejected_for_a_return_only_if_that_is_in_time() {
    let request = sized(1_000, ms(0));
    let busy = || {
        let mut machine = relay(ContentionRule::Always, 0, 40);
        machine.take_status(status(1, pending(100_000, 0)), ms(0));
        machine
    };
    let RelayChoice::Refuse(refusal) = busy().choose(&request, &[], ms(0)) else {
        panic!("another engine will have the adapter in time");
    };
    let back = refusal.retry_after.expect("a retry delay");
    assert!(back + ms(60) <= stream_route().aim, "{back:?}");
    // The load has been requested by another request.
    let sent = |request: &RelayQuery, now| {
        let mut machine = busy();
        machine.choose(&sized(1_000, ms(0)), &[], ms(0));
        matches!(machine.choose(request, &[], now), RelayChoice::Send(_))
    };
    assert!(!sent(&request, ms(0)));
    assert!(sent(&RelayQuery { choice_count: 1, ..request.clone() }, ms(0)), "has waited");
    let since_first_attempt = ms(100);
    assert!(sent(&RelayQuery { since_first_attempt, ..request.clone() }, ms(0)), "has returned");
    assert!(sent(&request, ms(161)), "has used up more than a fifth of its target latency");
}

/// Against returns that fill the other engine: with many relays each has less than one return to give away.
#[test]
fn relays_together_reserve_no_more_returns_than_fit() {
    for relays in [1, 25, 68, 420] {
        let share = 10.0 / f64::from(relays);
        let reserved = (0..relays).map(|relay| {
            let mut returns = PlannedReturns::default();
            let draw = |request: u32| {
                f64::from((relay * 37 + request * 61) % relays.max(2)) / f64::from(relays.max(2))
            };
            let tries = 0..1 + 40 / relays;
            tries
                .filter(|request| returns.reserve(&key(), share, draw(*request), SECOND, ms(0)))
                .count()
        });
        let reserved: usize = reserved.sum();
        assert!((5..=15).contains(&reserved), "{relays} relays: {reserved}");
    }
}

/// Against a loader that keeps a wrong sum after a lost, late, or doubled report, or after a relay is gone.
#[test]
fn reports_of_pending_prompts_are_repeated_and_expire() {
    let mut reported = ReportedPrompts::default();
    assert!(reported.take_due(pending(900, 0), ReportOccasion::Tick, 0));
    assert!(reported.take_due(pending(0, 0), ReportOccasion::Tick, 0));
    assert!(!reported.take_due(pending(0, 0), ReportOccasion::Tick, 0));
    assert!(reported.take_due(pending(0, 0), ReportOccasion::Heartbeat(1), 0), "may be lost");
    assert!(!reported.take_due(pending(0, 0), ReportOccasion::Heartbeat(2), 0));
    let renewals = (0..8)
        .filter(|number| reported.take_due(pending(0, 0), ReportOccasion::Heartbeat(*number), 0));
    assert_eq!(renewals.count(), 2, "an engine at rest is reported every 2 s");

    let mut prompts = RelayPrompts::default();
    let report = |number, tokens| {
        let relay = address(9);
        PromptReport { relay, number, incarnation: 1, pending: pending(tokens, 0) }
    };
    prompts.record(report(2, 900), ms(0));
    prompts.record(report(2, 900), ms(10));
    prompts.record(report(1, 5_000), ms(20));
    assert_eq!(prompts.total(ms(20)), pending(900, 0));
    assert_eq!(prompts.total(ms(1_700)), pending(0, 0));
}

/// Against judging a workspace by single requests, and against missing reports of other relays.
#[test]
fn shares_hold_with_and_without_reports_of_other_relays() {
    let standing = |reports: &[(&str, f64)], own: u32| {
        let mut shares = WorkspaceShares::default();
        for (name, tokens) in reports {
            shares.record_report(name, *tokens);
        }
        (0..own).for_each(|_| shares.record_request("w0", 1_000));
        (1..10).for_each(|index| shares.record_request(&format!("w{index}"), 1_000));
        shares.update(420, 3_260_000.0, ms(0));
        (shares.standing("w0"), shares.standing("w1"))
    };
    let (above, within) = (WorkspaceStanding::Above, WorkspaceStanding::Within);
    assert_eq!(standing(&[], 8), (above, within));
    // One request here is no evidence, unless other relays report that there are many.
    assert_eq!(standing(&[], 1).0, WorkspaceStanding::Within);
    assert_eq!(standing(&[("w0", 3_000_000.0), ("w1", 100_000.0)], 1), (above, within));
    // With room for all, nobody is above.
    let mut shares = WorkspaceShares::default();
    (0..100).for_each(|_| shares.record_request("w0", 1_000));
    shares.record_request("w1", 1_000);
    shares.update(1, 1_000_000.0, ms(0));
    assert_eq!(shares.standing("w0"), WorkspaceStanding::Unlimited);
}
