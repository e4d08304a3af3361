//! What callers see of a planned stop of the process that took their request.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::{ProcessSite, SiteSize};

/// Longer than a stop once gave its connections after the last admitted request had ended.
const SLOW_BODY: Duration = Duration::from_millis(3500);

// Guards against requests that are cut off because a stop waits for admitted requests, and for others only 2 s.
#[test]
fn a_request_whose_body_is_being_read_in_a_stop_gets_a_response() {
    let size = SiteSize { engines: 0, services: 1, entries: 1, ..SiteSize::default() };
    let mut site = ProcessSite::start(&size);
    let mut caller = TcpStream::connect(site.entry(0)).unwrap();
    caller.set_read_timeout(Some(common::PATIENCE)).unwrap();
    let head = "POST /svc/booking/seats HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\n";
    caller.write_all(format!("{head}half").as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(200));
    site.entries[0].process.signal("-TERM");
    thread::sleep(SLOW_BODY);
    caller.write_all(b"half").unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("quillcove-verdict: not-run"), "{answer}");
    assert!(site.entries[0].process.wait_end(), "the stop was in order");
}
