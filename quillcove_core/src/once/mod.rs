//! Requests that must run at most once.
//!
//! Each such request is owned by one agent, the only process that may start it. A caller requests a
//! [`ticket`] before its first attempt. The ticket contains the owner's host and incarnation, so that
//! any entry finds the owner without a lookup, also for a retry. The idea of putting the route into
//! the credential is from the related paper on voice sessions, where the ICE user fragment names the
//! process that owns a session. The owner's [`book`] records the outcome of each ticket until the
//! ticket expires.

pub mod book;
pub mod ticket;
