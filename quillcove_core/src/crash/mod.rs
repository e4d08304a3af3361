//! Requests under which replicas end.
//!
//! A request may end each replica that begins to run it. Its caller sees a broken answer and comes again,
//! with a new id and at any relay, so that what is counted by id, by connection or by process sees a first
//! try each time. Here a request is counted by what it is, over all relays: once three replicas have ended
//! under it, it is refused.
//!
//! - [`digest`]: what makes two requests the same one.
//! - [`book`]: which requests were at a replica when it ended, and which of them is to blame.
//! - [`good`]: requests that lately ran to a good end.
//! - [`telling`]: what processes tell each other of it.
//! - [`teller`]: what is told when, and how often.
//! - [`watch`]: all of it for one process that sends requests to replicas.

pub mod book;
pub mod digest;
pub mod good;
mod record;
pub mod teller;
pub mod telling;
pub mod watch;
