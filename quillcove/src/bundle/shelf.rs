//! The bundle in force and the host list, shared between the threads of a process.

use std::sync::{Arc, RwLock};

use quillcove_core::bundle::gate::AcceptedBundle;
use quillcove_core::entry::event::HostRecord;

/// The latest bundle and host list found by [`FleetWatch`](super::watch::FleetWatch), for other
/// threads to read. Clones share their content.
#[derive(Clone, Default)]
pub struct SharedFleetState {
    bundle: Arc<RwLock<Option<AcceptedBundle>>>,
    hosts: Arc<RwLock<Arc<Vec<HostRecord>>>>,
}

impl SharedFleetState {
    /// Returns the bundle in force.
    ///
    /// ```
    /// assert!(quillcove::bundle::shelf::SharedFleetState::default().bundle().is_none());
    /// ```
    pub fn bundle(&self) -> Option<AcceptedBundle> {
        self.bundle.read().expect("no writer panics").clone()
    }

    /// Replaces the bundle in force; `None` leaves none in force.
    ///
    /// ```
    /// quillcove::bundle::shelf::SharedFleetState::default().set_bundle(None);
    /// ```
    pub fn set_bundle(&self, bundle: Option<AcceptedBundle>) {
        *self.bundle.write().expect("no writer panics") = bundle;
    }

    /// Returns the host list that was read last.
    ///
    /// ```
    /// assert!(quillcove::bundle::shelf::SharedFleetState::default().hosts().is_empty());
    /// ```
    pub fn hosts(&self) -> Arc<Vec<HostRecord>> {
        self.hosts.read().expect("no writer panics").clone()
    }

    /// Replaces the host list.
    ///
    /// ```
    /// quillcove::bundle::shelf::SharedFleetState::default().set_hosts(Vec::new());
    /// ```
    pub fn set_hosts(&self, hosts: Vec<HostRecord>) {
        *self.hosts.write().expect("no writer panics") = Arc::new(hosts);
    }
}
