//! Every kind of request through separate processes.

mod common;

use common::{ProcessSite, SiteSize, call, call_with, get_json, verdict};
use http::Method;
use serde_json::{Value, json};

#[test]
fn every_kind_of_request_goes_through_separate_processes() {
    let site = ProcessSite::start(&SiteSize::default());
    completion_names_adapter_and_version(&site);
    stream_ends_in_done(&site);
    chat_answers(&site);
    models_are_listed(&site);
    unknown_model_is_refused_at_once(&site);
    malformed_requests_name_the_fault(&site);
    service_calls_keep_method_path_and_query(&site);
    encoded_path_arrives_as_it_was_sent(&site);
    routes_lead_to_their_services(&site);
    bodies_are_limited_by_the_bundle(&site);
    ticket_runs_once(&site);
    operators_see_each_process(&site);
}

fn completion_names_adapter_and_version(site: &ProcessSite) {
    let body = json!({ "model": "a0", "prompt": "hi", "max_tokens": 3, "user": "u" });
    let answer = site.complete(0, &body).unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(verdict(&answer), "ran");
    assert!(answer.headers().contains_key("quillcove-request-id"));
    let body: Value = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(body["model"], "a0@1");
    assert_eq!(body["choices"][0]["text"], "a0@1|u ".repeat(3));
}

fn stream_ends_in_done(site: &ProcessSite) {
    let body = json!({ "model": "a1@1", "prompt": "hi", "max_tokens": 3, "stream": true });
    let answer = site.complete(1, &body).unwrap();
    let text = String::from_utf8(answer.body().to_vec()).unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(text.matches("\"text\"").count(), 3);
}

fn chat_answers(site: &ProcessSite) {
    let body = json!({
        "model": "a2",
        "messages": [{ "role": "user", "content": "hi" }],
        "max_tokens": 2,
    });
    let uri = format!("http://{}/v1/chat/completions", site.entry(0));
    let answer = call(Method::POST, &uri, &body.to_string()).unwrap();
    let body: Value = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(body["model"], "a2@1");
}

fn models_are_listed(site: &ProcessSite) {
    let models = get_json(&format!("http://{}/v1/models", site.entry(0)));
    assert_eq!(models["data"].as_array().unwrap().len(), 8);
    assert_eq!(models["data"][0]["id"], "a0@1");
}

fn unknown_model_is_refused_at_once(site: &ProcessSite) {
    for model in ["missing", "a0@7"] {
        let answer = site.complete(0, &json!({ "model": model, "prompt": "hi" })).unwrap();
        assert_eq!(answer.status(), 404);
        assert_eq!(verdict(&answer), "not-run");
        let body: Value = serde_json::from_slice(answer.body()).unwrap();
        assert_eq!(body["error"]["code"], "unknown");
        assert_eq!(body["error"]["verdict"], "not-run");
    }
}

/// Headers, body, and what the answer must say.
type BadRequest<'a> = (&'a [(&'a str, &'a str)], &'a str, &'a str);

fn malformed_requests_name_the_fault(site: &ProcessSite) {
    let uri = format!("http://{}/v1/completions", site.entry(0));
    let body = json!({ "model": "a0", "prompt": "hi" }).to_string();
    let cases: [BadRequest; 4] = [
        (&[], "{\"model\": 5}", "body: invalid type"),
        (&[("quillcove-priority", "soon")], &body, "urgent, normal or batch"),
        (&[("quillcove-repeatable", "maybe")], &body, "yes or no"),
        (&[("quillcove-deadline-ms", "1s")], &body, "milliseconds"),
    ];
    for (headers, body, expected) in cases {
        let answer = call_with(Method::POST, &uri, headers, body).unwrap();
        assert_eq!(answer.status(), 400);
        assert_eq!(verdict(&answer), "not-run");
        let text = String::from_utf8(answer.body().to_vec()).unwrap();
        assert!(text.contains(expected), "{text}");
    }
}

