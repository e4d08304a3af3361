//! Settings of the processes, one struct a section.

pub mod agent;
pub mod entry;
pub mod ini;
pub mod relay;
pub mod shared;

use std::path::Path;

use eyre::WrapErr;

use self::agent::AgentSettings;
use self::entry::EntrySettings;
use self::ini::{SettingFaults, SettingSource};
use self::relay::{LoaderSettings, RelaySettings};

/// Which process settings are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingRole {
    /// `quillcove entry`.
    Entry,
    /// `quillcove agent`.
    Agent,
    /// `quillcove relay`.
    Relay,
    /// `quillcove loader`.
    Loader,
}

/// Reads the settings of an entry from a text.
///
/// # Errors
///
/// All faults at once.
///
/// ```
/// assert!(quillcove::config::parse_entry("entry.ini", "", &[]).is_err());
/// ```
pub fn parse_entry(
    file: &str,
    text: &str,
    overrides: &[String],
) -> Result<EntrySettings, SettingFaults> {
    let mut source = SettingSource::read(file, text, overrides).with_environment();
    let settings = EntrySettings::read(&mut source);
    source.finish().map(|()| settings)
}

/// Reads the settings of an agent from a text.
///
/// # Errors
///
/// All faults at once.
///
/// ```
/// assert!(quillcove::config::parse_agent("agent.ini", "", &[]).is_err());
/// ```
pub fn parse_agent(
    file: &str,
    text: &str,
    overrides: &[String],
) -> Result<AgentSettings, SettingFaults> {
    let mut source = SettingSource::read(file, text, overrides).with_environment();
    let settings = AgentSettings::read(&mut source);
    source.finish().map(|()| settings)
}

/// Reads the settings of a relay from a text.
///
/// # Errors
///
/// All faults at once.
///
/// ```
/// assert!(quillcove::config::parse_relay("relay.ini", "", &[]).is_err());
/// ```
pub fn parse_relay(
    file: &str,
    text: &str,
    overrides: &[String],
) -> Result<RelaySettings, SettingFaults> {
    let mut source = SettingSource::read(file, text, overrides).with_environment();
    let settings = RelaySettings::read(&mut source);
    source.finish().map(|()| settings)
}

/// Reads the settings of a loader from a text.
///
/// # Errors
///
/// All faults at once.
///
/// ```
/// assert!(quillcove::config::parse_loader("loader.ini", "", &[]).is_err());
/// ```
pub fn parse_loader(
    file: &str,
    text: &str,
    overrides: &[String],
) -> Result<LoaderSettings, SettingFaults> {
    let mut source = SettingSource::read(file, text, overrides).with_environment();
    let settings = LoaderSettings::read(&mut source);
    source.finish().map(|()| settings)
}

/// Reads a settings file.
///
/// # Errors
///
/// When the file can not be read.
///
/// ```
/// assert!(quillcove::config::load("missing.ini".as_ref()).is_err());
/// ```
pub fn load(file: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("can not read {}", file.display()))
}
