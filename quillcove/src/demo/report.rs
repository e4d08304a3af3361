//! The demo's table.

use quillcove_core::class::WorkClass;
use quillcove_core::verdict::RunVerdict;

use super::site::SiteCounts;
use super::traffic::{CallOutcome, TrafficOutcome};

/// Microseconds in a millisecond.
const MICROS: f64 = 1000.0;

/// Writes the table.
///
/// ```
/// use quillcove::demo::traffic::TrafficOutcome;
/// use quillcove::demo::report::table;
/// use quillcove::demo::site::SiteCounts;
///
/// assert!(table(&TrafficOutcome::default(), &SiteCounts::default()).contains("urgent"));
/// ```
pub fn table(outcome: &TrafficOutcome, counts: &SiteCounts) -> String {
    let mut text = format!(
        "\n{:8} {:>6} {:>6} {:>8} {:>13} {:>9} {:>9} {:>9}\n",
        "class", "all", "ran", "not-run", "may-have-run", "p50 ms", "p90 ms", "p99 ms"
    );
    for class in WorkClass::ALL {
        let calls: Vec<&CallOutcome> =
            outcome.calls.iter().filter(|call| call.class == class).collect();
        let verdicts = |verdict| calls.iter().filter(|call| call.verdict == verdict).count();
        let times = outcome.times(class);
        let quantile = |share: f64| times.value_at_quantile(share) as f64 / MICROS;
        text.push_str(&format!(
            "{:8} {:>6} {:>6} {:>8} {:>13} {:>9.1} {:>9.1} {:>9.1}\n",
            class.label(),
            calls.len(),
            verdicts(RunVerdict::Ran),
            verdicts(RunVerdict::NotRun),
            verdicts(RunVerdict::MayHaveRun),
            quantile(0.5),
            quantile(0.9),
            quantile(0.99),
        ));
    }
    let engines = &counts.engines;
    let efficiency = engines.places_used as f64 / engines.places.max(1) as f64;
    text.push_str(&format!(
        "\nloads {}, batch efficiency {:.2}, bookings {} (ran twice: {}), \
         cut by an unload: {}, wrong answers: {}\n",
        counts.loads,
        efficiency,
        counts.bookings,
        counts.double_bookings,
        engines.cut_by_unload,
        outcome.calls.iter().filter(|call| call.is_wrong).count(),
    ));
    text
}

/// What must never be, found in a run.
///
/// ```
/// use quillcove::demo::traffic::TrafficOutcome;
/// use quillcove::demo::report::faults;
/// use quillcove::demo::site::SiteCounts;
///
/// assert!(faults(&TrafficOutcome::default(), &SiteCounts::default()).is_empty());
/// ```
pub fn faults(outcome: &TrafficOutcome, counts: &SiteCounts) -> Vec<String> {
    let wrong = outcome.calls.iter().filter(|call| call.is_wrong).count() as u64;
    let checks = [
        (counts.double_bookings, "bookings ran twice"),
        (counts.engines.cut_by_unload, "requests were cut by an unload"),
        (wrong, "answers were wrong"),
    ];
    let found = checks.iter().filter(|(count, _)| *count > 0);
    found.map(|(count, what)| format!("{count} {what}")).collect()
}
