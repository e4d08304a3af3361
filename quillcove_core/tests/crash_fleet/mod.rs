//! A fleet of relays before replicas that end under fatal requests, with no network: messages take time and get
//! lost, relays are cut off from each other, stand still and start again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use quillcove_core::crash::book::{CrashTable, MOST_ENDS};
use quillcove_core::crash::digest::{RequestDigest, RequestIdentity, RequestParts, part_identity};
use quillcove_core::crash::evidence::{ExitEvidence, part_evidence};
use quillcove_core::crash::phase::{PROOF_INTERVAL, RUN_SURVIVAL_TIME, RunPhase, SURVIVAL_TIME};
use quillcove_core::crash::teller::in_messages;
use quillcove_core::crash::telling::CrashReport;
use quillcove_core::crash::watch::{AbortKind, CrashTracker, ReplicaRun, ResponseAbort};

/// Time between two steps of the fleet.
const STEP: Duration = Duration::from_millis(10);

/// Time between beacons, as relays send them.
const BEACON_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the begin of a fatal run to the end of its replica.
const FATAL_TIME: Duration = Duration::from_millis(100);

/// Time from a broken answer until a relay knows that the replica ended.
const CONFIRM_TIME: Duration = Duration::from_millis(40);

/// Time until another replica stands in the place of one that ended.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Time after the third end from which the users count, as their pages set it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Length of a run.
const LENGTH: Duration = Duration::from_secs(40);

/// Time after the begin of an answer at which its replica is known to have survived that.
const PROVED_TIME: Duration = SURVIVAL_TIME.saturating_add(PROOF_INTERVAL);

/// Time that an innocent request runs.
const RUN_TIME: Duration = Duration::from_millis(1500);

/// Time until the answer of an innocent request begins.
const BEGIN_TIME: Duration = Duration::from_millis(200);

/// Ends of replicas under one part of prompts from which the users count what is still sent.
const COUNTED_PART_ENDS: usize = 5;

/// Part with which all prompts begin.
const FIRST_PART: u64 = 1;

/// Innocent requests that share one more part.
const SHARING: u64 = 4;

/// Tries of an innocent request's caller.
const INNOCENT_TRIES: u32 = 4;

/// Loaders that keep an end.
const KEEPERS: usize = 2;

/// How relays learn of each other's ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TellingWay {
    /// All relays are told at once and with the next beacons; loaders keep it for those that start.
    AtOnce,
    /// All relays are told with the regular beacons only; loaders keep nothing.
    WithBeacons,
    /// Three relays by the request's digest are told at once, and these tell all of what ends a second time.
    ByDigest,
    /// Nobody is told: a wrong way.
    Alone,
    /// As at once, but a request is known by its id: a wrong way.
    ById,
}

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
pub struct CrashPattern {
    pub name: &'static str,
    pub relays: usize,
    pub replicas: usize,
    /// Fatal requests, each of which returns after a pause at some relay.
    pub fatal: usize,
    pub pause: Duration,
    /// Copies of each that come at once, at different relays.
    pub copies: usize,
    /// Whether each return comes from another address.
    pub moves: bool,
    pub loss: f64,
    pub delay: Duration,
    /// Parts into which the relays are cut, from the first to the second second.
    pub parts: usize,
    pub cut: (u64, u64),
    /// Seconds at which all relays start again.
    pub restarts: &'static [u64],
    /// Seconds at which a quarter of the relays stands still for five seconds.
    pub freezes: &'static [u64],
    /// Seconds at which a third of the replicas is killed at once.
    pub kills: &'static [u64],
    /// Whether each kill takes the next third, so that replicas are back before they are killed again.
    pub kills_in_turn: bool,
    /// Innocent requests that begin in a second.
    pub innocents: usize,
    /// Whether the fatal requests share one part of their prompts and nothing else. All prompts have the same first
    /// part.
    pub by_part: bool,
    /// Whether the fatal part was sound until the first fatal request.
    pub was_sound: bool,
    /// Share of the fatal requests whose connection ends before the head of the answer is read.
    pub headless: f64,
    /// Whether all loaders start again with the relays.
    pub loaders_restart: bool,
}

