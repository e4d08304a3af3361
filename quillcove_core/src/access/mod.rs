//! Workspaces: their caller keys, the rank of their requests, and their usage limits.
//!
//! - [`key`]: digests of caller keys.
//! - [`workspace`]: the workspaces of one configuration, looked up by key.
//! - [`grant`]: admission of a request, and the reasons to reject it.
//! - [`right`]: how long keys stay valid without an update from the platform's store.
//! - [`limit`]: usage limits, and the rules by which they are judged.
//! - [`ledger`]: the usage accounts of one relay, which enforce limits over all relays.
//! - [`account`]: the usage account of one workspace at one relay.
//! - [`spending`]: reports of usage between relays.

pub mod account;
pub mod grant;
pub mod key;
pub mod ledger;
pub mod limit;
pub mod right;
pub mod spending;
pub mod workspace;
