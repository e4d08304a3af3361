//! Failures at real processes: kills, freezes, outages, restarts, stops.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{ProcessSite, SiteSize, call, get_json, state, verdict, wait_until};
use http::Method;
use serde_json::{Value, json};

fn completion(model: &str, tokens: usize) -> Value {
    json!({ "model": model, "prompt": "hi", "max_tokens": tokens, "user": "u" })
}

/// Completes until it works; each answer on the way has to be a true refusal.
fn complete_at_last(site: &ProcessSite, entry: usize, model: &str) -> Value {
    let mut body = Value::Null;
    wait_until(|| {
        let Ok(answer) = site.complete(entry, &completion(model, 2)) else { return false };
        body = serde_json::from_slice(answer.body()).unwrap_or_default();
        assert!(answer.status() == 200 || body["error"]["verdict"].is_string(), "{body}");
        answer.status() == 200
    });
    body
}

#[test]
fn replaced_agent_does_not_run_an_old_ticket() {
    let mut site = ProcessSite::start(&SiteSize { services: 1, ..SiteSize::default() });
    let ticket = site.ticket(0).unwrap();
    assert_eq!(verdict(&site.book(0, &ticket, "seat").unwrap()), "ran");
    let owner = site.agents.len() - 1;
    site.restart_agent(owner);
    site.wait_ready();
    wait_until(|| {
        let answer = site.book(1, &ticket, "seat").unwrap();
        assert_ne!(verdict(&answer), "ran");
        let body: Value = serde_json::from_slice(answer.body()).unwrap();
        body["error"]["code"] == "ticket_unknown" && verdict(&answer) == "may-have-run"
    });
    assert_eq!(site.booking_runs("seat"), 1);
    // A new ticket works at once.
    let ticket = site.ticket(1).unwrap();
    assert_eq!(verdict(&site.book(1, &ticket, "next seat").unwrap()), "ran");
}

#[test]
fn replaced_agent_doubts_keys_without_a_ticket() {
    let site = ProcessSite::start(&SiteSize::default());
    let uri = format!("http://{}/svc/booking/seats", site.entry(0));
    let headers =
        [("quillcove-repeatable", "no"), ("idempotency-key", "k1"), ("x-booking", "keyed seat")];
    let answer = common::call_with(Method::POST, &uri, &headers, "").unwrap();
    assert_eq!(verdict(&answer), "may-have-run");
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(site.booking_runs("keyed seat"), 0);
}

#[test]
fn frozen_agent_runs_nothing_late() {
    let site = ProcessSite::start(&SiteSize { services: 1, ..SiteSize::default() });
    let owner = site.agents.len() - 1;
    let ticket = site.ticket(0).unwrap();
    // A first booking makes the entry know the agent's incarnation.
    assert_eq!(verdict(&site.book(0, &ticket, "before").unwrap()), "ran");
    let ticket = site.ticket(0).unwrap();
    site.agents[owner].process.signal("-STOP");
    let uri = format!("http://{}/svc/booking/seats", site.entry(0));
    let headers = [
        ("quillcove-repeatable", "no"),
        ("quillcove-ticket", ticket.as_str()),
        ("x-booking", "late seat"),
        ("quillcove-deadline-ms", "500"),
    ];
    let answer = common::call_with(Method::POST, &uri, &headers, "").unwrap();
    assert_eq!(verdict(&answer), "may-have-run");
    std::thread::sleep(Duration::from_millis(2500));
    site.agents[owner].process.signal("-CONT");
    wait_until(|| site.ticket(1).is_some());
    assert!(site.booking_runs("late seat") <= 1);
    // The caller's repeat says what became of it and does not run it again.
    let before = site.booking_runs("late seat");
    let _ = site.book(1, &ticket, "late seat").unwrap();
    let after = site.booking_runs("late seat");
    assert!(after <= 1 && after >= before);
}

