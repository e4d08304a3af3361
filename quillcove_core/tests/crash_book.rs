//! What is known of requests under which replicas end: words in any order and any number make the same of it,
//! memory is bounded, and only what is to blame is refused.

use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::crash::book::{CrashTable, FORGET_TIME, MOST_ENDS};
use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
use quillcove_core::crash::phase::RUN_SURVIVAL_TIME;
use quillcove_core::crash::teller::{CrashReportQueue, in_messages};
use quillcove_core::crash::telling::{
    CrashReport, ExitId, ExitReport, InFlightRequest, SuccessReport,
};
use quillcove_core::crash::watch::{
    ABANDONED_WINDOW, AbortKind, CrashTracker, ReplicaRun, ResponseAbort,
};

const NOW: Duration = Duration::from_secs(1000);

fn broke(identity: RequestIdentity, sent_at: Duration) -> ResponseAbort {
    ResponseAbort { identity, has_other_cause: false, sent_at }
}

fn request(body: u32, caller: u64) -> RequestIdentity {
    let body = body.to_string();
    let parts =
        RequestParts { method: "POST", host: "h", path: "/", key: None, body: body.as_bytes() };
    RequestIdentity { digest: parts.digest(), caller }
}

fn ended(identity: RequestIdentity) -> InFlightRequest {
    InFlightRequest { identity, has_other_cause: false, runs_well: false }
}

fn end_with(book: &mut CrashTable, end: ExitId, requests: &[RequestIdentity]) {
    for identity in requests {
        book.note_end(end, ended(*identity), NOW, NOW);
    }
}

#[test]
fn only_the_request_that_is_at_all_ends_is_blamed() {
    let (fatal, innocent) = (request(1, 1), request(2, 2));
    let mut book = CrashTable::default();
    for end in 1..=4 {
        end_with(&mut book, end, &[fatal]);
    }
    for end in 1..=3 {
        end_with(&mut book, end, &[innocent]);
    }
    assert!(book.cause(fatal, NOW).is_some());
    assert!(book.cause(innocent, NOW).is_none(), "each of its ends is due to the other");
}

#[test]
fn of_two_at_the_same_ends_the_one_whose_answer_had_not_begun_is_blamed() {
    let (fatal, innocent) = (request(1, 1), request(2, 2));
    let mut book = CrashTable::default();
    for end in 1..=3 {
        end_with(&mut book, end, &[fatal]);
        let begun = InFlightRequest { has_other_cause: true, ..ended(innocent) };
        book.note_end(end, begun, NOW, NOW);
    }
    assert!(book.cause(fatal, NOW).is_some());
    assert!(book.cause(innocent, NOW).is_none());
}

#[test]
fn ends_of_one_caller_are_its_own_and_those_of_several_are_everyones() {
    let mut book = CrashTable::default();
    for end in 1..=3 {
        end_with(&mut book, end, &[request(1, 1)]);
    }
    assert!(book.cause(request(1, 1), NOW).is_some_and(|cause| cause.is_callers_own));
    assert!(book.cause(request(1, 2), NOW).is_none());
    end_with(&mut book, 4, &[request(1, 2)]);
    assert!(book.cause(request(1, 3), NOW).is_some_and(|cause| !cause.is_callers_own));
}

#[test]
fn a_good_run_of_another_caller_leaves_only_the_caller_refused() {
    let mut book = CrashTable::default();
    for end in 1..=3 {
        end_with(&mut book, end, &[request(1, 1)]);
    }
    end_with(&mut book, 4, &[request(1, 2)]);
    book.record_success(request(1, 3), NOW);
    assert!(book.cause(request(1, 1), NOW).is_some());
    assert!(book.cause(request(1, 2), NOW).is_none());
    book.record_success(request(1, 1), NOW + Duration::from_secs(1));
    assert!(book.cause(request(1, 1), NOW).is_none());
}

#[test]
fn a_popular_request_at_replicas_that_are_killed_at_once_is_not_suspected() {
    let popular = request(1, 1);
    let mut watch = CrashTracker::default();
    watch.record_success(popular, NOW);
    for replica in 0..20 {
        let run = ReplicaRun { replica: format!("i-{replica}"), born: None };
        watch.record_abort(&run, broke(popular, NOW), NOW);
        watch.confirm_exit(&run, NOW);
    }
    assert!(watch.cause(popular, NOW).is_none());
    assert!(watch.book().is_empty());
}

