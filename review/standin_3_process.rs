//! Processes that a case starts, and the addresses and settings that it gives them.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::exchange;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

#[allow(dead_code)]
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill = 9,
    Term = 15,
    Cont = 18,
    Stop = 19,
}

/// A process of this case, killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program; its output goes to a file of the folder.
    pub fn start(name: &str, program: &Path, arguments: &[String], folder: &Path) -> Self {
        let open = || {
            let path = folder.join(format!("{name}.log"));
            File::options().create(true).append(true).open(path).expect("a log file")
        };
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn();
        Self { child: child.expect("a started process") }
    }

    pub fn signal(&self, signal: Signal) {
        // SAFETY: sends a signal to a child of this process that was not waited for.
        unsafe { kill(self.child.id() as i32, signal as i32) };
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has ended by itself.
    #[allow(dead_code)]
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.has_ended() {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.signal(Signal::Cont);
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Returns the loopback address of a machine of this case.
pub fn machine_ip(index: u8) -> IpAddr {
    let process = std::process::id();
    let (second, third) = (64 + (process / 200 % 128) as u8, (process % 200) as u8 + 1);
    IpAddr::V4(Ipv4Addr::new(127, second, third, index))
}

/// Returns a port that is free on all machines of the case.
pub fn free_port(machines: &[IpAddr]) -> u16 {
    loop {
        let listener = TcpListener::bind((machines[0], 0)).expect("a free port");
        let port = listener.local_addr().expect("a bound address").port();
        drop(listener);
        let is_free = |ip: &IpAddr| {
            let address = SocketAddr::new(*ip, port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        };
        if machines.iter().all(is_free) {
            return port;
        }
    }
}

pub type Fields = BTreeMap<String, String>;

/// Fills in a template of the settings as DEPLOY.md tells, for the plain values that these cases give.
pub fn render(template: &str, fields: &Fields) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(begin) = rest.find("{{") {
        out.push_str(&rest[..begin]);
        let end = begin + rest[begin..].find("}}").expect("a closed gap");
        let name = &rest[begin + 2..end];
        rest = &rest[end + 2..];
        if let Some(name) = name.strip_prefix('#') {
            let close = format!("{{{{/{name}}}}}");
            let length = rest.find(&close).expect("a closed section");
            let inner = &rest[..length];
            rest = &rest[length + close.len()..];
            if let Some(value) = fields.get(name).filter(|value| *value != "false") {
                let mut inside = fields.clone();
                inside.insert(".".to_string(), value.clone());
                out.push_str(&render(inner, &inside));
            }
        } else {
            out.push_str(fields.get(name).map_or("", String::as_str));
        }
    }
    out.push_str(rest);
    out
}

/// The system's machines of a case, which run the two roles of the deploy file.
pub struct Deployment {
    pub root: PathBuf,
    pub folder: PathBuf,
    /// Bounds of the site, by their names in the settings.
    pub bounds: Vec<(&'static str, &'static str)>,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub loader_port: u16,
    pub loader_operator_port: u16,
}

/// A relay's addresses.
#[derive(Clone, Debug)]
pub struct RelayPorts {
    pub name: String,
    pub zone: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
}

impl Deployment {
    fn start_role(&self, name: &str, role: &str, fields: &Fields) -> Process {
        let template = self.root.join(format!("deploy/{role}.ini"));
        let template = fs::read_to_string(template).expect("a template of the settings");
        let file = self.folder.join(format!("{name}.conf"));
        fs::write(&file, render(&template, fields)).expect("written settings");
        let program = self.root.join("target/release/quillcove");
        let arguments = [role, "--config"].map(str::to_string);
        let arguments = [&arguments[..], &[file.display().to_string()]].concat();
        Process::start(name, &program, &arguments, &self.folder)
    }

    fn fields(&self, name: &str, zone: &str, ip: IpAddr) -> Fields {
        let mut fields = Fields::new();
        let mut set = |name: &str, value: String| fields.insert(name.to_string(), value);
        set("nodeName", name.to_string());
        set("zone", zone.to_string());
        set("ipAddress", ip.to_string());
        set("platform.address", self.store.to_string());
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        set("seedNodes", seeds.join(","));
        set("internalPortRange.0", self.loader_port.to_string());
        set("internalPortRange.1", self.loader_operator_port.to_string());
        for (name, value) in &self.bounds {
            set(&format!("bounds.{name}"), value.to_string());
        }
        fields
    }

    pub fn start_relay(&self, ports: &RelayPorts) -> Process {
        let mut fields = self.fields(&ports.name, &ports.zone, ports.frontend.ip());
        let mut set =
            |name: &str, value: SocketAddr| fields.insert(name.to_string(), value.to_string());
        set("listenAddresses.frontend", ports.frontend);
        set("listenAddresses.readiness", ports.readiness);
        set("listenAddresses.controlPlane", ports.control);
        self.start_role(&ports.name, "relay", &fields)
    }

    #[allow(dead_code)]
    pub fn start_loader(&self, name: &str, zone: &str, engine: SocketAddr) -> Process {
        let mut fields = self.fields(name, zone, engine.ip());
        fields.insert("app".to_string(), engine.to_string());
        self.start_role(name, "loader", &fields)
    }
}

/// Waits until a relay answers the platform's question with 200.
pub fn wait_ready(ports: &RelayPorts, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        let question = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = exchange(ports.readiness, question, Duration::from_secs(1));
        if answer.is_some_and(|answer| answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
