//! `quillcove measure latency`: what entry and agent together add to a call, against a direct
//! call to the same stand-in, in one run with the two kinds in turn.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use eyre::{WrapErr, bail};
use hdrhistogram::Histogram;
use http::Method;
use serde::Serialize;

use crate::demo::site::{BOOKING, LocalSite, SitePlan};
use crate::duty;
use crate::web::client::WebClient;

/// Longest time for one call.
const LIMIT: Duration = Duration::from_secs(5);

/// Calls before the measured ones.
const WARM_UP: usize = 200;

/// Latency of both kinds of call, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencyResult {
    /// Calls of each kind.
    pub calls: usize,
    /// Median of direct calls.
    pub direct_p50: u64,
    /// 99th percentile of direct calls.
    pub direct_p99: u64,
    /// Median of calls through entry and agent.
    pub through_p50: u64,
    /// 99th percentile of calls through entry and agent.
    pub through_p99: u64,
    /// Calls a second that one entry and one agent pass on, eight at a time.
    pub calls_per_second: f64,
}

/// Runs the measurement and prints the result as JSON.
///
/// # Errors
///
/// When the site can not be started or a call fails.
///
/// ```no_run
/// let matches = quillcove::cli::command().get_matches_from(["quillcove", "measure", "latency"]);
/// let matches = matches.subcommand().unwrap().1.subcommand().unwrap().1;
/// quillcove::measure::latency::run(matches).unwrap();
/// ```
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let calls = *matches.get_one::<usize>("calls").expect("has a default");
    let plan = SitePlan {
        adapters: 100,
        engines: 0,
        services: 1,
        entries: 1,
        service_delay: Duration::ZERO,
        ..SitePlan::default()
    };
    let site = LocalSite::start(&plan)?;
    if !site.wait_ready(LIMIT) {
        bail!("the site was not ready within {LIMIT:?}");
    }
    let direct = format!("http://{}/do/trips/1", site.service_addresses[0]);
    let through = format!("http://{}/svc/{BOOKING}/trips/1", site.entry_address(0));
    let result = duty::run_async(1, measure(calls, &direct, &through));
    site.stop();
    println!("{}", serde_json::to_string_pretty(&result?)?);
    Ok(())
}

async fn measure(calls: usize, direct: &str, through: &str) -> eyre::Result<LatencyResult> {
    let client = WebClient::new(LIMIT, LIMIT);
    let mut times = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for number in 0..WARM_UP + calls {
        for (kind, uri) in [direct, through].into_iter().enumerate() {
            let started = Instant::now();
            call(&client, uri).await?;
            if number >= WARM_UP {
                times[kind].record(started.elapsed().as_micros() as u64)?;
            }
        }
    }
    let [direct_times, through_times] = times;
    Ok(LatencyResult {
        calls,
        direct_p50: direct_times.value_at_quantile(0.5),
        direct_p99: direct_times.value_at_quantile(0.99),
        through_p50: through_times.value_at_quantile(0.5),
        through_p99: through_times.value_at_quantile(0.99),
        calls_per_second: throughput(&client, through, calls).await?,
    })
}

async fn call(client: &WebClient, uri: &str) -> eyre::Result<()> {
    let answer = client.fetch(Method::GET, uri, "", LIMIT).await.wrap_err("a call failed")?;
    match answer.status().is_success() {
        true => Ok(()),
        false => bail!("a call got status {}", answer.status()),
    }
}

async fn throughput(client: &WebClient, uri: &str, calls: usize) -> eyre::Result<f64> {
    const AT_ONCE: usize = 8;
    let started = Instant::now();
    let callers = (0..AT_ONCE).map(|_| async {
        for _ in 0..calls / AT_ONCE {
            call(client, uri).await?;
        }
        eyre::Ok(())
    });
    futures::future::try_join_all(callers).await?;
    Ok((calls / AT_ONCE * AT_ONCE) as f64 / started.elapsed().as_secs_f64())
}