#[test]
fn a_request_that_ran_well_once_is_excused_for_one_moment_only() {
    let request = request(1, 1);
    let mut watch = CrashTracker::default();
    watch.record_success(request, NOW);
    for replica in 0..4u32 {
        let at = NOW + Duration::from_secs(1) * replica;
        let run = ReplicaRun { replica: format!("i-{replica}"), born: None };
        watch.record_abort(&run, broke(request, at), at);
        watch.confirm_exit(&run, at);
    }
    assert!(watch.cause(request, NOW + Duration::from_secs(5)).is_some());
}

/// Exits of replicas 10 ms apart with a request in flight.
fn exits_at_one_moment(watch: &mut CrashTracker, identity: RequestIdentity, at: Duration) {
    for replica in 0..4u32 {
        let at = at + Duration::from_millis(10) * replica;
        let run = ReplicaRun { replica: format!("i-{replica}-{}", at.as_millis()), born: None };
        watch.record_abort(&run, broke(identity, at), at);
        watch.confirm_exit(&run, at);
    }
}

// Guards against a sound request that is rejected because it was tried again at replicas that were killed together.
#[test]
fn exits_of_one_moment_count_once_for_a_request_that_runs_well() {
    let (tried, other) = (request(1, 1), request(1, 2));
    let mut watch = CrashTracker::default();
    watch.record_success(other, NOW);
    for moment in 1..=3 {
        let at = NOW + Duration::from_secs(moment);
        assert!(watch.cause(tried, at).is_none(), "moment {moment}");
        exits_at_one_moment(&mut watch, tried, at);
    }
    assert!(watch.cause(tried, NOW + Duration::from_secs(4)).is_some());
}

// Guards against a fatal request that comes in several copies and is let through as if its replicas had been killed.
#[test]
fn exits_of_one_moment_count_each_for_a_request_that_is_not_known_to_run_well() {
    let mut watch = CrashTracker::default();
    exits_at_one_moment(&mut watch, request(1, 1), NOW);
    assert!(watch.cause(request(1, 1), NOW + Duration::from_secs(1)).is_some());
}

// Guards against a popular request that is rejected for everyone while its runs go on at other replicas.
#[test]
fn a_run_that_survives_shows_that_others_are_not_to_blame() {
    let mut watch = CrashTracker::default();
    for caller in 1..=3 {
        let run = ReplicaRun { replica: format!("i-{caller}"), born: None };
        watch.record_abort(&run, broke(request(1, caller), NOW), NOW);
        watch.confirm_exit(&run, NOW);
    }
    let elsewhere = request(1, 4);
    assert!(watch.cause(elsewhere, NOW).is_some_and(|cause| !cause.is_callers_own));
    let begun_at = NOW - Duration::from_millis(100);
    assert!(watch.record_run_survival(elsewhere, begun_at, begun_at + RUN_SURVIVAL_TIME));
    assert!(watch.cause(elsewhere, NOW).is_none());
}

// Guards against a run that began before an exit and is taken for a sign that its caller's request did not cause it.
#[test]
fn a_run_that_survives_clears_its_caller_of_earlier_exits_only() {
    let mut watch = CrashTracker::default();
    let own = request(1, 1);
    exits_at_one_moment(&mut watch, own, NOW);
    let before = NOW - Duration::from_millis(1);
    watch.record_run_survival(own, before, before + RUN_SURVIVAL_TIME);
    assert!(watch.cause(own, NOW).is_some());
    let after = NOW + Duration::from_secs(1);
    watch.record_run_survival(own, after, after + RUN_SURVIVAL_TIME);
    assert!(watch.cause(own, after).is_none());
}

