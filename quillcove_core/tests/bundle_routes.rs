//! Routes in a bundle: what is read, which faults are named, and many of them at once.

use std::fmt::Write;
use std::time::Duration;

use quillcove_core::bundle::VALUE_LIMIT;
use quillcove_core::bundle::delta::{DeltaStep, apply, compute};
use quillcove_core::bundle::text::parse;
use quillcove_core::class::WorkClass;
use quillcove_core::route::RouteKind;

const HEAD: &str = "[bundle]\nversion = 1\n[services.booking]\n[services.booking-next]\n";

/// A bundle with one route that has these lines beside the usual ones.
fn with_route(lines: &str) -> String {
    format!("{HEAD}[routes.seats]\n{lines}")
}

const GOOD: &str = "host = \"Shop.example\"\nprefix = \"/seats/\"\nkind = \"safe\"\n\
    split = { booking = 90, booking-next = 10 }\ntimeout_ms = 800\naim_ms = 150\n\
    priority = \"urgent\"\nattempts = 2\n";

#[test]
fn a_route_is_read_with_all_that_it_says() {
    let bundle = parse(&with_route(GOOD)).unwrap();
    let route = bundle.routes.find("shop.example", "/seats/7").unwrap();
    assert_eq!((route.name.as_str(), route.kind), ("seats", RouteKind::Safe));
    assert_eq!(route.timeout, Duration::from_millis(800));
    assert_eq!(route.aim, Duration::from_millis(150));
    assert_eq!((route.class(), route.attempt_limit), (WorkClass::Urgent, 2));
    let drawn = (0..100).filter(|draw| route.choose_service(*draw).unwrap() == "booking").count();
    assert_eq!(drawn, 90);
}

#[test]
fn what_a_route_leaves_out_has_a_default() {
    let lines = "host = \"a\"\nprefix = \"/\"\nkind = \"resumable-stream\"\n\
        service = \"booking\"\ntimeout_ms = 800\n";
    let bundle = parse(&with_route(lines)).unwrap();
    let route = bundle.routes.find("a", "/x").unwrap();
    assert_eq!((route.aim, route.attempt_limit), (route.timeout, 1));
    assert_eq!((route.class(), route.kind), (WorkClass::Normal, RouteKind::ResumableStream));
}

#[test]
fn each_fault_of_a_route_is_named_with_its_line() {
    let cases = [
        ("host = \"Shop.example\"", "host = \"shop.example:80\"", 6, "host name without a port"),
        ("prefix = \"/seats/\"", "prefix = \"/seats\"", 7, "begins and ends with '/'"),
        ("kind = \"safe\"", "kind = \"sure\"", 8, "safe, unsafe, stream, resumable-stream"),
        ("booking-next = 10", "other = 10", 9, "'other', which [services] does not list"),
        ("timeout_ms = 800", "timeout_ms = 0", 10, "it is 1 to 3600000"),
        ("aim_ms = 150", "aim_ms = 900", 11, "it is 1 to timeout_ms, 800"),
        ("priority = \"urgent\"", "priority = \"0\"", 12, "urgent, normal or batch"),
        ("attempts = 2", "attempts = 9", 13, "it is 1 to 8"),
        ("attempts = 2", "service = \"booking\"", 6, "either 'service' or 'split'"),
        ("{ booking = 90, booking-next = 10 }", "{ booking = 0 }", 6, "no weight above 0"),
        ("attempts = 2", "retries = 2", 13, "unknown field"),
    ];
    for (good, bad, line, message) in cases {
        let text = with_route(&GOOD.replace(good, bad));
        let errors = parse(&text).unwrap_err();
        let named = errors.iter().any(|error| error.message.contains(message));
        assert!(named, "{bad}: {errors:?}");
        assert_eq!(errors[0].line, line, "{bad}: {errors:?}");
    }
}

#[test]
fn two_routes_of_one_place_are_a_fault() {
    let twin = GOOD.replace("/seats/\"\nkind = \"safe\"", "/seats/\"\nkind = \"unsafe\"");
    let text = format!("{}[routes.twin]\n{twin}", with_route(GOOD));
    let errors = parse(&text).unwrap_err();
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].message.contains("the host and prefix of routes."), "{errors:?}");
}

#[test]
fn limits_of_bodies_are_above_zero() {
    let errors = parse(&format!("{HEAD}[limits]\nbody_bytes = 0\n")).unwrap_err();
    assert!(errors[0].message.contains("limits.body_bytes"), "{errors:?}");
}

fn many_routes(version: u64, count: usize) -> String {
    let mut text = format!("[bundle]\nversion = {version}\n[services.booking]\n");
    for number in 0..count {
        writeln!(
            text,
            "[routes.r{number}]\nhost = \"shop{}.example\"\nprefix = \"/p{number}/\"\n\
             kind = \"safe\"\nservice = \"booking\"\ntimeout_ms = 800",
            number % 7
        )
        .unwrap();
    }
    text
}

#[test]
fn a_thousand_routes_and_350_more_fit_and_travel_as_a_difference() {
    let (older, newer) = (many_routes(1, 1000), many_routes(2, 1350));
    assert!(newer.len() < VALUE_LIMIT, "{}", newer.len());
    let bundle = parse(&newer).unwrap();
    assert_eq!(bundle.routes.len(), 1350);
    assert_eq!(bundle.routes.find("shop5.example", "/p1349/x").unwrap().name, "r1349");
    let delta = compute((1, &older), (2, &newer));
    assert_eq!(apply(&delta, &older).unwrap(), newer);
    let inserted = |step: &DeltaStep| match step {
        DeltaStep::Insert(text) => text.len(),
        DeltaStep::Copy { .. } => 0,
    };
    let size: usize = delta.steps.iter().map(inserted).sum();
    assert!(size < newer.len() / 3, "the difference has {size} bytes of {}", newer.len());
}