#[test]
fn frozen_engine_agent_costs_a_repeat_and_no_wrong_answer() {
    let site = ProcessSite::start(&SiteSize::default());
    for number in 0..4 {
        complete_at_last(&site, 0, &format!("a{number}"));
    }
    site.agents[0].process.signal("-STOP");
    for number in 0..4 {
        let body = json!({ "model": format!("a{number}"), "prompt": "hi", "max_tokens": 2 });
        let uri = format!("http://{}/v1/completions", site.entry(0));
        let headers = [("quillcove-deadline-ms", "1500")];
        let answer = common::call_with(Method::POST, &uri, &headers, &body.to_string()).unwrap();
        let body: Value = serde_json::from_slice(answer.body()).unwrap();
        match answer.status().as_u16() {
            200 => assert_eq!(body["model"], format!("a{number}@1")),
            _ => assert!(body["error"]["verdict"].is_string(), "{body}"),
        }
    }
    site.agents[0].process.signal("-CONT");
    complete_at_last(&site, 0, "a0");
}

#[test]
fn restarted_engine_is_loaded_again() {
    let site = ProcessSite::start(&SiteSize { engines: 1, ..SiteSize::default() });
    complete_at_last(&site, 0, "a0");
    let uri = format!("http://{}/admin/mode", site.engines[0].1);
    let answer = call(Method::PUT, &uri, "{\"restart\":true}").unwrap();
    assert!(answer.status().is_success());
    assert_eq!(complete_at_last(&site, 0, "a0")["model"], "a0@1");
    assert_eq!(complete_at_last(&site, 1, "a1")["model"], "a1@1");
    let counts = get_json(&format!("http://{}/counts", site.engines[0].1));
    assert_eq!(counts["cut_by_unload"], 0);
}

#[test]
fn failed_loads_move_on_or_are_refused_at_once() {
    let site = ProcessSite::start(&SiteSize::default());
    for (_, address) in &site.engines {
        let uri = format!("http://{address}/admin/mode");
        call(Method::PUT, &uri, "{\"fail_loads\":1}").unwrap();
    }
    let body = complete_at_last(&site, 0, "a3");
    assert_eq!(body["model"], "a3@1");
}

#[test]
fn platform_outage_does_not_stop_the_site() {
    let mut site = ProcessSite::start(&SiteSize::default());
    site.put("mode", "{\"mode\":\"down\"}");
    assert_eq!(complete_at_last(&site, 0, "a0")["model"], "a0@1");
    let ticket = site.ticket(0).unwrap();
    assert_eq!(verdict(&site.book(1, &ticket, "outage seat").unwrap()), "ran");
    // Two failures at once: an agent dies while the platform is down.
    site.agents[0].process.kill();
    assert_eq!(complete_at_last(&site, 1, "a1")["model"], "a1@1");
    assert_eq!(complete_at_last(&site, 0, "a2")["model"], "a2@1");
}

#[test]
fn stale_platform_never_takes_a_bundle_back() {
    let site = ProcessSite::start(&SiteSize::default());
    site.publish(2, 5);
    let in_force = |site: &ProcessSite, version: u64| {
        let roles = site.agents.iter().chain(&site.entries);
        roles.map(|role| state(&role.address("operator"))).all(|s| s["bundle"] == version)
    };
    wait_until(|| in_force(&site, 2));
    assert_eq!(complete_at_last(&site, 0, "a0")["model"], "a0@5");
    // The older one is published again, then the same version with other bytes.
    site.publish(1, 1);
    std::thread::sleep(Duration::from_millis(500));
    assert!(in_force(&site, 2));
    site.publish(2, 6);
    std::thread::sleep(Duration::from_millis(500));
    assert!(in_force(&site, 2));
    assert_eq!(complete_at_last(&site, 1, "a0")["model"], "a0@5");
    site.publish(3, 7);
    wait_until(|| in_force(&site, 3));
    assert_eq!(complete_at_last(&site, 1, "a0")["model"], "a0@7");
}

