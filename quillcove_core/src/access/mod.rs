//! Workspaces: who may send requests, with which rank, and how much.
//!
//! - [`key`]: keys of callers, kept as digests.
//! - [`workspace`]: the workspaces of one configuration, and whose key is whose.
//! - [`grant`]: whether a request may go on, and why not.
//! - [`right`]: how long a key may be taken as valid without news from the platform's store.
//! - [`limit`]: what a workspace may use, counted over all relays.
//! - [`account`]: what one relay believes of a workspace's use.

pub mod account;
pub mod grant;
pub mod key;
pub mod limit;
pub mod right;
pub mod workspace;
