//! Watches the platform for new bundles and changes of the host list, by long polling.
//!
//! A change of the bundle is fetched as a delta; the full text is fetched only by a process that
//! holds no bundle or one that is too old. While the platform can not be read, bundles are fetched
//! from other agents, which need not be trusted, because each bundle's signature is verified.

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

use super::shelf::SharedFleetState;
use super::{HEAD_VALUE, delta_value, text_value};
use crate::config::shared::{BundleSection, PlatformSection};
use crate::control::ControlPool;
use crate::platform::{HostList, PlatformPort};
use crate::web::client::WebError;

/// Largest number of deltas that are applied in sequence; beyond it, the full text is fetched.
const DELTA_LIMIT: u64 = 32;

/// Delay after a failed read, multiplied each time by a random factor from 0.5 to 2, so that
/// processes do not retry at the same time.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of peers called in a round that looks for a newer bundle.
const PEERS_PER_ROUND: usize = 3;

/// Number of hosts up to which a watch lasts `watch_time`; beyond it, the time grows in proportion
/// to the number of hosts.
const HOSTS_FOR_BASE_WATCH_TIME: f64 = 100.0;

/// Event that the watch passes to the thread that makes decisions.
#[derive(Clone, Debug)]
pub enum WatchEvent {
    /// A newer bundle is in force.
    Bundle(Arc<FleetBundle>),
    /// The host list was read; `None` if it could not be read.
    Hosts(Option<Vec<HostRecord>>),
}

/// Request from the thread that makes decisions to the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRequest {
    /// Read the host list now.
    ReadHosts,
    /// Look for a newer bundle at other agents.
    FetchFromPeers,
    /// Accept no version lower than this one, on which the upstream acted.
    RecordUsedVersion(BundleVersion),
}

/// Watches the platform and keeps the shared bundle and host list up to date.
pub struct FleetWatch<P, N> {
    platform: P,
    platform_section: PlatformSection,
    peers: Vec<String>,
    own_control: Option<String>,
    gate: BundleGate,
    shelf: SharedFleetState,
    pool: ControlPool,
    revision: Option<u64>,
    hosts_revision: Option<u64>,
    notify: N,
    log: Logger,
}

