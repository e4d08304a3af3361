//! Parts of prompts under which replicas exit.
//!
//! A part is blamed for the exits since a run with it last survived the begin of its answer. Sound
//! parts that are popular have such runs all the time, so that an exit counts against them only for a
//! moment. Exits within a moment count once, as replicas that are killed together say no more than one.
//! A part is not blamed for exits that a much rarer blamed part explains: the first part of a prompt is
//! at each exit that any of its later parts causes.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::digest::RequestDigest;
use super::record::{CrashRecord, ExitMark, MOMENT, moment_count};
use super::telling::ExitId;
use crate::ids::MonoTime;

/// Moments with exits that are strong evidence after which a part is blamed.
const MIN_MOMENTS: usize = 3;

/// Moments with exits after which a part is blamed if all are weak evidence. All processes may start again once, and
/// learn it anew, before three requests too many reach replicas after the fifth exit.
const MIN_WEAK_MOMENTS: usize = 4;

/// Exits after which a part is blamed at [`MANY_EXITS_MOMENTS`], if no run is known to have survived it. From the fifth
/// exit on, only three more requests with it may reach replicas.
const MANY_EXITS: usize = 5;

/// Moments with [`MANY_EXITS`] exits after which a part is blamed.
const MANY_EXITS_MOMENTS: usize = 2;

/// Length of a moment where two of them are enough: a herd of replicas may be killed over more than one [`MOMENT`].
const LONG_MOMENT: Duration = Duration::from_millis(250);

/// Time after which the older half of the history is dropped.
const HISTORY_TIME: Duration = Duration::from_secs(60);

/// Maximum number of parts in each half of the history; both halves take 0.3 MB.
const MAX_PARTS: usize = 2048;

/// Starts from which on the share of a part is known.
const MIN_STARTS: u32 = 20;

/// Shares below this one count as equal: they are known from few starts.
const MIN_SHARE: f64 = 0.02;

/// A part with this many times the share of a blamed one is not blamed for the same exits.
const EXPLAINED_RATIO: f64 = 1.5;

/// Runs with one part.
#[derive(Clone, Copy, Debug, Default)]
struct PartRuns {
    starts: u32,
    /// Begin of the last run that survived it.
    survived: Option<MonoTime>,
}

/// Runs of one half of the history.
#[derive(Clone, Debug, Default)]
struct HistoryHalf {
    parts: HashMap<RequestDigest, PartRuns>,
    starts: u32,
}

/// Runs by part that this process has seen lately.
#[derive(Clone, Debug, Default)]
pub(super) struct PartHistory {
    current: HistoryHalf,
    previous: HistoryHalf,
    rotated_at: MonoTime,
}

