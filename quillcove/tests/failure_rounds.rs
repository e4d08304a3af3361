//! Rounds of random failures at real processes while callers book seats. The services count for
//! themselves how often each booking ran.
//!
//! `QUILLCOVE_ROUNDS=1000 cargo test --test failure_rounds -- --nocapture` runs the long form.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{ProcessSite, SiteSize, call_with, verdict, wait_until};
use http::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Rounds where the environment names none.
const SHORT_ROUNDS: usize = 25;

/// Callers that book at the same time in each round.
const CALLERS: usize = 6;

/// Requests of one caller for its booking.
const TRIES: usize = 3;

/// Seed of all draws.
const SEED: u64 = 20261202;

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    KillAgent(usize),
    FreezeAgent(usize),
    FreezeEntry(usize),
    PlatformDown,
    KillAgentWhilePlatformIsDown(usize),
}

/// What one caller was told, try by try.
#[derive(Clone, Debug, Default)]
struct Told {
    verdicts: Vec<String>,
}

fn draw_fault(rng: &mut StdRng) -> Fault {
    let agent = rng.random_range(0..2);
    let faults = [
        Fault::None,
        Fault::KillAgent(agent),
        Fault::KillAgent(agent),
        Fault::FreezeAgent(agent),
        Fault::FreezeAgent(agent),
        Fault::FreezeEntry(agent),
        Fault::PlatformDown,
        Fault::KillAgentWhilePlatformIsDown(agent),
    ];
    *faults.choose(rng).expect("there are faults")
}

/// One caller: takes a ticket, books, and asks again through the other entry.
fn book(entries: &[String], booking: &str, first: usize, deadline_ms: u64) -> Told {
    let mut told = Told::default();
    let ticket_uri = format!("http://{}/v1/tickets/booking", entries[first]);
    let Ok(answer) = call_with(Method::POST, &ticket_uri, &[], "") else { return told };
    let body: serde_json::Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    let Some(ticket) = body["ticket"].as_str() else { return told };
    for number in 0..TRIES {
        let entry = &entries[(first + number) % entries.len()];
        let uri = format!("http://{entry}/svc/booking/seats");
        let deadline = deadline_ms.to_string();
        let headers = [
            ("quillcove-repeatable", "no"),
            ("quillcove-ticket", ticket),
            ("x-booking", booking),
            ("quillcove-deadline-ms", deadline.as_str()),
        ];
        let answer = call_with(Method::POST, &uri, &headers, booking);
        let word = answer.as_ref().map_or("may-have-run", verdict).to_string();
        told.verdicts.push(word.clone());
        if word == "ran" {
            return told;
        }
    }
    told
}

fn begin_fault(site: &mut ProcessSite, fault: Fault) {
    match fault {
        Fault::None => {},
        Fault::KillAgent(agent) => site.agents[agent].process.kill(),
        Fault::FreezeAgent(agent) => site.agents[agent].process.signal("-STOP"),
        Fault::FreezeEntry(entry) => site.entries[entry].process.signal("-STOP"),
        Fault::PlatformDown => site.put("mode", "{\"mode\":\"down\"}"),
        Fault::KillAgentWhilePlatformIsDown(agent) => {
            site.put("mode", "{\"mode\":\"down\"}");
            site.agents[agent].process.kill();
        },
    }
}

fn end_fault(site: &mut ProcessSite, fault: Fault) {
    match fault {
        Fault::None => {},
        Fault::KillAgent(agent) => site.restart_agent(agent),
        Fault::FreezeAgent(agent) => site.agents[agent].process.signal("-CONT"),
        Fault::FreezeEntry(entry) => site.entries[entry].process.signal("-CONT"),
        Fault::PlatformDown => site.put("mode", "{\"mode\":\"up\"}"),
        Fault::KillAgentWhilePlatformIsDown(agent) => {
            site.put("mode", "{\"mode\":\"up\"}");
            site.restart_agent(agent);
        },
    }
}

#[test]
fn bookings_run_at_most_once_and_not_run_is_true() {
    let rounds = std::env::var("QUILLCOVE_ROUNDS").ok().and_then(|rounds| rounds.parse().ok());
    let rounds = rounds.unwrap_or(SHORT_ROUNDS);
    let size = SiteSize { engines: 0, service_delay_ms: 20, ..SiteSize::default() };
    let mut site = ProcessSite::start(&size);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut all: BTreeMap<String, Told> = BTreeMap::new();
    for round in 0..rounds {
        let fault = draw_fault(&mut rng);
        let entries: Vec<String> = (0..2).map(|number| site.entry(number)).collect();
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let entries = entries.clone();
                let booking = format!("seat-{round}-{caller}");
                let pause = Duration::from_millis(rng.random_range(0..40));
                let deadline = [150, 400, 2000][caller % 3];
                std::thread::spawn(move || {
                    std::thread::sleep(pause);
                    (booking.clone(), book(&entries, &booking, caller % 2, deadline))
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(rng.random_range(0..40)));
        begin_fault(&mut site, fault);
        std::thread::sleep(Duration::from_millis(rng.random_range(20..250)));
        end_fault(&mut site, fault);
        for caller in callers {
            let (booking, told) = caller.join().expect("callers end");
            all.insert(booking, told);
        }
        if round % 100 == 99 {
            println!("{} rounds", round + 1);
        }
    }
    site.wait_ready();
    wait_until(|| site.ticket(0).is_some());
    judge(&site, &all);
}

fn judge(site: &ProcessSite, all: &BTreeMap<String, Told>) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut double_runs = 0;
    let mut untrue = Vec::new();
    let runs = site.all_booking_runs();
    for (booking, told) in all {
        let ran = runs.get(booking).copied().unwrap_or(0);
        double_runs += usize::from(ran > 1);
        let last = told.verdicts.last().map_or("no ticket", String::as_str);
        *counts.entry(last).or_default() += 1;
        let was_told = |word: &str| told.verdicts.iter().any(|verdict| verdict == word);
        let all_not_run = told.verdicts.iter().all(|verdict| verdict == "not-run");
        let is_untrue = (all_not_run && ran > 0) || (was_told("ran") && ran == 0);
        if is_untrue {
            untrue.push((booking, told, ran));
        }
    }
    println!("{} bookings, last verdicts {counts:?}", all.len());
    println!("double runs {double_runs}, untrue verdicts {}", untrue.len());
    assert_eq!(double_runs, 0);
    assert!(untrue.is_empty(), "{untrue:?}");
    assert!(counts.get("ran").copied().unwrap_or(0) > all.len() / 4, "{counts:?}");
}
