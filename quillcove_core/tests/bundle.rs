//! Bundles: differences rebuild exact bytes, and what is in force only grows.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use quillcove_core::bundle::VALUE_LIMIT;
use quillcove_core::bundle::delta::{DeltaError, DeltaStep, apply, compute};
use quillcove_core::bundle::gate::{BundleGate, GateChange, GateError};
use quillcove_core::bundle::signing::{BundleHead, TrustedKeys, public_key, sign, signing_key};
use quillcove_core::bundle::text::parse;

const SEED: [u8; 32] = [3; 32];

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(20261202),
        failure_persistence: None,
        ..Config::default()
    })
}

fn gate() -> BundleGate {
    BundleGate::new(TrustedKeys::read(&[public_key(&signing_key(SEED))]).unwrap())
}

fn signed(version: u64, body: &str) -> (BundleHead, String) {
    let text = format!("# {body}\n[bundle]\nversion = {version}\n");
    (sign(&signing_key(SEED), version, text.as_bytes()), text)
}

#[test]
fn difference_rebuilds_exact_bytes() {
    let lines = prop::collection::vec("[a-c]{0,3}\r?\n?", 0..12);
    let strategy = (lines.clone(), lines);
    let result = runner().run(&strategy, |(older, newer)| {
        let (older, newer) = (older.concat(), newer.concat());
        let delta = compute((1, &older), (2, &newer));
        prop_assert_eq!(apply(&delta, &older), Ok(newer));
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn malformed_difference_is_refused() {
    let steps = [
        DeltaStep::Copy { offset: 0, length: 99 },
        DeltaStep::Copy { offset: usize::MAX, length: 2 },
        DeltaStep::Copy { offset: 1, length: 1 },
    ];
    for step in steps {
        let mut delta = compute((1, "\u{e9}\n"), (2, "b\n"));
        delta.steps = vec![step];
        assert_eq!(apply(&delta, "\u{e9}\n"), Err(DeltaError::OutOfRange));
    }
    let mut large = compute((1, "a\n"), (2, "b\n"));
    large.steps = vec![DeltaStep::Insert("x".repeat(VALUE_LIMIT + 1))];
    assert_eq!(apply(&large, "a\n"), Err(DeltaError::TooLarge));
}

/// Offers in any order, with witnesses among them, against the largest version seen.
#[test]
fn what_is_in_force_only_grows() {
    let step = (1..6u64, 0..2u8, any::<bool>());
    let result = runner().run(&prop::collection::vec(step, 1..30), |steps| {
        let mut gate = gate();
        let mut floor = 0;
        let mut in_force = None;
        for (version, body, is_witness) in steps {
            if is_witness {
                gate.record_used_version(version);
                floor = floor.max(version);
                in_force = in_force.filter(|(held, _)| *held >= floor);
            } else {
                let (head, text) = signed(version, &body.to_string());
                let offered = gate.offer(&head, &text);
                if offered == Ok(GateChange::Accepted) {
                    prop_assert!(version >= floor);
                    floor = version;
                    in_force = Some((version, body));
                } else if let Err(GateError::OtherBytes(same)) = offered {
                    prop_assert_eq!(same, version);
                }
            }
            let held = gate.in_force().map(|held| held.head.version);
            prop_assert_eq!(held, in_force.map(|(version, _)| version));
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn foreign_and_altered_bundles_are_refused() {
    let mut gate = gate();
    let (head, text) = signed(1, "a");
    let stranger = sign(&signing_key([4; 32]), 1, text.as_bytes());
    assert!(matches!(gate.offer(&stranger, &text), Err(GateError::Signature(_))));
    let altered = text.replace('a', "b");
    assert_eq!(gate.offer(&head, &altered), Err(GateError::HeadMismatch));
    let mut forged = head.clone();
    forged.version = 9;
    assert_eq!(gate.offer(&forged, &text), Err(GateError::HeadMismatch));
    for length in [0, 10, 128] {
        let cut = BundleHead { signature: "a".repeat(length), ..head.clone() };
        assert!(matches!(gate.offer(&cut, &text), Err(GateError::Signature(_))));
    }
    assert!(gate.in_force().is_none());
    assert_eq!(gate.offer(&head, &text), Ok(GateChange::Accepted));
    assert_eq!(gate.offer(&head, &text), Ok(GateChange::Unchanged));
    let (other, other_text) = signed(1, "c");
    assert_eq!(gate.offer(&other, &other_text), Err(GateError::OtherBytes(1)));
}

#[test]
fn bundle_of_the_target_size_fits_in_one_value() {
    let mut text = "[bundle]\nversion = 1\n".to_string();
    for model in ["m0", "m1", "m2", "m3"] {
        text.push_str(&format!("[models.{model}]\n"));
    }
    text.push_str("[adapters]\n");
    for number in 0..11_000 {
        let model = number % 4;
        text.push_str(&format!(
            "village-{number:05} = {{ model = \"m{model}\", current = 12, keep = [11], \
             priority = 5 }}\n"
        ));
    }
    assert!(text.len() <= VALUE_LIMIT, "{} bytes", text.len());
    assert_eq!(parse(&text).unwrap().adapters.len(), 11_000);
}
