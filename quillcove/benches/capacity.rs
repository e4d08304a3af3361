//! Slopes for docs/CAPACITY.md: real processes over loopback at several sizes.
//!
//! `cargo bench -p quillcove --bench capacity` writes `docs/measurements/capacity.json` and prints
//! the same figures as a table. It takes about two minutes.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{ProcessSite, RoleProcess, SiteSize, get_json, state, wait_until};
use http::Method;
use quillcove_core::bundle::LoadLimits;
use quillcove_core::permit::{PermitCoordinator, PermitRequest};
use serde::Serialize;
use serde_json::{Value, json};

/// Clock ticks a second in /proc.
const TICKS: f64 = 100.0;

/// Length of one idle measurement.
const IDLE: Duration = Duration::from_secs(8);

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu: f64,
    resident_mb: f64,
}

fn usage(process: &RoleProcess) -> Usage {
    let id = process.process.id();
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs");
    let fields: Vec<&str> = stat.rsplit_once(')').expect("it has a name").1.split(' ').collect();
    let ticks: f64 = [12, 13].iter().map(|place| fields[*place].parse::<f64>().unwrap()).sum();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes: f64 = resident
        .and_then(|text| text.trim().trim_end_matches("kB").trim().parse().ok())
        .expect("it has memory");
    Usage { cpu: ticks / TICKS, resident_mb: kilobytes / 1024.0 }
}

/// One measured point.
#[derive(Clone, Debug, Serialize)]
struct CapacityPoint {
    what: &'static str,
    size: f64,
    entry_cpu_percent: f64,
    agent_cpu_percent: f64,
    entry_mb: f64,
    agent_mb: f64,
    platform_calls_per_second: f64,
    platform_bytes_per_second: f64,
    seconds: f64,
}

struct Meter<'a> {
    site: &'a ProcessSite,
    started: Instant,
    entry: Usage,
    agent: Usage,
    counts: Value,
}

impl<'a> Meter<'a> {
    fn start(site: &'a ProcessSite) -> Self {
        Self {
            site,
            started: Instant::now(),
            entry: usage(&site.entries[0]),
            agent: usage(&site.agents[0]),
            counts: counts(site),
        }
    }

    /// Usage since the start, as shares of one core.
    fn stop(self, what: &'static str, size: f64) -> CapacityPoint {
        let seconds = self.started.elapsed().as_secs_f64();
        let (entry, agent) = (usage(&self.site.entries[0]), usage(&self.site.agents[0]));
        let counts = counts(self.site);
        let rate = |name: &str| {
            let since = |counts: &Value| counts[name].as_f64().unwrap_or(0.0);
            (since(&counts) - since(&self.counts)) / seconds
        };
        let point = CapacityPoint {
            what,
            size,
            entry_cpu_percent: (entry.cpu - self.entry.cpu) / seconds * 100.0,
            agent_cpu_percent: (agent.cpu - self.agent.cpu) / seconds * 100.0,
            entry_mb: entry.resident_mb,
            agent_mb: agent.resident_mb,
            platform_calls_per_second: rate("calls"),
            platform_bytes_per_second: rate("bytes"),
            seconds,
        };
        print(&point);
        point
    }
}

fn counts(site: &ProcessSite) -> Value {
    get_json(&format!("http://{}/admin/counts", site.platform.1))
}

fn print(point: &CapacityPoint) {
    println!(
        "{:18} {:>8} entry {:>6.2} % {:>6.1} MB  agent {:>6.2} % {:>6.1} MB  platform {:>7.2} \
         calls/s {:>9.0} B/s  {:>6.2} s",
        point.what,
        point.size,
        point.entry_cpu_percent,
        point.entry_mb,
        point.agent_cpu_percent,
        point.agent_mb,
        point.platform_calls_per_second,
        point.platform_bytes_per_second,
        point.seconds,
    );
}

fn small() -> SiteSize {
    SiteSize { engines: 1, services: 1, entries: 1, ..SiteSize::default() }
}

/// Memory against the number of adapters.
fn adapters(points: &mut Vec<CapacityPoint>) {
    for adapters in [8, 2750, 5500, 11000] {
        let site = ProcessSite::start(&SiteSize { adapters, ..small() });
        std::thread::sleep(Duration::from_secs(1));
        let meter = Meter::start(&site);
        std::thread::sleep(IDLE);
        points.push(meter.stop("adapters, idle", adapters as f64));
    }
}

