//! `quillcove demo`: a whole small site in one process.

pub mod report;
pub mod site;
pub mod traffic;

use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use eyre::bail;

use self::site::{LocalSite, SitePlan};
use self::traffic::{TrafficPlan, run_traffic};
use crate::duty;

/// Longest time until the site serves.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Runs the demo.
///
/// # Errors
///
/// When the site can not be started, or something that must always hold did not.
///
/// ```no_run
/// let matches = quillcove::cli::command().get_matches_from(["quillcove", "demo"]);
/// quillcove::demo::run(matches.subcommand().unwrap().1).unwrap();
/// ```
pub fn run(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let number = |name: &str| *matches.get_one::<usize>(name).expect("has a default");
    let plan = SitePlan {
        adapters: number("adapters"),
        engines: number("engines"),
        ..SitePlan::default()
    };
    println!("starting {} engines, {} adapters", plan.engines, plan.adapters);
    let site = LocalSite::start(&plan)?;
    if !site.wait_ready(READY_LIMIT) {
        bail!("the site was not ready within {READY_LIMIT:?}");
    }
    let entry = site.entry_address(0);
    println!("entry ready on http://{entry}");
    if matches.get_flag("serve") {
        return serve(&site, &plan);
    }
    let seconds = number("seconds");
    let load = TrafficPlan {
        rate: number("rate") as f64,
        length: Duration::from_secs(seconds as u64),
        ..TrafficPlan::for_site(&plan)
    };
    let outcome =
        duty::run_async(2, run_traffic(&site.entries(), &load, |line| println!("{line}")));
    let counts = site.counts();
    print!("{}", report::table(&outcome, &counts));
    let faults = report::faults(&outcome, &counts);
    site.stop();
    if !faults.is_empty() {
        bail!("{}", faults.join("; "));
    }
    Ok(ExitCode::SUCCESS)
}

fn serve(site: &LocalSite, plan: &SitePlan) -> eyre::Result<ExitCode> {
    let entry = site.entry_address(0);
    let body =
        format!("{{\"model\":\"{}\",\"prompt\":\"hello\",\"max_tokens\":8}}", plan.adapter_name(0));
    println!("try: curl -i http://{entry}/v1/completions -d '{body}'");
    println!("state: quillcove dump {}", site.entry_operator(0));
    println!("end with Ctrl-C");
    loop {
        std::thread::park();
    }
}
