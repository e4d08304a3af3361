//! `quillcove measure policy`: ours against the baselines, over real entries and agents with
//! stand-ins, the same requests for each.
//!
//! A site's times are made shorter, all of them alike, so that a run shows minutes
//! of a site within seconds. Times in the results are in the site's own time.

use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::path::Path;
use std::time::Duration;

use clap::ArgMatches;
use eyre::{WrapErr, bail};
use hdrhistogram::Histogram;
use quillcove_core::agent::event::{BatchRule, EvictRule, LoadRule, PacingRule};
use quillcove_core::bundle::LoadLimits;
use quillcove_core::class::WorkClass;
use quillcove_core::entry::event::RouteRule;
use quillcove_standin::engine::EngineSettings;
use quillcove_standin::platform::PlatformSettings;
use serde::Serialize;

use crate::config::agent::{LoadSection, QueueSection};
use crate::config::entry::RoutingSection;
use crate::demo::site::{LocalSite, SitePlan};
use crate::demo::traffic::{
    CallOutcome, TrafficOutcome, TrafficPlan, micros_histogram, planned_adapters, run_traffic,
};
use crate::duty;

/// How much faster than a real site everything runs.
const SCALE: u32 = 4;

/// Longest time until a site serves.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Time of one load at full speed, in the site's time.
const LOAD_TIME: Duration = Duration::from_millis(600);

/// Half-life of demand, in the site's time.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// Deadline of urgent and normal requests, in the site's time.
const DEADLINE: Duration = Duration::from_secs(20);

/// A set of rules under comparison.
#[derive(Clone, Copy, Debug)]
struct PolicyChoice {
    name: &'static str,
    route: RouteRule,
    evict: EvictRule,
    load: LoadRule,
    pacing: PacingRule,
    batch: BatchRule,
}

/// Ours first, then the baselines.
const POLICIES: [PolicyChoice; 4] = [
    PolicyChoice {
        name: "ours",
        route: RouteRule::BoundedRendezvous,
        evict: EvictRule::Value,
        load: LoadRule::Value,
        pacing: PacingRule::Keeper,
        batch: BatchRule::Gather,
    },
    PolicyChoice {
        name: "random",
        route: RouteRule::Random,
        evict: EvictRule::Lru,
        load: LoadRule::Oldest,
        pacing: PacingRule::None,
        batch: BatchRule::Eager,
    },
    PolicyChoice {
        name: "least-loaded",
        route: RouteRule::LeastLoaded,
        evict: EvictRule::Lru,
        load: LoadRule::Oldest,
        pacing: PacingRule::None,
        batch: BatchRule::Eager,
    },
    PolicyChoice {
        name: "rendezvous",
        route: RouteRule::Rendezvous,
        evict: EvictRule::Lru,
        load: LoadRule::Oldest,
        pacing: PacingRule::None,
        batch: BatchRule::Eager,
    },
];

/// A site's sizes.
#[derive(Clone, Copy, Debug)]
struct SiteSizes {
    name: &'static str,
    loads_at_once: u32,
    batch_share: f64,
}

const LJUBLJANA: SiteSizes = SiteSizes { name: "ljubljana", loads_at_once: 2, batch_share: 0.2 };
const PLOVDIV: SiteSizes = SiteSizes { name: "plovdiv", loads_at_once: 10, batch_share: 0.6 };

/// What happens in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MidEvent {
    Nothing,
    Shift,
    EngineRestart,
    FailingLoads,
    SlowStore,
}

/// One scenario.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    site: SiteSizes,
    skew: f64,
    /// Requests a second, in the site's time.
    rate: f64,
    event: MidEvent,
}

const SCENARIOS: [Scenario; 8] = [
    scenario("steady", LJUBLJANA, 1.1, 8.0, MidEvent::Nothing),
    scenario("steady", LJUBLJANA, 0.9, 5.0, MidEvent::Nothing),
    scenario("steady", PLOVDIV, 1.1, 8.0, MidEvent::Nothing),
    scenario("shift", LJUBLJANA, 1.1, 8.0, MidEvent::Shift),
    scenario("restart", LJUBLJANA, 1.1, 8.0, MidEvent::EngineRestart),
    scenario("failing", LJUBLJANA, 1.1, 8.0, MidEvent::FailingLoads),
    scenario("slow-store", LJUBLJANA, 1.1, 8.0, MidEvent::SlowStore),
    scenario("overload", LJUBLJANA, 1.1, 16.0, MidEvent::Nothing),
];

