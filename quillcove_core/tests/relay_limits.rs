//! What one relay makes of a limit that a replica names for all relays together.

#[allow(dead_code)]
mod relay_site;

use std::collections::BTreeMap;
use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{AnnouncedLimit, EngineHeartbeat, EngineReport, LimitUpdate};
use quillcove_core::relay::machine::{
    AttemptOrder, RelayChoice, RelayMachine, RelayQuery, RelayRules,
};
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::standing::limit::RateLimit;
use quillcove_core::standing::notice::UpstreamNotice;
use quillcove_core::verdict::RefusalReason;
use relay_site::{address, engine_service, ms, stream_route};

/// Two requests a second.
const RATE: f64 = 2.0;
const GAP: Duration = Duration::from_millis(500);

fn names(rate: f64) -> UpstreamNotice {
    UpstreamNotice { limit: RateLimit::per_second(rate), ..UpstreamNotice::default() }
}

fn record(number: u16) -> ReplicaRecord {
    ReplicaRecord { address: address(number), ..example_record(&format!("i-{number}")) }
}

fn order(number: u16, chosen_at: Duration) -> AttemptOrder {
    AttemptOrder { chosen_at, ..AttemptOrder::to(&record(number)) }
}

/// A relay of this name that hears these, and knows so many replicas.
fn relay(name: &str, others: &[&str], replicas: u16) -> RelayMachine {
    let rules = RelayRules { host: name.to_string(), ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(100, 3.0)];
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![stream_route()],
        services,
        CallerLimits::default(),
    ));
    machine.set_peers(others.iter().map(ToString::to_string).collect(), ms(0));
    for number in 1..=replicas {
        machine.list(record(number), ms(0));
    }
    machine
}

fn query(received: Duration) -> RelayQuery {
    relay_site::query(stream_route(), None, received)
}

/// How many of forty requests of one moment each replica gets.
fn sent(machine: &mut RelayMachine, now: Duration) -> BTreeMap<String, usize> {
    let mut sent = BTreeMap::new();
    for _ in 0..40 {
        if let RelayChoice::Send(order) = machine.choose(&query(now), &[], now) {
            machine.begin_attempt(&order.replica, None, now);
            *sent.entry(order.replica).or_insert(0) += 1;
        }
    }
    sent
}

fn sent_to_first(machine: &mut RelayMachine, now: Duration) -> usize {
    sent(machine, now).get("i-1").copied().unwrap_or(0)
}

fn may_take_first(machine: &RelayMachine, now: Duration) -> bool {
    machine.table().get("i-1").is_some_and(|view| view.takes_work(now))
}

fn word(limit: Option<f64>, age: Duration) -> LimitUpdate {
    let limit = limit.and_then(RateLimit::per_second);
    LimitUpdate {
        words: vec![AnnouncedLimit { replica: "i-1".to_string(), born: None, limit, age }],
    }
}

#[test]
fn one_relay_alone_sends_at_the_rate_and_saves_up_little() {
    let mut machine = relay("a", &[], 2);
    machine.record_notice(&order(1, ms(0)), &names(RATE), ms(1000));
    assert_eq!(sent_to_first(&mut machine, ms(1000) + GAP - ms(1)), 0);
    assert_eq!(sent_to_first(&mut machine, ms(1000) + GAP), 1);
    // Ten seconds later there is room for the turn of then, and for what a quarter of a second saves.
    assert_eq!(sent_to_first(&mut machine, ms(11_000)), 1);
    assert_eq!(sent_to_first(&mut machine, ms(11_000) + GAP), 1);
    machine.record_notice(&order(1, ms(0)), &names(8.0), ms(12_000));
    assert_eq!(sent_to_first(&mut machine, ms(20_000)), 3);
}

