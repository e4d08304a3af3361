//! The time to a first event, as a relay learns it, and the choice of engines by it.

#[allow(dead_code, unused_imports, unused_macros)]
mod fuzz;

use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::relay::reading::{PrefillAverages, PrefillPrompt, PrefillQueue};
use quillcove_core::relay::replica::{ReplicaTable, ReplicaView, example_record};
use quillcove_core::relay::routing::{RoutingCost, choose};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn prompt(tokens: u32, rank: u8) -> PrefillPrompt {
    PrefillPrompt { tokens, rank }
}

/// An engine that reads one token in `token_us` and nothing else at the time.
fn read_alone(queue: &mut PrefillQueue, norm: &mut PrefillAverages, tokens: u32, token_us: u64) {
    queue.begin(1, prompt(tokens, 0), norm, ms(0));
    let took = Duration::from_micros(u64::from(tokens) * token_us);
    queue.end(1, Some(took), norm);
}

#[test]
fn the_pace_of_an_engine_is_learnt() {
    let (mut queue, mut norm) = (PrefillQueue::default(), PrefillAverages::default());
    for _ in 0..200 {
        read_alone(&mut queue, &mut norm, 10_000, 80);
    }
    let time = queue.time_to_first_event(prompt(1_000, 0), &norm);
    assert!(time > ms(75) && time < ms(85), "{time:?}");
}

#[test]
fn a_slow_engine_is_told_from_the_others() {
    let (mut slow, mut fast) = (PrefillQueue::default(), PrefillQueue::default());
    let mut norm = PrefillAverages::default();
    for _ in 0..200 {
        read_alone(&mut slow, &mut norm, 10_000, 120);
        read_alone(&mut fast, &mut norm, 10_000, 40);
    }
    let times = [&slow, &fast].map(|queue| queue.time_to_first_event(prompt(5_000, 0), &norm));
    assert!(times[0] > times[1].mul_f64(1.3), "{times:?}");
}

#[test]
fn only_prompts_that_go_first_are_waited_for() {
    let (mut queue, norm) = (PrefillQueue::default(), PrefillAverages::default());
    let alone = queue.time_to_first_event(prompt(1_000, 1), &norm);
    queue.begin(1, prompt(8_000, 2), &norm, ms(0));
    assert_eq!(queue.time_to_first_event(prompt(1_000, 1), &norm), alone);
    assert!(queue.time_to_first_event(prompt(1_000, 2), &norm) > alone);
    assert!(queue.backlog(&norm) > Duration::ZERO);
}

#[test]
fn prompts_of_other_relays_count_as_they_are_reported() {
    let (mut queue, norm) = (PrefillQueue::default(), PrefillAverages::default());
    queue.begin(1, prompt(1_000, 0), &norm, ms(0));
    let own = queue.backlog(&norm);
    queue.report(1);
    assert_eq!(queue.backlog(&norm), own, "the one that waits is this relay's own");
    queue.report(4);
    assert!(queue.backlog(&norm) > own);
}

#[test]
fn a_prompt_goes_where_it_is_read_soonest() {
    let mut table = ReplicaTable::default();
    for id in ["i-1", "i-2"] {
        table.list(example_record(id), ms(0));
    }
    table.begin_reading("i-1", 1, prompt(9_000, 0), ms(0));
    let norm = table.norm("s");
    let views: Vec<&ReplicaView> = table.all().collect();
    let cost =
        RoutingCost { prompt: Some(prompt(500, 0)), norm: &norm, hall: "hall-a", targets: None };
    let chosen = choose(&views, &cost, ms(0), 7).expect("there are two");
    assert_eq!(chosen.record.id, "i-2");
}

proptest! {
    #![proptest_config(fuzz::config_of(64))]

    /// Whatever begins and ends in whichever order, nothing is left over and times stay finite.
    #[test]
    fn what_ended_is_not_waited_for(
        steps in proptest::collection::vec((0u64..6, 1u32..50_000, 0u8..10, any::<bool>()), 1..60),
    ) {
        let (mut queue, mut norm) = (PrefillQueue::default(), PrefillAverages::default());
        for (at, (number, tokens, rank, is_read)) in steps.into_iter().enumerate() {
            let now = ms(at as u64 * 10);
            queue.begin(number, prompt(tokens, rank), &norm, now);
            queue.end(number, is_read.then_some(now + ms(20)), &mut norm);
            prop_assert_eq!(queue.backlog(&norm), Duration::ZERO);
            prop_assert!(queue.time_to_first_event(prompt(tokens, rank), &norm) < Duration::from_secs(60));
        }
    }
}