/// A replica that restarts under its id is known by its earlier run until the store's list is read again.
#[test]
fn ends_of_a_replica_whose_restarts_are_not_known_yet_count_each() {
    let fatal = request(1, 1);
    let mut watch = CrashTracker::default();
    let mut other = CrashTracker::default();
    let run = ReplicaRun { replica: "i-1".to_string(), born: Some(5) };
    for round in 0..3u32 {
        let at = NOW + Duration::from_secs(3) * round;
        assert!(watch.cause(fatal, at).is_none());
        watch.record_abort(&run, broke(fatal, at), at);
        // One that was sent before belongs to the same end.
        watch.record_abort(&run, broke(fatal, at - Duration::from_millis(200)), at);
        assert_eq!(watch.confirm_exit(&run, at), 2);
        for message in watch.tell(false, at) {
            other.apply_report(&message, at);
        }
    }
    let after = NOW + Duration::from_secs(10);
    assert_eq!(watch.cause(fatal, after).map(|cause| cause.ends), Some(3));
    assert_eq!(other.cause(fatal, after).map(|cause| cause.ends), Some(3));
}

#[test]
fn an_answer_that_breaks_off_at_a_replica_that_lives_counts_for_nothing() {
    let mut watch = CrashTracker::default();
    for replica in 0..9 {
        let run = ReplicaRun { replica: format!("i-{replica}"), born: None };
        watch.record_abort(&run, broke(request(1, 1), NOW), NOW);
        watch.rule_out_exit(&run, NOW);
        // The end of it that is heard of later has nothing to do with the answer.
        let later = CrashReport {
            ends: vec![ExitReport {
                end: quillcove_core::crash::telling::exit_id(&run.replica, None),
                age: Duration::ZERO,
                requests: Vec::new(),
            }],
            good: Vec::new(),
        };
        watch.apply_report(&later, NOW + Duration::from_secs(3));
    }
    assert!(watch.cause(request(1, 1), NOW).is_none());
}

/// Plays a fatal request whose caller leaves, at three replicas in turn, so long before each exits; another response is
/// cut off by each exit. Returns whether the request is then rejected.
fn is_rejected_after_leaving(left_before: Duration, records_abandoned: bool) -> bool {
    let (fatal, innocent) = (request(1, 1), request(2, 2));
    let mut watch = CrashTracker::default();
    for round in 0..MOST_ENDS as u32 {
        let left_at = NOW + Duration::from_secs(5) * round;
        let exit_at = left_at + left_before;
        let run = ReplicaRun { replica: format!("i-{round}"), born: None };
        if records_abandoned {
            watch.record_abandoned(&run, broke(fatal, left_at), left_at);
        }
        let begun = ResponseAbort { has_other_cause: true, ..broke(innocent, left_at) };
        watch.record_abort(&run, begun, exit_at);
        watch.confirm_exit(&run, exit_at + Duration::from_millis(30));
    }
    let later = NOW + Duration::from_secs(20);
    watch.cause(fatal, later).is_some()
}

/// Guards against a fatal request that is sent a fourth time after three exits, since its caller had given up
/// waiting before each of them. Seen in one day of heavy load, in which callers left after 5 s.
#[test]
fn a_request_whose_caller_left_before_each_exit_is_rejected_after_three() {
    assert!(!is_rejected_after_leaving(Duration::from_millis(500), false), "the earlier rule");
    assert!(is_rejected_after_leaving(Duration::from_millis(500), true));
    assert!(is_rejected_after_leaving(ABANDONED_WINDOW, true));
}

/// Guards against innocent requests that are rejected because replicas exited long after their callers left.
#[test]
fn an_exit_long_after_the_caller_left_counts_for_nothing() {
    let late = ABANDONED_WINDOW + Duration::from_millis(1);
    assert!(!is_rejected_after_leaving(late, true));
}

/// Guards against a request that runs well and is rejected, because its caller had given up on it at several replicas
/// shortly before they were killed at once.
#[test]
fn an_abandoned_request_that_runs_well_is_not_rejected() {
    let popular = request(1, 1);
    let mut watch = CrashTracker::default();
    watch.record_success(popular, NOW);
    let killed_at = NOW + Duration::from_secs(3);
    for (number, left_before) in [1_400, 900, 400].into_iter().enumerate() {
        let run = ReplicaRun { replica: format!("i-{number}"), born: None };
        let left_at = killed_at - Duration::from_millis(left_before);
        watch.record_abandoned(&run, broke(popular, left_at), left_at);
        watch.confirm_exit(&run, killed_at + Duration::from_millis(30));
    }
    let run = ReplicaRun { replica: "i-4".into(), born: None };
    watch.record_abort(&run, broke(popular, NOW), killed_at);
    watch.confirm_exit(&run, killed_at + Duration::from_millis(30));
    assert!(watch.cause(popular, killed_at + Duration::from_secs(1)).is_none());
}

