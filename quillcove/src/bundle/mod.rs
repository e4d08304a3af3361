//! The bundle in this process: where it is read from, and the operators' commands for it.

pub mod command;
pub mod shelf;
pub mod watch;

use quillcove_core::ids::BundleVersion;

/// Name of the platform's value that announces the newest bundle.
pub const HEAD_VALUE: &str = "bundle-head";

/// Name of the platform's value with a bundle's whole text.
///
/// ```
/// assert_eq!(quillcove::bundle::text_value(7), "bundle-text-7");
/// ```
pub fn text_value(version: BundleVersion) -> String {
    format!("bundle-text-{version}")
}

/// Name of the platform's value with the difference from the version before.
///
/// ```
/// assert_eq!(quillcove::bundle::delta_value(7), "bundle-delta-7");
/// ```
pub fn delta_value(version: BundleVersion) -> String {
    format!("bundle-delta-{version}")
}