fn service_calls_keep_method_path_and_query(site: &ProcessSite) {
    for method in [Method::GET, Method::PUT, Method::PATCH, Method::DELETE, Method::POST] {
        let uri = format!("http://{}/svc/booking/trips/7?day=2", site.entry(1));
        let answer = call(method.clone(), &uri, "body").unwrap();
        assert_eq!(verdict(&answer), "ran", "{method}");
        let receipt: Value = serde_json::from_slice(answer.body()).unwrap();
        assert_eq!(receipt["method"], method.as_str());
        assert_eq!(receipt["path"], "trips/7");
        assert_eq!(receipt["body"], "body");
    }
}

fn encoded_path_arrives_as_it_was_sent(site: &ProcessSite) {
    let uri = format!("http://{}/svc/booking/trips/a%20b%2Fc", site.entry(0));
    let answer = call(Method::GET, &uri, "").unwrap();
    assert_eq!(verdict(&answer), "ran");
    let receipt: Value = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(receipt["path"], "trips/a b/c");
}

fn routes_lead_to_their_services(site: &ProcessSite) {
    let ask = |path: &str, host: &str| {
        let uri = format!("http://{}/routes{path}", site.entry(0));
        call_with(Method::GET, &uri, &[("host", host)], "").unwrap()
    };
    let answer = ask("/seats/7?day=2", "Shop.example:80");
    assert_eq!((answer.status().as_u16(), verdict(&answer)), (200, "ran"));
    let receipt: Value = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(receipt["path"], "seats/7");
    // The longest prefix counts; its route gives the request no more than a millisecond.
    let late = ask("/seats/old/7", "shop.example");
    assert_ne!(late.status(), 200, "{late:?}");
    for (path, host) in [("/seats/7", "other.example"), ("/trips/7", "shop.example")] {
        let unknown = ask(path, host);
        assert_eq!((unknown.status().as_u16(), verdict(&unknown)), (404, "not-run"));
        assert!(String::from_utf8_lossy(unknown.body()).contains("no route"), "{unknown:?}");
    }
}

fn bodies_are_limited_by_the_bundle(site: &ProcessSite) {
    let uri = format!("http://{}/svc/booking/trips", site.entry(0));
    let answer = call(Method::POST, &uri, &"x".repeat(1_000_001)).unwrap();
    assert_eq!((answer.status().as_u16(), verdict(&answer)), (400, "not-run"));
    assert!(String::from_utf8_lossy(answer.body()).contains("1000000 are allowed"));
}

fn ticket_runs_once(site: &ProcessSite) {
    let ticket = site.ticket(0).unwrap();
    let first = site.book(0, &ticket, "seat-1").unwrap();
    assert_eq!(verdict(&first), "ran");
    let second = site.book(1, &ticket, "seat-1").unwrap();
    assert_eq!(second.status(), 409);
    assert_eq!(verdict(&second), "ran");
    assert_eq!(site.booking_runs("seat-1"), 1);
    let uri = format!("http://{}/v1/ticket-states/{ticket}", site.entry(1));
    let state = get_json(&uri);
    assert_eq!(state["state"], "ran");
    assert_eq!(state["status"], 200);
}

fn operators_see_each_process(site: &ProcessSite) {
    for role in site.agents.iter().chain(&site.entries) {
        let operator = role.address("operator");
        for path in ["healthz", "readyz", "metrics", "state"] {
            let answer = call(Method::GET, &format!("http://{operator}/{path}"), "").unwrap();
            assert!(answer.status().is_success(), "{path}");
        }
    }
    let operator = site.entries[0].address("operator");
    let metrics = call(Method::GET, &format!("http://{operator}/metrics"), "").unwrap();
    let metrics = String::from_utf8(metrics.into_body().to_vec()).unwrap();
    assert!(metrics.contains("quillcove_requests_total"), "{metrics}");
    let dump = quillcove::dump::fetch(&operator).unwrap();
    assert!(quillcove::dump::render(&dump).contains("upstreams"));
}
