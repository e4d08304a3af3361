//! What the platform fills into the templates of relay and loader: each value has a meaning or an
//! error that names its line and key, whatever its form.

use std::fs;
use std::time::Duration;

use proptest::prelude::*;
use quillcove::config::relay::{LoaderSettings, RelaySettings};
use quillcove::config::{parse_loader, parse_relay};

/// Values of a common deployment, by the platform's names.
const COMMON: [(&str, &str); 22] = [
    ("nodeName", "front-a-1"),
    ("zone", "hall-a"),
    ("limits.memoryMb", "260"),
    ("limits.fileDescriptors", "4100"),
    ("listenAddresses.frontend", "10.1.0.38:8149"),
    ("listenAddresses.readiness", "10.1.0.38:8141"),
    ("listenAddresses.controlPlane", "10.1.0.38:8144"),
    ("platform.address", "10.200.1.7:8142"),
    ("bounds.contactMs", "3000"),
    ("bounds.configApplyMs", "2000"),
    ("bounds.drainTimeoutMs", "2000"),
    ("seedNodes", "10.1.0.38:8144,10.2.0.40:8144"),
    ("internalPortRange.0", "7380"),
    ("internalPortRange.1", "7395"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.budgetExtraRetries", "54"),
    ("bounds.gracePeriodS", "8"),
    ("bounds.revocationMs", "5000"),
    ("bounds.strictRevocation", "true"),
    ("bounds.quotaWindowS", "8"),
    ("bounds.quotaOvershoot", "0.25"),
    ("bounds.quotaTolerance", "11000"),
];

/// What else the loader's template names.
const OF_LOADERS: [(&str, &str); 2] = [("ipAddress", "10.1.0.38"), ("app", "10.1.0.38:9000")];

fn template(name: &str) -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/");
    fs::read_to_string(format!("{folder}{name}")).expect("the template is there")
}

/// Fills a template with the common values, one of them changed.
fn fill(template: &str, changed: (&str, &str)) -> String {
    let mut text = template.to_string();
    for (name, value) in COMMON.iter().chain(&OF_LOADERS) {
        let value = if *name == changed.0 { changed.1 } else { value };
        text = fill_one(&text, name, value);
    }
    assert!(!text.contains("{{"), "a name of the template is not known here:\n{text}");
    text
}

/// Fills one name: its gaps, and the lines that stand only where there is a value.
fn fill_one(text: &str, name: &str, value: &str) -> String {
    let (opening, closing) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let mut filled = text.replace(&format!("{{{{{name}}}}}"), value);
    while let Some(start) = filled.find(&opening) {
        let end = filled.find(&closing).expect("what is opened is closed");
        let inner = filled[start + opening.len()..end].replace("{{.}}", value);
        let kept = if value.is_empty() { "" } else { inner.as_str() };
        filled = format!("{}{kept}{}", &filled[..start], &filled[end + closing.len()..]);
    }
    filled
}

fn relay(name: &str, value: &str) -> Result<RelaySettings, String> {
    let text = fill(&template("relay.ini"), (name, value));
    parse_relay("relay.ini", &text, &[]).map_err(|faults| faults.to_string())
}

fn loader(name: &str, value: &str) -> Result<LoaderSettings, String> {
    let text = fill(&template("loader.ini"), (name, value));
    parse_loader("loader.ini", &text, &[]).map_err(|faults| faults.to_string())
}

#[test]
fn the_common_values_are_taken() {
    let settings = relay("zone", "hall-a").unwrap();
    assert_eq!(settings.routing.retry_extra, 54.0);
    assert_eq!(settings.platform.contact_time, Duration::from_secs(3));
    assert_eq!(settings.access.revocation_time, Some(Duration::from_secs(5)));
    assert_eq!(settings.access.limit_tolerance, 11000.0);
    assert_eq!((settings.machine.memory_mb, settings.machine.descriptors), (260.0, 4100.0));
    loader("zone", "hall-a").unwrap();
}

#[test]
fn keys_have_a_bound_only_where_the_platform_is_strict() {
    let access = |value| relay("bounds.strictRevocation", value).unwrap().access;
    assert_eq!(access("").revocation_time, None);
    let access = |name, value| relay(name, value).unwrap().access;
    let default = RelaySettings::default().access;
    assert_eq!(access("bounds.quotaOvershoot", "").limit_overshoot, default.limit_overshoot);
    assert_eq!(access("bounds.quotaWindowS", "").limit_window, default.limit_window);
    assert_eq!(access("bounds.quotaTolerance", "").limit_tolerance, default.limit_tolerance);
}

