//! Choices of a relay for requests with a part of their prompt under which replicas exit.

#[allow(dead_code)]
mod relay_site;

use std::time::Duration;

use quillcove_core::crash::digest::{RequestIdentity, RequestParts, part_identity};
use quillcove_core::crash::telling::{CrashReport, ExitReport, InFlightRequest, SuccessReport};
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use quillcove_core::verdict::{RefusalReason, RunVerdict};
use relay_site::{query, stream_machine, stream_route};

const NOW: Duration = Duration::from_secs(10);

const SECOND: Duration = Duration::from_secs(1);

fn relay_machine() -> RelayMachine {
    stream_machine(RelayRules::default(), 1, NOW)
}

/// A request of its own body with these parts.
fn request(body: u8, parts: &[u64]) -> RelayQuery {
    let content =
        RequestParts { method: "POST", host: "h", path: "/", key: None, body: &[body, 0, 0] };
    let identity = Some(RequestIdentity { digest: content.digest(), caller: 5 });
    let parts = parts.iter().map(|part| part_identity("m", *part)).collect();
    let query = query(stream_route(), None, NOW);
    RelayQuery { model: None, identity, parts, deadline: NOW + SECOND * 600, ..query }
}

/// Exits one second apart at which a part was in flight, the last one just now.
fn exits(count: u32, part: u64) -> CrashReport {
    let ended = InFlightRequest {
        identity: part_identity("m", part),
        has_other_cause: false,
        runs_well: false,
    };
    let report = |exit| ExitReport { end: exit, age: SECOND * exit as u32, requests: vec![ended] };
    CrashReport { ends: (0..u64::from(count)).map(report).collect(), good: Vec::new() }
}

fn is_rejected(choice: &RelayChoice) -> bool {
    matches!(choice, RelayChoice::Refuse(refusal)
        if refusal.reason == RefusalReason::EndsUpstreams && refusal.verdict == RunVerdict::NotRun)
}

// Guards against a request that is sent although its part was blamed after its replica was chosen.
#[test]
fn a_part_that_is_blamed_after_the_choice_is_neither_sent_nor_repeated() {
    let mut machine = relay_machine();
    let query = request(1, &[7, 8]);
    let RelayChoice::Send(order) = machine.choose(&query, &[], NOW) else {
        panic!("nothing is blamed yet");
    };
    assert!(!machine.is_fatal(&query, NOW));
    machine.crashes_mut().apply_report(&exits(3, 8), NOW);
    assert!(machine.is_fatal(&query, NOW));
    assert!(is_rejected(&machine.choose(&query, &[order.replica], NOW)));
    assert!(matches!(machine.choose(&request(2, &[7, 9]), &[], NOW), RelayChoice::Send(_)));
}

// Guards against a part that stays rejected, and against several requests that try it at once.
#[test]
fn one_request_tries_a_blamed_part_again_and_its_survival_clears_it() {
    let mut machine = relay_machine();
    machine.crashes_mut().apply_report(&exits(3, 8), NOW);
    assert!(is_rejected(&machine.choose(&request(1, &[8]), &[], NOW + SECOND * 29)));
    let later = NOW + SECOND * 31;
    let probe = request(2, &[8]);
    assert!(matches!(machine.choose(&probe, &[], later), RelayChoice::Send(_)));
    assert!(!machine.is_fatal(&probe, later));
    assert!(is_rejected(&machine.choose(&request(3, &[8]), &[], later)));
    // It is sent once: what broke off is not repeated.
    assert!(is_rejected(&machine.choose(&probe, &["i-1".to_string()], later)));
    let good = vec![SuccessReport { identity: part_identity("m", 8), age: Duration::ZERO }];
    machine.crashes_mut().apply_report(&CrashReport { ends: Vec::new(), good }, later);
    let choice = machine.choose(&request(3, &[8]), &[], later + SECOND);
    assert!(matches!(choice, RelayChoice::Send(_)));
}
