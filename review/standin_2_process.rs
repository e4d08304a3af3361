//! The project's own programs, started with the commands of the deploy file and with its templates of the settings.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, free_port, read_head};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills all processes that were started, before this one exits without dropping them.
pub fn end_all() {
    for id in RUNNING.lock().unwrap().iter() {
        // The processes have not been waited for, so that their ids are not reused.
        unsafe { kill(*id, SIGKILL) };
    }
}

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

static STARTED: AtomicU32 = AtomicU32::new(0);

/// Makes a process end with the thread that starts it, however that ends.
pub fn end_with_parent(command: &mut Command) {
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
}

/// A process of the system; it is killed at the end.
pub struct Process {
    child: Child,
    folder: PathBuf,
    role: String,
}

impl Process {
    /// Starts a role with the settings that its template gives.
    fn start(role: &str, fields: &BTreeMap<&str, String>) -> std::io::Result<Self> {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("quillcove-review-2-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let template = fs::read_to_string(format!("deploy/{role}.ini"))?;
        let settings = folder.join("settings.conf");
        fs::write(&settings, fill(&template, fields))?;
        let child = spawn(role, &folder)?;
        Ok(Self { child, folder, role: role.to_string() })
    }

    /// Waits until the process has ended, and starts it again after a pause, with the settings that it had.
    pub fn restart(&mut self, pause: Duration) -> std::io::Result<()> {
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id() as i32);
        self.child.wait()?;
        thread::sleep(pause);
        self.child = spawn(&self.role, &self.folder)?;
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        // The process was started here and has not been waited for, so that its id is not reused.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Largest memory of the process that was resident so far, in MB of 2^20 bytes.
    pub fn peak_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
        kib.unwrap_or(0.0) / 1024.0
    }

    /// Lines of the process's log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id() as i32);
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Runs a role with the settings in a folder.
fn spawn(role: &str, folder: &Path) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(folder.join("log"))?;
    let mut command = Command::new("target/release/quillcove");
    command.args([role, "--config"]).arg(folder.join("settings.conf"));
    command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
    end_with_parent(&mut command);
    let child = command.spawn()?;
    RUNNING.lock().unwrap().push(child.id() as i32);
    Ok(child)
}

/// Fills a template, as DEPLOY.md says it, as far as the templates of this project use it.
fn fill(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_string();
    while let Some(begin) = text.find("{{#") {
        let name_end = begin + text[begin..].find("}}").expect("a closed gap");
        let name = text[begin + 3..name_end].to_string();
        let close = format!("{{{{/{name}}}}}");
        let end = begin + text[begin..].find(&close).expect("a closed part");
        let inner = text[name_end + 2..end].to_string();
        let filled = match fields.get(name.as_str()) {
            Some(value) => inner.replace("{{.}}", value),
            None => String::new(),
        };
        text.replace_range(begin..end + close.len(), &filled);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Bounds of the site file that the templates name.
fn bounds() -> BTreeMap<&'static str, String> {
    BTreeMap::from([
        ("bounds.contactMs", "3000".to_string()),
        ("bounds.configApplyMs", "2000".to_string()),
        ("bounds.drainTimeoutMs", "2000".to_string()),
        ("bounds.retryBudgetRatio", "0.2".to_string()),
        ("bounds.budgetExtraRetries", "52".to_string()),
        ("bounds.gracePeriodS", "8".to_string()),
        ("zone", "plv-a".to_string()),
    ])
}

/// A relay.
pub struct Relay {
    pub process: Process,
    pub callers: SocketAddr,
    operator: SocketAddr,
}

impl Relay {
    /// Starts a relay; loaders listen on `loader_port`.
    pub fn start(store: SocketAddr, loader_port: u16) -> std::io::Result<Self> {
        let control = SocketAddr::from(([127, 0, 0, 1], free_port()));
        Self::start_with("frontend-plv-a-1", control, &[control], store, loader_port)
    }

    /// Starts a relay with a name, beside others.
    pub fn start_with(
        name: &str,
        control: SocketAddr,
        seeds: &[SocketAddr],
        store: SocketAddr,
        loader_port: u16,
    ) -> std::io::Result<Self> {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, operator) = (address(free_port()), address(free_port()));
        let mut fields = bounds();
        fields.insert("nodeName", name.to_string());
        fields.insert("listenAddresses.frontend", callers.to_string());
        fields.insert("listenAddresses.controlPlane", control.to_string());
        fields.insert("listenAddresses.readiness", operator.to_string());
        fields.insert("platform.address", store.to_string());
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        fields.insert("seedNodes", seeds.join(","));
        fields.insert("internalPortRange.0", loader_port.to_string());
        let process = Process::start("relay", &fields)?;
        Ok(Self { process, callers, operator })
    }

    /// Waits until the relay says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the relay did not become ready".to_string())
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.operator) else { return false };
        let _ = connection.wait_until(Instant::now() + Duration::from_secs(1));
        let call = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let is_sent = connection.send(call).is_ok();
        is_sent
            && matches!(read_head(&mut connection.reader), Ok(Some(head)) if head.status() == 200)
    }
}

/// A loader, beside the engine at `engine`.
pub struct Loader {
    pub process: Process,
}

impl Loader {
    pub fn start(engine: SocketAddr, control_port: u16) -> std::io::Result<Self> {
        let mut fields = bounds();
        fields.insert("nodeName", format!("side-plv-a-{}", engine.ip()));
        fields.insert("ipAddress", engine.ip().to_string());
        fields.insert("internalPortRange.0", control_port.to_string());
        fields.insert("internalPortRange.1", free_port().to_string());
        fields.insert("app", engine.to_string());
        Ok(Self { process: Process::start("loader", &fields)? })
    }
}

/// Writes lines to standard output and to a file.
pub struct Record {
    file: Mutex<File>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), begun: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {}", text.as_ref());
    }

    /// Writes a line that is shown too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
