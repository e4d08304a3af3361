//! Which adapter is asked of which engine, in which order, and when it will be there.
//!
//! Each relay decides alone. All relays rank the engines alike for an adapter, so that two of them
//! ask the same loader, which gives one order; and each counts what all loaders report to be on
//! its way, so that together they load no more at once than the weight store serves at full
//! speed. An adapter that was evicted lately goes back to its engine, whose host still has a copy.

mod coming;
mod warm;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use self::coming::ComingLoads;
use self::warm::WarmCopies;
use super::beacon::{
    AdapterKey, AddressedAsk, ArrivedLoad, HeldAdapter, LoadAsk, OtherRelays, ReplicaId,
};
use super::limiter::LoadLimiter;
use super::policy::PlacementRule;
use super::reading::ReadingNorm;
use super::replica::ReplicaView;
use super::sheet::EngineRecord;
use crate::ids::{AdapterVersion, MonoTime, ServiceName};
use crate::rendezvous;

/// Adapters that an engine takes in at once.
const INCOMING_LIMIT: usize = 4;

/// Load at which an engine takes in no further adapters while others do, in shares of its places.
pub(super) const BUSY_LOAD: f64 = 0.8;

/// Differences of backlogs that count when an adapter is placed. Smaller ones are over before the
/// adapter is there, and relays see them differently.
const BACKLOG_STEP: Duration = Duration::from_millis(250);

/// Time after which an ask that no report shows is sent again; it may have been lost.
const ASK_AGAIN: Duration = Duration::from_millis(160);

/// Asks sent to one engine before another one is asked.
const ASK_LIMIT: u32 = 3;

/// Time after which an ask is forgotten whatever became of it.
const ASK_LIFETIME: Duration = Duration::from_secs(4);

/// Asks of one relay beyond its share that may be open at once, as shares are known with a lag.
const SHARE_MARGIN: usize = 1;

/// Time of a load from the memory of an engine's host.
const WARM_LOAD_TIME: Duration = Duration::from_millis(50);

/// What a request lacks.
#[derive(Clone, Debug)]
pub struct LackedAdapter<'a> {
    /// Which adapter.
    pub key: &'a AdapterKey,
    /// Service whose engines should hold it.
    pub service: &'a ServiceName,
    /// Version that it should have; `None` for the newest.
    pub version: Option<AdapterVersion>,
    /// Until when the request, or its return, has a use for it.
    pub useful_until: MonoTime,
    /// Engines that should hold it.
    pub holders: usize,
    /// The engine that holds it for the whole fleet; `None` for one that is wanted in the own cell.
    pub home: Option<&'a ReplicaId>,
}

/// An adapter that requests lacked.
#[derive(Clone, Debug)]
struct WantedAdapter {
    service: ServiceName,
    /// The engine of another cell that is to hold it for the whole fleet.
    home: Option<ReplicaId>,
    version: Option<AdapterVersion>,
    /// Requests that lacked it since it was last there or useful.
    requests: u32,
    since: MonoTime,
    useful_until: MonoTime,
    /// Engines that should hold it, those that do already included.
    holders: usize,
    /// Whether that many held or awaited it at the last look.
    is_met: bool,
}

impl WantedAdapter {
    /// Place in the order of loads: what most requests lack goes first, and of equals what was
    /// lacked last, as it can still be in time.
    fn rank(&self) -> (Reverse<u32>, Reverse<MonoTime>) {
        (Reverse(self.requests), Reverse(self.since))
    }
}

/// An adapter that was asked for and is not there yet.
#[derive(Clone, Debug)]
struct OpenAsk {
    addressed: AddressedAsk,
    first_sent: MonoTime,
    last_sent: MonoTime,
    times: u32,
    ready_at: MonoTime,
}

/// The engines of a service, for [`AdapterDemand::pump`].
pub struct EngineChoice<'a> {
    /// Its name.
    pub service: &'a ServiceName,
    /// What its engines have room for.
    pub engine: &'a EngineRecord,
    /// Its engines that take new work and seem to work.
    pub views: Vec<&'a ReplicaView>,
    /// Engines that are homes of wanted adapters, in whichever cell.
    pub homes: Vec<&'a ReplicaView>,
    /// What its engines have in common.
    pub norm: ReadingNorm,
}