const fn scenario(
    name: &'static str,
    site: SiteSizes,
    skew: f64,
    rate: f64,
    event: MidEvent,
) -> Scenario {
    Scenario { name, site, skew, rate, event }
}

/// One line of the result.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyResult {
    /// Scenario.
    pub scenario: String,
    /// Site.
    pub site: String,
    /// Skew of Zipf's law.
    pub skew: f64,
    /// Policy.
    pub policy: String,
    /// Requests sent.
    pub requests: usize,
    /// Seconds of load stall for a thousand urgent and normal requests answered.
    pub stall_per_thousand: f64,
    /// The same for batch-class requests, which can wait.
    pub batch_stall_per_thousand: f64,
    /// Median stall of urgent requests, in seconds.
    pub urgent_stall_p50: f64,
    /// 99th percentile of the stall of urgent requests, in seconds.
    pub urgent_stall_p99: f64,
    /// Median stall of normal requests, in seconds.
    pub normal_stall_p50: f64,
    /// 99th percentile of the stall of normal requests, in seconds.
    pub normal_stall_p99: f64,
    /// Share of requests answered right and within the deadline.
    pub in_time: f64,
    /// Share of urgent requests answered right and within the deadline.
    pub urgent_in_time: f64,
    /// Share of requests given up.
    pub given_up: f64,
    /// 99th percentile of the time in which a refusal came, in seconds.
    pub refused_in_p99: f64,
    /// Places used as a share of those in the steps with work.
    pub batch_efficiency: f64,
    /// Loads used.
    pub loads: u64,
    /// Loads with all requests known beforehand and none given up.
    pub clairvoyant_loads: u64,
    /// Share answered in time, by tenths of the run.
    pub in_time_by_tenth: Vec<f64>,
}

/// Runs the scenarios whose names begin with the filter.
///
/// # Errors
///
/// When a site can not be started, something that must always hold did not, or the result can
/// not be written.
///
/// ```no_run
/// let line = ["quillcove", "measure", "policy", "--seconds", "5"];
/// let matches = quillcove::cli::command().get_matches_from(line);
/// let matches = matches.subcommand().unwrap().1.subcommand().unwrap().1;
/// quillcove::measure::policy::run(matches).unwrap();
/// ```
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let seconds = *matches.get_one::<usize>("seconds").expect("has a default");
    let only = matches.get_one::<String>("only").cloned().unwrap_or_default();
    let policy = matches.get_one::<String>("policy").cloned().unwrap_or_default();
    let length = Duration::from_secs(seconds as u64);
    let mut results = Vec::new();
    println!("{}", header());
    for scenario in SCENARIOS.iter().filter(|scenario| scenario.name.starts_with(&only)) {
        for choice in POLICIES.iter().filter(|choice| choice.name.starts_with(&policy)) {
            let result = run_one(scenario, choice, length)?;
            println!("{}", line(&result));
            results.push(result);
        }
    }
    if let Some(file) = matches.get_one::<String>("out") {
        let text = serde_json::to_string_pretty(&results)?;
        std::fs::write(Path::new(file), text + "\n")
            .wrap_err_with(|| format!("can not write {file}"))?;
    }
    Ok(())
}

fn header() -> String {
    format!(
        "{:10} {:9} {:4} {:12} {:>5} {:>9} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>5} {:>5}",
        "scenario",
        "site",
        "skew",
        "policy",
        "sent",
        "stall/k s",
        "b.st/k",
        "u p50 s",
        "u p99 s",
        "n p99 s",
        "in time",
        "urgent",
        "refuse",
        "batch",
        "loads",
        "best"
    )
}

fn line(result: &PolicyResult) -> String {
    format!(
        "{:10} {:9} {:4} {:12} {:>5} {:>9.0} {:>7.0} {:>7.2} {:>7.2} {:>7.2} {:>7.3} {:>7.3} {:>7.2} \
         {:>6.3} {:>5} {:>5}",
        result.scenario,
        result.site,
        result.skew,
        result.policy,
        result.requests,
        result.stall_per_thousand,
        result.batch_stall_per_thousand,
        result.urgent_stall_p50,
        result.urgent_stall_p99,
        result.normal_stall_p99,
        result.in_time,
        result.urgent_in_time,
        result.refused_in_p99,
        result.batch_efficiency,
        result.loads,
        result.clairvoyant_loads,
    )
}

