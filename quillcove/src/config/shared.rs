//! Sections that all roles have.

use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::bundle::signing::TrustedKeys;
use quillcove_core::ids::{HallName, HostId};

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
