//! Small stand-ins for what quillcove meets: a model engine, a plain service and the platform.
//! They serve tests, measurements and the demo, and make the faults that users name; they are no
//! simulator of a fleet.

#![deny(rustdoc::broken_intra_doc_links, missing_docs, unsafe_code)]
#![deny(clippy::all)]

pub mod engine;
pub mod http;
pub mod platform;
pub mod service;
