//! State shared by the request handlers of an entry.

use std::sync::Arc;
use std::time::Duration;

use quillcove_core::bundle::FleetBundle;
use quillcove_core::memory::{CallerBudget, MemoryAccount};
use quillcove_core::verdict::RefusalReason;

use super::admit::AdmitError;
use super::decide::EntryInput;
use crate::bundle::shelf::SharedFleetState;
use crate::clock::MonoClock;
use crate::config::entry::EntrySettings;
use crate::control::ControlPool;
use crate::duty::DutyRing;
use crate::metrics::ProcessMetrics;
use crate::web::answer::refusal_message;
use crate::web::client::WebClient;

/// Time after which unused connections to agents are closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings, queues and clients that the request handlers share.
#[derive(Clone)]
pub struct ServeContext {
    pub settings: Arc<EntrySettings>,
    pub ring: DutyRing<EntryInput>,
    pub shelf: SharedFleetState,
    pub clock: MonoClock,
    pub metrics: Arc<ProcessMetrics>,
    pub client: WebClient,
    pub pool: ControlPool,
    /// What is held for callers.
    pub memory: Arc<MemoryAccount>,
}

impl ServeContext {
    pub fn new(
        settings: Arc<EntrySettings>,
        ring: DutyRing<EntryInput>,
        shelf: SharedFleetState,
        clock: MonoClock,
        metrics: Arc<ProcessMetrics>,
    ) -> Self {
        let client = WebClient::new(settings.requests.connect_timeout, IDLE_CONNECTION_TIMEOUT);
        let memory = MemoryAccount::new(CallerBudget::of(settings.machine.limits()));
        metrics.observe_memory(memory.clone());
        let pool = ControlPool::default();
        Self { settings, ring, shelf, clock, metrics, client, pool, memory }
    }

    /// Returns the bundle in force.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::BundleMissing`] if no bundle has been received yet.
    pub fn bundle(&self) -> Result<Arc<FleetBundle>, AdmitError> {
        let active = self.shelf.bundle().ok_or_else(|| AdmitError {
            reason: RefusalReason::BundleMissing,
            message: refusal_message(RefusalReason::BundleMissing).to_string(),
        })?;
        Ok(active.content)
    }
}
