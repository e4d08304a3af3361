//! `quillcove measure`: the measurements that the pages in docs/ cite.

pub mod latency;
pub mod policy;

use clap::ArgMatches;
use eyre::eyre;

/// Runs one measurement.
///
/// # Errors
///
/// When a site can not be started or the result can not be written.
///
/// ```no_run
/// let matches = quillcove::cli::command().get_matches();
/// if let Some(("measure", matches)) = matches.subcommand() {
///     quillcove::measure::run(matches).unwrap();
/// }
/// ```
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    match matches.subcommand() {
        Some(("latency", matches)) => latency::run(matches),
        Some(("policy", matches)) => policy::run(matches),
        _ => Err(eyre!("no measurement is named")),
    }
}
