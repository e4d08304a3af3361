//! Coordination logic for serving a large number of LoRA adapters from few engine slots.
//!
//! Every component is a synchronous state machine that maps an event and the current time to
//! actions. None opens a socket, reads a clock or needs an async runtime, so the daemons, the model
//! checker and the fuzz tests run the same code, and it can be embedded in other programs.
//!
//! - [`access`] authorizes requests by their workspace's key and enforces quotas.
//! - [`agent`] schedules one upstream: its queue, running requests, adapter loads and unloads.
//! - [`crash`] identifies fatal requests, under which upstreams exit.
//! - [`entry`] chooses the upstream for each caller's request and decides on retries.
//! - [`memory`] accounts for what a process holds for its callers.
//! - [`once`] ensures that a request which must not run twice runs at most once.
//! - [`relay`] routes requests that are passed through unchanged, and plans adapter loads.
//! - [`standing`] tracks the status that upstreams report: draining, requested pauses and rate
//!   limits.
//! - [`permit`] divides the weight store's load rate among agents.
//! - [`bundle`] verifies, signs and compares the bundles that operators publish.

#![deny(rustdoc::broken_intra_doc_links, missing_docs, unsafe_code)]
#![deny(clippy::all)]

pub mod access;
pub mod adapter;
pub mod agent;
pub mod bundle;
pub mod class;
pub mod crash;
pub mod demand;
pub mod entry;
pub mod fence;
pub mod ids;
pub mod memory;
pub mod once;
pub mod permit;
pub mod relay;
pub mod rendezvous;
pub mod route;
pub mod standing;
pub mod verdict;
