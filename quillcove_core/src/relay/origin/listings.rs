//! Replicas that are listed or were listed lately, by address and by software version.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{ListedTime, MAX_LIFETIME};
use crate::ids::{MonoTime, ServiceName, SoftwareVersion};
use crate::relay::replica::{ReplicaRecord, ReplicaState};

/// Time for which the loader of an engine that is no longer listed remains a holder. An engine that exits leaves the list,
/// while its loader keeps running; without this time, the holders of a stream would change with each exit.
pub const DEPARTED_LIFETIME: Duration = Duration::from_secs(60);

/// Time for which a software version counts as listed lately: as long as streams that it began may be taken up.
const SOFTWARE_LIFETIME: Duration = MAX_LIFETIME.saturating_add(LISTING_SLACK);

/// Longest time for which a stream may still begin at a replica after it was last noted as listed: the interval of the
/// notes, and the time after which a relay reads an old list no more.
pub const LISTING_SLACK: Duration = Duration::from_secs(10);

/// A replica that takes work or did so lately.
#[derive(Clone, Debug)]
struct ListedReplica {
    service: ServiceName,
    from: MonoTime,
    until: MonoTime,
}

/// Addresses and software versions of the replicas that are listed or were listed lately.
#[derive(Clone, Debug, Default)]
pub struct RecentListings {
    replicas: BTreeMap<SocketAddr, ListedReplica>,
    /// When this process first knew a list; what it holds may have been there for long.
    first_at: Option<MonoTime>,
    software: BTreeMap<(ServiceName, Option<SoftwareVersion>), MonoTime>,
}

impl RecentListings {
    /// Records a listed replica.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::RecentListings;
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut listings = RecentListings::default();
    /// listings.note_listed(&example_record("i-1"), Duration::ZERO);
    /// assert_eq!(listings.engines(|service| service == "s").count(), 1);
    /// assert_eq!(listings.engines(|_| false).count(), 0);
    /// ```
    pub fn note_listed(&mut self, record: &ReplicaRecord, now: MonoTime) {
        // A draining replica was a holder until a moment ago, which a process that has just started has not seen.
        if record.state == ReplicaState::Ready || !self.replicas.contains_key(&record.address) {
            self.note_ready(record, now);
        }
        self.software.insert((record.service.clone(), record.software.clone()), now);
    }

    fn note_ready(&mut self, record: &ReplicaRecord, now: MonoTime) {
        let first_at = *self.first_at.get_or_insert(now);
        let listed = self.replicas.get_mut(&record.address);
        if let Some(listed) = listed.filter(|listed| listed.service == record.service) {
            listed.until = now;
            return;
        }
        let from = if now == first_at { MonoTime::ZERO } else { now };
        let listed = ListedReplica { service: record.service.clone(), from, until: now };
        self.replicas.insert(record.address, listed);
    }

    /// Returns the only software version that replicas of a service have been listed with since `begin`; `None` if there
    /// were several or no replicas.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::RecentListings;
    /// use quillcove_core::relay::replica::{ReplicaRecord, example_record};
    ///
    /// let begin = Duration::from_secs(5);
    /// let mut listings = RecentListings::default();
    /// listings.note_listed(&example_record("i-1"), begin);
    /// assert_eq!(listings.sole_software("s", begin), Some(&None));
    /// let other = ReplicaRecord { software: Some("v2".into()), ..example_record("i-2") };
    /// listings.note_listed(&other, begin);
    /// assert_eq!(listings.sole_software("s", begin), None);
    /// ```
    pub fn sole_software(
        &self,
        service: &str,
        begin: MonoTime,
    ) -> Option<&Option<SoftwareVersion>> {
        let of_service =
            |((listed, _), at): &(&(ServiceName, _), &MonoTime)| listed == service && **at >= begin;
        let mut versions = self.software.iter().filter(of_service).map(|((_, it), _)| it);
        let software = versions.next()?;
        versions.next().is_none().then_some(software)
    }

    /// Returns the services and software versions that replicas have been listed with lately.
    ///
    /// ```
    /// assert_eq!(quillcove_core::relay::origin::RecentListings::default().versions().count(), 0);
    /// ```
    pub fn versions(&self) -> impl Iterator<Item = &(ServiceName, Option<SoftwareVersion>)> {
        self.software.keys()
    }

    /// Removes the replicas and software versions that have not been listed for a while.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::RecentListings;
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut listings = RecentListings::default();
    /// listings.note_listed(&example_record("i-1"), Duration::ZERO);
    /// listings.expire(Duration::from_secs(600));
    /// assert_eq!(listings.engines(|_| true).count(), 0);
    /// ```
    pub fn expire(&mut self, now: MonoTime) {
        self.replicas.retain(|_, listed| now.saturating_sub(listed.until) < DEPARTED_LIFETIME);
        self.software.retain(|_, at| now.saturating_sub(*at) < SOFTWARE_LIFETIME);
    }

    /// Returns the replicas of services that have engines, and so loaders.
    ///
    /// See [`RecentListings::note_listed`] for an example.
    pub fn engines<'a>(
        &'a self,
        has_engine: impl Fn(&str) -> bool + 'a,
    ) -> impl Iterator<Item = ListedTime> + 'a {
        let engines = self.replicas.iter().filter(move |(_, listed)| has_engine(&listed.service));
        engines.map(|(engine, listed)| {
            let ListedReplica { from, until, .. } = *listed;
            ListedTime { engine: *engine, from, until }
        })
    }
}
