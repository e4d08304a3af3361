//! Crowds of callers that do not keep to the limits, before an entry process of its own.
//!
//! Guards against an entry that ends or hangs, or holds more than the memory of its machine.

mod common;

use std::time::Duration;

use common::crowd::{Crowd, CrowdForm, HoldWatch};
use common::{ProcessSite, SiteSize, call, wait_until};
use http::Method;

/// Memory of the smallest machine that runs an entry, in bytes.
const MACHINE_BYTES: usize = 160_000_000;

/// Largest body that the bundle of the tests allows.
const BODY_LIMIT: usize = 1_000_000;

/// Callers of a crowd whose bodies would take more than the machine's memory together.
const LARGE_CROWD: usize = 240;

fn form(length: Option<usize>, body_bytes: usize, piece_bytes: usize, stop_at: usize) -> CrowdForm {
    let framing = match length {
        Some(length) => format!("content-length: {length}"),
        None => "transfer-encoding: chunked".to_string(),
    };
    let head = format!("POST /svc/booking/seats HTTP/1.1\r\nhost: x\r\n{framing}\r\n\r\n");
    let is_chunked = length.is_none();
    CrowdForm { head, body_bytes, piece_bytes, pause: Duration::ZERO, is_chunked, stop_at }
}

/// Plays crowds of several forms one after the other, with ordinary requests beside them and after them.
#[test]
fn what_crowds_send_fits_into_the_machine_of_an_entry() {
    let size = SiteSize { engines: 0, services: 1, entries: 1, ..SiteSize::default() };
    let mut site = ProcessSite::start(&size);
    let callers = site.entry(0);
    let is_served = |body: &str| {
        let uri = format!("http://{callers}/svc/booking/seats");
        call(Method::POST, &uri, body).is_ok_and(|answer| answer.status() == 200)
    };
    wait_until(|| is_served("body"));
    let address = callers.parse().unwrap();
    let watch = HoldWatch::start(site.entries[0].process.id());
    for form in [
        form(Some(BODY_LIMIT), BODY_LIMIT, BODY_LIMIT, BODY_LIMIT - 1),
        form(None, BODY_LIMIT, 64 << 10, BODY_LIMIT - 1),
        form(Some(1 << 30), 8 << 20, 64 << 10, 8 << 20),
        form(None, 8 << 20, 64 << 10, 8 << 20),
        CrowdForm { pause: Duration::from_millis(1), ..form(None, 2000, 1, 1999) },
    ] {
        let crowd = Crowd::start(address, LARGE_CROWD, &form);
        assert!(site.entries[0].process.is_running(), "{form:?}");
        wait_until(|| is_served("body"));
        drop(crowd);
    }
    wait_until(|| is_served(&"x".repeat(BODY_LIMIT)));
    let most = watch.end();
    println!("held: {} MB, {} descriptors", most.memory / 1_000_000, most.descriptors);
    assert!(most.memory < MACHINE_BYTES, "{most:?}");
}
