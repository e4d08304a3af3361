//! Requests that try again what is blamed: one at a time, by which relay, and how often.

#[allow(dead_code)]
mod relay_site;

use std::time::Duration;

use quillcove_core::crash::digest::{RequestIdentity, RequestParts, part_identity};
use quillcove_core::crash::probe::PROBE_DELAY;
use quillcove_core::crash::telling::{CrashReport, ExitReport, InFlightRequest, SuccessReport};
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use relay_site::{query, stream_machine, stream_route};

/// Uptime at which a relay hears of the exits.
const NOW: Duration = Duration::from_secs(100);

const SECOND: Duration = Duration::from_secs(1);

/// Sends that the users allow after the third exit.
const MOST_SENDS: usize = 3;

fn relay_machine(host: usize) -> RelayMachine {
    let rules = RelayRules { host: format!("relay-{host}"), ..RelayRules::default() };
    stream_machine(rules, host as u64 + 1, NOW)
}

fn identity(caller: u64) -> RequestIdentity {
    let content = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    RequestIdentity { digest: content.digest(), caller }
}

/// A copy of one request, as received from a caller at this time.
fn copy(caller: u64, received: Duration) -> RelayQuery {
    let query = query(stream_route(), None, received);
    let deadline = received + SECOND * 60;
    RelayQuery { model: None, identity: Some(identity(caller)), deadline, ..query }
}

/// An exit just now at which this was in flight.
fn exit(exit: u64, identity: RequestIdentity) -> CrashReport {
    let ended = InFlightRequest { identity, has_other_cause: false, runs_well: false };
    let report = ExitReport { end: exit, age: Duration::ZERO, requests: vec![ended] };
    CrashReport { ends: vec![report], good: Vec::new() }
}

/// Three exits of one moment at which a request of two callers was in flight.
fn blame(machine: &mut RelayMachine) {
    for (number, caller) in [(1, 1), (2, 1), (3, 2)] {
        machine.crashes_mut().apply_report(&exit(number, identity(caller)), NOW);
    }
}

fn is_sent(choice: &RelayChoice) -> bool {
    matches!(choice, RelayChoice::Send(_))
}

// Guards against a popular sound request that stays rejected for everyone, as nothing that is rejected can clear it.
#[test]
fn one_copy_of_a_blamed_request_is_tried_again_and_its_good_run_clears_it() {
    let mut machine = relay_machine(0);
    blame(&mut machine);
    assert!(!is_sent(&machine.choose(&copy(3, NOW), &[], NOW)));
    let later = NOW + PROBE_DELAY + SECOND;
    let probe = copy(3, later);
    assert!(is_sent(&machine.choose(&probe, &[], later)));
    assert!(!machine.is_fatal(&probe, later));
    let same = copy(3, later + SECOND / 10);
    assert!(!is_sent(&machine.choose(&same, &[], later + SECOND / 10)), "one copy at a time");
    assert!(machine.is_fatal(&same, later + SECOND / 10));
    let good = vec![SuccessReport { identity: identity(3), age: Duration::ZERO }];
    let report = CrashReport { ends: Vec::new(), good };
    machine.crashes_mut().apply_report(&report, later + SECOND);
    assert!(is_sent(&machine.choose(&copy(2, later + SECOND), &[], later + SECOND)));
}

// Guards against copies of one prompt with a deadly part that all pass while one of them tries the part again.
#[test]
fn copies_of_the_request_that_tries_a_part_again_are_rejected() {
    let part = part_identity("m", 8);
    let mut machine = relay_machine(0);
    for number in 0..3 {
        machine.crashes_mut().apply_report(&exit(number, part), NOW + SECOND * number as u32);
    }
    let later = NOW + SECOND * 40;
    let with_part = |received| RelayQuery { parts: vec![part], ..copy(1, received) };
    assert!(is_sent(&machine.choose(&with_part(later), &[], later)));
    let copy_at = later + SECOND / 10;
    assert!(!is_sent(&machine.choose(&with_part(copy_at), &[], copy_at)));
}

// Guards against relays that have just started, and take themselves for the first one before they know the others.
#[test]
fn a_relay_that_has_just_started_tries_nothing_again() {
    let mut machine = relay_machine(0);
    let mut report = exit(1, identity(1));
    for number in 2..=3 {
        report.ends.extend(exit(number, identity(2)).ends);
    }
    report.ends.iter_mut().for_each(|exit| exit.age = SECOND * 300);
    machine.crashes_mut().apply_report(&report, SECOND);
    assert!(!is_sent(&machine.choose(&copy(3, SECOND), &[], SECOND)));
    let later = SECOND + PROBE_DELAY;
    assert!(is_sent(&machine.choose(&copy(3, later), &[], later)));
}

