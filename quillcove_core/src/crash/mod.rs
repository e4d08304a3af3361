//! Requests under which replicas end.
//!
//! - [`digest`]: what makes two requests the same one, whatever id they bear.

pub mod digest;
