//! HTTP client, server and message helpers for callers, entries, agents and upstreams.

pub mod answer;
pub mod body;
pub mod client;
pub mod framing;
pub mod headers;
pub mod held;
pub mod server;
