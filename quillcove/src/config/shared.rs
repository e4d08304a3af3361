//! Sections that all roles have.

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::resource::{Resource, getrlimit};
use quillcove_core::bundle::signing::TrustedKeys;
use quillcove_core::ids::{HallName, HostId};
use quillcove_core::memory::{MB_BYTES, MachineLimits};

use super::ini::SettingSource;

/// `[process]`: who this process is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessSection {
    /// `host`: name of the host, unique in the fleet.
    pub host: HostId,
    /// `hall`: name of the hall.
    pub hall: HallName,
}

impl ProcessSection {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        Self { host: source.name("process", "host"), hall: source.name("process", "hall") }
    }
}

/// Largest memory, in MB, and most descriptors that are taken; beyond them there is in effect no bound.
const MEMORY_MB_MOST: f64 = 1e6;
const DESCRIPTORS_MOST: f64 = 1e6;

/// `[machine]`: what the machine gives this process; 0 for the default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineSection {
    /// `memory_mb`: memory, in MB. It decides how much callers may make the process hold at a time.
    pub memory_mb: f64,
    /// `descriptors`: file descriptors; fewer where the operating system allows the process fewer. They decide how many
    /// connections callers may have open.
    pub descriptors: f64,
}

impl Default for MachineSection {
    /// Returns the limits of the smallest machines that run a relay or an entry.
    fn default() -> Self {
        Self { memory_mb: 160.0, descriptors: 3000.0 }
    }
}

impl MachineSection {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let mut number = |key, default, most| {
            let given = source.fraction("machine", key, 0.0, 0.0, most);
            if given > 0.0 { given } else { default }
        };
        Self {
            memory_mb: number("memory_mb", default.memory_mb, MEMORY_MB_MOST),
            descriptors: number("descriptors", default.descriptors, DESCRIPTORS_MOST),
        }
    }

    /// Returns the limits that hold for this process.
    ///
    /// ```
    /// use quillcove::config::shared::MachineSection;
    ///
    /// let section = MachineSection { memory_mb: 160.0, descriptors: 3.0 };
    /// assert_eq!(section.limits().memory_bytes, 160_000_000);
    /// assert!(section.limits().descriptors <= 3);
    /// ```
    pub fn limits(&self) -> MachineLimits {
        // Without an answer of the operating system, what the settings say holds.
        let allowed = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        let allowed = usize::try_from(allowed).unwrap_or(usize::MAX);
        MachineLimits {
            memory_bytes: (self.memory_mb * MB_BYTES as f64) as usize,
            descriptors: (self.descriptors as usize).min(allowed),
        }
    }
}

/// `[platform]`: where the platform's values and host list are read.
#[derive(Clone, Debug)]
pub struct PlatformSection {
    /// `address`: IP address and port.
    pub address: SocketAddr,
    /// `hosts_interval`: least time between two changes of the host list that are read.
    pub hosts_interval: Duration,
    /// `watch_time`: time that one watch of the bundle or the host list waits; grows with the
    /// fleet beyond a hundred hosts.
    pub watch_time: Duration,
    /// `timeout`: longest time for a read that does not wait.
    pub timeout: Duration,
}

impl Default for PlatformSection {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            hosts_interval: Duration::from_millis(500),
            watch_time: Duration::from_secs(30),
            timeout: Duration::from_secs(2),
        }
    }
}

impl PlatformSection {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "platform";
        Self {
            address: source.address(section, "address"),
            hosts_interval: source.time(section, "hosts_interval", default.hosts_interval),
            watch_time: source.time(section, "watch_time", default.watch_time),
            timeout: source.time(section, "timeout", default.timeout),
        }
    }
}

/// `[bundle]`: which bundles are accepted, and who else can be asked for them.
#[derive(Clone, Debug, Default)]
pub struct BundleSection {
    /// `trusted_keys`: public keys, each of 64 hex digits, separated by commas.
    pub trusted_keys: TrustedKeys,
    /// `peers`: control addresses of other agents that are asked while the platform is down.
    pub peers: Vec<String>,
}

impl BundleSection {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        let section = "bundle";
        let keys = source.list(section, "trusted_keys");
        let trusted_keys = TrustedKeys::read(&keys).unwrap_or_else(|error| {
            source.reject(section, "trusted_keys", &error.to_string());
            TrustedKeys::default()
        });
        if keys.is_empty() {
            let message = "is missing; accepted is a public key of 64 hex digits, or several";
            source.reject(section, "trusted_keys", message);
        }
        let peers = source.list(section, "peers");
        for peer in &peers {
            if peer.parse::<SocketAddr>().is_err() {
                let message = format!("'{peer}' is not an IP address with a port");
                source.reject(section, "peers", &message);
            }
        }
        Self { trusted_keys, peers }
    }
}

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people on a terminal, JSON otherwise.
    Auto,
    /// For people.
    Text,
    /// JSON.
    Json,
}

/// `[log]`: what is logged, to standard error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSection {
    /// `format`: `auto`, `text` or `json`.
    pub format: LogFormat,
    /// `level`: `error`, `warning`, `info` or `debug`.
    pub level: slog::Level,
}

impl Default for LogSection {
    fn default() -> Self {
        Self { format: LogFormat::Auto, level: slog::Level::Info }
    }
}

impl LogSection {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let formats =
            [("auto", LogFormat::Auto), ("text", LogFormat::Text), ("json", LogFormat::Json)];
        let levels = [
            ("error", slog::Level::Error),
            ("warning", slog::Level::Warning),
            ("info", slog::Level::Info),
            ("debug", slog::Level::Debug),
        ];
        Self {
            format: source.choice("log", "format", default.format, &formats),
            level: source.choice("log", "level", default.level, &levels),
        }
    }
}

/// `[stop]`: the planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSection {
    /// `limit`: longest time that requests in flight are given.
    pub limit: Duration,
}

impl Default for StopSection {
    fn default() -> Self {
        Self { limit: Duration::from_secs(300) }
    }
}

impl StopSection {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        Self { limit: source.time("stop", "limit", Self::default().limit) }
    }
}
