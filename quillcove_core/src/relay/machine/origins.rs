//! Continuation of streams at the software version that began them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::{RelayMachine, RelayQuery};
use crate::ids::{MonoTime, ServiceName, SoftwareVersion};
use crate::relay::origin::{
    self, DEPARTED_LIFETIME, HOLDERS, LISTING_SLACK, ListedTime, MAX_LIFETIME, OriginDigest,
    OriginTracker, StreamKey, StreamOrigin,
};
use crate::relay::published::StorePart;
use crate::relay::replica::ReplicaRecord;
use crate::route::{RouteKind, RouteRecord};

/// Age of what was read of the store from which on it does not show which software versions serve, nor where routes lead:
/// the time within which a published change is to be in force.
const MAX_STORE_AGE: Duration = Duration::from_secs(2);

/// Interval at which streams are reported to new holders: all relays may be lost at any moment.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between updates of the recent listings.
const ORIGIN_INTERVAL: Duration = Duration::from_secs(5);

/// A software version of a service whose replicas have been listed lately, for the dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SoftwareSummary {
    /// The service.
    pub service: ServiceName,
    /// The version; `None` for replicas that state none.
    pub software: Option<SoftwareVersion>,
    /// Number of replicas listed with it now.
    pub replicas: usize,
    /// Number of streams that may be resumed of which this relay forwarded the first event at this version.
    pub streams_begun: u64,
}

impl RelayQuery {
    /// Returns whether a replica may run the request as far as its service and software version go: a stream that has
    /// begun goes on only at its origin.
    ///
    /// See [`RelayMachine::begin_prefill`] for an example of a query.
    pub fn admits(&self, record: &ReplicaRecord) -> bool {
        let is_origin = |origin| OriginDigest::of_record(record) == origin;
        record.service == self.service && self.origin.is_none_or(is_origin)
    }
}

impl RelayMachine {
    /// Returns the record of the origins of streams.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).origins().book().is_empty());
    /// ```
    pub fn origins(&self) -> &OriginTracker {
        &self.origins
    }

    /// Returns the record of the origins of streams, to be changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::origin::StreamKey;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.origins_mut().look_up(StreamKey::of("r1"), Duration::ZERO);
    /// assert!(machine.has_pending_messages());
    /// ```
    pub fn origins_mut(&mut self) -> &mut OriginTracker {
        &mut self.origins
    }

    /// Records that the first event of a stream was received from a replica with this origin. Does nothing on routes
    /// whose streams cannot be taken up.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::origin::{OriginDigest, StreamKey, StreamOrigin};
    /// use quillcove_core::route::RouteKind;
    ///
    /// let (stream, origin) = (StreamKey::of("r1"), OriginDigest::of("s", Some("v1")));
    /// let report = StreamOrigin { stream, origin, lifetime: Duration::from_secs(9) };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.begin_stream(RouteKind::Stream, report, Duration::ZERO);
    /// assert!(machine.origins().book().is_empty());
    /// machine.begin_stream(RouteKind::ResumableStream, report, Duration::ZERO);
    /// assert_eq!(machine.origins().book().len(), 1);
    /// ```
    pub fn begin_stream(&mut self, kind: RouteKind, report: StreamOrigin, now: MonoTime) {
        if kind == RouteKind::ResumableStream {
            self.origins.begin(report, now);
            *self.streams_begun.entry(report.origin).or_default() += 1;
        }
    }

    /// Returns the software versions of all services, each with its streams.
    pub(super) fn software_summaries(&self) -> Vec<SoftwareSummary> {
        let summary = |(service, software): &(ServiceName, Option<SoftwareVersion>)| {
            let origin = OriginDigest::of(service, software.as_deref());
            let records = self.table.all().map(|view| &view.record);
            let is_listed = |record: &&ReplicaRecord| OriginDigest::of_record(record) == origin;
            SoftwareSummary {
                service: service.clone(),
                software: software.clone(),
                replicas: records.filter(is_listed).count(),
                streams_begun: self.streams_begun.get(&origin).copied().unwrap_or(0),
            }
        };
        self.listings.versions().map(summary).collect()
    }