impl<'a> EngineChoice<'a> {
    fn all(&self) -> impl Iterator<Item = &&'a ReplicaView> {
        self.views.iter().chain(&self.homes)
    }

    /// The home of a wanted adapter, if it has one.
    fn home_of(&self, wanted: &WantedAdapter) -> Option<&'a ReplicaView> {
        let home = wanted.home.as_ref()?;
        self.homes.iter().find(|view| view.record.id == *home).copied()
    }
}

/// The adapters that one relay lacks and has asked for.
///
/// ```
/// use quillcove_core::relay::demand::AdapterDemand;
///
/// assert!(AdapterDemand::default().take_outbox().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdapterDemand {
    wanted: BTreeMap<AdapterKey, WantedAdapter>,
    open: BTreeMap<AdapterKey, OpenAsk>,
    warm: WarmCopies,
    coming: ComingLoads,
    outbox: Vec<AddressedAsk>,
    limiter: LoadLimiter,
    others: OtherRelays,
}

impl AdapterDemand {
    /// Takes what is known of the other relays.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::OtherRelays;
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().set_others(OtherRelays { count: 3, recent: 3, lacking: 20 });
    /// ```
    pub fn set_others(&mut self, others: OtherRelays) {
        self.others = others;
    }

    /// The homes of wanted adapters.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert_eq!(AdapterDemand::default().homes().count(), 0);
    /// ```
    pub fn homes(&self) -> impl Iterator<Item = &ReplicaId> {
        self.wanted.values().filter_map(|wanted| wanted.home.as_ref())
    }

    /// Tells whether any adapter is wanted.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(!AdapterDemand::default().has_wanted());
    /// ```
    pub fn has_wanted(&self) -> bool {
        !self.wanted.is_empty()
    }

    /// Adapters that requests of this relay lack, those that it has asked for included.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert_eq!(AdapterDemand::default().lacking(), 0);
    /// ```
    pub fn lacking(&self) -> usize {
        let is_waiting = |(key, wanted): &(&AdapterKey, &WantedAdapter)| {
            !wanted.is_met && !self.open.contains_key(*key)
        };
        self.open.len() + self.wanted.iter().filter(is_waiting).count()
    }

    /// This relay's part of the loads that may be on their way at once: by how much it lacks against
    /// all relays, as traffic is not even.
    fn share(&self) -> f64 {
        let limit = self.limiter.limit() as f64;
        let own = self.lacking() as f64;
        let all = own + self.others.lacking as f64;
        let even = 1.0 / (self.others.count + 1) as f64;
        let part = if all > 0.0 { own / all } else { even };
        (limit * part).max(1.0)
    }

    /// The asks to send now.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(AdapterDemand::default().take_outbox().is_empty());
    /// ```
    pub fn take_outbox(&mut self) -> Vec<AddressedAsk> {
        std::mem::take(&mut self.outbox)
    }

