//! A relay is stopped as planned while callers still send their requests.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_answer;
use crate::site::{
    conclude, exchange, free_port, runs, trouble, wait_until, Process, Record, Relay, ReplicaPlan, Site,
    SIGKILL, SIGTERM,
};

const SERVICE: &str = "parcel-app";
const RELAYS: usize = 4;
const REPLICAS: usize = 4;
/// Stops of the first relay, one after the other.
const STOPS: usize = 12;
const CALLERS: usize = 40;
/// Size of a request's body, the pieces in which it is sent, and the time that the whole takes, by caller: 1 to
/// 0.4 Mbit/s.
const BYTES: usize = 100_000;
const PIECES: usize = 16;
fn sending_time(caller: usize) -> Duration {
    Duration::from_millis(800 + 1200 * caller as u64 / CALLERS as u64)
}
/// Longest time between two requests of a caller.
const THINKING_MS: u64 = 600;
/// The platform asks each relay so often whether it is ready.
const QUESTION_PAUSE: Duration = Duration::from_secs(1);
const GRACE: Duration = Duration::from_secs(8);

pub fn run() {
    let site = Site::new(RELAYS);
    let replicas: Vec<Process> = (0..REPLICAS).map(|number| start_replica(&site, number)).collect();
    site.store.put("op/config", &configuration());
    let mut relays: Vec<Relay> = (0..RELAYS).map(|number| site.start_relay(number)).collect();
    relays.iter().for_each(|relay| site.wait_ready(relay, REPLICAS));
    thread::sleep(Duration::from_millis(1000));
    let is_over = Arc::new(AtomicBool::new(false));
    let is_in = Arc::new(AtomicBool::new(true));
    balance(relays[0].operator, &is_in, &site.record);
    let other = relays[1].callers;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (first, record) = (relays[0].callers, site.record.clone());
            let (is_over, is_in) = (is_over.clone(), is_in.clone());
            let address = move || if is_in.load(Ordering::Relaxed) { first } else { other };
            thread::spawn(move || call_on(number, address, &record, &is_over))
        })
        .collect();
    for stop in 0..STOPS as u64 {
        // Not at the same moment between two questions each time.
        thread::sleep(Duration::from_millis(2050 + 250 * (stop % 2)));
        if !trouble() {
            thread::sleep(Duration::from_millis(3000));
            continue;
        }
        site.record.add("relay 0 gets SIGTERM");
        relays[0].process.signal(SIGTERM);
        let began = Instant::now();
        while began.elapsed() < GRACE && !relays[0].process.has_ended() {
            thread::sleep(Duration::from_millis(5));
        }
        let took = began.elapsed().as_secs_f64();
        site.record.add(format!("relay 0 has ended, or gets SIGKILL, {took:.2} s after it"));
        relays[0].process.signal(SIGKILL);
        relays[0].process.end();
        let (callers, operator) = (relays[0].callers, relays[0].operator);
        relays[0] = site.start_relay_at(0, callers, operator);
        site.wait_ready(&relays[0], REPLICAS);
        wait_until("relay 0 is in again", GRACE, || is_in.load(Ordering::Relaxed));
    }
    is_over.store(true, Ordering::Relaxed);
    let results: Vec<(String, String)> =
        callers.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect();
    let runs = runs(&site.record);
    let is_lost = |(id, result): &&(String, String)| !result.is_empty() && runs.contains_key(id);
    let faults = results.iter().filter(is_lost).map(|(id, result)| {
        format!("LOST: {id} was read whole and run by {}, and {result}", runs[id].join(" and "))
    });
    let faults = faults.collect();
    drop((relays, replicas));
    conclude(site, faults);
}

/// Does what the platform does: it asks the relay each second, and passes no new connection to it after two misses,
/// until it is ready again.
fn balance(operator: SocketAddr, is_in: &Arc<AtomicBool>, record: &Record) {
    let (is_in, record) = (is_in.clone(), record.clone());
    thread::spawn(move || {
        let mut misses = 0;
        loop {
            thread::sleep(QUESTION_PAUSE);
            let question = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let is_ready = exchange(operator, question).is_some_and(|answer| answer.status() == 200);
            misses = if is_ready { 0 } else { misses + 1 };
            let was_in = is_in.load(Ordering::Relaxed);
            let is_now = is_ready || (was_in && misses < 2);
            if was_in != is_now {
                record.add(format!("new connections go to relay 0: {is_now}"));
                is_in.store(is_now, Ordering::Relaxed);
            }
        }
    });
}

fn start_replica(site: &Site, number: usize) -> Process {
    let plan = ReplicaPlan {
        id: format!("i-app-{number}"),
        service: SERVICE.to_string(),
        address: free_port("127.0.0.1"),
        slots: 6,
        model: String::new(),
        arguments: vec!["work_min=15".into(), "work_max=220".into()],
    };
    site.start_replica(&plan)
}

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-lookup","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":150,"priority":2,"service":"{SERVICE}","maxAttempts":1,"stickySessions":false,"resumable":false}}],"services":[{{"name":"{SERVICE}","healthCheckPath":"/health","maxConnections":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Sends one request after the other, each on a connection of its own. Returns the requests that
/// were sent whole, each with what is wrong with its answer.
fn call_on(number: usize, address: impl Fn() -> SocketAddr, record: &Record, is_over: &AtomicBool) -> Vec<(String, String)> {
    let draws = AtomicU64::new(number as u64 * 7919 + u64::from(std::process::id()));
    let mut results = Vec::new();
    for turn in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let draw = draws.load(Ordering::Relaxed).wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        draws.store(draw, Ordering::Relaxed);
        thread::sleep(Duration::from_millis((draw >> 33) % THINKING_MS));
        let id = format!("r-{number}-{turn}");
        let Ok(stream) = TcpStream::connect(address()) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut reader = BufReader::new(stream);
        if !send(&mut reader, &id, sending_time(number)) {
            record.add(format!("sent in part: {id}"));
            continue;
        }
        record.add(format!("sent: {id}"));
        let sent_at = Instant::now();
        let answer = read_answer(&mut reader);
        let took = sent_at.elapsed().as_millis();
        let result = match &answer {
            None => format!("its connection ended without an answer, {took} ms after its last byte"),
            Some(answer) if !answer.whole => format!("its answer {} was cut off", answer.status()),
            Some(_) => String::new(),
        };
        let status = answer.as_ref().map_or("none".to_string(), |answer| answer.status().to_string());
        record.add(format!("answer: {id} {status} {result}"));
        results.push((id, result));
    }
    results
}

fn send(reader: &mut BufReader<TcpStream>, id: &str, time: Duration) -> bool {
    let head = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Remaining: 3000\r\nConnection: close\r\nContent-Length: {BYTES}\r\n\r\n"
    );
    if reader.get_mut().write_all(head.as_bytes()).is_err() {
        return false;
    }
    (0..PIECES).all(|_| {
        thread::sleep(time / PIECES as u32);
        reader.get_mut().write_all(&vec![b'x'; BYTES / PIECES]).is_ok()
    })
}