    /// Returns the service of a route at which a stream with this origin may go on, or `None` if no replica of the
    /// origin is known there.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::origin::OriginDigest;
    /// use quillcove_core::relay::replica::example_record;
    /// use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
    ///
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::ResumableStream,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     patience: None,
    ///     priority: 0,
    ///     attempt_limit: 1,
    ///     target_gap: None,
    ///     is_public: true,
    ///     targets: vec![RouteShare { service: "s".into(), weight: 1 }],
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.list(example_record("i-1"), Duration::ZERO);
    /// let own = OriginDigest::of("s", None);
    /// assert_eq!(machine.service_of_origin(&route, own), Some("s".to_string()));
    /// assert_eq!(machine.service_of_origin(&route, OriginDigest::of("s", Some("v2"))), None);
    /// ```
    pub fn service_of_origin(
        &self,
        route: &RouteRecord,
        origin: OriginDigest,
    ) -> Option<ServiceName> {
        let is_target = |service: &str| {
            route.targets.iter().any(|target| target.weight > 0 && target.service == service)
        };
        let records = self.table.all().map(|view| &view.record);
        let mut origins = records.filter(|record| OriginDigest::of_record(record) == origin);
        origins.find(|record| is_target(&record.service)).map(|record| record.service.clone())
    }

    /// Returns the only origin that a stream of a route can have which a caller may take up now, or `None` if there may be
    /// several: if the route leads to several services, if replicas of several software versions have been listed
    /// since the stream may have begun, or if this relay has not followed the store since then. Replicas that state no
    /// version are not told apart.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::origin::OriginDigest;
    /// use quillcove_core::relay::replica::{ReplicaRecord, example_record};
    /// use quillcove_core::route::{RouteKind, example_route};
    ///
    /// let (route, now) = (example_route(RouteKind::ResumableStream), Duration::from_secs(30));
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.list(example_record("i-1"), now);
    /// assert_eq!(machine.sole_origin(&route, now), Some(OriginDigest::of("s", None)));
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.list(ReplicaRecord { software: Some("v1".into()), ..example_record("i-1") }, now);
    /// assert_eq!(machine.sole_origin(&route, now), None, "the relay has not seen the time before");
    /// ```
    pub fn sole_origin(&self, route: &RouteRecord, now: MonoTime) -> Option<OriginDigest> {
        let mut targets = route.targets.iter().filter(|target| target.weight > 0);
        let service = &targets.next()?.service;
        if targets.next().is_some() {
            return None;
        }
        let begin = now.checked_sub(self.stream_lifetime(route) + LISTING_SLACK);
        let software = self.listings.sole_software(service, begin.unwrap_or_default())?;
        let is_covered = |begin| self.history.covers(route, begin) && !self.is_store_read_old(now);
        let is_certain = software.is_none() || begin.is_some_and(is_covered);
        is_certain.then(|| OriginDigest::of(service, software.as_deref()))
    }

    /// Returns whether the replicas to which a route leads state software versions.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    /// use quillcove_core::route::{RouteKind, example_route};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.list(example_record("i-1"), Duration::ZERO);
    /// assert!(!machine.has_versions(&example_route(RouteKind::ResumableStream)));
    /// ```
    pub fn has_versions(&self, route: &RouteRecord) -> bool {
        let targets = |record: &ReplicaRecord| {
            route.targets.iter().any(|target| target.service == record.service)
        };
        let mut records = self.table.all().map(|view| &view.record);
        records.any(|record| record.software.is_some() && targets(record))
    }