impl CrashPattern {
    pub const USUAL: Self = Self {
        name: "4",
        relays: 4,
        replicas: 12,
        fatal: 1,
        pause: Duration::from_millis(300),
        copies: 1,
        moves: false,
        loss: 0.0,
        delay: Duration::from_millis(2),
        parts: 1,
        cut: (0, 0),
        restarts: &[],
        freezes: &[],
        kills: &[],
        kills_in_turn: false,
        innocents: 30,
        by_part: false,
        was_sound: false,
        headless: 0.0,
        loaders_restart: false,
    };
}

/// What came of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashResult {
    /// Most sends of one fatal request that count by the users' rule: later than the contact time after the
    /// third end, by relays that were not starting or standing still within it.
    pub counted: usize,
    /// Most sends of one after its third end.
    pub sends: usize,
    /// Innocent requests, and how many of them were refused for ends.
    pub innocents: usize,
    pub refused: usize,
    /// Messages and bytes that a relay sent in a second, over the run.
    pub messages: f64,
    pub bytes: f64,
    /// Most that one relay sent in a second.
    pub worst_bytes: usize,
}

/// A random sequence that is the same on every machine.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) as f64) / f64::from(1u32 << 31)
    }

    fn below(&mut self, count: usize) -> usize {
        ((self.next() * count as f64) as usize).min(count - 1)
    }
}

struct Relay {
    watch: CrashTracker,
    /// What it keeps for others, where three relays are told by digest.
    home: CrashTable,
    homed: BTreeMap<RequestDigest, usize>,
    started: Duration,
    frozen_until: Duration,
    last_beacon: Duration,
    sent: BTreeMap<u64, usize>,
}

impl Relay {
    fn new(now: Duration) -> Self {
        Self {
            watch: CrashTracker::default(),
            home: CrashTable::default(),
            homed: BTreeMap::new(),
            started: now,
            frozen_until: Duration::ZERO,
            last_beacon: now,
            sent: BTreeMap::new(),
        }
    }
}

/// A place for a replica, and the run of the one in it.
struct Place {
    run: u64,
    back_at: Duration,
}

/// A request at a replica.
struct Running {
    identity: RequestIdentity,
    /// Parts of its prompt that others may have too.
    parts: Vec<RequestIdentity>,
    /// When its answer begins; `None` once it is known to have survived that.
    begins_at: Option<Duration>,
    relay: usize,
    place: usize,
    until: Duration,
    kind: RunKind,
    /// Whether its connection ends before the head of the answer is read.
    is_headless: bool,
}

impl Running {
    /// Returns what is suspected if its replica ends now.
    fn answer_breaks(&self, now: Duration) -> Vec<ResponseAbort> {
        let began = self.begins_at.filter(|at| *at <= now);
        let has_survived = self.begins_at.is_none_or(|at| now >= at + PROVED_TIME);
        let phase = match self.is_headless {
            true => RunPhase::Waiting,
            // Only what is known to have survived has no begin any more.
            false if self.begins_at.is_none() => RunPhase::Writing,
            false => {
                RunPhase::of_stream(began.map(|at| now - at), self.has_begun(now), has_survived)
            },
        };
        let evidence = part_evidence(phase, AbortKind::CutOff);
        let parts = match evidence {
            ExitEvidence::Weak | ExitEvidence::Strong => &self.parts[..],
            ExitEvidence::None => &[],
        };
        let abort =
            |identity, has_other_cause| ResponseAbort { identity, has_other_cause, sent_at: now };
        let parts = parts.iter().map(|part| abort(*part, evidence == ExitEvidence::Weak));
        parts.chain([abort(self.identity, self.has_begun(now))]).collect()
    }

