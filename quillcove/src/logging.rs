//! Log lines, to standard error. Lines are for changes of state; what happens often is counted
//! in the metrics instead.

use std::io::IsTerminal;

use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::config::shared::{LogFormat, LogSection};

/// Lines that may wait to be written; beyond them lines are dropped and counted.
const LINES_WAITING: usize = 1024;

/// Makes the root logger of a process.
///
/// ```
/// use quillcove::config::shared::LogSection;
///
/// let log = quillcove::logging::logger(&LogSection::default(), "agent", "e1");
/// slog::info!(log, "ready");
/// ```
pub fn logger(section: &LogSection, role: &'static str, host: &str) -> Logger {
    let is_text = match section.format {
        LogFormat::Auto => std::io::stderr().is_terminal(),
        LogFormat::Text => true,
        LogFormat::Json => false,
    };
    let fields = o!("role" => role, "host" => host.to_string());
    match is_text {
        true => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            root(slog_term::FullFormat::new(decorator).build().fuse(), section.level, fields)
        },
        false => root(slog_json::Json::default(std::io::stderr()).fuse(), section.level, fields),
    }
}

/// Makes the root logger of a process whose lines go to standard output as JSON, where the
/// platform collects them.
///
/// ```
/// use quillcove::config::shared::LogSection;
///
/// let log = quillcove::logging::stdout_logger(&LogSection::default(), "relay", "e1");
/// slog::info!(log, "ready");
/// ```
pub fn stdout_logger(section: &LogSection, role: &'static str, host: &str) -> Logger {
    let fields = o!("role" => role, "host" => host.to_string());
    root(slog_json::Json::default(std::io::stdout()).fuse(), section.level, fields)
}

fn root<D, T>(drain: D, level: Level, fields: slog::OwnedKV<T>) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
    T: slog::SendSyncRefUnwindSafeKV + 'static,
{
    let drain = slog_async::Async::new(drain).chan_size(LINES_WAITING).build();
    Logger::root(LevelFilter::new(drain, level).fuse(), fields)
}

/// The same logger for libraries that write a line for each request: warnings and errors only.
///
/// ```
/// let log = slog::Logger::root(slog::Discard, slog::o!());
/// quillcove::logging::quiet(&log);
/// ```
pub fn quiet(log: &Logger) -> Logger {
    let drain = LevelFilter::new(log.clone(), Level::Warning).fuse();
    Logger::root(drain, o!())
}

/// A logger that writes nothing.
///
/// ```
/// slog::info!(quillcove::logging::silent(), "nobody sees this");
/// ```
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
