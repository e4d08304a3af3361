//! Model checking: the core's machines, unchanged, in small worlds where everything that may
//! happen happens in every order. Each wrong rule must be caught; the right ones must hold.

#[path = "model/engine_world.rs"]
mod engine_world;
#[path = "model/once_world.rs"]
mod once_world;
#[path = "model/relay_world.rs"]
mod relay_world;
#[path = "model/search.rs"]
mod search;

use engine_world::{Bounds, EngineWorld, WrongRule};
use once_world::{OnceBounds, OnceRule, OnceWorld};
use relay_world::{ListBounds, ListRule, ListWorld};
use search::{SearchReport, search};

fn print_report(name: &str, report: &SearchReport) {
    println!("{name}: {} states, depth {}", report.states, report.depth);
    if report.trace.is_some() {
        println!("{}", report.text());
    }
}

fn engine_holds(name: &str, bounds: Bounds, depth: usize) {
    let report = search(EngineWorld::new(WrongRule::Right, bounds), depth);
    print_report(name, &report);
    assert!(report.trace.is_none(), "{}", report.text());
}

fn engine_catches(rule: WrongRule, bounds: Bounds, depth: usize, expected: &str) {
    let report = search(EngineWorld::new(rule, bounds), depth);
    print_report(&format!("{rule:?}"), &report);
    assert!(report.text().contains(expected), "{rule:?}: {}", report.text());
}

/// Loads, unloads and runs with orders that are lost, doubled and late.
const ORDERS: Bounds = Bounds {
    arrivals: 3,
    unanswered_orders: 1,
    doubled_orders: 1,
    time_steps: 2,
    ..Bounds::NOTHING
};

/// Agents replaced beside a running engine, with late reports.
const TAKEOVER: Bounds =
    Bounds { arrivals: 2, agent_restarts: 1, late_reports: 1, time_steps: 1, ..Bounds::NOTHING };

/// Connections that break, engines that restart, callers that withdraw.
const BREAKS: Bounds = Bounds {
    arrivals: 2,
    copies: 1,
    withdrawals: 1,
    broken_runs: 1,
    engine_restarts: 1,
    time_steps: 2,
    ..Bounds::NOTHING
};

/// Bundles that change while agents are replaced.
const BUNDLES: Bounds = Bounds {
    arrivals: 2,
    bundles: 1,
    agent_restarts: 1,
    time_steps: 1,
    unanswered_orders: 1,
    stops: 1,
    ..Bounds::NOTHING
};

#[test]
fn orders_lost_doubled_and_late_never_unload_under_a_run() {
    engine_holds("orders", ORDERS, 14);
}

#[test]
fn a_new_agent_never_unloads_under_the_old_ones_runs() {
    engine_holds("takeover", TAKEOVER, 14);
}

#[test]
fn broken_connections_and_restarts_keep_verdicts_true() {
    engine_holds("breaks", BREAKS, 14);
}

#[test]
fn no_attempt_starts_under_an_older_bundle() {
    engine_holds("bundles", BUNDLES, 14);
}

#[test]
fn pin_released_at_first_byte_is_caught() {
    engine_catches(WrongRule::UnpinAtFirstByte, ORDERS, 14, "unloaded while it serves");
}

#[test]
fn takeover_without_settling_is_caught() {
    engine_catches(WrongRule::NoSettling, TAKEOVER, 14, "unloaded while it serves");
}

#[test]
fn pin_of_a_broken_run_released_at_once_is_caught() {
    let bounds = Bounds { arrivals: 2, broken_runs: 1, time_steps: 1, ..Bounds::NOTHING };
    engine_catches(WrongRule::UnpinBroken, bounds, 14, "unloaded while it serves");
}

#[test]
fn fence_that_is_not_checked_is_caught() {
    engine_catches(WrongRule::UncheckedFence, ORDERS, 20, "unloaded while it serves");
}

#[test]
fn refusal_without_a_mark_is_caught() {
    engine_catches(WrongRule::NoMarks, BREAKS, 14, "after not-run was told");
}

#[test]
fn not_run_on_a_broken_connection_is_caught() {
    engine_catches(WrongRule::BrokenIsNotRun, BREAKS, 14, "not-run is told");
}