    fn has_begun(&self, now: Duration) -> bool {
        matches!(self.kind, RunKind::Innocent { .. }) && now + RUN_TIME >= self.until + BEGIN_TIME
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RunKind {
    Fatal(usize),
    Innocent { tries: u32 },
}

enum Word {
    ToRelay(usize, CrashReport),
    /// To a relay as one of three for the digests in it.
    ToHome(usize, CrashReport),
    ToLoader(usize, CrashReport),
    AskOfLoader(usize, usize),
}

#[derive(Default)]
struct FatalCount {
    ends: usize,
    third_at: Option<Duration>,
    sends: usize,
    counted: usize,
    next: Duration,
}

struct Fleet {
    pattern: CrashPattern,
    way: TellingWay,
    relays: Vec<Relay>,
    loaders: Vec<CrashTable>,
    places: Vec<Place>,
    running: Vec<Running>,
    confirms: VecDeque<(Duration, usize, ReplicaRun)>,
    words: Vec<(Duration, Word)>,
    fatal: Vec<FatalCount>,
    draws: Draws,
    bodies: u64,
    result: CrashResult,
}

fn identity(kind: &str, body: u64, caller: u64) -> RequestIdentity {
    let body = format!("{kind} {body}");
    let parts =
        RequestParts { method: "POST", host: "h", path: "/", key: None, body: body.as_bytes() };
    RequestIdentity { digest: parts.digest(), caller }
}

/// Plays a pattern.
pub fn play(pattern: CrashPattern, way: TellingWay, seed: u64) -> CrashResult {
    let place = |run| Place { run, back_at: Duration::ZERO };
    let mut fleet = Fleet {
        pattern,
        way,
        relays: (0..pattern.relays).map(|_| Relay::new(Duration::ZERO)).collect(),
        loaders: (0..pattern.replicas).map(|_| CrashTable::default()).collect(),
        places: (0..pattern.replicas as u64).map(place).collect(),
        running: Vec::new(),
        confirms: VecDeque::new(),
        words: Vec::new(),
        fatal: (0..pattern.fatal).map(|_| FatalCount::default()).collect(),
        draws: Draws(seed),
        bodies: 0,
        result: CrashResult::default(),
    };
    // A process has an age when its first words are told.
    let mut now = Duration::from_secs(10);
    let end = now + LENGTH;
    while now < end {
        fleet.step(now);
        now += STEP;
    }
    fleet.end()
}

impl Fleet {
    fn second(now: Duration) -> u64 {
        now.as_secs() - 10
    }

    fn step(&mut self, now: Duration) {
        self.trouble(now);
        self.deliver(now);
        self.record_parts(now);
        self.end_runs(now);
        self.confirm(now);
        self.send_innocents(now);
        self.send_fatal(now);
        self.tell(now);
    }

    fn is_frozen(&self, relay: usize, now: Duration) -> bool {
        now < self.relays[relay].frozen_until
    }

    fn is_cut(&self, from: usize, to: usize, now: Duration) -> bool {
        let (begin, end) = self.pattern.cut;
        let second = Self::second(now);
        second >= begin && second < end && from % self.pattern.parts != to % self.pattern.parts
    }

    fn trouble(&mut self, now: Duration) {
        if !now.subsec_nanos().is_multiple_of(1_000_000_000) {
            return;
        }
        let second = Self::second(now);
        if self.pattern.restarts.contains(&second) {
            if self.pattern.loaders_restart {
                self.loaders.iter_mut().for_each(|loader| *loader = CrashTable::default());
            }
            for relay in 0..self.relays.len() {
                let sent = std::mem::take(&mut self.relays[relay].sent);
                self.relays[relay] = Relay { sent, ..Relay::new(now) };
                if self.way == TellingWay::AtOnce {
                    for loader in 0..self.loaders.len() {
                        self.send(relay, Word::AskOfLoader(relay, loader), 20, now);
                    }
                }
            }
        }
        if self.pattern.freezes.contains(&second) {
            for relay in 0..self.relays.len() / 4 {
                self.relays[relay].frozen_until = now + Duration::from_secs(5);
            }
        }
        if self.pattern.kills.contains(&second) {
            let third = self.places.len() / 3;
            let first = if self.pattern.kills_in_turn { second as usize % 3 * third } else { 0 };
            for place in first..first + third {
                self.end_place(place, now);
            }
        }
    }

    /// Puts a word on its way.
    fn send(&mut self, from: usize, word: Word, bytes: usize, now: Duration) {
        let counted = self.relays[from].sent.entry(Self::second(now)).or_insert(0);
        *counted += bytes;
        self.result.messages += 1.0;
        self.result.bytes += bytes as f64;
        let cut = match &word {
            Word::ToRelay(to, _) | Word::ToHome(to, _) => self.is_cut(from, *to, now),
            Word::ToLoader(..) | Word::AskOfLoader(..) => false,
        };
        if !cut && self.draws.next() >= self.pattern.loss {
            let jitter = self.pattern.delay.mul_f64(self.draws.next());
            self.words.push((now + self.pattern.delay + jitter, word));
        }
    }

    fn deliver(&mut self, now: Duration) {
        let words = std::mem::take(&mut self.words);
        let (due, left) = words.into_iter().partition(|(at, _)| *at <= now);
        self.words = left;
        let due: Vec<(Duration, Word)> = due;
        for (_, word) in due {
            match word {
                // What comes to one that stands still waits in its socket.
                Word::ToRelay(to, beacon) if self.is_frozen(to, now) => {
                    let at = self.relays[to].frozen_until;
                    self.words.push((at, Word::ToRelay(to, beacon)));
                },
                Word::ToRelay(to, beacon) => {
                    self.relays[to].watch.apply_report(&beacon, now);
                },
                Word::ToHome(to, beacon) => self.take_home(to, &beacon, now),
                Word::ToLoader(to, beacon) => {
                    self.loaders[to].take(&beacon, now);
                },
                Word::AskOfLoader(relay, loader) => {
                    for beacon in in_messages(self.loaders[loader].all(now)) {
                        self.words.push((now + self.pattern.delay, Word::ToRelay(relay, beacon)));
                    }
                },
            }
        }
    }

    /// One of the three relays for a digest: tells all once it has met it at a second end.
    fn take_home(&mut self, home: usize, beacon: &CrashReport, now: Duration) {
        self.relays[home].home.take(beacon, now);
        let mut told = CrashReport::default();
        let digests: Vec<RequestDigest> = beacon
            .ends
            .iter()
            .flat_map(|report| report.requests.iter().map(|ended| ended.identity.digest))
            .collect();
        for digest in digests {
            let mut all = self.relays[home].home.all(now);
            all.ends.retain(|report| report.requests[0].identity.digest == digest);
            let known = self.relays[home].homed.insert(digest, all.ends.len()).unwrap_or(0);
            if all.ends.len() >= 2 && all.ends.len() > known {
                told.ends.extend(all.ends);
            }
        }
        for message in in_messages(told) {
            let bytes = size_of(&message);
            for to in 0..self.relays.len() {
                self.send(home, Word::ToRelay(to, message.clone()), bytes, now);
            }
        }
    }

    fn run_of(&self, place: usize) -> ReplicaRun {
        ReplicaRun { replica: format!("i-{place}"), born: Some(self.places[place].run) }
    }

    /// A replica ends with all that runs there.
    fn end_place(&mut self, place: usize, now: Duration) {
        let run = self.run_of(place);
        let running = std::mem::take(&mut self.running);
        let (hit, left) = running.into_iter().partition(|running| running.place == place);
        self.running = left;
        let hit: Vec<Running> = hit;
        for broken in hit {
            let relay = broken.relay;
            for abort in broken.answer_breaks(now) {
                if self.relays[relay].watch.record_abort(&run, abort, now) {
                    self.confirms.push_back((now + CONFIRM_TIME, relay, run.clone()));
                }
            }
            if let RunKind::Innocent { tries } = broken.kind {
                self.send_innocent(broken.identity, broken.parts, tries + 1, now);
            }
        }
        self.places[place].run += self.places.len() as u64;
        self.places[place].back_at = now + RESTART_TIME;
    }

    fn end_runs(&mut self, now: Duration) {
        loop {
            let fatal = |running: &Running| matches!(running.kind, RunKind::Fatal(_));
            let Some(at) = self.running.iter().position(|running| running.until <= now) else {
                return;
            };
            if !fatal(&self.running[at]) {
                let done = self.running.swap_remove(at);
                self.relays[done.relay].watch.record_success(done.identity, now);
                continue;
            }
            let place = self.running[at].place;
            let there: Vec<usize> = self
                .running
                .iter()
                .filter(|running| running.place == place && running.until <= now)
                .filter_map(|running| match running.kind {
                    RunKind::Fatal(number) => Some(number),
                    RunKind::Innocent { .. } => None,
                })
                .collect();
            self.end_place(place, now);
            let numbers: std::collections::BTreeSet<usize> = there.into_iter().collect();
            for number in numbers {
                let count = &mut self.fatal[number];
                count.ends += 1;
                if count.ends == if self.pattern.by_part { COUNTED_PART_ENDS } else { MOST_ENDS } {
                    count.third_at = Some(now);
                }
            }
        }
    }

    fn confirm(&mut self, now: Duration) {
        while self.confirms.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, relay, run)) = self.confirms.pop_front() else {
                return;
            };
            self.relays[relay].watch.confirm_exit(&run, now);
        }
    }

    fn free_place(&mut self, now: Duration) -> Option<usize> {
        let free: Vec<usize> =
            (0..self.places.len()).filter(|place| self.places[*place].back_at <= now).collect();
        (!free.is_empty()).then(|| free[self.draws.below(free.len())])
    }

    fn send_innocents(&mut self, now: Duration) {
        let expected = self.pattern.innocents as f64 * STEP.as_secs_f64();
        let count = expected.floor() as usize + usize::from(self.draws.next() < expected.fract());
        for _ in 0..count {
            self.bodies += 1;
            // One of eight asks what many others ask as well.
            let body = if self.bodies.is_multiple_of(8) { 0 } else { self.bodies };
            self.result.innocents += 1;
            let identity = identity("innocent", body, self.bodies % 500);
            let mut parts = self.parts(1000 + self.bodies / SHARING);
            if self.pattern.was_sound && Self::second(now) < 5 {
                parts = self.parts(self.bodies % 20 + 100);
            }
            self.send_innocent(identity, parts, 0, now);
        }
    }

    /// Returns the parts of a prompt that has this part besides the first one.
    fn parts(&self, part: u64) -> Vec<RequestIdentity> {
        match self.pattern.by_part {
            true => [FIRST_PART, part].map(|part| part_identity("m", part)).to_vec(),
            false => Vec::new(),
        }
    }

    fn is_rejected(
        &mut self,
        relay: usize,
        identity: RequestIdentity,
        parts: &[RequestIdentity],
        now: Duration,
    ) -> bool {
        let watch = &mut self.relays[relay].watch;
        let suspects = parts.iter().copied().chain([identity]);
        let fatal: Vec<RequestIdentity> =
            suspects.filter(|suspect| watch.cause(*suspect, now).is_some()).collect();
        for suspect in &fatal {
            watch.note_refused(*suspect, now);
        }
        !fatal.is_empty()
    }

    /// Records which answers began, and which of them survived that.
    fn record_parts(&mut self, now: Duration) {
        for running in &mut self.running {
            let Some(at) = running.begins_at else {
                continue;
            };
            let watch = &mut self.relays[running.relay].watch;
            if now >= at && now < at + STEP {
                watch.record_start(&running.parts, now);
            }
            if now >= at + PROVED_TIME && now < at + PROVED_TIME + STEP {
                watch.record_survival(&running.parts, at);
            }
            if now >= at + RUN_SURVIVAL_TIME.max(PROVED_TIME) {
                watch.record_run_survival(running.identity, at, now);
                running.begins_at = None;
            }
        }
    }

    fn send_innocent(
        &mut self,
        identity: RequestIdentity,
        parts: Vec<RequestIdentity>,
        tries: u32,
        now: Duration,
    ) {
        if tries >= INNOCENT_TRIES {
            return;
        }
        let relay = self.draws.below(self.relays.len());
        if self.is_frozen(relay, now) {
            return;
        }
        if self.is_rejected(relay, identity, &parts, now) {
            self.result.refused += 1;
            return;
        }
        let Some(place) = self.free_place(now) else {
            return;
        };
        let kind = RunKind::Innocent { tries };
        let (begins_at, until) = (Some(now + BEGIN_TIME), now + RUN_TIME);
        let is_headless = false;
        self.running.push(Running {
            identity,
            parts,
            begins_at,
            relay,
            place,
            until,
            kind,
            is_headless,
        });
    }

    fn send_fatal(&mut self, now: Duration) {
        if self.pattern.was_sound && Self::second(now) < 5 {
            return;
        }
        for number in 0..self.fatal.len() {
            if now < self.fatal[number].next {
                continue;
            }
            self.fatal[number].next = now + self.pattern.pause;
            for _ in 0..self.pattern.copies {
                self.send_one_fatal(number, now);
            }
        }
    }

    fn send_one_fatal(&mut self, number: usize, now: Duration) {
        self.bodies += 1;
        let relay = self.draws.below(self.relays.len());
        let caller = if self.pattern.moves { self.bodies } else { 7 };
        let body = match self.way {
            TellingWay::ById => self.bodies,
            _ if self.pattern.by_part => self.bodies,
            _ => number as u64,
        };
        let identity = identity("fatal", body, caller);
        if self.is_frozen(relay, now) {
            return;
        }
        let parts = self.parts(100 + number as u64);
        if self.is_rejected(relay, identity, &parts, now) {
            return;
        }
        let Some(place) = self.free_place(now) else {
            return;
        };
        let relay_state = &self.relays[relay];
        let calm_since = relay_state.started.max(relay_state.frozen_until);
        let is_in_touch = now >= calm_since + CONTACT_TIME;
        let count = &mut self.fatal[number];
        if let Some(third) = count.third_at {
            count.sends += 1;
            count.counted += usize::from(is_in_touch && now >= third + CONTACT_TIME);
        }
        let (until, kind) = (now + FATAL_TIME, RunKind::Fatal(number));
        let begins_at = Some(now);
        let is_headless = self.pattern.headless > 0.0 && self.draws.next() < self.pattern.headless;
        self.running.push(Running {
            identity,
            parts,
            begins_at,
            relay,
            place,
            until,
            kind,
            is_headless,
        });
    }

    fn tell(&mut self, now: Duration) {
        for relay in 0..self.relays.len() {
            if self.is_frozen(relay, now) {
                continue;
            }
            let is_beacon = now >= self.relays[relay].last_beacon + BEACON_INTERVAL;
            if is_beacon {
                self.relays[relay].last_beacon = now;
                self.relays[relay].watch.tick(now);
            }
            if !is_beacon && self.way == TellingWay::WithBeacons {
                continue;
            }
            for message in self.relays[relay].watch.tell(is_beacon, now) {
                self.tell_one(relay, &message, now);
            }
        }
    }

    fn tell_one(&mut self, relay: usize, message: &CrashReport, now: Duration) {
        let bytes = size_of(message);
        match self.way {
            TellingWay::Alone => {},
            TellingWay::ByDigest => self.tell_homes(relay, message, now),
            TellingWay::AtOnce | TellingWay::WithBeacons | TellingWay::ById => {
                for to in (0..self.relays.len()).filter(|to| *to != relay) {
                    self.send(relay, Word::ToRelay(to, message.clone()), bytes, now);
                }
                if self.way == TellingWay::WithBeacons {
                    return;
                }
                for keeper in 0..KEEPERS {
                    let place = message.ends.first().map_or(0, |report| report.end as usize);
                    let loader = (place.wrapping_add(keeper)) % self.loaders.len();
                    self.send(relay, Word::ToLoader(loader, message.clone()), bytes, now);
                }
            },
        }
    }

    fn tell_homes(&mut self, relay: usize, message: &CrashReport, now: Duration) {
        for report in &message.ends {
            for ended in &report.requests {
                let mut one = report.clone();
                one.requests = vec![*ended];
                let beacon = CrashReport { ends: vec![one], good: Vec::new() };
                let bytes = size_of(&beacon);
                let first =
                    quillcove_core::rendezvous::weight("home", &ended.identity.digest.to_string());
                for place in 0..3.min(self.relays.len()) {
                    let home = (first as usize).wrapping_add(place) % self.relays.len();
                    self.send(relay, Word::ToHome(home, beacon.clone()), bytes, now);
                }
            }
        }
        if !message.good.is_empty() {
            let good = CrashReport { ends: Vec::new(), good: message.good.clone() };
            for to in 0..self.relays.len() {
                self.send(relay, Word::ToRelay(to, good.clone()), size_of(&good), now);
            }
        }
    }

    fn end(mut self) -> CrashResult {
        let relay_seconds = self.relays.len() as f64 * LENGTH.as_secs_f64();
        self.result.messages /= relay_seconds;
        self.result.bytes /= relay_seconds;
        self.result.counted = self.fatal.iter().map(|count| count.counted).max().unwrap_or(0);
        self.result.sends = self.fatal.iter().map(|count| count.sends).max().unwrap_or(0);
        let seconds = self.relays.iter().flat_map(|relay| relay.sent.values().copied());
        self.result.worst_bytes = seconds.max().unwrap_or(0);
        self.result
    }
}

fn size_of(beacon: &CrashReport) -> usize {
    postcard::to_stdvec(beacon).map_or(0, |bytes| bytes.len())
}
