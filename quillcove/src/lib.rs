//! The quillcove daemons and operator commands, built on the state machines of [`quillcove_core`].
//!
//! A process runs one thread per duty. One duty makes all decisions, with a state machine of the
//! core; the others do the I/O with callers, upstreams, the platform and operators. Bounded queues
//! (rings) connect them.

#![deny(rustdoc::broken_intra_doc_links, missing_docs, unsafe_code)]
#![deny(clippy::all)]

pub mod agent;
pub mod bundle;
pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod demo;
pub mod dump;
pub mod duty;
pub mod entry;
pub mod loader;
pub mod logging;
pub mod measure;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod port;
pub mod process;
pub mod relay;
pub mod standin;
pub mod web;