#[test]
fn bundle_without_the_engines_witness_is_caught() {
    engine_catches(WrongRule::NoWitness, BUNDLES, 14, "under an older bundle");
}

#[test]
fn work_before_the_claim_is_caught() {
    let bounds = Bounds { arrivals: 3, agent_restarts: 1, time_steps: 1, ..Bounds::NOTHING };
    engine_catches(WrongRule::NoClaim, bounds, 14, "unloaded while it serves");
}

/// A caller that repeats, attempts lost, late and doubled, agents replaced, answers lost.
const BOOKING: OnceBounds = OnceBounds { requests: 2, lost: 1, doubled: 1, restarts: 1, broken: 1 };

/// The same with a caller that asks only once.
const ASKED_ONCE: OnceBounds = OnceBounds { requests: 1, lost: 2, doubled: 2, ..BOOKING };

fn once_holds(rule: OnceRule, bounds: OnceBounds) {
    let report = search(OnceWorld::new(rule, bounds), 14);
    print_report(&format!("{rule:?}"), &report);
    assert!(report.trace.is_none(), "{}", report.text());
}

fn once_catches(rule: OnceRule, bounds: OnceBounds, expected: &str) {
    let report = search(OnceWorld::new(rule, bounds), 14);
    print_report(&format!("{rule:?}"), &report);
    assert!(report.text().contains(expected), "{rule:?}: {}", report.text());
}

#[test]
fn a_booking_with_a_ticket_runs_at_most_once() {
    once_holds(OnceRule::Ticket, BOOKING);
}

#[test]
fn a_booking_with_a_key_runs_at_most_once() {
    once_holds(OnceRule::Key, BOOKING);
}

#[test]
fn key_at_any_replica_is_caught() {
    once_catches(OnceRule::AnyReplica, BOOKING, "ran twice");
}

#[test]
fn book_forgotten_on_restart_is_caught() {
    once_catches(OnceRule::BookForgotten, BOOKING, "ran twice");
}

#[test]
fn keys_taken_at_once_after_a_restart_are_caught() {
    once_catches(OnceRule::KeysAtOnce, BOOKING, "ran twice");
}

#[test]
fn lost_attempt_called_not_run_is_caught() {
    once_catches(OnceRule::LostIsNotRun, BOOKING, "not-run");
}

#[test]
fn withdrawal_without_a_mark_is_caught() {
    once_catches(OnceRule::NoMarks, BOOKING, "not-run");
}

#[test]
fn a_booking_without_a_name_runs_at_most_once() {
    once_holds(OnceRule::Unnamed, ASKED_ONCE);
}

#[test]
fn repeat_of_what_may_have_run_is_caught() {
    once_catches(OnceRule::RepeatsAnyway, ASKED_ONCE, "ran twice");
}

/// Replicas that drain and leave, and a store that goes away and comes back.
const LISTS: ListBounds = ListBounds { drains: 1, leaves: 1, outages: 1, ticks: 4 };

#[test]
fn a_relay_sends_nothing_to_what_left_and_all_to_what_only_lapsed() {
    let report = search(ListWorld::new(ListRule::Right, LISTS), 14);
    print_report("lists", &report);
    assert!(report.trace.is_none(), "{}", report.text());
}

fn list_rule_is_caught(rule: ListRule, expected: &str) {
    let report = search(ListWorld::new(rule, LISTS), 14);
    print_report(&format!("{rule:?}"), &report);
    assert!(report.text().contains(expected), "{rule:?}: {}", report.text());
}

#[test]
fn a_lapse_that_counts_as_gone_is_caught() {
    list_rule_is_caught(ListRule::LapseIsGone, "lives and gets no requests");
}

#[test]
fn a_lapse_that_is_kept_for_ever_is_caught() {
    list_rule_is_caught(ListRule::LapseIsKept, "is gone and gets a request");
}

#[test]
fn a_drain_that_is_not_heard_is_caught() {
    list_rule_is_caught(ListRule::DrainIsUnheard, "leaves and gets a request");
}

#[test]
fn a_removal_that_is_not_heard_is_caught() {
    list_rule_is_caught(ListRule::GoneIsUnheard, "is gone and gets a request");
}