fn site_plan(scenario: &Scenario, choice: &PolicyChoice) -> SitePlan {
    let loads_per_second = 3.0 * f64::from(SCALE);
    SitePlan {
        adapters: 5000,
        engines: 12,
        services: 0,
        entries: 2,
        engine: EngineSettings {
            slots: 8,
            batch: 8,
            step: Duration::from_millis(20) / SCALE,
            report_lag: Duration::from_millis(400) / SCALE,
            ..EngineSettings::default()
        },
        platform: PlatformSettings {
            loads_per_second,
            loads_at_once: scenario.site.loads_at_once as usize,
            load_time: LOAD_TIME / SCALE,
            ..PlatformSettings::default()
        },
        loads: LoadLimits { per_second: loads_per_second, at_once: scenario.site.loads_at_once },
        load_section: LoadSection {
            evict: choice.evict,
            choose: choice.load,
            pacing: choice.pacing,
            half_life: HALF_LIFE / SCALE,
            ..LoadSection::default()
        },
        queue_section: QueueSection { batch: choice.batch, ..QueueSection::default() },
        routing: RoutingSection { rule: choice.route, ..RoutingSection::default() },
        ..SitePlan::default()
    }
}

fn load_plan(scenario: &Scenario, site: &SitePlan, length: Duration) -> TrafficPlan {
    TrafficPlan {
        seed: 7,
        rate: scenario.rate * f64::from(SCALE),
        length,
        skew: scenario.skew,
        bookings: 0.0,
        urgent: 0.3,
        batch: scenario.site.batch_share,
        tokens: 32,
        deadline: DEADLINE / SCALE,
        shift_after: (scenario.event == MidEvent::Shift).then_some(length / 2),
        ..TrafficPlan::for_site(site)
    }
}

fn run_one(
    scenario: &Scenario,
    choice: &PolicyChoice,
    length: Duration,
) -> eyre::Result<PolicyResult> {
    let plan = site_plan(scenario, choice);
    let load = load_plan(scenario, &plan, length);
    let site = LocalSite::start(&plan)?;
    if !site.wait_ready(READY_LIMIT) {
        bail!("the site was not ready within {READY_LIMIT:?}");
    }
    let platform = site.platform.clone();
    let engine = site.engines[0].clone();
    let event = scenario.event;
    let half = length / 2;
    let outcome = duty::run_async(2, async {
        let mid = async move {
            tokio::time::sleep(half).await;
            match event {
                MidEvent::Nothing | MidEvent::Shift => {},
                MidEvent::EngineRestart => engine.restart(),
                MidEvent::FailingLoads => platform.fail_loads(10),
                MidEvent::SlowStore => platform.set_slowness(2.0),
            }
        };
        let entries = site.entries();
        let (outcome, ()) = tokio::join!(run_traffic(&entries, &load, |_| ()), mid);
        outcome
    });
    let counts = site.counts();
    site.stop();
    let faults = crate::demo::report::faults(&outcome, &counts);
    if !faults.is_empty() {
        bail!("{}: {}", choice.name, faults.join("; "));
    }
    let engines = counts.engines;
    Ok(PolicyResult {
        batch_efficiency: engines.places_used as f64 / engines.places.max(1) as f64,
        loads: counts.loads,
        clairvoyant_loads: clairvoyant_loads(&plan, &load),
        ..judge(scenario, choice, &load, &outcome)
    })
}

fn judge(
    scenario: &Scenario,
    choice: &PolicyChoice,
    load: &TrafficPlan,
    outcome: &TrafficOutcome,
) -> PolicyResult {
    let calls = &outcome.calls;
    let answered: Vec<&CallOutcome> = calls.iter().filter(|call| call.is_right).collect();
    let (urgent, normal) =
        (stall_times(&answered, WorkClass::Urgent), stall_times(&answered, WorkClass::Normal));
    let refusals = micros_histogram(calls.iter().filter_map(|call| call.refused_in));
    let quantile = |times: &Histogram<u64>, share: f64| {
        seconds(Duration::from_micros(times.value_at_quantile(share)))
    };
    PolicyResult {
        scenario: scenario.name.to_string(),
        site: scenario.site.name.to_string(),
        skew: scenario.skew,
        policy: choice.name.to_string(),
        requests: calls.len(),
        stall_per_thousand: mean_stall(&answered, |class| class != WorkClass::Batch) * 1000.0,
        batch_stall_per_thousand: mean_stall(&answered, |class| class == WorkClass::Batch) * 1000.0,
        urgent_stall_p50: quantile(&urgent, 0.5),
        urgent_stall_p99: quantile(&urgent, 0.99),
        normal_stall_p50: quantile(&normal, 0.5),
        normal_stall_p99: quantile(&normal, 0.99),
        in_time: share(calls, |_| true, |call| is_in_time(call, load)),
        urgent_in_time: share(
            calls,
            |call| call.class == WorkClass::Urgent,
            |call| is_in_time(call, load),
        ),
        given_up: share(calls, |_| true, |call| !call.is_right),
        refused_in_p99: quantile(&refusals, 0.99),
        batch_efficiency: 0.0,
        loads: 0,
        clairvoyant_loads: 0,
        in_time_by_tenth: (0..10).map(|tenth| tenth_in_time(calls, load, tenth)).collect(),
    }
}

