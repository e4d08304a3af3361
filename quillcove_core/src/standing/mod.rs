//! Whether an upstream takes new work, by what it says of itself.

pub mod notice;
