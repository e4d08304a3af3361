//! Which requests begin in time while callers send more than the engines can serve.
//!
//! The load: 8 engines, each of which processes 19.2 prompt tokens a millisecond, and prompts of 2,100 tokens with a target
//! of 1 s for the first event and a deadline of 5 s. For 6 s callers send twice what the engines can serve. Relays know the
//! engines' queues 0.1 to 0.5 s late. Guards against the collapse in which every queue is late for everyone: with the
//! earlier rule a seventh to a third of the prompts that the engines process are in time.

mod admission_fleet;

use admission_fleet::{Fleet, Load, Outcome};
use quillcove_core::relay::policy::ContentionRule;

/// Share of what the engines can serve during the burst that has to begin in time.
const MIN_TIMELY_SHARE: f64 = 0.8;

fn run(load: Load) -> Outcome {
    Fleet::new(load).run()
}

fn burst(relays: usize) -> Load {
    Load { relays, ..Load::default() }
}

#[test]
fn a_burst_of_twice_the_capacity_is_served_in_time_by_any_number_of_relays() {
    for relays in [1, 25, 68, 420] {
        let admitted = run(burst(relays));
        let earlier = run(Load { rule: ContentionRule::Never, ..burst(relays) });
        println!("{relays} relays: {admitted:?}, earlier {earlier:?}");
        assert!(admitted.timely_share() >= MIN_TIMELY_SHARE, "{relays} relays: {admitted:?}");
        // A single relay knows all prompts itself.
        assert!(relays == 1 || admitted.timely_share() > 1.5 * earlier.timely_share());
    }
}

#[test]
fn callers_that_return_three_times_at_once_do_not_take_the_room_of_others() {
    for relays in [25, 420] {
        let outcome = run(Load { copies_on_return: 3, ..burst(relays) });
        println!("{relays} relays: {outcome:?}");
        assert!(outcome.timely_share() >= MIN_TIMELY_SHARE, "{relays} relays: {outcome:?}");
    }
}

#[test]
fn a_workspace_at_eight_times_its_usual_traffic_does_not_make_the_others_late() {
    // Each workspace usually sends 8 % of what the engines can serve.
    let workspaces = &[8.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    for relays in [1, 25, 68] {
        let load = Load { demand: 17.0 * 0.08, workspaces, ..burst(relays) };
        let outcome = run(load);
        let earlier = run(Load { rule: ContentionRule::Never, ..load });
        println!("{relays} relays: {outcome:?}, earlier {earlier:?}");
        assert!(outcome.timely_share() >= MIN_TIMELY_SHARE, "{relays} relays: {outcome:?}");
        let others = outcome.by_workspace.iter().filter(|(name, _)| *name != "w0");
        let (sent, timely) = others.fold((0, 0), |sum, (_, it)| (sum.0 + it.0, sum.1 + it.1));
        println!("{relays} relays: others {timely} of {sent}");
        assert!(timely as f64 >= MIN_TIMELY_SHARE * sent as f64, "{relays} relays: {outcome:?}");
        // It keeps what the others leave.
        assert!(outcome.by_workspace["w0"].1 > 0, "{relays} relays: {outcome:?}");
    }
}