/// Relays that know each other and have heard what makes replicas exit.
fn fleet(relays: usize, tell: impl Fn(&mut RelayMachine)) -> Vec<RelayMachine> {
    let hosts: Vec<String> = (0..relays).map(|relay| format!("relay-{relay}")).collect();
    let mut machines: Vec<RelayMachine> = (0..relays).map(relay_machine).collect();
    for (own, machine) in machines.iter_mut().enumerate() {
        let others = hosts.iter().enumerate().filter(|(other, _)| *other != own);
        machine.set_peers(others.map(|(_, host)| host.clone()).collect(), NOW);
        tell(machine);
    }
    machines
}

/// Sends of a request that returns each 0.3 s at any of the relays from `begin` on, for an hour. Each makes a replica exit under
/// `suspect`, of which each relay is told after `delay`.
fn sends_in_an_hour(
    mut machines: Vec<RelayMachine>,
    suspect: RequestIdentity,
    parts: &[RequestIdentity],
    begin: Duration,
    delay: Duration,
    seed: u64,
) -> usize {
    let mut draw = seed;
    let mut now = begin;
    let mut sends = 0;
    let mut reports: Vec<(Duration, CrashReport)> = Vec::new();
    while now < NOW + SECOND * 3600 {
        now += SECOND * 3 / 10;
        let (due, left) = reports.into_iter().partition(|(at, _)| *at <= now);
        reports = left;
        let due: Vec<(Duration, CrashReport)> = due;
        for machine in &mut machines {
            due.iter().for_each(|(_, report)| {
                machine.crashes_mut().apply_report(report, now);
            });
        }
        draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let relay = (draw >> 33) as usize % machines.len();
        let request = RelayQuery { parts: parts.to_vec(), ..copy(1, now) };
        if is_sent(&machines[relay].choose(&request, &[], now)) {
            sends += 1;
            reports.push((now + SECOND / 10 + delay, exit(100 + sends as u64, suspect)));
        }
    }
    sends
}

/// Sends of a fatal request after its third exit.
fn sends_of_a_fatal_request(relays: usize, delay: Duration, seed: u64) -> usize {
    sends_in_an_hour(fleet(relays, blame), identity(1), &[], NOW, delay, seed)
}

/// Sends of requests with a blamed part after its fifth exit.
fn sends_of_a_fatal_part(relays: usize, delay: Duration, seed: u64) -> usize {
    let part = part_identity("m", 8);
    let machines = fleet(relays, |machine| {
        for number in 0..5 {
            let at = NOW + SECOND / 2 * number as u32;
            machine.crashes_mut().apply_report(&exit(number, part), at);
        }
    });
    sends_in_an_hour(machines, part, &[part], NOW + SECOND * 3, delay, seed)
}

// Guards against a fatal request that is sent more often than allowed, as several relays try it again side by side.
#[test]
fn a_fatal_request_is_tried_again_at_most_three_times_by_all_relays() {
    for (relays, seeds) in [(1, 3), (4, 10), (25, 10), (68, 5), (420, 2)] {
        for delay in [SECOND / 20, SECOND * 3] {
            for seed in 1..=seeds {
                let sends = sends_of_a_fatal_request(relays, delay, seed);
                assert!((1..=MOST_SENDS).contains(&sends), "{relays}, {delay:?}, {seed}: {sends}");
            }
        }
    }
}

// Guards against the same with another alignment of the returns and the relays' ranks, where reports take three seconds.
#[test]
fn a_fatal_request_that_returns_three_seconds_later_is_tried_again_at_most_three_times_at_seed_2() {
    let machines = fleet(25, blame);
    let begin = NOW + SECOND * 3;
    let sends = sends_in_an_hour(machines, identity(1), &[], begin, SECOND * 3, 2);
    assert!(sends <= MOST_SENDS, "{sends}");
}

// Guards against a fatal request whose replicas exit again and again, and that is tried for ever.
#[test]
fn a_request_that_failed_its_probes_is_not_tried_again() {
    let mut machine = relay_machine(0);
    blame(&mut machine);
    let mut now = NOW;
    for (number, delay) in [(4, 31), (5, 61)] {
        now += SECOND * delay;
        assert!(is_sent(&machine.choose(&copy(1, now), &[], now)));
        machine.crashes_mut().apply_report(&exit(number, identity(1)), now + SECOND);
        now += SECOND;
    }
    let later = now + SECOND * 600;
    assert!(!is_sent(&machine.choose(&copy(1, later), &[], later)));
}

// Guards against a blamed part that is tried again for ever, each time at the price of a replica.
#[test]
fn a_blamed_part_is_tried_again_at_most_three_times_by_all_relays() {
    for (relays, seeds) in [(1, 3), (4, 10), (25, 10), (68, 5), (420, 2)] {
        for delay in [SECOND / 20, SECOND * 3] {
            for seed in 1..=seeds {
                let sends = sends_of_a_fatal_part(relays, delay, seed);
                assert!(sends <= MOST_SENDS, "{relays}, {delay:?}, {seed}: {sends}");
            }
        }
    }
}
