//! Requests that must run at most once.
//!
//! One agent owns each such request and is the only process that may start it. A caller asks for
//! a [`ticket`] before its first attempt; the owner's name and its incarnation stand in the
//! ticket, so that any entry finds the owner without a look-up, also on a repeat. The idea of
//! putting the route into the credential is from the related paper on voice sessions, where the
//! ICE user fragment names the process that owns a session. The owner's [`book`] keeps what
//! became of each ticket until the ticket expires.

pub mod book;
pub mod ticket;
