//! What a loader sends of its engine's report, and what a relay makes of what arrives.
//!
//! What an engine holds changes about twice a second; how many requests run and wait in it changes
//! with each request. So a whole report goes out when what the engine holds has changed, and now and
//! then; between them only the gauges. Datagrams may be lost, doubled and overtake one another: gauges
//! name the content that they belong to, and a relay that has not had it takes nothing from them and
//! asks for a whole report.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::beacon::{EngineBeacon, EngineReport, GaugeBeacon};
use crate::ids::MonoTime;

/// Longest time between two whole reports. One that was lost is also asked for, so this bounds the
/// time for relays whose ask was lost too; it is less than the life of a report.
const WHOLE_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two asks for a whole report: what an answer takes on a slow link.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Decides which report a loader sends.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::beacon::EngineReport;
/// use quillcove_core::relay::report_stream::ReportSender;
///
/// let mut sender = ReportSender::default();
/// let report = EngineReport::default();
/// assert!(sender.takes_whole(&report, Duration::ZERO));
/// assert!(!sender.takes_whole(&EngineReport { running: 1, ..report }, Duration::ZERO));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReportSender {
    content: u64,
    /// The last whole report, and when it was sent.
    last: Option<(EngineReport, MonoTime)>,
}

impl ReportSender {
    /// Tells whether this report has to be sent whole, and takes it as sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::EngineReport;
    /// use quillcove_core::relay::report_stream::ReportSender;
    ///
    /// assert!(ReportSender::default().takes_whole(&EngineReport::default(), Duration::ZERO));
    /// ```
    pub fn takes_whole(&mut self, report: &EngineReport, now: MonoTime) -> bool {
        let is_same = self.last.as_ref().is_some_and(|(last, _)| has_same_content(last, report));
        let is_recent =
            self.last.as_ref().is_some_and(|(_, sent)| now.saturating_sub(*sent) < WHOLE_INTERVAL);
        if !is_same {
            self.content += 1;
        }
        if is_same && is_recent {
            return false;
        }
        self.last = Some((report.clone(), now));
        true
    }

    /// Number of the content that was sent last.
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

/// Tells whether two reports say the same of what an engine holds.
fn has_same_content(a: &EngineReport, b: &EngineReport) -> bool {
    a.models == b.models
        && a.local_models == b.local_models
        && a.adapters == b.adapters
        && a.incoming == b.incoming
        && a.is_leaving == b.is_leaving
}

/// What a relay makes of gauges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GaugeFate {
    /// They are older than what is known.
    Late,
    /// They belong to the content that is known.
    Fits,
    /// They belong to a content that has not come; nothing is to be taken from them.
    Lacks {
        /// Whether to ask for a whole report now.
        asks: bool,
    },
}

/// What a relay has heard of one loader.
#[derive(Clone, Copy, Debug)]
struct HeardLoader {
    incarnation: u64,
    number: u64,
    content: u64,
}

/// What a relay has heard of all loaders.
#[derive(Clone, Debug, Default)]
pub struct ReportLedger {
    loaders: HashMap<SocketAddr, HeardLoader>,
    /// When a whole report was last asked for.
    asked: HashMap<SocketAddr, MonoTime>,
}

impl ReportLedger {
    /// Takes a whole report; tells whether it is newer than what is known.
    ///
    /// See [`ReportLedger::take_gauges`] for an example.
    pub fn take_whole(&mut self, beacon: &EngineBeacon) -> bool {
        if self.is_late(beacon.engine, beacon.incarnation, beacon.number) {
            return false;
        }
        let EngineBeacon { incarnation, number, content, .. } = *beacon;
        self.loaders.insert(beacon.engine, HeardLoader { incarnation, number, content });
        self.asked.remove(&beacon.engine);
        true
    }

    /// Takes gauges.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{EngineGauges, GaugeBeacon};
    /// use quillcove_core::relay::report_stream::{GaugeFate, ReportLedger};
    ///
    /// let beacon = GaugeBeacon {
    ///     engine: "127.0.0.1:1".parse().unwrap(),
    ///     number: 2,
    ///     incarnation: 1,
    ///     content: 1,
    ///     gauges: EngineGauges::default(),
    /// };
    /// let fate = ReportLedger::default().take_gauges(&beacon, Duration::ZERO);
    /// assert_eq!(fate, GaugeFate::Lacks { asks: true });
    /// ```
    pub fn take_gauges(&mut self, beacon: &GaugeBeacon, now: MonoTime) -> GaugeFate {
        if self.is_late(beacon.engine, beacon.incarnation, beacon.number) {
            return GaugeFate::Late;
        }
        let known = self.loaders.get_mut(&beacon.engine);
        let fitting = known.filter(|heard| {
            heard.incarnation == beacon.incarnation && heard.content == beacon.content
        });
        match fitting {
            Some(heard) => {
                heard.number = beacon.number;
                GaugeFate::Fits
            },
            // The number is not taken: the whole report may only have been overtaken.
            None => GaugeFate::Lacks { asks: self.may_ask(beacon.engine, now) },
        }
    }

    /// Forgets what is known of a loader, as this relay no longer has its report.
    ///
    /// ```
    /// use quillcove_core::relay::report_stream::ReportLedger;
    ///
    /// ReportLedger::default().forget("127.0.0.1:1".parse().unwrap());
    /// ```
    pub fn forget(&mut self, engine: SocketAddr) {
        self.loaders.remove(&engine);
    }

    /// Keeps the loaders of some engines only.
    ///
    /// ```
    /// use quillcove_core::relay::report_stream::ReportLedger;
    ///
    /// ReportLedger::default().retain(|_| false);
    /// ```
    pub fn retain(&mut self, is_there: impl Fn(SocketAddr) -> bool) {
        self.loaders.retain(|engine, _| is_there(*engine));
        self.asked.retain(|engine, _| is_there(*engine));
    }

    fn is_late(&self, engine: SocketAddr, incarnation: u64, number: u64) -> bool {
        self.loaders
            .get(&engine)
            .is_some_and(|heard| heard.incarnation == incarnation && heard.number >= number)
    }

    fn may_ask(&mut self, engine: SocketAddr, now: MonoTime) -> bool {
        let is_recent = |asked: &MonoTime| now.saturating_sub(*asked) < RESEND_INTERVAL;
        if self.asked.get(&engine).is_some_and(is_recent) {
            return false;
        }
        self.asked.insert(engine, now);
        true
    }
}