/// Memory and processor time against the length of the host list.
fn hosts(points: &mut Vec<CapacityPoint>) {
    for hosts in [0, 400, 800, 1210] {
        let mut site = ProcessSite::start(&small());
        for number in 0..hosts {
            site.hosts.push(json!({
                "host": format!("other-{number}"),
                "address": "127.0.0.1:1",
                "control": "127.0.0.1:1",
                "hall": "h2",
                "state": "live",
                "kind": "engine",
                "serves": "another-model",
            }));
        }
        site.publish_hosts();
        std::thread::sleep(Duration::from_secs(1));
        // The list changes once in each second, far more often than it ever will.
        let meter = Meter::start(&site);
        for _ in 0..IDLE.as_secs() {
            site.publish_hosts();
            std::thread::sleep(Duration::from_secs(1));
        }
        points.push(meter.stop("hosts, 1 change/s", hosts as f64));
    }
}

/// Processor time against the rate of requests.
fn requests(points: &mut Vec<CapacityPoint>) {
    let site = ProcessSite::start(&small());
    for rate in [0, 100, 200, 400] {
        let meter = Meter::start(&site);
        send_calls(&site, rate, IDLE);
        points.push(meter.stop("requests a second", f64::from(rate)));
    }
}

/// Sends calls to the plain service at an even pace.
fn send_calls(site: &ProcessSite, rate: u32, length: Duration) {
    if rate == 0 {
        std::thread::sleep(length);
        return;
    }
    let uri = format!("http://{}/svc/booking/trips/1", site.entry(0));
    quillcove::duty::run_async(1, async {
        let limit = Duration::from_secs(5);
        let client = quillcove::web::client::WebClient::new(limit, limit);
        let mut pace = tokio::time::interval(Duration::from_secs(1) / rate);
        for _ in 0..u64::from(rate) * length.as_secs() {
            pace.tick().await;
            let (client, uri) = (client.clone(), uri.clone());
            tokio::spawn(async move {
                let _ = client.fetch(Method::GET, &uri, "", limit).await;
            });
        }
    });
}

/// Time until a bundle is in force at the last process, against the number of processes.
fn bundle_changes(points: &mut Vec<CapacityPoint>) {
    for agents in [4, 16, 48] {
        let size = SiteSize { engines: 0, services: agents, entries: 2, adapters: 5500, ..small() };
        let site = ProcessSite::start(&size);
        let meter = Meter::start(&site);
        let mut slowest = Duration::ZERO;
        for version in 2..7 {
            let started = Instant::now();
            site.publish(version, version as u32);
            let roles = || site.agents.iter().chain(&site.entries);
            wait_until(|| {
                roles().all(|role| state(&role.address("operator"))["bundle"] == version)
            });
            slowest = slowest.max(started.elapsed());
        }
        let mut point = meter.stop("processes, changes", (agents + 2) as f64);
        point.seconds = slowest.as_secs_f64();
        println!("    slowest change in force everywhere after {:.2} s", point.seconds);
        points.push(point);
    }
}

/// Time of one ask at the keeper, against the number of agents that ask.
fn permits(points: &mut Vec<CapacityPoint>) {
    for agents in [12, 100, 400, 790] {
        let mut keeper = PermitCoordinator::new(LoadLimits::default(), Duration::ZERO);
        let asks: Vec<PermitRequest> = (0..agents)
            .map(|number| PermitRequest { host: format!("e{number}"), value: f64::from(number) })
            .collect();
        let rounds = 40;
        let started = Instant::now();
        for round in 0..rounds {
            for ask in &asks {
                keeper.request_permit(Duration::from_millis(round * 100), ask);
            }
        }
        let seconds = started.elapsed().as_secs_f64() / (rounds as f64 * f64::from(agents));
        println!("permit asks        {agents:>8} agents: {:.1} us each", seconds * 1e6);
        points.push(CapacityPoint {
            what: "permit ask",
            size: f64::from(agents),
            entry_cpu_percent: 0.0,
            agent_cpu_percent: 0.0,
            entry_mb: 0.0,
            agent_mb: 0.0,
            platform_calls_per_second: 0.0,
            platform_bytes_per_second: 0.0,
            seconds,
        });
    }
}

fn main() {
    // `cargo test --benches` would run this as a test; it does nothing then.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let mut points = Vec::new();
    adapters(&mut points);
    hosts(&mut points);
    requests(&mut points);
    bundle_changes(&mut points);
    permits(&mut points);
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/measurements/capacity.json");
    let text = serde_json::to_string_pretty(&points).expect("points are JSON");
    std::fs::write(file, text + "\n").expect("the folder can be written");
}
