//! The duty that watches the platform: the newest bundle and the host list.
//!
//! A change travels as a difference; the whole text is read only by a process that holds none or
//! one too old. While the platform can not be read, other agents are asked: the signature makes
//! it of no matter who passes a bundle on.

use std::sync::Arc;
use std::time::Duration;

use quillcove_core::bundle::FleetBundle;
use quillcove_core::bundle::delta::{BundleDelta, apply};
use quillcove_core::bundle::gate::{BundleGate, GateChange};
use quillcove_core::bundle::signing::BundleHead;
use quillcove_core::entry::event::HostRecord;
use quillcove_core::ids::BundleVersion;
use rand::Rng;
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::shelf::FleetShelf;
use super::{HEAD_VALUE, delta_value, text_value};
use crate::config::shared::{BundleSection, PlatformSection};
use crate::control::ControlPool;
use crate::platform::{HostList, PlatformPort};
use crate::web::client::WebError;

/// Differences that are followed one after the other before the whole text is read instead.
const DELTA_LIMIT: u64 = 32;

/// Pause after a read that failed; drawn anew each time up to twice this, so that processes do
/// not come back together.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for one call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Peers asked in one round while the platform can not be read.
const PEERS_ASKED: usize = 3;

/// Hosts up to which a watch takes its plain time; beyond them the time grows with the fleet.
const HOSTS_FOR_ONE_WATCH: f64 = 100.0;

/// What the watching duty tells the deciding one.
#[derive(Clone, Debug)]
pub enum WatchNews {
    /// A bundle is in force.
    Bundle(Arc<FleetBundle>),
    /// The host list was read, or could not be read.
    Hosts(Option<Vec<HostRecord>>),
}

/// What the deciding duty asks of the watching one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAsk {
    /// Read the host list now.
    ReadHosts,
    /// Ask other agents for a newer bundle.
    SeekBundle,
    /// The upstream acted on this version.
    Witness(BundleVersion),
}

/// The watching duty.
pub struct FleetWatch<P, N> {
    platform: P,
    platform_section: PlatformSection,
    peers: Vec<String>,
    own_control: Option<String>,
    gate: BundleGate,
    shelf: FleetShelf,
    pool: ControlPool,
    revision: Option<u64>,
    hosts_revision: Option<u64>,
    notify: N,
    log: Logger,
}

impl<P: PlatformPort, N: Fn(WatchNews)> FleetWatch<P, N> {
    /// A watch that tells its news through the given function.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove::bundle::{shelf::FleetShelf, watch::FleetWatch};
    /// use quillcove::platform::HttpPlatform;
    ///
    /// let platform = HttpPlatform::new("127.0.0.1:1".parse().unwrap(), Duration::from_secs(1));
    /// let sections = (Default::default(), Default::default());
    /// let log = quillcove::logging::silent();
    /// FleetWatch::new(platform, sections, None, FleetShelf::default(), log, |_| ());
    /// ```
    pub fn new(
        platform: P,
        sections: (PlatformSection, BundleSection),
        own_control: Option<String>,
        shelf: FleetShelf,
        log: Logger,
        notify: N,
    ) -> Self {
        let (platform_section, bundle_section) = sections;
        let BundleSection { trusted_keys, peers } = bundle_section;
        Self {
            platform,
            platform_section,
            peers,
            own_control,
            gate: BundleGate::new(trusted_keys),
            shelf,
            pool: ControlPool::default(),
            revision: None,
            hosts_revision: None,
            notify,
            log,
        }
    }