impl PartHistory {
    /// Records that a replica began to answer a prompt with these parts.
    pub fn record_start(&mut self, parts: impl Iterator<Item = RequestDigest>, now: MonoTime) {
        if now.saturating_sub(self.rotated_at) >= HISTORY_TIME {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
        self.current.starts += 1;
        for part in parts {
            self.runs_with(part).starts += 1;
        }
    }

    /// Returns the runs with a part in the current half, which begins anew when it is full.
    fn runs_with(&mut self, part: RequestDigest) -> &mut PartRuns {
        if self.current.parts.len() >= MAX_PARTS && !self.current.parts.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.parts.entry(part).or_default()
    }

    /// Returns the number of parts in both halves.
    pub fn len(&self) -> usize {
        self.current.parts.len() + self.previous.parts.len()
    }

    /// Records that a run with a part, begun at `begun_at`, survived the begin of its answer.
    pub fn record_survival(&mut self, part: RequestDigest, begun_at: MonoTime) {
        let runs = self.runs_with(part);
        runs.survived = runs.survived.max(Some(begun_at));
    }

    /// Returns when the last run with a part that survived began.
    pub fn survived(&self, part: &RequestDigest) -> Option<MonoTime> {
        let of = |half: &HistoryHalf| half.parts.get(part).and_then(|runs| runs.survived);
        of(&self.current).max(of(&self.previous))
    }

    /// Returns the share of the runs that had a part; `None` while too few were seen.
    fn share(&self, part: &RequestDigest) -> Option<f64> {
        let of = |half: &HistoryHalf| half.parts.get(part).map_or(0, |runs| runs.starts);
        let starts = self.current.starts + self.previous.starts;
        let with_part = of(&self.current) + of(&self.previous);
        (starts >= MIN_STARTS).then(|| (f64::from(with_part) / f64::from(starts)).max(MIN_SHARE))
    }
}

/// A part that is blamed, with the exits for which it is.
#[derive(Clone, Debug)]
pub(super) struct BlamedPart {
    pub digest: RequestDigest,
    pub exits: BTreeSet<ExitId>,
    share: Option<f64>,
}

impl BlamedPart {
    /// Returns whether this part is the better explanation of exits that it shares with a part of
    /// the given share.
    fn explains(&self, share: Option<f64>) -> bool {
        let shares = self.share.zip(share);
        shares.is_some_and(|(own, other)| other >= own * EXPLAINED_RATIO)
    }
}

/// Returns the blamed ones among the records of parts, the rarest first.
pub(super) fn blamed_parts<'a>(
    records: impl Iterator<Item = (&'a RequestDigest, &'a CrashRecord)>,
    history: &PartHistory,
) -> Vec<BlamedPart> {
    let is_suspected = |(_, record): &(_, &CrashRecord)| may_be_blamed(record);
    let mut suspects: Vec<(Option<f64>, &RequestDigest, &CrashRecord)> = records
        .filter(is_suspected)
        .map(|(digest, record)| (history.share(digest), digest, record))
        .collect();
    let share_of = |share: Option<f64>| share.unwrap_or_default();
    suspects.sort_by(|(one, one_digest, _), (other, other_digest, _)| {
        share_of(*one).total_cmp(&share_of(*other)).then(one_digest.cmp(other_digest))
    });
    let mut blamed: Vec<BlamedPart> = Vec::new();
    for (share, digest, record) in suspects {
        let better = blamed.iter().filter(|part| part.explains(share));
        let explained: BTreeSet<ExitId> = better.flat_map(|part| &part.exits).copied().collect();
        let left: Vec<&ExitMark> =
            record.marks.iter().filter(|mark| !explained.contains(&mark.exit)).collect();
        if is_enough(&left, history.survived(digest).is_some()) {
            let exits = left.iter().map(|mark| mark.exit).collect();
            blamed.push(BlamedPart { digest: *digest, exits, share });
        }
    }
    blamed
}

/// Returns whether exits are enough to blame a part. A part that was sound lately needs more of them, as replicas that
/// are killed in two moments have a popular part at most of their exits.
fn is_enough(marks: &[&ExitMark], was_sound: bool) -> bool {
    let is_many = marks.len() >= MANY_EXITS && !was_sound;
    if is_many && moment_count(exit_times(marks), LONG_MOMENT) >= MANY_EXITS_MOMENTS {
        return true;
    }
    let strong: Vec<&ExitMark> = marks.iter().copied().filter(|mark| !mark.is_weak()).collect();
    let strong_moments = moment_count(exit_times(&strong), MOMENT);
    let weak_moments = moment_count(exit_times(marks), MOMENT).saturating_sub(strong_moments);
    strong_moments * MIN_WEAK_MOMENTS + weak_moments * MIN_MOMENTS >= MIN_MOMENTS * MIN_WEAK_MOMENTS
}

fn exit_times(marks: &[&ExitMark]) -> Vec<MonoTime> {
    marks.iter().map(|mark| mark.at).collect()
}

/// Returns whether a part has enough exits to be blamed, if no other part explains them.
pub(super) fn may_be_blamed(record: &CrashRecord) -> bool {
    record.marks.len() >= MIN_MOMENTS
}
