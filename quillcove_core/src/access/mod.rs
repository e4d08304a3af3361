//! Workspaces: who may send requests, with which rank, and how much.
//!
//! - [`key`]: keys of callers, kept as digests.
//! - [`workspace`]: the workspaces of one configuration, and whose key is whose.
//! - [`grant`]: whether a request may go on, and why not.
//! - [`right`]: how long a key may be taken as valid without news from the platform's store.
//! - [`limit`]: what a workspace may use, and how the users judge it.
//! - [`ledger`]: the accounts of one relay, which keep to limits over all relays.
//! - [`account`]: what one relay believes of a workspace's use.
//! - [`spending`]: what relays tell each other of it.

pub mod account;
pub mod grant;
pub mod key;
pub mod ledger;
pub mod limit;
pub mod right;
pub mod spending;
pub mod workspace;