#[test]
fn agent_that_starts_with_an_older_bundle_does_not_act_on_it() {
    let mut site = ProcessSite::start(&SiteSize { engines: 1, ..SiteSize::default() });
    site.publish(2, 5);
    wait_until(|| site.agent_state(0)["bundle"] == 2);
    complete_at_last(&site, 0, "a0");
    // The platform goes back to the older bundle and stays there; only the engine knows better.
    site.publish(1, 1);
    site.put("mode", "{\"mode\":\"stale\"}");
    site.agents[0].restart();
    // Another agent still has the newer bundle, and its signature makes that enough.
    wait_until(|| site.agent_state(0)["bundle"] == 2);
    site.hosts[0]["address"] = site.agents[0].address("data").into();
    site.hosts[0]["control"] = site.agents[0].address("control").into();
    site.put("mode", "{\"mode\":\"up\"}");
    site.publish_hosts();
    assert_eq!(complete_at_last(&site, 1, "a0")["model"], "a0@5");
    site.publish(3, 7);
    wait_until(|| site.agent_state(0)["bundle"] == 3);
    wait_until(|| complete_at_last(&site, 0, "a0")["model"] == "a0@7");
}

#[test]
fn entry_that_starts_beside_a_stale_platform_gets_the_newer_bundle_from_agents() {
    let mut site = ProcessSite::start(&SiteSize::default());
    site.publish(2, 5);
    wait_until(|| (0..site.agents.len()).all(|number| site.agent_state(number)["bundle"] == 2));
    site.publish(1, 1);
    site.put("mode", "{\"mode\":\"stale\"}");
    site.entries[0].restart();
    wait_until(|| state(&site.entries[0].address("operator"))["bundle"] == 2);
    assert_eq!(complete_at_last(&site, 0, "a0")["model"], "a0@5");
}

#[test]
fn leaving_host_gets_no_new_work() {
    let mut site = ProcessSite::start(&SiteSize::default());
    for number in 0..6 {
        complete_at_last(&site, 0, &format!("a{number}"));
    }
    site.hosts[0]["state"] = "leaving".into();
    site.publish_hosts();
    wait_until(|| site.agent_state(0)["leaving"] == true);
    let uri = format!("http://{}/counts", site.engines[0].1);
    let before = get_json(&uri)["completed"].clone();
    for number in 0..6 {
        complete_at_last(&site, 1, &format!("a{number}"));
    }
    assert_eq!(get_json(&uri)["completed"], before);
}

#[test]
fn planned_stop_cuts_nothing() {
    let mut site = ProcessSite::start(&SiteSize { engines: 1, ..SiteSize::default() });
    complete_at_last(&site, 0, "a0");
    let entry = site.entry(0);
    let is_whole = Arc::new(AtomicBool::new(false));
    let seen = is_whole.clone();
    let caller = std::thread::spawn(move || {
        let body = json!({ "model": "a0", "prompt": "hi", "max_tokens": 1500, "stream": true });
        let uri = format!("http://{entry}/v1/completions");
        let answer = call(Method::POST, &uri, &body.to_string()).unwrap();
        let text = String::from_utf8(answer.body().to_vec()).unwrap();
        seen.store(text.ends_with("data: [DONE]\n\n"), Ordering::SeqCst);
    });
    wait_until(|| site.agent_state(0)["running"] == 1);
    site.agents[0].process.signal("-TERM");
    site.entries[0].process.signal("-TERM");
    // Both refuse new work while they finish.
    wait_until(|| {
        site.complete(0, &completion("a0", 2)).is_ok_and(|answer| verdict(&answer) == "not-run")
            || is_whole.load(Ordering::SeqCst)
    });
    caller.join().unwrap();
    assert!(is_whole.load(Ordering::SeqCst), "the stream ends whole");
    assert!(site.agents[0].process.wait_end());
    assert!(site.entries[0].process.wait_end());
}

#[test]
fn caller_that_goes_costs_only_itself() {
    use std::io::Write;
    let site = ProcessSite::start(&SiteSize { engines: 1, ..SiteSize::default() });
    complete_at_last(&site, 0, "a0");
    let body = completion("a0", 5000).to_string();
    let mut caller = std::net::TcpStream::connect(site.entry(0)).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(head.as_bytes()).unwrap();
    wait_until(|| site.agent_state(0)["running"] == 1);
    drop(caller);
    wait_until(|| site.agent_state(0)["running"] == 0);
    assert_eq!(complete_at_last(&site, 0, "a1")["model"], "a1@1");
}