/// Guards against an exit that no process notices: the abandoned request was alone at its replica.
#[test]
fn a_replica_is_checked_when_the_window_of_an_abandoned_attempt_ends() {
    let (first, second) = (request(1, 1), request(2, 2));
    let half = ABANDONED_WINDOW / 2;
    let run = ReplicaRun { replica: "i-1".into(), born: None };
    let mut watch = CrashTracker::default();
    assert!(watch.record_abandoned(&run, broke(first, NOW), NOW));
    assert!(!watch.record_abandoned(&run, broke(second, NOW), NOW + half), "one check at a time");
    let due = watch.check_due(&run, AbortKind::Abandoned);
    assert_eq!(due, Some(NOW + ABANDONED_WINDOW));
    // It is alive then, but may still exit under the second one.
    watch.rule_out_exit(&run, NOW + ABANDONED_WINDOW);
    let due = watch.check_due(&run, AbortKind::Abandoned);
    assert_eq!(due, Some(NOW + half + ABANDONED_WINDOW));
    assert_eq!(watch.confirm_exit(&run, NOW + half + ABANDONED_WINDOW), 1);
    assert_eq!(watch.check_due(&run, AbortKind::Abandoned), None);
}

/// Guards against a replica's sign of life that clears responses which broke after it: while one broken response
/// was checked, the exit of the replica cut off others, and none of them was counted.
#[test]
fn a_sign_of_life_clears_only_what_was_aborted_before() {
    let run = ReplicaRun { replica: "i-1".into(), born: None };
    let later = NOW + Duration::from_millis(20);
    let mut watch = CrashTracker::default();
    assert!(watch.record_abort(&run, broke(request(1, 1), NOW), NOW));
    assert!(!watch.record_abort(&run, broke(request(2, 2), NOW), later));
    watch.record_abandoned(&run, broke(request(3, 3), NOW), NOW);
    watch.rule_out_exit(&run, NOW + Duration::from_millis(10));
    assert_eq!(watch.check_due(&run, AbortKind::CutOff), Some(later));
    assert_eq!(watch.confirm_exit(&run, later), 2, "the later one and the abandoned one");
}

/// Guards against an abandoned attempt that counts at an exit of the run before the one that it was sent to, and
/// against one that is not counted at an exit of which another process reports.
#[test]
fn an_abandoned_attempt_counts_at_the_exit_of_its_own_run() {
    let run = ReplicaRun { replica: "i-1".into(), born: None };
    let mut watch = CrashTracker::default();
    let report = |at: Duration, now: Duration| CrashReport {
        ends: vec![ExitReport {
            end: quillcove_core::crash::telling::exit_id("i-1", None),
            age: now - at,
            requests: Vec::new(),
        }],
        good: Vec::new(),
    };
    let second = Duration::from_secs(1);
    watch.record_abandoned(&run, broke(request(1, 1), NOW), NOW + second);
    watch.apply_report(&report(NOW + second * 2, NOW + second * 2), NOW + second * 2);
    assert_eq!(watch.book().summary().requests, 1);
    let sent_at = NOW + second * 3;
    watch.record_abandoned(&run, broke(request(2, 2), sent_at), sent_at);
    assert_eq!(watch.book().summary().requests, 1, "it was sent to the next run");
}

#[test]
fn memory_is_bounded_and_what_ends_few_replicas_goes_first() {
    let mut book = CrashTable::default();
    let fatal = request(u32::MAX, 1);
    for end in 0..MOST_ENDS as ExitId {
        end_with(&mut book, end, &[fatal]);
    }
    // An attacker sends ever new bodies, each of which ends one replica.
    for body in 0..20_000 {
        end_with(&mut book, 100 + ExitId::from(body), &[request(body, 2)]);
    }
    assert!(book.summary().requests <= 4096, "{:?}", book.summary());
    assert!(book.cause(fatal, NOW).is_some());
    let told: usize = in_messages(book.all(NOW)).iter().map(|message| message.ends.len()).sum();
    assert!(told <= 300, "{told}");
}

