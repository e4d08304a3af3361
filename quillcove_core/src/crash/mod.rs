//! Detection of fatal requests, under which replicas exit.
//!
//! A fatal request makes each replica that begins to run it exit. Its caller sees an aborted
//! response and retries, with a new request ID and at any relay, so a count by ID, by connection or
//! by process takes every retry for a first attempt. This module counts a request by its content
//! over all relays, and rejects it once three replicas have exited under it.
//!
//! Requests may also have nothing in common but one part of their prompts, under which replicas exit
//! whatever else a request holds. So what is suspected at an exit is the whole content of a request,
//! the load of an adapter, and each part of a prompt that other requests may hold.
//!
//! - [`digest`]: identity of a request, by which retries are recognized.
//! - [`book`]: crash records, and the decision which requests are fatal.
//! - [`good`]: requests that succeeded recently.
//! - [`telling`]: reports of exits between processes.
//! - [`teller`]: queue of reports to be sent, and their repetition.
//! - `record`: crash record of one suspect, and which of its exits count.
//! - `part`: which parts of prompts are blamed for exits.
//! - [`probe`]: requests that try again what is blamed.
//! - [`evidence`]: what the end of an attempt says of the parts of its prompt.
//! - [`phase`]: whether a replica was beginning to write the answer when it exited, and what it has survived.
//! - [`watch`]: the tracker of one process that sends requests to replicas, which combines these.

pub mod book;
pub mod digest;
pub mod evidence;
pub mod good;
mod part;
pub mod phase;
pub mod probe;
mod record;
pub mod teller;
pub mod telling;
pub mod watch;