#[test]
fn when_all_name_limits_callers_are_refused_at_once_with_the_next_turn() {
    let mut machine = relay("a", &[], 1);
    machine.record_notice(&order(1, ms(0)), &names(RATE), ms(1000));
    match machine.choose(&query(ms(1100)), &[], ms(1100)) {
        RelayChoice::Refuse(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            let left = refusal.retry_after.expect("it names a time");
            assert!(left >= ms(400) && left <= ms(500), "{left:?}");
        },
        other => panic!("{other:?}"),
    }
}

#[test]
fn only_a_good_answer_to_a_later_request_ends_a_limit() {
    let mut machine = relay("a", &[], 2);
    machine.record_notice(&order(1, ms(0)), &names(RATE), ms(1000));
    assert!(!machine.record_no_limit(&order(1, ms(900)), ms(1200)), "chosen before the word");
    // Nor do the list, a lapse of the entry, or a notice of something else.
    machine.list(record(1), ms(1210));
    machine.unlist("i-1", ms(1220));
    machine.list(record(1), ms(1230));
    machine.record_notice(&order(1, ms(1240)), &UpstreamNotice::default(), ms(1250));
    assert!(!may_take_first(&machine, ms(1300)));
    assert!(machine.record_no_limit(&order(1, ms(1260)), ms(1400)));
    assert!(may_take_first(&machine, ms(1500)));
    // Work returns in steps.
    let first = sent_to_first(&mut machine, ms(1500));
    assert!((1..=3).contains(&first), "{first} at once");
}

#[test]
fn a_limit_belongs_to_one_start() {
    let mut machine = relay("a", &[], 2);
    machine.list(ReplicaRecord { born: Some(1), ..record(1) }, ms(10));
    let of_first = AttemptOrder { start_time: Some(1), ..order(1, ms(0)) };
    machine.record_notice(&of_first, &names(RATE), ms(1000));
    machine.list(ReplicaRecord { born: Some(2), ..record(1) }, ms(1100));
    assert!(may_take_first(&machine, ms(1100)), "the new start names none");
    machine.record_notice(&of_first, &names(RATE), ms(1200));
    assert!(may_take_first(&machine, ms(1200)), "the word is a late one of the earlier start");
}

#[test]
fn what_was_chosen_before_a_limit_or_long_ago_is_chosen_again() {
    let mut machine = relay("a", &[], 2);
    let early = order(1, ms(900));
    assert!(machine.may_send(&early, ms(900), ms(950)));
    machine.record_notice(&order(1, ms(0)), &names(RATE), ms(1000));
    assert!(!machine.may_send(&early, ms(900), ms(1001)), "it had no turn");
    let in_turn = order(1, ms(1500));
    assert!(machine.may_send(&in_turn, ms(1500), ms(2400)));
    assert!(!machine.may_send(&in_turn, ms(1500), ms(2500)), "others had theirs meanwhile");
}

/// Names of so many relays.
fn names_of(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("relay-{number}")).collect()
}

/// Rates at which relays with these names send to a replica that names a limit, as each hears all others.
fn rates(relays: &[String], limit: f64) -> Vec<f64> {
    let rate_of = |own: &String| {
        let others: Vec<&str> = relays.iter().filter(|it| *it != own).map(String::as_str).collect();
        let mut machine = relay(own, &others, 1);
        machine.record_notice(&order(1, ms(0)), &names(limit), ms(1000));
        let steps = 24_000;
        let step = ms(100);
        let mut sent = 0;
        for number in 1..=steps {
            let now = ms(1000) + step * number;
            if may_take_first(&machine, now) {
                machine.begin_attempt("i-1", None, now);
                sent += 1;
            }
        }
        f64::from(sent) / (step * steps).as_secs_f64()
    };
    relays.iter().map(rate_of).collect()
}

#[test]
fn the_parts_of_all_relays_are_the_limit_and_few_have_one() {
    for (count, limit, most_sharers) in [(1, 1.0, 1), (4, 1.0, 4), (25, 1.6, 4), (25, 9.0, 8)] {
        let rates = rates(&names_of(count), limit);
        let sharers = rates.iter().filter(|rate| **rate > 0.0).count();
        let sum: f64 = rates.iter().sum();
        assert_eq!(sharers, most_sharers, "of {count} relays at {limit}");
        assert!(sum <= limit * 1.01 && sum > limit * 0.8, "{sum} of {limit} at {count} relays");
    }
}

