//! What the reads of a stream tell of its replica.

use std::time::Duration;

use quillcove_core::crash::phase::{SurvivalStage, proof_of_life};

const HEAD_AT: Duration = Duration::from_secs(10);

/// Stage of a stream after reads that begin and end so many milliseconds after its head.
fn stage_after(reads: &[(u64, u64)]) -> SurvivalStage {
    let after = |millis| HEAD_AT + Duration::from_millis(millis);
    let alive =
        reads.iter().filter_map(|(began, ended)| proof_of_life(after(*began), after(*ended)));
    let stages = alive.map(|alive_at| SurvivalStage::after(alive_at - HEAD_AT));
    stages.max().unwrap_or(SurvivalStage::None)
}

#[test]
fn a_stream_whose_events_come_in_time_survives() {
    let reads: Vec<(u64, u64)> = (0..20).map(|event| (event * 31, event * 31 + 30)).collect();
    assert_eq!(stage_after(&reads[..5]), SurvivalStage::None);
    assert_eq!(stage_after(&reads[..12]), SurvivalStage::Begin);
    assert_eq!(stage_after(&reads), SurvivalStage::Run);
}

// Guards against a run that counts as survived because a paused relay read late what a replica had sent before its exit.
#[test]
fn what_is_read_after_a_pause_shows_no_survival() {
    assert_eq!(stage_after(&[(0, 30), (31, 5000), (5000, 5001)]), SurvivalStage::None);
}

// Guards against the same where the caller did not read.
#[test]
fn what_a_caller_left_unread_shows_no_survival() {
    assert_eq!(stage_after(&[(0, 30), (2000, 2001), (4000, 4002)]), SurvivalStage::None);
}