    /// Watches until the asking side is gone.
    ///
    /// ```no_run
    /// # async fn run<P: quillcove::platform::PlatformPort>(
    /// #     watch: quillcove::bundle::watch::FleetWatch<P, fn(quillcove::bundle::watch::WatchNews)>,
    /// # ) {
    /// let (_asks, receiver) = tokio::sync::mpsc::channel(16);
    /// watch.run(receiver).await;
    /// # }
    /// ```
    pub async fn run(mut self, mut asks: mpsc::Receiver<WatchAsk>) {
        self.read_hosts().await;
        self.read_bundle(Duration::ZERO).await;
        // The platform may be stale, and this process has nothing yet to tell.
        self.ask_peers().await;
        let mut hosts_call = NextCall::new();
        let mut bundle_call = NextCall::new();
        loop {
            // Watches that are dropped lose nothing: the next ones name the same revisions.
            let wait = self.watch_time();
            let hosts = async {
                sleep_until(hosts_call.at).await;
                self.platform.hosts(self.hosts_revision, hosts_call.wait(wait)).await
            };
            let bundle = async {
                sleep_until(bundle_call.at).await;
                self.platform.value(HEAD_VALUE, self.revision, bundle_call.wait(wait)).await
            };
            tokio::select! {
                ask = asks.recv() => match ask {
                    None => return,
                    Some(WatchAsk::ReadHosts) => self.read_hosts().await,
                    Some(WatchAsk::SeekBundle) => self.ask_peers().await,
                    Some(WatchAsk::Witness(version)) => self.witness(version).await,
                },
                found = hosts => {
                    hosts_call = match found.is_ok() {
                        true => NextCall::after(self.platform_section.hosts_interval),
                        false => NextCall::after_failure(),
                    };
                    self.take_hosts(found);
                },
                found = bundle => match found {
                    Ok(Some(value)) => {
                        bundle_call = match self.take_head(value.revision, &value.content).await {
                            true => NextCall::new(),
                            false => NextCall::after_failure(),
                        };
                    },
                    Ok(None) => bundle_call = NextCall::new(),
                    Err(_) => {
                        self.ask_peers().await;
                        bundle_call = NextCall::after_failure();
                    },
                },
            }
        }
    }

    /// Time of one watch. It grows with the fleet, so that the platform's calls do not; it is
    /// drawn anew each time, so that watches do not end together.
    fn watch_time(&self) -> Duration {
        let hosts = self.shelf.hosts().len() as f64;
        let share = rand::rng().random_range(0.75..1.25);
        let growth = (hosts / HOSTS_FOR_ONE_WATCH).max(1.0);
        self.platform_section.watch_time.mul_f64(share * growth)
    }

    /// Reads the host list without waiting for a change.
    async fn read_hosts(&mut self) {
        let found = self.platform.hosts(self.hosts_revision, Duration::ZERO).await;
        self.take_hosts(found);
    }

    fn take_hosts(&mut self, found: Result<Option<HostList>, WebError>) {
        let hosts = match found {
            Err(_) => None,
            Ok(None) => Some(self.shelf.hosts().to_vec()),
            Ok(Some(list)) => {
                self.hosts_revision = Some(list.revision);
                self.shelf.set_hosts(list.hosts.clone());
                Some(list.hosts)
            },
        };
        (self.notify)(WatchNews::Hosts(hosts));
    }

    async fn read_bundle(&mut self, wait: Duration) {
        match self.platform.value(HEAD_VALUE, self.revision, wait).await {
            Ok(Some(value)) => {
                self.take_head(value.revision, &value.content).await;
            },
            Ok(None) => {},
            Err(_) => self.ask_peers().await,
        }
    }

    /// The upstream knows a newer bundle than this process: nothing is in force here until that
    /// one or a newer is found.
    async fn witness(&mut self, version: BundleVersion) {
        if version <= self.gate.floor() {
            return;
        }
        info!(self.log, "the upstream acted on a newer bundle"; "version" => version);
        self.gate.witness(version);
        self.shelf.set_bundle(self.gate.in_force().cloned());
        self.revision = None;
        self.ask_peers().await;
    }

    /// Follows an announcement; `false` when its bundle could not be taken.
    async fn take_head(&mut self, revision: u64, content: &[u8]) -> bool {
        let head: BundleHead = match serde_json::from_slice(content) {
            Ok(head) => head,
            Err(error) => {
                warn!(self.log, "the bundle's announcement can not be read"; "error" => %error);
                self.revision = Some(revision);
                return true;
            },
        };
        let held = self.gate.held().map(|held| held.head.clone());
        if held.as_ref() == Some(&head) {
            self.revision = Some(revision);
            return true;
        }
        let held_version = held.map_or(0, |held| held.version);
        let text = match self.text_by_deltas(&head, held_version).await {
            Some(text) => Some(text),
            None => self.whole_text(head.version).await,
        };
        let Some(text) = text else { return false };
        self.offer(&head, &text);
        self.revision = Some(revision);
        true
    }