/// Mean stall of the requests answered, in seconds.
fn mean_stall(answered: &[&CallOutcome], is_counted: impl Fn(WorkClass) -> bool) -> f64 {
    let counted = answered.iter().filter(|call| is_counted(call.class));
    let stalls: Vec<f64> = counted.map(|call| seconds(call.stalled)).collect();
    stalls.iter().sum::<f64>() / stalls.len().max(1) as f64
}

/// A time in the site's own time, in seconds.
fn seconds(time: Duration) -> f64 {
    time.as_secs_f64() * f64::from(SCALE)
}

fn stall_times(answered: &[&CallOutcome], class: WorkClass) -> Histogram<u64> {
    let of_class = answered.iter().filter(|call| call.class == class);
    micros_histogram(of_class.map(|call| call.stalled))
}

fn is_in_time(call: &CallOutcome, load: &TrafficPlan) -> bool {
    let deadline = match call.class {
        WorkClass::Batch => load.deadline * 6,
        WorkClass::Urgent | WorkClass::Normal => load.deadline,
    };
    call.is_right && call.took <= deadline
}

fn share(
    calls: &[CallOutcome],
    is_counted: impl Fn(&CallOutcome) -> bool,
    is_good: impl Fn(&CallOutcome) -> bool,
) -> f64 {
    let counted: Vec<&CallOutcome> = calls.iter().filter(|call| is_counted(call)).collect();
    let good = counted.iter().filter(|call| is_good(call)).count();
    good as f64 / counted.len().max(1) as f64
}

fn tenth_in_time(calls: &[CallOutcome], load: &TrafficPlan, tenth: u32) -> f64 {
    let (from, to) = (load.length / 10 * tenth, load.length / 10 * (tenth + 1));
    let is_within = |call: &CallOutcome| call.sent >= from && call.sent < to;
    share(calls, is_within, |call| is_in_time(call, load))
}

/// Loads that suffice when all requests are known beforehand: each model's slots as one cache,
/// from which the adapter goes whose next use is furthest away (Belady, 1966).
fn clairvoyant_loads(plan: &SitePlan, load: &TrafficPlan) -> u64 {
    let mut traces: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for adapter in planned_adapters(load) {
        traces.entry(plan.model_of(adapter)).or_default().push(adapter);
    }
    let loads = traces.iter().map(|(model, trace)| {
        let engines = (0..plan.engines).filter(|number| plan.model_of_engine(*number) == *model);
        furthest_next_use(trace, engines.count() * plan.engine.slots)
    });
    loads.sum()
}

fn furthest_next_use(trace: &[usize], slots: usize) -> u64 {
    let mut next_uses = vec![usize::MAX; trace.len()];
    let mut last_seen = HashMap::new();
    for (place, adapter) in trace.iter().enumerate().rev() {
        next_uses[place] = last_seen.insert(*adapter, place).unwrap_or(usize::MAX);
    }
    let mut cached: HashMap<usize, usize> = HashMap::new();
    let mut by_next_use = BinaryHeap::new();
    let mut loads = 0;
    for (place, adapter) in trace.iter().enumerate() {
        if !cached.contains_key(adapter) {
            loads += 1;
            while cached.len() >= slots {
                let Some((next_use, victim)) = by_next_use.pop() else { break };
                // Entries of earlier uses are out of date.
                if cached.get(&victim) == Some(&next_use) {
                    cached.remove(&victim);
                }
            }
        }
        cached.insert(*adapter, next_uses[place]);
        by_next_use.push((next_uses[place], *adapter));
    }
    loads
}
