//! Sending of an engine's report by its loader, and acceptance of such reports by a relay.
//!
//! What an engine holds changes about twice a second, while the numbers of running and waiting
//! requests change with each request. A loader therefore sends a full report when the content of
//! the engine has changed and at least once per `FULL_REPORT_INTERVAL`, and only the gauges in
//! between. Datagrams may be lost, duplicated and reordered, so gauges carry the number of the
//! content that they belong to. A relay that has not received that content ignores them and
//! requests a full report.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::beacon::{EngineHeartbeat, EngineReport, GaugeHeartbeat};
use crate::ids::MonoTime;

/// Longest time between two full reports. A relay requests one that was lost, so this bounds the
/// delay for relays whose request was lost too; it is shorter than the lifetime of a report.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two requests for a full report: the time that a response takes on a slow
/// link.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Decides whether a loader sends a full report or gauges only.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::beacon::EngineReport;
/// use quillcove_core::relay::report_stream::ReportSender;
///
/// let mut sender = ReportSender::default();
/// let report = EngineReport::default();
/// assert!(sender.decide_full(&report, Duration::ZERO));
/// assert!(!sender.decide_full(&EngineReport { running: 1, ..report }, Duration::ZERO));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReportSender {
    content: u64,
    /// The last full report and the time at which it was sent.
    last: Option<(EngineReport, MonoTime)>,
}

impl ReportSender {
    /// Returns whether this report has to be sent in full, and if so records it as sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::EngineReport;
    /// use quillcove_core::relay::report_stream::ReportSender;
    ///
    /// assert!(ReportSender::default().decide_full(&EngineReport::default(), Duration::ZERO));
    /// ```
    pub fn decide_full(&mut self, report: &EngineReport, now: MonoTime) -> bool {
        let is_unchanged =
            self.last.as_ref().is_some_and(|(last, _)| has_same_content(last, report));
        let is_recent = self
            .last
            .as_ref()
            .is_some_and(|(_, sent)| now.saturating_sub(*sent) < FULL_REPORT_INTERVAL);
        if !is_unchanged {
            self.content += 1;
        }
        if is_unchanged && is_recent {
            return false;
        }
        self.last = Some((report.clone(), now));
        true
    }

    /// Returns the number of the content that was sent last.
    ///
    /// ```
    /// use quillcove_core::relay::report_stream::ReportSender;
    ///
    /// assert_eq!(ReportSender::default().content(), 0);
    /// ```
    pub fn content(&self) -> u64 {
        self.content
    }
}

/// Returns whether two reports agree in what the engine holds; gauges may differ.
fn has_same_content(a: &EngineReport, b: &EngineReport) -> bool {
    a.models == b.models
        && a.local_models == b.local_models
        && a.adapters == b.adapters
        && a.incoming == b.incoming
        && a.is_leaving == b.is_leaving
}

/// What a relay does with received gauges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GaugeOutcome {
    /// Ignored: not newer than the last ones accepted.
    Late,
    /// Accepted: they belong to the content that is known.
    Fits,
    /// Ignored: they belong to a content that has not been received.
    Lacks {
        /// Whether to request a full report now.
        asks: bool,
    },
}

/// The last accepted message of one loader.
#[derive(Clone, Copy, Debug)]
struct AcceptedMessage {
    incarnation: u64,
    number: u64,
    content: u64,
}

/// The last accepted message of each loader.
#[derive(Clone, Debug, Default)]
pub struct ReportLedger {
    loaders: HashMap<SocketAddr, AcceptedMessage>,
    /// Time of the last request for a full report.
    requested_at: HashMap<SocketAddr, MonoTime>,
}

impl ReportLedger {
    /// Records a full report. Returns `false` when it is not newer than the last accepted message.
    ///
    /// See [`ReportLedger::take_gauges`] for an example.
    pub fn take_whole(&mut self, beacon: &EngineHeartbeat) -> bool {
        if self.is_stale(beacon.engine, beacon.incarnation, beacon.number) {
            return false;
        }
        let EngineHeartbeat { incarnation, number, content, .. } = *beacon;
        self.loaders.insert(beacon.engine, AcceptedMessage { incarnation, number, content });
        self.requested_at.remove(&beacon.engine);
        true
    }

    /// Records gauges and returns whether they can be applied.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{EngineGauges, GaugeHeartbeat};
    /// use quillcove_core::relay::report_stream::{GaugeOutcome, ReportLedger};
    ///
    /// let beacon = GaugeHeartbeat {
    ///     engine: "127.0.0.1:1".parse().unwrap(),
    ///     number: 2,
    ///     incarnation: 1,
    ///     content: 1,
    ///     gauges: EngineGauges::default(),
    /// };
    /// let fate = ReportLedger::default().take_gauges(&beacon, Duration::ZERO);
    /// assert_eq!(fate, GaugeOutcome::Lacks { asks: true });
    /// ```
    pub fn take_gauges(&mut self, beacon: &GaugeHeartbeat, now: MonoTime) -> GaugeOutcome {
        if self.is_stale(beacon.engine, beacon.incarnation, beacon.number) {
            return GaugeOutcome::Late;
        }
        let known = self.loaders.get_mut(&beacon.engine);
        let current = known.filter(|accepted| {
            accepted.incarnation == beacon.incarnation && accepted.content == beacon.content
        });
        match current {
            Some(accepted) => {
                accepted.number = beacon.number;
                GaugeOutcome::Fits
            },
            // The number is not recorded: the full report of this content may still arrive after
            // these gauges.
            None => GaugeOutcome::Lacks { asks: self.try_request(beacon.engine, now) },
        }
    }

    /// Removes a loader whose report this relay has discarded.
    ///
    /// ```
    /// use quillcove_core::relay::report_stream::ReportLedger;
    ///
    /// ReportLedger::default().forget("127.0.0.1:1".parse().unwrap());
    /// ```
    pub fn forget(&mut self, engine: SocketAddr) {
        self.loaders.remove(&engine);
    }

    /// Retains only the loaders of engines for which `is_there` returns true.
    ///
    /// ```
    /// use quillcove_core::relay::report_stream::ReportLedger;
    ///
    /// ReportLedger::default().retain(|_| false);
    /// ```
    pub fn retain(&mut self, is_there: impl Fn(SocketAddr) -> bool) {
        self.loaders.retain(|engine, _| is_there(*engine));
        self.requested_at.retain(|engine, _| is_there(*engine));
    }

    fn is_stale(&self, engine: SocketAddr, incarnation: u64, number: u64) -> bool {
        self.loaders.get(&engine).is_some_and(|accepted| {
            accepted.incarnation == incarnation && accepted.number >= number
        })
    }

    fn try_request(&mut self, engine: SocketAddr, now: MonoTime) -> bool {
        let is_recent =
            |requested_at: &MonoTime| now.saturating_sub(*requested_at) < REQUEST_INTERVAL;
        if self.requested_at.get(&engine).is_some_and(is_recent) {
            return false;
        }
        self.requested_at.insert(engine, now);
        true
    }
}
