//! Detection of fatal requests, under which replicas exit.
//!
//! A fatal request makes each replica that begins to run it exit. Its caller sees an aborted
//! response and retries, with a new request ID and at any relay, so a count by ID, by connection or
//! by process takes every retry for a first attempt. This module counts a request by its content
//! over all relays, and rejects it once three replicas have exited under it.
//!
//! - [`digest`]: identity of a request, by which retries are recognized.
//! - [`book`]: crash records, and the decision which requests are fatal.
//! - [`good`]: requests that succeeded recently.
//! - [`telling`]: reports of exits between processes.
//! - [`teller`]: queue of reports to be sent, and their repetition.
//! - [`phase`]: whether a replica was beginning to write the answer when it exited.
//! - [`watch`]: the tracker of one process that sends requests to replicas, which combines these.

pub mod book;
pub mod digest;
pub mod good;
pub mod phase;
mod record;
pub mod teller;
pub mod telling;
pub mod watch;