#[test]
fn numbers_of_any_form_have_a_meaning() {
    for (name, value) in [
        ("bounds.budgetExtraRetries", "38.2608695652174"),
        ("bounds.budgetExtraRetries", "0"),
        ("bounds.budgetExtraRetries", "0.0"),
        ("bounds.budgetExtraRetries", ""),
        ("bounds.budgetExtraRetries", "3000000"),
        ("bounds.retryBudgetRatio", "0"),
        ("bounds.retryBudgetRatio", "1"),
        ("bounds.retryBudgetRatio", "2.5"),
        ("bounds.retryBudgetRatio", ""),
        ("bounds.contactMs", "3000.5"),
        ("bounds.contactMs", "0"),
        ("bounds.contactMs", ""),
        ("bounds.contactMs", "86400000"),
        ("bounds.configApplyMs", "0"),
        ("bounds.configApplyMs", "3000.25"),
        ("bounds.configApplyMs", ""),
        ("bounds.drainTimeoutMs", "0"),
        ("bounds.drainTimeoutMs", "86400000"),
        ("bounds.drainTimeoutMs", ""),
        ("bounds.gracePeriodS", "7.6"),
        ("bounds.gracePeriodS", "0"),
        ("bounds.gracePeriodS", ""),
        ("seedNodes", ""),
        ("bounds.revocationMs", "0"),
        ("bounds.revocationMs", "2500.5"),
        ("bounds.quotaOvershoot", "0"),
        ("bounds.quotaWindowS", "0.5"),
        ("limits.memoryMb", ""),
        ("limits.memoryMb", "0"),
        ("limits.memoryMb", "120.5"),
        ("limits.fileDescriptors", ""),
        ("limits.fileDescriptors", "0"),
    ] {
        relay(name, value).unwrap_or_else(|faults| panic!("{name} = '{value}': {faults}"));
    }
}

#[test]
fn fractions_are_kept_and_what_is_not_given_has_its_default() {
    let default = RelaySettings::default();
    let routing = |value| relay("bounds.budgetExtraRetries", value).unwrap().routing;
    assert_eq!(routing("38.25").retry_extra, 38.25);
    assert_eq!(routing("").retry_extra, default.routing.retry_extra);
    let stop = |value| relay("bounds.gracePeriodS", value).unwrap().stop;
    assert_eq!(stop("7.5").limit, Duration::from_millis(7500));
    assert_eq!(stop("").limit, default.stop.limit);
    let machine = |name| relay(name, "").unwrap().machine;
    let default_machine = default.machine;
    assert_eq!(machine("limits.memoryMb").memory_mb, default_machine.memory_mb);
    assert_eq!(machine("limits.fileDescriptors").descriptors, default_machine.descriptors);
    let platform = |value| relay("bounds.contactMs", value).unwrap().platform;
    assert_eq!(platform("").contact_time, default.platform.contact_time);
}

#[test]
fn what_has_no_meaning_is_named_with_line_and_key() {
    for (name, value, key) in [
        ("bounds.budgetExtraRetries", "-3", "routing.retry_extra"),
        ("bounds.budgetExtraRetries", "NaN", "routing.retry_extra"),
        ("bounds.budgetExtraRetries", "many", "routing.retry_extra"),
        ("bounds.retryBudgetRatio", "-0.1", "routing.retry_ratio"),
        ("bounds.contactMs", "-1", "platform.contact_time"),
        ("bounds.configApplyMs", "-1", "platform.apply_time"),
        ("bounds.drainTimeoutMs", "soon", "platform.drain_time"),
        ("bounds.gracePeriodS", "99999999999999999999999", "stop.limit"),
        ("internalPortRange.0", "70000", "peers.loader_port"),
        ("platform.address", "", "platform.address"),
        ("nodeName", "", "process.host"),
        ("seedNodes", "nowhere", "peers.seeds"),
        ("bounds.revocationMs", "-1", "access.revocation_time"),
        ("bounds.quotaOvershoot", "-0.5", "access.limit_overshoot"),
        ("bounds.quotaTolerance", "few", "access.limit_tolerance"),
        ("limits.memoryMb", "-1", "machine.memory_mb"),
        ("limits.fileDescriptors", "many", "machine.descriptors"),
    ] {
        let faults = relay(name, value).expect_err(name);
        assert!(faults.contains(key), "{name} = '{value}': {faults}");
        assert!(faults.starts_with("relay.ini"), "{faults}");
    }
    let faults = loader("app", "").unwrap_err();
    assert!(faults.contains("engine.address: is missing"), "{faults}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Whatever stands in a place, the settings are read or a fault tells the line.
    #[test]
    fn any_value_is_taken_or_named(which in 0..COMMON.len(), value in "[-+.0-9a-zA-Z:, ]{0,24}") {
        if let Err(faults) = relay(COMMON[which].0, &value) {
            prop_assert!(faults.lines().all(|line| line.starts_with("relay.ini")), "{}", faults);
        }
    }
}