#[test]
fn a_relay_that_hears_few_of_the_others_uses_its_part_only() {
    let mut machine = relay("a", &["b", "c", "d"], 1);
    machine.record_notice(&order(1, ms(0)), &names(RATE), ms(1000));
    machine.set_peers(Vec::new(), ms(1100));
    assert!(!may_take_first(&machine, ms(1000) + GAP * 3));
    // One of four, for all that it knows; the others go on with theirs.
    assert!(may_take_first(&machine, ms(1000) + GAP * 5));
}

#[test]
fn another_relays_word_counts_when_it_is_newer() {
    let mut machine = relay("a", &["b"], 2);
    let is_limited = |machine: &RelayMachine| {
        machine.table().get("i-1").is_some_and(|view| view.standing.limit().is_some())
    };
    machine.apply_limit_reports(&word(Some(RATE), ms(0)), ms(1000));
    assert!(is_limited(&machine) && !may_take_first(&machine, ms(1001)));
    machine.record_notice(&order(1, ms(0)), &names(RATE), ms(2000));
    machine.apply_limit_reports(&word(None, ms(700)), ms(2300));
    assert!(is_limited(&machine), "the answer without a limit is an older one");
    machine.apply_limit_reports(&word(None, ms(100)), ms(2700));
    assert!(!is_limited(&machine));
    machine.apply_limit_reports(&word(Some(RATE), ms(900)), ms(2900));
    assert!(!is_limited(&machine), "the limit had been named before its end");
}

#[test]
fn news_is_told_twice_and_then_repeated_by_one_relay() {
    let machines = ["a", "b", "c"].map(|own| {
        let others: Vec<&str> = ["a", "b", "c"].into_iter().filter(|it| *it != own).collect();
        let mut machine = relay(own, &others, 2);
        machine.record_notice(&order(1, ms(0)), &names(RATE), ms(1000));
        machine
    });
    let mut repeated = 0;
    for mut machine in machines {
        let mut told =
            |at: u64| machine.take_due_limit_reports(ms(at)).map_or(0, |beacon| beacon.words.len());
        assert_eq!([told(1500), told(2000), told(2500)], [1, 1, 0]);
        repeated += told(7100);
    }
    assert_eq!(repeated, 1);
}

#[test]
fn a_relay_that_is_told_by_another_tells_nobody() {
    let mut machine = relay("a", &["b"], 2);
    machine.record_notice(&order(1, ms(0)), &names(RATE), ms(1000));
    machine.apply_limit_reports(&word(Some(RATE), ms(0)), ms(1100));
    assert!(machine.take_due_limit_reports(ms(1500)).is_none());
}

#[test]
fn adapters_are_loaded_where_no_limit_is_named() {
    let mut machine = relay("a", &[], 2);
    let report = |number: u16| EngineHeartbeat {
        host: format!("host-{number}"),
        engine: address(number),
        number: 1,
        incarnation: 1,
        content: 1,
        report: EngineReport { models: vec!["m".to_string()], ..EngineReport::default() },
        uses: Vec::new(),
        model_loads: Vec::new(),
        arrivals: Vec::new(),
        spare_places: Some(4),
        relays: Vec::new(),
    };
    machine.record_notice(&order(1, ms(0)), &names(RATE), ms(1000));
    for number in [1, 2] {
        machine.take_report(&report(number), ms(1000) + GAP);
    }
    let key = AdapterKey { model: "m".to_string(), adapter: "a1".to_string() };
    let asked = relay_site::query(stream_route(), Some(key), ms(1000) + GAP);
    machine.choose(&asked, &[], ms(1000) + GAP);
    let asks = machine.take_load_requests();
    let engines: Vec<&str> = asks.iter().map(|ask| ask.ask.replica.as_str()).collect();
    assert_eq!(engines, ["i-2"]);
}