    /// Returns for how long a caller may take up a stream of a route after its begin. It may do so until its own deadline,
    /// which is known only once enough callers of the route have stated theirs.
    fn stream_lifetime(&self, route: &RouteRecord) -> Duration {
        let learnt = self.tries.get(&route.name).filter(|tries| tries.band().is_some());
        learnt.map_or(MAX_LIFETIME, |tries| tries.longest().max(route.timeout).min(MAX_LIFETIME))
    }

    /// Returns whether replicas may have been listed, or routes changed, without this relay knowing of it.
    fn is_store_read_old(&self, now: MonoTime) -> bool {
        let parts = [StorePart::Replicas, StorePart::Operator];
        parts.into_iter().any(|part| self.knowledge.is_old(part, MAX_STORE_AGE, now))
    }

    /// Returns the engines whose loaders hold the origin of a stream.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::origin::StreamKey;
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.origin_holders(StreamKey::of("r1")).is_empty());
    /// ```
    pub fn origin_holders(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let ready = origin::rank_holders(stream, self.holder_engines(), HOLDERS);
        match ready.is_empty() {
            true => self.rank_recent_engines(stream, HOLDERS),
            false => ready,
        }
    }

    /// Returns the engines whose loaders are asked for the origin of a stream.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::origin::StreamKey;
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.asked_holders(StreamKey::of("r1"), Duration::ZERO).is_empty());
    /// ```
    pub fn asked_holders(&self, stream: StreamKey, now: MonoTime) -> Vec<SocketAddr> {
        let listed = self.listings.engines(|service| self.has_engine(service));
        let is_ready = |address| self.table.at(address).is_some_and(|view| view.is_ready());
        // Engines that take work are noted from time to time only.
        let until = |listed: &ListedTime| {
            if is_ready(listed.engine) { MonoTime::MAX } else { listed.until }
        };
        let since = now.saturating_sub(DEPARTED_LIFETIME);
        origin::possible_holders(
            stream,
            since,
            listed.map(|it| ListedTime { until: until(&it), ..it }),
        )
    }

    /// Returns the engines that take work, which a relay that starts now knows as well.
    fn holder_engines(&self) -> impl Iterator<Item = SocketAddr> {
        let records = self.table.all().filter(|view| view.is_ready()).map(|view| &view.record);
        let engines = records.filter(|record| self.has_engine(&record.service));
        engines.map(|record| record.address)
    }

    /// Returns the first of the engines that are listed or were listed lately.
    fn rank_recent_engines(&self, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
        let engines = self.listings.engines(|service| self.has_engine(service));
        origin::rank_holders(stream, engines.map(|listed| listed.engine), count)
    }

    fn has_engine(&self, service: &str) -> bool {
        let sheet = self.sheet.as_ref();
        let service = sheet.and_then(|sheet| sheet.service(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Reports streams of this relay anew if they have other holders than at their begin.
    fn renew_reports(&mut self, now: MonoTime) {
        if now >= self.renewal_due {
            self.renewal_due = now + RENEWAL_INTERVAL;
            let engines = self.holder_engines().collect();
            self.origins.set_engines(engines, now);
        }
    }

    /// Removes what is no longer needed, and renews the listings of replicas that are still listed.
    pub(super) fn tick_origins(&mut self, now: MonoTime) {
        self.origins.tick(now);
        self.renew_reports(now);
        if now < self.origins_due {
            return;
        }
        self.origins_due = now + ORIGIN_INTERVAL;
        for view in self.table.all() {
            self.listings.note_listed(&view.record, now);
        }
        self.listings.expire(now);
        let is_current = !self.is_store_read_old(now);
        let routes = self.sheet.iter().flat_map(|sheet| sheet.routes().map(Arc::as_ref));
        self.history.note_followed(is_current, routes, now);
        let versions = self.listings.versions();
        let listed: BTreeSet<OriginDigest> = versions
            .map(|(service, software)| OriginDigest::of(service, software.as_deref()))
            .collect();
        self.streams_begun.retain(|origin, _| listed.contains(origin));
    }
}
