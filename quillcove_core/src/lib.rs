//! Coordination decisions for serving very many LoRA adapters from few engine slots.
//!
//! Every part is a plain synchronous state machine: an event and the current time go in,
//! actions come out. Nothing here opens a socket, reads a clock or needs a runtime, so the
//! daemons, the model checker and the fuzz tests all run the same code, and others can embed it.
//!
//! - [`access`] decides for workspaces: whose key may do what, and how much.
//! - [`agent`] decides for one upstream: what runs, what waits, what is loaded and unloaded.
//! - [`crash`] tells under which requests upstreams end.
//! - [`entry`] decides for callers: which upstream takes a request and when a repeat is allowed.
//! - [`once`] keeps requests that must not run twice.
//! - [`relay`] decides for requests that are passed through unchanged, and plans adapter loads.
//! - [`standing`] keeps what upstreams say of themselves: that they leave, or want to rest.
//! - [`permit`] shares the weight store's rate between agents.
//! - [`bundle`] checks, signs and compares the configuration that operators publish.

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
pub mod once;
pub mod permit;
pub mod relay;
pub mod rendezvous;
pub mod route;
pub mod standing;
pub mod verdict;
