//! Admission control for engines with scarce adapter slots: which requests are sent in time, which are ranked behind, and
//! which are rejected with a retry delay.
//!
//! - [`reports`]: when a relay reports its pending prompts to the loaders.

pub mod reports;
