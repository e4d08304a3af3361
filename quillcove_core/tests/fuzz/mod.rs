//! What the fuzz and property tests share.

use proptest::test_runner::{Config, RngSeed};

/// Sequences tried where the environment names none.
const SHORT_CASES: u32 = 192;

/// Settings with a fixed seed and so many cases; `QUILLCOVE_FUZZ_CASES` makes a longer run.
pub fn config_of(short_cases: u32) -> Config {
    let given = std::env::var("QUILLCOVE_FUZZ_CASES").ok();
    Config {
        cases: given.and_then(|cases| cases.parse().ok()).unwrap_or(short_cases),
        rng_seed: RngSeed::Fixed(20261202),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Settings of the state machine tests.
pub fn config() -> Config {
    Config { max_shrink_iters: 256, ..config_of(SHORT_CASES) }
}

/// Runs the sequences of a state machine test; the fault found, if any.
macro_rules! run_fuzz {
    ($steps:ty, $test:ty) => {{
        let mut runner = proptest::test_runner::TestRunner::new(crate::fuzz::config());
        let steps = <$steps>::sequential_strategy(1..120);
        let result = runner.run(&steps, |(start, steps, seen)| {
            <$test>::test_sequential(crate::fuzz::config(), start, steps, seen);
            Ok(())
        });
        result.map_err(|error| error.to_string())
    }};
}
pub(crate) use run_fuzz;
