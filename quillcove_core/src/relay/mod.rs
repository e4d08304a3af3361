//! Decisions for requests that pass through unchanged to upstreams that a platform lists.
//!
//! - [`sheet`]: routes, services and limits in force.
//! - [`replica`]: the upstreams that are known, what they hold and how they fare.
//! - [`machine`]: admission, choice of the upstream, and repeats, for one relay.
//! - [`demand`]: which adapter is asked of which engine, and when it will be there.
//! - [`follower`]: when a part of the platform's store is read again.
//! - [`keeper`]: base models for engines that have none, within the weight store's rate.
//! - [`limiter`]: how many adapters may be on their way at once.
//! - [`loader`]: orders to the one engine beside a loader.
//! - [`order`]: what an order says, and how it ended.
//! - [`report_stream`]: what a loader sends of its engine's report, and what a relay makes of it.
//! - [`roll`]: the relays that a loader hears, and which of them it names.
//! - [`policy`]: the rules that can be switched back for measurement.
//! - [`promise`]: how true the times were that refused callers were told.
//! - [`prompt`]: what a request asks an engine to read and to write.
//! - [`reading`]: how long a request waits at an engine until its first event.
//! - [`published`]: what one relay passes on to another that can not read the store.
//! - [`position`]: moments of the platform's store, which may come back older.
//! - [`knowledge`]: what a relay knows of the store, since when, and what it tells of it.
//! - [`store_duty`]: who reads the platform's store, and how old a relay's knowledge may get.
//! - [`telling`]: how often a relay tells the others that it is there.
//! - [`tries`]: whether a request is its caller's first try.
//! - [`change_word`] and [`sheet_change`]: changes of the store, as a relay that reads it tells them to others.
//! - [`cell`]: which engines a relay works with in a large fleet.
//! - [`beacon`]: what relays and loaders tell each other.

pub mod beacon;
pub mod cell;
pub mod change_word;
pub mod demand;
pub mod follower;
pub mod keeper;
pub mod knowledge;
pub mod limiter;
pub mod loader;
pub mod machine;
pub mod order;
mod packed;
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
pub mod sharing;
pub mod sheet;
pub mod sheet_change;
pub mod store_duty;
pub mod telling;
pub mod tries;
