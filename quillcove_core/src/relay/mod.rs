//! Relays: forwarding of requests, unchanged, to the upstreams that the platform lists. This module
//! holds the decisions; the input and output around them are in the program's crate.
//!
//! - [`admission`]: admission control under overload, for engines with scarce adapter slots.
//! - [`machine`]: admission, choice of the upstream and retries, for one relay.
//! - [`replica`]: the known upstreams, what they hold and their load.
//! - [`routing`]: choice of the replica for one attempt.
//! - [`sheet`]: the published configuration: routes, services and limits.
//! - [`sheet_change`]: the difference between two configurations.
//! - [`demand`]: which adapter is requested of which engine, and the estimated time of its load.
//! - [`intake`]: the share of callers' connections that an overloaded relay closes.
//! - [`keeper`]: loads of base models by engines that have none, within the weight store's rate.
//! - [`limiter`]: the number of adapters that may be loading at once.
//! - [`loader`]: orders to the one engine beside a loader.
//! - [`order`]: orders to an engine and their outcomes.
//! - [`promise`]: accuracy of the load times that rejected callers were told.
//! - [`prompt`]: sizes of prompts and responses.
//! - [`reading`]: estimate of the time that a request waits at an engine until its first event.
//! - [`performance`]: use of the engine performance that loaders measure.
//! - [`policy`]: decision rules that can be switched back to simpler ones for measurements.
//! - [`position`]: eras and revisions of the platform's store.
//! - [`follower`]: scheduling of the calls that read one part of the store.
//! - [`knowledge`]: what a relay knows of the store, its age, and the summary sent to others.
//! - [`store_duty`]: choice of the relays that read the store directly; age limits for the others.
//! - [`published`]: the published state, as sent to a relay that can't read the store.
//! - [`change_word`]: changes of the store, as a direct reader sends them to followers.
//! - [`beacon`]: messages between relays and loaders.
//! - [`engine_status`]: messages about engines with scarce adapter slots.
//! - [`telling`]: intervals of heartbeats between relays.
//! - [`roll`]: the membership list of a loader, and the relays that its reports name.
//! - [`report_stream`]: sending and acceptance of engine reports.
//! - [`cell`]: the subset of engines that a relay uses in a large fleet.
//! - [`sharing`]: the relays that share the rate limit announced by a replica.
//! - [`tries`]: whether a request is its caller's first try.

pub mod admission;
pub mod beacon;
pub mod cell;
pub mod change_word;
pub mod demand;
pub mod engine_status;
pub mod follower;
pub mod intake;
pub mod keeper;
pub mod knowledge;
pub mod limiter;
pub mod loader;
pub mod machine;
pub mod order;
pub mod origin;
mod packed;
pub mod performance;
pub mod policy;
pub mod position;
pub mod promise;
pub mod prompt;
pub mod published;
pub mod reading;
pub mod replica;
pub mod report_stream;
pub mod roll;
pub mod routing;
pub mod run_times;
pub mod sharing;
pub mod sheet;
pub mod sheet_change;
pub mod store_duty;
pub mod telling;
pub mod tries;
