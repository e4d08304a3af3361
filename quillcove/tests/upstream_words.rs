//! What upstreams say of themselves, at the product's own edge: entries, agents and services as processes.
//!
//! Seen: on the other edge, upstreams that had said that they leave, or had asked for rest, went on getting work, as
//! what an answer says ended with the request that it belonged to. Here the same holds: an agent passes its
//! upstream's 503 on as any answer, and neither it nor an entry knows anything of it a moment later. So it was with a
//! limit of requests a second, of which 13 of 20 calls took no notice: an agent bounded how many run at once, and nothing
//! how many begin in a time.

mod common;

use common::{ProcessSite, SiteSize, call, get_json, state, verdict, wait_until};
use http::{Method, Response};

/// Calls after a word; with two services each would get half of them.
const AFTER: usize = 20;

/// A site of two services, and nothing else to serve their calls.
struct WordSite {
    site: ProcessSite,
}

impl WordSite {
    fn start() -> Self {
        let size = SiteSize { engines: 0, services: 2, entries: 2, ..SiteSize::default() };
        Self { site: ProcessSite::start(&size) }
    }

    fn call(&self, number: usize) -> Response<bytes::Bytes> {
        let entry = self.site.entry(number % 2);
        let uri = format!("http://{entry}/svc/booking/seats");
        call(Method::GET, &uri, "").expect("the entry answers")
    }

    fn calls_of(&self, service: usize) -> u64 {
        let address = self.site.services[service].1;
        get_json(&format!("http://{address}/admin-calls")).as_u64().expect("calls are a number")
    }

    fn say(&self, service: usize, words: &str) {
        let address = self.site.services[service].1;
        let answer = call(Method::PUT, &format!("http://{address}/admin-words"), words);
        assert!(answer.expect("the service answers").status().is_success());
    }

    /// Calls at both entries until a service has answered one with its words. Its agent may hear that it leaves from a
    /// health check first, and then no call reaches it any more.
    fn call_until_said(&self, service: usize, words: &str) {
        self.say(service, words);
        let before = self.calls_of(service);
        let mut number = 0;
        wait_until(|| {
            self.call(number);
            number += 1;
            self.calls_of(service) > before || self.is_known_to_leave(service)
        });
    }

    fn is_known_to_leave(&self, service: usize) -> bool {
        let operator = &self.site.agents[service].addresses["operator"];
        let state = state(operator.as_str().expect("an agent tells its address"));
        state["upstream_leaving"].as_bool().expect("the state says whether it leaves")
    }

    /// Calls that reach a service of some sent.
    fn arrivals_of(&self, service: usize) -> u64 {
        let before = self.calls_of(service);
        for number in 0..AFTER {
            self.call(number);
        }
        self.calls_of(service) - before
    }
}

#[test]
fn a_service_that_says_that_it_leaves_gets_no_more_calls() {
    let site = WordSite::start();
    site.call_until_said(0, r#"{"leaving": true}"#);
    assert_eq!(site.arrivals_of(0), 0);
}

#[test]
fn a_service_that_asks_for_rest_gets_no_calls_until_it_is_over() {
    let site = WordSite::start();
    site.call_until_said(0, r#"{"rest": "60"}"#);
    assert_eq!(site.arrivals_of(0), 0);
    // The other one takes them; when that rests as well, calls are refused at once with its time.
    assert_eq!(site.call(0).status(), 200);
    site.call_until_said(1, r#"{"rest": "60"}"#);
    assert_eq!(site.arrivals_of(1), 0);
    let refused = site.call(0);
    assert_eq!(verdict(&refused), "not-run");
    let after: u64 = refused.headers()["retry-after"].to_str().unwrap().parse().unwrap();
    assert!((50..=80).contains(&after), "told {after} s");
}

#[test]
fn a_service_that_names_a_limit_gets_no_more_calls_from_all_entries_together() {
    let site = WordSite::start();
    // So low that what is allowed does not hang on how long this takes.
    site.call_until_said(0, r#"{"limit": "0.01"}"#);
    let arrivals = site.arrivals_of(0);
    println!("{arrivals} of {AFTER} calls after the word");
    // Beyond one and a half times the limit, five may come in 4 s.
    assert!(arrivals <= 5, "{arrivals} calls");
    // The other one takes them; when that names one as well, calls are refused with a time at which to come back.
    assert_eq!(site.call(0).status(), 200);
    site.call_until_said(1, r#"{"limit": "0.01"}"#);
    let refused = (0..AFTER).map(|number| site.call(number));
    let refused = refused.filter(|answer| answer.status() != 200).last().expect("one is refused");
    assert_eq!(verdict(&refused), "not-run");
    assert!(refused.headers().contains_key("retry-after"));
}
