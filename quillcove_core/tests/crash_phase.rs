//! What the reads of a stream, and its end, tell of its replica.

use std::time::Duration;

use quillcove_core::crash::evidence::{ExitEvidence, part_evidence};
use quillcove_core::crash::phase::{RunPhase, SurvivalProof, SurvivalStage, proof_of_life};
use quillcove_core::crash::watch::AbortKind;

const HEAD_AT: Duration = Duration::from_secs(10);

/// Stage of a stream after reads that begin and end so many milliseconds after its head.
fn stage_after(reads: &[(u64, u64)]) -> SurvivalStage {
    let after = |millis| HEAD_AT + Duration::from_millis(millis);
    let alive =
        reads.iter().filter_map(|(began, ended)| proof_of_life(after(*began), after(*ended)));
    let mut proof = SurvivalProof::default();
    let stages = alive.map(|alive_at| proof.record_alive(alive_at - HEAD_AT));
    stages.max().unwrap_or(SurvivalStage::None)
}

#[test]
fn a_stream_whose_events_come_in_time_survives() {
    let reads: Vec<(u64, u64)> = (0..20).map(|event| (event * 31, event * 31 + 30)).collect();
    assert_eq!(stage_after(&reads[..5]), SurvivalStage::None);
    assert_eq!(stage_after(&reads[..12]), SurvivalStage::None);
    assert_eq!(stage_after(&reads[..16]), SurvivalStage::Begin);
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

// Guards against a part that is cleared by one read of a process that had no processor time, or of a lost packet.
#[test]
fn a_single_late_read_that_waited_shows_no_survival() {
    assert_eq!(stage_after(&[(0, 30), (31, 100), (900, 930)]), SurvivalStage::None);
    assert_eq!(stage_after(&[(0, 30), (900, 930), (930, 960)]), SurvivalStage::None);
}

// Guards against exits that count for no part because they took another form than the usual one.
#[test]
fn each_phase_that_may_be_the_begin_of_an_answer_is_evidence() {
    let soon = Some(Duration::from_millis(50));
    let later = Some(Duration::from_millis(450));
    let rows = [
        (None, false, false, ExitEvidence::Weak, ExitEvidence::Weak),
        (soon, false, false, ExitEvidence::Strong, ExitEvidence::Weak),
        (soon, true, false, ExitEvidence::Strong, ExitEvidence::Weak),
        (later, false, false, ExitEvidence::Strong, ExitEvidence::Weak),
        (later, true, false, ExitEvidence::Weak, ExitEvidence::Weak),
        (later, true, true, ExitEvidence::None, ExitEvidence::None),
    ];
    for (since_head, has_event, has_survived, cut_off, abandoned) in rows {
        let phase = RunPhase::of_stream(since_head, has_event, has_survived);
        assert_eq!(part_evidence(phase, AbortKind::CutOff), cut_off, "{phase:?}");
        assert_eq!(part_evidence(phase, AbortKind::Abandoned), abandoned, "{phase:?}");
    }
}