    async fn text_by_deltas(&self, head: &BundleHead, held: BundleVersion) -> Option<String> {
        let steps = head.version.checked_sub(held)?;
        if held == 0 || steps == 0 || steps > DELTA_LIMIT {
            return None;
        }
        let mut text = self.gate.held()?.text.to_string();
        for version in held + 1..=head.version {
            let value = self.platform.value(&delta_value(version), None, Duration::ZERO).await;
            let delta: BundleDelta = serde_json::from_slice(&value.ok()??.content).ok()?;
            text = apply(&delta, &text).ok()?;
        }
        Some(text)
    }

    async fn whole_text(&self, version: BundleVersion) -> Option<String> {
        let value = self.platform.value(&text_value(version), None, Duration::ZERO).await;
        String::from_utf8(value.ok()??.content.to_vec()).ok()
    }

    /// Offers a bundle to the gate and tells the other duties when it is taken.
    fn offer(&mut self, head: &BundleHead, text: &str) {
        match self.gate.offer(head, text) {
            Ok(GateChange::Same) => {},
            Ok(GateChange::Taken) => {
                let held = self.gate.in_force().cloned();
                let content = held.as_ref().map(|held| held.content.clone());
                self.shelf.set_bundle(held);
                info!(self.log, "bundle in force"; "version" => head.version);
                if let Some(content) = content {
                    (self.notify)(WatchNews::Bundle(content));
                }
            },
            Err(error) => {
                warn!(self.log, "bundle refused"; "version" => head.version, "error" => %error);
            },
        }
    }

    /// Asks a few other agents for a newer bundle.
    async fn ask_peers(&mut self) {
        for peer in self.some_peers() {
            let asked = |client: crate::control::AgentControlClient, context| async move {
                client.bundle_head(context).await
            };
            let Ok(Some(head)) = self.pool.call(&peer, PEER_TIMEOUT, asked).await else {
                continue;
            };
            let held = self.gate.held().map_or(0, |held| held.head.version);
            if head.version <= held {
                continue;
            }
            let digest = head.digest.clone();
            let asked = |client: crate::control::AgentControlClient, context| async move {
                client.bundle_text(context, digest).await
            };
            if let Ok(Some(text)) = self.pool.call(&peer, PEER_TIMEOUT, asked).await {
                self.offer(&head, &text);
            }
        }
    }

    /// Peers drawn from the settings and the last host list.
    fn some_peers(&self) -> Vec<String> {
        let hosts = self.shelf.hosts();
        let known = hosts.iter().map(|record| record.control.clone());
        let all = self.peers.iter().cloned().chain(known);
        let mut others: Vec<String> =
            all.filter(|peer| Some(peer) != self.own_control.as_ref()).collect();
        others.sort();
        others.dedup();
        let mut chosen = Vec::new();
        while chosen.len() < PEERS_ASKED && !others.is_empty() {
            let place = rand::rng().random_range(0..others.len());
            chosen.push(others.swap_remove(place));
        }
        chosen
    }
}

/// When the platform is asked next.
#[derive(Clone, Copy, Debug)]
struct NextCall {
    at: Instant,
    /// Whether the call before failed. Nothing says then that the platform answers, and a watch
    /// that it swallows would be waited for to its end.
    follows_failure: bool,
}

impl NextCall {
    fn new() -> Self {
        Self::after(Duration::ZERO)
    }

    fn after(pause: Duration) -> Self {
        Self { at: Instant::now() + pause, follows_failure: false }
    }

    fn after_failure() -> Self {
        let pause = FAILURE_PAUSE.mul_f64(rand::rng().random_range(0.5..2.0));
        Self { follows_failure: true, ..Self::after(pause) }
    }

    /// Time that the platform is asked to wait, of the time of a watch.
    fn wait(self, watch_time: Duration) -> Duration {
        match self.follows_failure {
            true => Duration::ZERO,
            false => watch_time,
        }
    }
}