    /// Tells whether there are asks to send.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(!AdapterDemand::default().has_asks());
    /// ```
    pub fn has_asks(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Loads that may be on their way over the whole site, as far as this relay has learnt.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(AdapterDemand::default().load_limit() > 0);
    /// ```
    pub fn load_limit(&self) -> usize {
        self.limiter.limit()
    }

    /// Time of a load from the weight store, as far as this relay has learnt.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(AdapterDemand::default().load_time() > std::time::Duration::ZERO);
    /// ```
    pub fn load_time(&self) -> Duration {
        self.limiter.load_time()
    }

    /// Takes what an engine holds now: asks that it meets are done.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::demand::AdapterDemand;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// AdapterDemand::default().note_held(table.get("i-1").unwrap(), Duration::ZERO);
    /// ```
    pub fn note_held(&mut self, view: &ReplicaView, now: MonoTime) {
        self.warm.note(view, now);
        self.coming.note(view, self.limiter.load_time(), now);
        for held in view.adapters(now) {
            let is_answered = self.open.get(&held.key).is_some_and(|open| {
                let ask = &open.addressed.ask;
                ask.replica == view.record.id && held.version >= ask.version.unwrap_or(0)
            });
            let is_enough = self.wanted.get(&held.key).is_some_and(|wanted| {
                wanted.holders <= 1 && held.version >= wanted.version.unwrap_or(0)
            });
            if is_answered {
                self.open.remove(&held.key);
            }
            if is_answered || is_enough {
                self.wanted.remove(&held.key);
            }
        }
    }

    /// Takes the times of loads that have ended; `at_once` were on their way over the whole site.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().note_arrivals(&[], 0);
    /// ```
    pub fn note_arrivals(&mut self, arrivals: &[ArrivedLoad], at_once: usize) {
        for load in arrivals.iter().filter(|load| !load.was_warm) {
            self.limiter.note_load(load.took, at_once + arrivals.len());
        }
    }

    /// Forgets what is known of an engine that is gone or lost its memory.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().forget_engine("i-1");
    /// ```
    pub fn forget_engine(&mut self, replica: &str) {
        self.warm.forget(replica);
    }

    /// Forgets an engine that leaves, and what was asked of it, so that it is asked of others at once.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().leave_engine("i-1");
    /// ```
    pub fn leave_engine(&mut self, replica: &str) {
        self.forget_engine(replica);
        self.open.retain(|_, open| open.addressed.ask.replica != replica);
    }

    /// Forgets asks and wants whose time is over.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().tick(Duration::ZERO);
    /// ```
    pub fn tick(&mut self, now: MonoTime) {
        self.open.retain(|_, ask| now.saturating_sub(ask.first_sent) < ASK_LIFETIME);
        self.wanted.retain(|_, wanted| now < wanted.useful_until);
        self.coming.tick(now);
    }

    /// Notes that a request lacks an adapter; `is_new` on its first look only.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::demand::{AdapterDemand, LackedAdapter};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// let service = "s".to_string();
    /// let lacked = LackedAdapter {
    ///     key: &key,
    ///     service: &service,
    ///     version: None,
    ///     useful_until: Duration::from_secs(1),
    ///     holders: 1,
    ///     home: None,
    /// };
    /// AdapterDemand::default().want(&lacked, true, Duration::ZERO);
    /// ```
    pub fn want(&mut self, lacked: &LackedAdapter<'_>, is_new: bool, now: MonoTime) {
        let fresh = || WantedAdapter {
            service: lacked.service.clone(),
            home: lacked.home.cloned(),
            version: lacked.version,
            requests: 0,
            since: now,
            useful_until: lacked.useful_until,
            holders: lacked.holders,
            is_met: false,
        };
        let wanted = self.wanted.entry(lacked.key.clone()).or_insert_with(fresh);
        if lacked.home.is_none() {
            wanted.home = None;
        }
        wanted.version = wanted.version.max(lacked.version);
        wanted.useful_until = wanted.useful_until.max(lacked.useful_until);
        wanted.holders = wanted.holders.max(lacked.holders);
        if is_new {
            wanted.requests += 1;
        }
    }

    /// When a wanted adapter will be there, as things stand.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert!(AdapterDemand::default().ready_at(&key, Duration::ZERO) > Duration::ZERO);
    /// ```
    pub fn ready_at(&self, key: &AdapterKey, now: MonoTime) -> MonoTime {
        if let Some(open) = self.open.get(key) {
            return open.ready_at.max(now);
        }
        if let Some(expected) = self.coming.ready_at(key, now) {
            return expected;
        }
        let own = self.wanted.get(key).map(WantedAdapter::rank);
        let is_ahead = |(other, wanted): &(&AdapterKey, &WantedAdapter)| {
            let goes_first = own.is_none_or(|own| (wanted.rank(), *other) < (own, key));
            let is_coming =
                self.open.contains_key(*other) || self.coming.ready_at(other, now).is_some();
            goes_first && !is_coming && !wanted.is_met && now < wanted.useful_until
        };
        let ahead = self.wanted.iter().filter(is_ahead).count() + 1;
        let load_time = self.limiter.load_time();
        now + load_time + load_time.mul_f64(ahead as f64 / self.share())
    }

    /// Asks for the adapters that are lacked most, as long as the weight store serves more loads at
    /// full speed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::demand::AdapterDemand;
    /// use quillcove_core::relay::policy::PlacementRule;
    ///
    /// AdapterDemand::default().pump(&[], PlacementRule::Even, Duration::ZERO);
    /// ```
    pub fn pump(&mut self, choices: &[EngineChoice<'_>], placement: PlacementRule, now: MonoTime) {
        if !self.has_wanted() {
            return;
        }
        self.repeat_asks(choices, now);
        let views = || choices.iter().flat_map(|choice| &choice.views);
        let mut on_the_way: usize = views().map(|view| self.on_the_way(view, now)).sum();
        let share = self.share().ceil() as usize + SHARE_MARGIN;
        for key in self.ranked(now) {
            let is_met = self.has_enough(&key, choices, now);
            if let Some(wanted) = self.wanted.get_mut(&key) {
                wanted.is_met = is_met;
            }
            if is_met {
                continue;
            }
            let Some((view, places, is_warm)) = self.place(&key, choices, placement, now) else {
                continue;
            };
            let has_room = on_the_way < self.limiter.limit() && self.cold_asks(now) < share;
            if !is_warm && !has_room {
                continue;
            }
            self.send(&key, view, places, is_warm, now);
            on_the_way += 1;
        }
    }

    /// Tells whether as many engines as should hold an adapter do, or await it. Another relay may
    /// have asked for it since it was wanted here.
    fn has_enough(&self, key: &AdapterKey, choices: &[EngineChoice<'_>], now: MonoTime) -> bool {
        let Some(wanted) = self.wanted.get(key) else {
            return true;
        };
        let least = wanted.version.unwrap_or(0);
        let meets = |held: &HeldAdapter| held.key == *key && held.version >= least;
        let has = |view: &&ReplicaView| {
            let incoming = view.report(now).map_or(&[][..], |report| &report.incoming);
            view.adapters(now).iter().chain(incoming).any(meets)
        };
        let of_service = choices.iter().find(|choice| *choice.service == wanted.service);
        let is_at_home = of_service
            .and_then(|choice| choice.home_of(wanted))
            .is_some_and(|home| home.report(now).is_some() && has(&home));
        let views = of_service.into_iter().flat_map(|choice| choice.views.iter().copied());
        is_at_home || views.filter(has).count() >= wanted.holders
    }

    /// Asks that were sent and have not been met; old ones may have been lost.
    fn cold_asks(&self, now: MonoTime) -> usize {
        let is_recent = |open: &&OpenAsk| now < open.ready_at + ASK_AGAIN;
        self.open.values().filter(is_recent).count()
    }

    /// Adapters that are wanted and not asked for, in the order of loads.
    fn ranked(&self, now: MonoTime) -> Vec<AdapterKey> {
        let is_due = |(key, wanted): &(&AdapterKey, &WantedAdapter)| {
            now < wanted.useful_until && !self.open.contains_key(*key)
        };
        let mut ranked: Vec<_> = self.wanted.iter().filter(is_due).collect();
        ranked.sort_by_key(|(key, wanted)| (wanted.rank(), *key));
        ranked.into_iter().map(|(key, _)| key.clone()).collect()
    }

    /// Sends asks again that no report shows, and gives up engines that do not react.
    fn repeat_asks(&mut self, choices: &[EngineChoice<'_>], now: MonoTime) {
        let views: Vec<&ReplicaView> =
            choices.iter().flat_map(EngineChoice::all).copied().collect();
        let mut given_up = Vec::new();
        for (key, open) in &mut self.open {
            let replica = &open.addressed.ask.replica;
            let target = views.iter().find(|view| view.record.id == *replica);
            let is_seen = target.is_some_and(|view| is_incoming(view, key, now));
            if is_seen || now.saturating_sub(open.last_sent) < ASK_AGAIN {
                continue;
            }
            let wanted = self.wanted.get_mut(key).filter(|wanted| wanted.home.is_some());
            if let Some(wanted) = wanted {
                // Its home is silent; the request waits, so that an engine of the own cell is asked.
                wanted.home = None;
                given_up.push(key.clone());
                continue;
            }
            if target.is_none() || open.times >= ASK_LIMIT {
                given_up.push(key.clone());
                continue;
            }
            open.times += 1;
            open.last_sent = now;
            self.outbox.push(open.addressed.clone());
        }
        for key in given_up {
            self.open.remove(&key);
        }
    }

    fn send(
        &mut self,
        key: &AdapterKey,
        view: &ReplicaView,
        places: usize,
        is_warm: bool,
        now: MonoTime,
    ) {
        let ask = LoadAsk {
            replica: view.record.id.clone(),
            model: key.model.clone(),
            adapter: Some(key.adapter.clone()),
            version: self.wanted.get(key).and_then(|wanted| wanted.version),
            places: places as u32,
        };
        let addressed = AddressedAsk { engine: view.record.address, ask };
        let load_time = if is_warm { WARM_LOAD_TIME } else { self.limiter.load_time() };
        let open = OpenAsk {
            addressed: addressed.clone(),
            first_sent: now,
            last_sent: now,
            times: 1,
            ready_at: now + load_time,
        };
        self.open.insert(key.clone(), open);
        self.outbox.push(addressed);
    }

    /// The engine that ranks first for an adapter, with its places, and whether its host has a
    /// copy. Engines with a copy go first, then those with a free place; engines that are busy
    /// come last.
    fn place<'a>(
        &self,
        key: &AdapterKey,
        choices: &'a [EngineChoice<'a>],
        placement: PlacementRule,
        now: MonoTime,
    ) -> Option<(&'a ReplicaView, usize, bool)> {
        let wanted = self.wanted.get(key)?;
        let choice = choices.iter().find(|choice| *choice.service == wanted.service)?;
        let places = choice.engine.places_beside(&key.model);
        if let Some(home) = choice.home_of(wanted) {
            return Some((home, places, self.warm.has(&home.record.id, key)));
        }
        let can_take = |view: &&&ReplicaView| {
            let report = view.report(now);
            let held = view.version_of(key, now);
            let has_place = !placement.needs_spare() || self.has_spare(view, now);
            has_place
                && report
                    .is_some_and(|report| report.models.contains(&key.model) && !report.is_busy)
                && held.is_none_or(|held| held < wanted.version.unwrap_or(0))
        };
        let rank = |view: &ReplicaView| {
            let coming = self.on_the_way(view, now);
            let backlog = view.reading.backlog(&choice.norm);
            let is_overrun = coming >= INCOMING_LIMIT || view.load(now) >= BUSY_LOAD;
            let busy = match placement {
                PlacementRule::SpareIdle => backlog.as_millis() / BACKLOG_STEP.as_millis(),
                PlacementRule::Spare | PlacementRule::Even => 0,
            };
            let is_full = view.adapters(now).len() + coming >= places;
            let weight = rendezvous::weight(&key.adapter, &view.record.address.to_string());
            // An engine replaces a version only when its runs are over, and takes no new ones until then.
            let holds_older = view.version_of(key, now).is_some();
            let is_cold = !self.warm.has(&view.record.id, key);
            (holds_older, is_overrun, is_cold, busy, is_full, Reverse(weight))
        };
        let view = choice.views.iter().filter(can_take).min_by_key(|view| rank(view)).copied()?;
        Some((view, places, self.warm.has(&view.record.id, key)))
    }

    /// Tells whether an engine can take in one more adapter now, as far as its loader told.
    fn has_spare(&self, view: &ReplicaView, now: MonoTime) -> bool {
        let asked = self.unseen_asks(view, now);
        view.spare_places(now).is_none_or(|spare| (spare as usize) > asked)
    }

    /// Asks to an engine that its reports do not show yet.
    fn unseen_asks(&self, view: &ReplicaView, now: MonoTime) -> usize {
        let is_unseen = |(key, open): &(&AdapterKey, &OpenAsk)| {
            open.addressed.ask.replica == view.record.id && !is_incoming(view, key, now)
        };
        self.open.iter().filter(is_unseen).count()
    }

    /// Adapters on their way to an engine: those that it reports, and those asked for since.
    fn on_the_way(&self, view: &ReplicaView, now: MonoTime) -> usize {
        let reported = view.report(now).map_or(0, |report| report.incoming.len());
        reported + self.unseen_asks(view, now)
    }
}

fn is_incoming(view: &ReplicaView, key: &AdapterKey, now: MonoTime) -> bool {
    view.report(now).is_some_and(|report| report.incoming.iter().any(|held| held.key == *key))
}
