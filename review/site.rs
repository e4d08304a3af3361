//! A small deployment: the store's stand-in, replicas and the project's own programs, as processes.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_answer, Message};
use crate::store::Store;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((self.began.elapsed(), text.into()));
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().iter().map(|(_, text)| text.clone()).collect()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text = |(at, text): &(Duration, String)| format!("{:9.3} {text}\n", at.as_secs_f64());
        let _ = fs::write(path, lines.iter().map(text).collect::<String>());
    }
}

/// A process that this case started; it is ended with the value.
pub struct Process {
    child: Child,
    pub input: Option<ChildStdin>,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // The child is not reaped before it is dropped, so that the id is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Memory that the process holds, as the kernel tells it.
    pub fn resident_bytes(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/statm", self.child.id())).unwrap_or_default();
        let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
        pages.unwrap_or(0) * 4096
    }

    pub fn has_ended(&mut self) -> bool {
        let has_ended = self.child.try_wait().map_or(true, |status| status.is_some());
        if has_ended {
            STARTED.lock().unwrap().retain(|pid| *pid != self.child.id() as i32);
        }
        has_ended
    }

    pub fn tell(&mut self, line: &str) {
        if let Some(input) = &mut self.input {
            let _ = writeln!(input, "{line}");
            let _ = input.flush();
        }
    }

    pub fn end(&mut self) {
        let mut started = STARTED.lock().unwrap();
        started.retain(|pid| *pid != self.child.id() as i32);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.signal(SIGCONT);
            self.end();
        }
    }
}

pub struct Relay {
    pub process: Process,
    pub callers: SocketAddr,
    pub operator: SocketAddr,
}

pub struct ReplicaPlan {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub model: String,
    pub arguments: Vec<String>,
}

pub struct Site {
    pub record: Record,
    pub store: Store,
    folder: PathBuf,
    seeds: Vec<SocketAddr>,
    loader_port: u16,
}

/// Ports that were handed out; none twice.
static USED: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// A port that is free at an address for TCP and UDP.
pub fn free_port(ip: &str) -> SocketAddr {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut used = USED.lock().unwrap();
        if UdpSocket::bind(address).is_ok() && !used.contains(&address.port()) {
            used.push(address.port());
            return address;
        }
    }
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Processes that were started and not yet reaped.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        // Not reaped yet, so that the id is still that of the child.
        unsafe { kill(pid, SIGKILL) };
    }
}

/// The case could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    end_all();
    std::process::exit(2);
}

pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() > end {
            give_up(what);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

impl Site {
    pub fn new(relays: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        if fs::create_dir_all(&folder).is_err() {
            give_up("no temporary folder");
        }
        let seeds = (0..relays).map(|_| free_port("127.0.0.1")).collect();
        let loader_port = free_port("127.0.0.1").port();
        Self { record: Record::new(), store: Store::start(), folder, seeds, loader_port }
    }

    /// Starts a process; each line of its standard output goes to `line`.
    fn start(&self, command: &mut Command, mut line: impl FnMut(String) + Send + 'static) -> Process {
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = match command.spawn() {
            Ok(child) => child,
            Err(error) => give_up(&format!("{command:?}: {error}")),
        };
        STARTED.lock().unwrap().push(child.id() as i32);
        let output = BufReader::new(child.stdout.take().expect("a pipe"));
        thread::spawn(move || output.lines().map_while(Result::ok).for_each(&mut line));
        let input = child.stdin.take();
        Process { child, input }
    }

    /// Starts relay `number` with the command of the deploy file and the settings that its template gives.
    pub fn start_relay(&self, number: usize) -> Relay {
        let (callers, operator) = (free_port("127.0.0.1"), free_port("127.0.0.1"));
        self.start_relay_at(number, callers, operator)
    }

    pub fn start_relay_at(&self, number: usize, callers: SocketAddr, operator: SocketAddr) -> Relay {
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let settings = format!(
            "[process]\nhost = frontend-{number}\nhall = zone-{number}\n\n[listen]\ncallers = {callers}\ncontrol = {}\noperator = {operator}\n\n[platform]\naddress = {}\ncontact_time = 3000ms\napply_time = 2000ms\ndrain_time = 2000ms\n\n[peers]\nseeds = {}\nloader_port = {}\n\n[routing]\nretry_ratio = 0.2\nretry_extra = 52\n\n[access]\n\n[stop]\nlimit = 8s\n",
            self.seeds[number], self.store.address, seeds.join(","), self.loader_port
        );
        let process = self.start_role("relay", &format!("relay-{number}"), &settings);
        Relay { process, callers, operator }
    }

    /// Starts the loader beside an engine.
    pub fn start_loader(&self, number: usize, engine: SocketAddr) -> Process {
        let control = SocketAddr::new(engine.ip(), self.loader_port);
        let operator = free_port(&engine.ip().to_string());
        let settings = format!(
            "[process]\nhost = side-{number}\nhall = zone-{number}\n\n[listen]\ncontrol = {control}\noperator = {operator}\n\n[engine]\naddress = {engine}\n"
        );
        self.start_role("loader", &format!("loader-{number}"), &settings)
    }

    fn start_role(&self, role: &str, name: &str, settings: &str) -> Process {
        let file = self.folder.join(format!("{name}.ini"));
        if fs::write(&file, settings).is_err() {
            give_up("the settings could not be written");
        }
        let log = self.folder.join(format!("{name}.log"));
        let keeps_log = std::env::var("KEEP_LOGS").is_ok();
        let mut log = keeps_log.then(|| fs::File::create(log).expect("a log"));
        let mut command = Command::new("target/release/quillcove");
        command.arg(role).arg("--config").arg(&file);
        self.start(&mut command, move |line| {
            if let Some(log) = &mut log {
                let _ = writeln!(log, "{line}");
            }
        })
    }

    /// Starts a replica and writes its entry once it listens. What it says goes into the record.
    pub fn start_replica(&self, plan: &ReplicaPlan) -> Process {
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        command.arg("replica").arg(format!("id={}", plan.id));
        command.arg(format!("listen={}", plan.address)).arg(format!("slots={}", plan.slots));
        command.arg(format!("model={}", plan.model)).args(&plan.arguments);
        let (record, born) = (self.record.clone(), Arc::new(Mutex::new(None::<String>)));
        let seen = born.clone();
        let process = self.start(&mut command, move |line| {
            if line.starts_with("UP ") {
                *seen.lock().unwrap() = line.rsplit(' ').next().map(str::to_string);
            }
            record.add(format!("replica: {line}"));
        });
        let is_up = || born.lock().unwrap().is_some();
        wait_until("the replica starts", Duration::from_secs(5), is_up);
        let born = born.lock().unwrap().clone().unwrap_or_default();
        let models = match plan.model.is_empty() {
            true => String::new(),
            false => format!(
                r#","stage":"both","models":[{{"name":"{}","version":1,"adapters":[]}}]"#,
                plan.model
            ),
        };
        let ReplicaPlan { service, address, slots, .. } = plan;
        let zone = plan.id.rsplit('-').next().unwrap_or("0");
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-{zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0{models},"sequence":0,"born":{born}}}"#
        );
        self.store.put(&format!("servers/{}", plan.id), &entry);
        process
    }

    /// Waits until a relay calls itself ready and knows so many replicas.
    pub fn wait_ready(&self, relay: &Relay, replicas: usize) {
        let ask = |path: &str| {
            let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            exchange(relay.operator, &text)
        };
        wait_until("a relay is ready", Duration::from_secs(15), || {
            ask("/readyz").is_some_and(|answer| answer.status() == 200)
        });
        wait_until("a relay knows the replicas", Duration::from_secs(15), || {
            let state = ask("/state").map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
            state.is_some_and(|text| text.matches("\"is_well\":true").count() >= replicas)
        });
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, text: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

/// How often each request was begun, by its id.
pub fn runs(record: &Record) -> BTreeMap<String, Vec<String>> {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for line in record.lines() {
        if let Some((id, replica)) = line.strip_prefix("replica: RAN ").and_then(|it| it.split_once(' ')) {
            runs.entry(id.to_string()).or_default().push(replica.to_string());
        }
    }
    runs
}

/// Ends the case: writes the record, and exits with 1 if the rule was broken.
pub fn conclude(site: Site, faults: Vec<String>) -> ! {
    for fault in &faults {
        site.record.add(format!("BROKEN {fault}"));
        println!("broken: {fault}");
    }
    site.record.add(if faults.is_empty() { "the rule held" } else { "the rule was broken" });
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
    site.record.write(Path::new(&path));
    drop(site);
    end_all();
    println!("{}", if faults.is_empty() { "held" } else { "broken" });
    std::process::exit(i32::from(!faults.is_empty()));
}
