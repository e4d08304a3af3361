//! The bundle in force, shared between the duties of a process.

use std::sync::{Arc, RwLock};

use quillcove_core::bundle::gate::HeldBundle;
use quillcove_core::entry::event::HostRecord;

/// What the watching duty last learned, for the others to read.
#[derive(Clone, Default)]
pub struct FleetShelf {
    bundle: Arc<RwLock<Option<HeldBundle>>>,
    hosts: Arc<RwLock<Arc<Vec<HostRecord>>>>,
}

impl FleetShelf {
    /// The bundle in force.
    ///
    /// ```
    /// assert!(quillcove::bundle::shelf::FleetShelf::default().bundle().is_none());
    /// ```
    pub fn bundle(&self) -> Option<HeldBundle> {
        self.bundle.read().expect("no writer panics").clone()
    }

    /// Puts a bundle in force.
    ///
    /// ```
    /// quillcove::bundle::shelf::FleetShelf::default().set_bundle(None);
    /// ```
    pub fn set_bundle(&self, bundle: Option<HeldBundle>) {
        *self.bundle.write().expect("no writer panics") = bundle;
    }

    /// The last host list read.
    ///
    /// ```
    /// assert!(quillcove::bundle::shelf::FleetShelf::default().hosts().is_empty());
    /// ```
    pub fn hosts(&self) -> Arc<Vec<HostRecord>> {
        self.hosts.read().expect("no writer panics").clone()
    }

    /// Puts a host list on the shelf.
    ///
    /// ```
    /// quillcove::bundle::shelf::FleetShelf::default().set_hosts(Vec::new());
    /// ```
    pub fn set_hosts(&self, hosts: Vec<HostRecord>) {
        *self.hosts.write().expect("no writer panics") = Arc::new(hosts);
    }
}
