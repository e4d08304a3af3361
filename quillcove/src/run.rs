//! Runs the subcommand that was named.

use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use eyre::{WrapErr, eyre};
use quillcove::agent::AgentProcess;
use quillcove::clock::MonoClock;
use quillcove::config::relay::RelaySettings;
use quillcove::config::shared::{LogSection, StopSection};
use quillcove::config::{self, SettingRole};
use quillcove::entry::EntryProcess;
use quillcove::relay::RelaySignals;
use quillcove::{bundle, cli, demo, dump, duty, loader, logging, measure, relay, standin};
use slog::{Logger, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Time between looks at whether a planned stop is over.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Time between looks at whether the settings file changed without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a subcommand.
pub fn run(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let (name, matches) = matches.subcommand().ok_or_else(|| eyre!("no command is named"))?;
    match name {
        "entry" => run_entry(matches),
        "agent" => run_agent(matches),
        "relay" => run_relay(matches),
        "loader" => run_loader(matches),
        "check" => check(matches),
        "dump" => print_dump(matches),
        "bundle" => bundle::command::run(matches).map(|()| ExitCode::SUCCESS),
        "demo" => demo::run(matches),
        "measure" => measure::run(matches).map(|()| ExitCode::SUCCESS),
        "standin" => standin::run(matches).map(|()| ExitCode::SUCCESS),
        "generate" => generate(matches).map(|()| ExitCode::SUCCESS),
        other => Err(eyre!("'{other}' is not a command")),
    }
}

fn config_file(matches: &ArgMatches) -> eyre::Result<(String, String)> {
    let file: &String = matches.get_one("config").ok_or_else(|| eyre!("no settings file"))?;
    Ok((file.clone(), config::load(Path::new(file))?))
}

fn run_entry(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let (file, text) = config_file(matches)?;
    let settings = config::parse_entry(&file, &text, &cli::given_overrides(matches))?;
    let log = role_logger(&settings.log, "entry", &settings.process.host);
    let stop = settings.stop;
    let entry = EntryProcess::start(settings, log.clone())?;
    Ok(supervise(RunningRole::Entry(entry), &stop, &log))
}

fn run_agent(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let (file, text) = config_file(matches)?;
    let settings = config::parse_agent(&file, &text, &cli::given_overrides(matches))?;
    let log = role_logger(&settings.log, "agent", &settings.process.host);
    let stop = settings.stop;
    let agent = AgentProcess::start(settings, log.clone())?;
    Ok(supervise(RunningRole::Agent(agent), &stop, &log))
}

fn run_relay(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let (file, text) = config_file(matches)?;
    let overrides = cli::given_overrides(matches);
    let settings = config::parse_relay(&file, &text, &overrides)?;
    let log = logging::stdout_logger(&settings.log, "relay", &settings.process.host);
    let (change, changed) = watch::channel(settings.clone());
    let reload_log = log.clone();
    let reload = move || reload_relay(&file, &overrides, &change, &reload_log);
    let stopped = stop_on_signal(log.clone(), reload);
    let signals = RelaySignals { stopped, settings: changed, clock: MonoClock::start() };
    relay::run(settings, log, signals, |_addresses| ()).map(|()| ExitCode::SUCCESS)
}

/// Reads a relay's settings again, and passes them on when they changed. Settings with faults change
/// nothing.
fn reload_relay(
    file: &str,
    overrides: &[String],
    change: &watch::Sender<RelaySettings>,
    log: &Logger,
) {
    let read = config::load(Path::new(file)).map_err(|error| format!("{error:#}"));
    let parsed = read.and_then(|text| {
        config::parse_relay(file, &text, overrides).map_err(|faults| faults.to_string())
    });
    match parsed {
        Ok(settings) => {
            change.send_if_modified(|held| {
                let is_changed = *held != settings;
                *held = settings;
                is_changed
            });
        },
        Err(faults) => warn!(log, "changed settings are not taken"; "faults" => faults),
    }
}

fn run_loader(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let (file, text) = config_file(matches)?;
    let settings = config::parse_loader(&file, &text, &cli::given_overrides(matches))?;
    let log = logging::stdout_logger(&settings.log, "loader", &settings.process.host);
    let stopped = stop_on_signal(log.clone(), || ());
    loader::run(settings, log, stopped, |_addresses| ()).map(|()| ExitCode::SUCCESS)
}

/// Turns SIGTERM and SIGINT into a planned stop. On SIGHUP, and now and then without it, the
/// settings are read again, as the file may change with no signal.
fn stop_on_signal(log: Logger, reload: impl Fn() + Send + 'static) -> watch::Receiver<bool> {
    let (stop, stopped) = watch::channel(false);
    duty::spawn("signals", move || {
        duty::run_async(1, async move {
            let mut terminate = signal(SignalKind::terminate()).expect("signals can be caught");
            let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be caught");
            let mut hangup = signal(SignalKind::hangup()).expect("signals can be caught");
            let mut look = tokio::time::interval(RELOAD_INTERVAL);
            loop {
                tokio::select! {
                    _ = terminate.recv() => break,
                    _ = interrupt.recv() => break,
                    _ = hangup.recv() => info!(log, "told that the settings changed"),
                    _ = look.tick() => {},
                }
                reload();
            }
            stop.send_replace(true);
            std::future::pending::<()>().await;
        });
    });
    stopped
}

fn role_logger(section: &LogSection, role: &'static str, host: &str) -> Logger {
    logging::logger(section, role, host)
}

/// A process of one of the roles.
enum RunningRole {
    Entry(EntryProcess),
    Agent(AgentProcess),
}

impl RunningRole {
    fn stop(&self) {
        match self {
            Self::Entry(entry) => entry.stop(),
            Self::Agent(agent) => agent.stop(),
        }
    }

    fn has_stopped(&self) -> bool {
        match self {
            Self::Entry(entry) => entry.has_stopped(),
            Self::Agent(agent) => agent.has_stopped(),
        }
    }

    fn join(self) {
        match self {
            Self::Entry(entry) => entry.join(),
            Self::Agent(agent) => agent.join(),
        }
    }

    fn in_flight(&self) -> usize {
        match self {
            Self::Entry(entry) => entry.in_flight(),
            Self::Agent(agent) => agent.in_flight(),
        }
    }
}

/// Waits for a signal, then for the planned stop. A second signal or the limit ends it with a
/// count of what was cut.
fn supervise(role: RunningRole, stop: &StopSection, log: &Logger) -> ExitCode {
    let has_stopped = duty::run_async(1, async {
        let mut terminate = signal(SignalKind::terminate()).expect("signals can be caught");
        let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be caught");
        tokio::select! {
            _ = terminate.recv() => {},
            _ = interrupt.recv() => {},
        }
        info!(log, "planned stop begins"; "in_flight" => role.in_flight());
        role.stop();
        let clock = MonoClock::start();
        while !role.has_stopped() {
            let is_ended = tokio::select! {
                _ = terminate.recv() => true,
                _ = interrupt.recv() => true,
                () = tokio::time::sleep(STOP_POLL) => clock.now() > stop.limit,
            };
            if is_ended {
                return false;
            }
        }
        true
    });
    if has_stopped {
        role.join();
        return ExitCode::SUCCESS;
    }
    let cut = role.in_flight();
    warn!(log, "stop ended early"; "cut" => cut);
    eprintln!("quillcove: stopped early, {cut} requests were cut");
    ExitCode::FAILURE
}

fn check(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let file: &String = matches.get_one("file").ok_or_else(|| eyre!("no file is named"))?;
    let text = config::load(Path::new(file))?;
    let role = match matches.get_one::<String>("role").map(String::as_str) {
        Some("entry") => SettingRole::Entry,
        Some("agent") => SettingRole::Agent,
        Some("relay") => SettingRole::Relay,
        Some("loader") => SettingRole::Loader,
        _ if text.contains("[peers]") => SettingRole::Relay,
        _ if text.contains("[engine]") => SettingRole::Loader,
        _ if text.contains("[upstream]") => SettingRole::Agent,
        _ => SettingRole::Entry,
    };
    let overrides = cli::given_overrides(matches);
    let checked = match role {
        SettingRole::Entry => config::parse_entry(file, &text, &overrides).map(|_| ()),
        SettingRole::Agent => config::parse_agent(file, &text, &overrides).map(|_| ()),
        SettingRole::Relay => config::parse_relay(file, &text, &overrides).map(|_| ()),
        SettingRole::Loader => config::parse_loader(file, &text, &overrides).map(|_| ()),
    };
    match checked {
        Ok(()) => {
            println!("{file}: no faults");
            Ok(ExitCode::SUCCESS)
        },
        Err(faults) => {
            eprintln!("{faults}");
            Ok(ExitCode::FAILURE)
        },
    }
}

fn print_dump(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let address: &String = matches.get_one("address").ok_or_else(|| eyre!("no address"))?;
    let state = dump::fetch(address)?;
    match matches.get_flag("json") {
        true => println!("{}", serde_json::to_string_pretty(&state)?),
        false => print!("{}", dump::render(&state)),
    }
    Ok(ExitCode::SUCCESS)
}

fn generate(matches: &ArgMatches) -> eyre::Result<()> {
    let folder: &String = matches.get_one("folder").ok_or_else(|| eyre!("no folder"))?;
    fs::create_dir_all(folder).wrap_err_with(|| format!("can not make {folder}"))?;
    clap_mangen::generate_to(cli::command(), folder)?;
    for shell in [Shell::Bash, Shell::Zsh, Shell::Fish] {
        clap_complete::generate_to(shell, &mut cli::command(), "quillcove", folder)?;
    }
    Ok(())
}
