//! Fetching of the signed bundle from the platform, sharing of the one in force within the process,
//! and the operators' commands for bundles.

pub mod command;
pub mod shelf;
pub mod watch;

use quillcove_core::ids::BundleVersion;

/// Name of the platform's value that holds the head of the newest bundle.
pub const HEAD_VALUE: &str = "bundle-head";

/// Returns the name of the platform's value that holds the full text of a bundle.
///
/// ```
/// assert_eq!(quillcove::bundle::text_value(7), "bundle-text-7");
/// ```
pub fn text_value(version: BundleVersion) -> String {
    format!("bundle-text-{version}")
}

/// Returns the name of the platform's value that holds the delta from the version before.
///
/// ```
/// assert_eq!(quillcove::bundle::delta_value(7), "bundle-delta-7");
/// ```
pub fn delta_value(version: BundleVersion) -> String {
    format!("bundle-delta-{version}")
}