#[test]
fn what_runs_well_takes_no_place_in_what_is_suspected() {
    let mut watch = CrashTracker::default();
    for body in 0..20_000 {
        watch.record_success(request(body, 1), NOW);
    }
    assert!(watch.book().is_empty());
    assert!(watch.tell(true, NOW).is_empty());
}

#[test]
fn a_message_fits_into_a_datagram() {
    let mut teller = CrashReportQueue::default();
    for body in 0..300 {
        teller.note_end(ExitId::from(body / 100), ended(request(body, u64::MAX)), NOW);
    }
    let messages = teller.tell(false, NOW);
    let told: usize =
        messages.iter().flat_map(|message| &message.ends).map(|end| end.requests.len()).sum();
    assert_eq!(told, 300);
    for message in messages {
        assert!(postcard::to_stdvec(&message).unwrap().len() <= 1400);
    }
}

#[test]
fn a_request_that_is_met_no_more_is_forgotten_and_one_that_comes_is_not() {
    let mut book = CrashTable::default();
    for end in 1..=3 {
        end_with(&mut book, end, &[request(1, 1), request(2, 2)]);
    }
    let later = NOW + FORGET_TIME / 2;
    let told = book.note_refused(request(1, 1).digest, later);
    assert_eq!(told.ends.len(), 3, "others may not have met it for long");
    book.forget(NOW + FORGET_TIME);
    assert_eq!(book.summary().requests, 1);
}

/// One thing that a process tells.
#[derive(Clone, Copy, Debug)]
enum Word {
    Ended { end: ExitId, body: u32, caller: u64, age: u64 },
    Good { body: u32, caller: u64, age: u64 },
}

fn words() -> impl Strategy<Value = Vec<Word>> {
    let ended = (0..6u64, 0..3u32, 0..3u64, 0..50u64)
        .prop_map(|(end, body, caller, age)| Word::Ended { end, body, caller, age });
    let good = (0..3u32, 0..3u64, 0..50u64).prop_map(|(body, caller, age)| Word::Good {
        body,
        caller,
        age,
    });
    proptest::collection::vec(prop_oneof![5 => ended, 1 => good], 0..30)
}

fn told(word: Word) -> CrashReport {
    match word {
        // Every process notices an end at the same time.
        Word::Ended { end, body, caller, age } => {
            let age = Duration::from_secs(age / 50 + end * 8);
            let report = ExitReport { end, age, requests: vec![ended(request(body, caller))] };
            CrashReport { ends: vec![report], good: Vec::new() }
        },
        Word::Good { body, caller, age } => {
            let good =
                SuccessReport { identity: request(body, caller), age: Duration::from_secs(age) };
            CrashReport { ends: Vec::new(), good: vec![good] }
        },
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Two processes that were told the same ends in another order and more than once refuse the same.
    #[test]
    fn ends_may_come_in_any_order_and_twice(words in words(), turn in 0..30usize) {
        let is_end = |word: &&Word| matches!(word, Word::Ended { .. });
        let ends: Vec<Word> = words.iter().filter(is_end).copied().collect();
        let mut turned = ends.clone();
        turned.rotate_left(turn % ends.len().max(1));
        turned.extend(ends.iter().rev());
        let (mut one, mut other) = (CrashTable::default(), CrashTable::default());
        for word in &ends {
            one.take(&told(*word), NOW);
        }
        for word in &turned {
            other.take(&told(*word), NOW);
        }
        for (body, caller) in [(0, 0), (0, 1), (1, 0), (1, 2), (2, 1)] {
            let identity = request(body, caller);
            prop_assert_eq!(one.cause(identity, NOW).is_some(), other.cause(identity, NOW).is_some());
        }
    }

    /// A request of a caller that ran well after all of its ends is never refused.
    #[test]
    fn a_good_run_after_all_ends_clears_its_caller(words in words()) {
        let mut book = CrashTable::default();
        for word in &words {
            book.take(&told(*word), NOW);
        }
        for body in 0..3 {
            for caller in 0..3 {
                book.record_success(request(body, caller), NOW);
                prop_assert!(book.cause(request(body, caller), NOW).is_none());
            }
        }
    }
}
