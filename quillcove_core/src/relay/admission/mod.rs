//! Admission control for engines with scarce adapter slots: which requests are sent in time, which are ranked behind, and
//! which are rejected with a retry delay.
//!
//! - [`decision`]: the decision on one request.
//! - [`returns`]: rejections of requests that can be served in time when they return.
//! - [`reports`]: when a relay reports its pending prompts to the loaders.
//! - [`shares`]: fair shares of workspaces.

pub mod decision;
pub mod reports;
pub mod returns;
pub mod shares;