impl<P: PlatformPort, N: Fn(WatchEvent)> FleetWatch<P, N> {
    /// Creates a watch that passes its events to `notify`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove::bundle::{shelf::SharedFleetState, watch::FleetWatch};
    /// use quillcove::platform::HttpPlatform;
    ///
    /// let platform = HttpPlatform::new("127.0.0.1:1".parse().unwrap(), Duration::from_secs(1));
    /// let sections = (Default::default(), Default::default());
    /// let log = quillcove::logging::silent();
    /// FleetWatch::new(platform, sections, None, SharedFleetState::default(), log, |_| ());
    /// ```
    pub fn new(
        platform: P,
        sections: (PlatformSection, BundleSection),
        own_control: Option<String>,
        shelf: SharedFleetState,
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

    /// Runs until the sending end of `asks` is dropped.
    ///
    /// ```no_run
    /// # async fn run<P: quillcove::platform::PlatformPort>(
    /// #     watch: quillcove::bundle::watch::FleetWatch<P, fn(quillcove::bundle::watch::WatchEvent)>,
    /// # ) {
    /// let (_asks, receiver) = tokio::sync::mpsc::channel(16);
    /// watch.run(receiver).await;
    /// # }
    /// ```
    pub async fn run(mut self, mut asks: mpsc::Receiver<WatchRequest>) {
        self.fetch_hosts().await;
        self.fetch_bundle(Duration::ZERO).await;
        // The platform's copy may be stale; a process without an earlier bundle can not detect that.
        self.fetch_from_peers().await;
        let mut hosts_call = NextCall::new();
        let mut bundle_call = NextCall::new();
        loop {
            // Dropping an unfinished watch loses nothing: the next one names the same revision.
            let watch_time = self.watch_time();
            let hosts = async {
                sleep_until(hosts_call.at).await;
                self.platform.hosts(self.hosts_revision, hosts_call.wait_time(watch_time)).await
            };
            let bundle = async {
                sleep_until(bundle_call.at).await;
                self.platform
                    .value(HEAD_VALUE, self.revision, bundle_call.wait_time(watch_time))
                    .await
            };
            tokio::select! {
                ask = asks.recv() => match ask {
                    None => return,
                    Some(WatchRequest::ReadHosts) => self.fetch_hosts().await,
                    Some(WatchRequest::FetchFromPeers) => self.fetch_from_peers().await,
                    Some(WatchRequest::RecordUsedVersion(version)) => self.record_used_version(version).await,
                },
                found = hosts => {
                    hosts_call = match found.is_ok() {
                        true => NextCall::after(self.platform_section.hosts_interval),
                        false => NextCall::after_failure(),
                    };
                    self.apply_hosts(found);
                },
                found = bundle => match found {
                    Ok(Some(value)) => {
                        bundle_call = match self.apply_head(value.revision, &value.content).await {
                            true => NextCall::new(),
                            false => NextCall::after_failure(),
                        };
                    },
                    Ok(None) => bundle_call = NextCall::new(),
                    Err(_) => {
                        self.fetch_from_peers().await;
                        bundle_call = NextCall::after_failure();
                    },
                },
            }
        }
    }

    /// Returns the duration of the next watch. It grows with the number of hosts, so that the rate
    /// of calls to the platform does not; a random factor keeps the hosts' watches from ending at
    /// the same time.
    fn watch_time(&self) -> Duration {
        let hosts = self.shelf.hosts().len() as f64;
        let jitter = rand::rng().random_range(0.75..1.25);
        let growth = (hosts / HOSTS_FOR_BASE_WATCH_TIME).max(1.0);
        self.platform_section.watch_time.mul_f64(jitter * growth)
    }

    /// Fetches the host list without waiting for a change.
    async fn fetch_hosts(&mut self) {
        let found = self.platform.hosts(self.hosts_revision, Duration::ZERO).await;
        self.apply_hosts(found);
    }

    /// Shares a host list that was read, and notifies of it or of the failure.
    fn apply_hosts(&mut self, found: Result<Option<HostList>, WebError>) {
        let hosts = match found {
            Err(_) => None,
            Ok(None) => Some(self.shelf.hosts().to_vec()),
            Ok(Some(list)) => {
                self.hosts_revision = Some(list.revision);
                for fault in &list.faults {
                    warn!(self.log, "cannot parse an entry of the host list"; "fault" => fault);
                }
                self.shelf.set_hosts(list.hosts.clone());
                Some(list.hosts)
            },
        };
        (self.notify)(WatchEvent::Hosts(hosts));
    }

    /// Fetches the newest bundle, from other agents if the platform can not be read.
    async fn fetch_bundle(&mut self, wait: Duration) {
        match self.platform.value(HEAD_VALUE, self.revision, wait).await {
            Ok(Some(value)) => {
                self.apply_head(value.revision, &value.content).await;
            },
            Ok(None) => {},
            Err(_) => self.fetch_from_peers().await,
        }
    }

    /// Records that the upstream acted on a version. If this raises the lowest accepted version, no
    /// bundle is in force here until that version or a newer one is found.
    async fn record_used_version(&mut self, version: BundleVersion) {
        if version <= self.gate.floor() {
            return;
        }
        info!(self.log, "the upstream acted on a newer bundle"; "version" => version);
        self.gate.record_used_version(version);
        self.shelf.set_bundle(self.gate.in_force().cloned());
        self.revision = None;
        self.fetch_from_peers().await;
    }

    /// Fetches the bundle that a head announces, and offers it to the gate. Returns `false` if the
    /// text could not be fetched and has to be tried again.
    async fn apply_head(&mut self, revision: u64, content: &[u8]) -> bool {
        let head: BundleHead = match serde_json::from_slice(content) {
            Ok(head) => head,
            Err(error) => {
                warn!(self.log, "the bundle's announcement can not be read"; "error" => %error);
                self.revision = Some(revision);
                return true;
            },
        };
        let held = self.gate.last_accepted().map(|held| held.head.clone());
        if held.as_ref() == Some(&head) {
            self.revision = Some(revision);
            return true;
        }
        let held_version = held.map_or(0, |held| held.version);
        let text = match self.rebuild_text(&head, held_version).await {
            Some(text) => Some(text),
            None => self.fetch_text(head.version).await,
        };
        let Some(text) = text else { return false };
        self.offer_bundle(&head, &text);
        self.revision = Some(revision);
        true
    }

    /// Rebuilds the announced text from deltas. Returns `None` if no bundle is held, the deltas are
    /// too many, or one of them can not be fetched or applied.
    async fn rebuild_text(&self, head: &BundleHead, held: BundleVersion) -> Option<String> {
        let steps = head.version.checked_sub(held)?;
        if held == 0 || steps == 0 || steps > DELTA_LIMIT {
            return None;
        }
        let mut text = self.gate.last_accepted()?.text.to_string();
        for version in held + 1..=head.version {
            let value = self.platform.value(&delta_value(version), None, Duration::ZERO).await;
            let delta: BundleDelta = serde_json::from_slice(&value.ok()??.content).ok()?;
            text = apply(&delta, &text).ok()?;
        }
        Some(text)
    }

    async fn fetch_text(&self, version: BundleVersion) -> Option<String> {
        let value = self.platform.value(&text_value(version), None, Duration::ZERO).await;
        String::from_utf8(value.ok()??.content.to_vec()).ok()
    }

    /// Offers a bundle to the gate; if it is accepted, shares it and notifies of it.
    fn offer_bundle(&mut self, head: &BundleHead, text: &str) {
        match self.gate.offer(head, text) {
            Ok(GateChange::Unchanged) => {},
            Ok(GateChange::Accepted) => {
                let held = self.gate.in_force().cloned();
                let content = held.as_ref().map(|held| held.content.clone());
                self.shelf.set_bundle(held);
                info!(self.log, "bundle in force"; "version" => head.version);
                if let Some(content) = content {
                    (self.notify)(WatchEvent::Bundle(content));
                }
            },
            Err(error) => {
                warn!(self.log, "bundle refused"; "version" => head.version, "error" => %error);
            },
        }
    }

    /// Fetches a newer bundle, if there is one, from a few other agents.
    async fn fetch_from_peers(&mut self) {
        for peer in self.choose_peers() {
            let fetch_head = |client: crate::control::AgentControlClient, context| async move {
                client.bundle_head(context).await
            };
            let Ok(Some(head)) = self.pool.call(&peer, PEER_TIMEOUT, fetch_head).await else {
                continue;
            };
            let held = self.gate.last_accepted().map_or(0, |held| held.head.version);
            if head.version <= held {
                continue;
            }
            let digest = head.digest.clone();
            let fetch_text = |client: crate::control::AgentControlClient, context| async move {
                client.bundle_text(context, digest).await
            };
            if let Ok(Some(text)) = self.pool.call(&peer, PEER_TIMEOUT, fetch_text).await {
                self.offer_bundle(&head, &text);
            }
        }
    }

    /// Chooses peers at random from the settings and the last host list, without this process.
    fn choose_peers(&self) -> Vec<String> {
        let hosts = self.shelf.hosts();
        let known = hosts.iter().map(|record| record.control.clone());
        let all = self.peers.iter().cloned().chain(known);
        let mut others: Vec<String> =
            all.filter(|peer| Some(peer) != self.own_control.as_ref()).collect();
        others.sort();
        others.dedup();
        let mut chosen = Vec::new();
        while chosen.len() < PEERS_PER_ROUND && !others.is_empty() {
            let index = rand::rng().random_range(0..others.len());
            chosen.push(others.swap_remove(index));
        }
        chosen
    }
}

/// Time and kind of the next call to the platform.
#[derive(Clone, Copy, Debug)]
struct NextCall {
    at: Instant,
    /// Whether the call before failed. The call then asks for an immediate answer: if the platform
    /// is still unreachable, a watch would detect that only after its full duration.
    is_retry: bool,
}

impl NextCall {
    fn new() -> Self {
        Self::after(Duration::ZERO)
    }

    fn after(delay: Duration) -> Self {
        Self { at: Instant::now() + delay, is_retry: false }
    }

    fn after_failure() -> Self {
        let delay = RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..2.0));
        Self { is_retry: true, ..Self::after(delay) }
    }

    /// Returns how long the platform may wait for a change before it answers: zero for a retry.
    fn wait_time(self, watch_time: Duration) -> Duration {
        match self.is_retry {
            true => Duration::ZERO,
            false => watch_time,
        }
    }
}
