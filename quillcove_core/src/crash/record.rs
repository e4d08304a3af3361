//! Crash record of one request that was in flight at replica exits.

use std::collections::BTreeSet;
use std::time::Duration;

use super::digest::{CallerDigest, SuspectKind};
use super::telling::ExitId;
use crate::ids::MonoTime;

/// Maximum number of marks of one request: many times what makes it fatal, so that requests with
/// few exits can be distinguished from those with many.
const MAX_MARKS: usize = 24;

/// Maximum number of callers per request whose last success is stored.
const MAX_SUCCESSES: usize = 8;

/// Time within which several exits count as one moment. Exits of replicas that are killed together are noticed within
/// some milliseconds.
pub(super) const MOMENT: Duration = Duration::from_millis(150);

/// A replica exit with one caller's request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ExitMark {
    pub exit: ExitId,
    pub caller: CallerDigest,
    /// Whether another cause of the exit is likely, by the state of the attempt.
    pub has_other_cause: bool,
    /// Whether the request was known to have run well for some caller before.
    pub ran_well: bool,
    pub at: MonoTime,
}

impl ExitMark {
    /// Returns whether another cause of the exit is likely. A request that makes replicas exit as soon as it runs has
    /// no response yet, and does not run well.
    pub fn is_weak(&self) -> bool {
        self.has_other_cause || self.ran_well
    }
}

/// Returns the number of moments of this length among the times of exits.
pub(super) fn moment_count(mut times: Vec<MonoTime>, length: Duration) -> usize {
    times.sort_unstable();
    let mut count = 0;
    let mut began = None;
    for at in times {
        if began.is_none_or(|began| at > began + length) {
            count += 1;
            began = Some(at);
        }
    }
    count
}

/// How strongly a request is suspected. Of two requests with equally many exits, the one whose
/// responses had not begun is suspected more: a request that makes a replica exit as soon as it
/// runs has no response yet, while most requests that are there by chance have. So a stream that
/// was in flight beside a fatal request at each of its exits keeps its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct SuspectWeight {
    pub exits: usize,
    pub exits_before_response: usize,
}

/// One request, of all its callers.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashRecord {
    pub marks: Vec<ExitMark>,
    /// Last success by caller.
    successes: Vec<(CallerDigest, MonoTime)>,
    /// Whether the request succeeded for some caller. If so, exits count against single callers only.
    pub runs_well: bool,
    /// When the request was last seen here or reported by another process.
    pub seen_at: MonoTime,
    /// When all its exits were last reported to other processes.
    pub reported_at: MonoTime,
}

impl CrashRecord {
    /// Adds an exit, or stronger evidence of a known one. Returns `false` if that is known already, or if the exit is not
    /// later than a success of the caller. Of too many exits the oldest is dropped, as delays count from the last one.
    pub fn add(&mut self, mark: ExitMark) -> bool {
        let is_cleared =
            |(caller, at): &(CallerDigest, MonoTime)| *caller == mark.caller && *at >= mark.at;
        if self.successes.iter().any(is_cleared) {
            return false;
        }
        let is_same =
            |known: &&mut ExitMark| known.exit == mark.exit && known.caller == mark.caller;
        if let Some(known) = self.marks.iter_mut().find(is_same) {
            let is_stronger = known.is_weak() && !mark.is_weak();
            if is_stronger {
                *known = ExitMark { at: known.at, ..mark };
            }
            return is_stronger;
        }
        if self.marks.len() >= MAX_MARKS {
            let oldest = (0..self.marks.len()).min_by_key(|index| self.marks[*index].at);
            match oldest.filter(|index| self.marks[*index].at < mark.at) {
                Some(index) => self.marks.remove(index),
                None => return false,
            };
        }
        self.marks.push(mark);
        true
    }

    /// Records a success, which clears the caller's exits up to then. Returns whether that changes
    /// what is suspected: a popular request succeeds many times a second.
    pub fn clear_caller(&mut self, caller: CallerDigest, at: MonoTime) -> bool {
        if self.successes.iter().any(|(known, known_at)| *known == caller && *known_at >= at) {
            return false;
        }
        let (ran_well, marks) = (self.runs_well, self.marks.len());
        self.runs_well = true;
        self.successes.retain(|(known, _)| *known != caller);
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.remove(0);
        }
        self.successes.push((caller, at));
        self.marks.retain(|mark| mark.caller != caller || mark.at > at);
        !ran_well || self.marks.len() < marks
    }

    /// Returns what the record is about.
    pub fn kind(&self) -> SuspectKind {
        self.marks.first().map_or(SuspectKind::Request, |mark| SuspectKind::of(mark.caller))
    }

    /// Returns the time since the last exit.
    pub fn since_last_exit(&self, now: MonoTime) -> Duration {
        let last = self.marks.iter().map(|mark| mark.at).max();
        last.map_or(Duration::ZERO, |last| now.saturating_sub(last))
    }

    /// Returns the exits at which requests of one caller were in flight, or of all callers.
    pub fn exits_of(&self, caller: Option<CallerDigest>) -> BTreeSet<ExitId> {
        let of = |mark: &&ExitMark| caller.is_none_or(|caller| mark.caller == caller);
        self.marks.iter().filter(of).map(|mark| mark.exit).collect()
    }

    pub fn callers(&self) -> BTreeSet<CallerDigest> {
        self.marks.iter().map(|mark| mark.caller).collect()
    }

    /// Returns how many of these exits count against one caller's requests, or those of all callers. Exits that are weak
    /// evidence count once for each moment, and not beside other exits of the moment: replicas that are killed together
    /// say no more than one.
    pub fn evidence(&self, caller: Option<CallerDigest>, exits: &BTreeSet<ExitId>) -> usize {
        let of = |mark: &&ExitMark| {
            caller.is_none_or(|caller| mark.caller == caller) && exits.contains(&mark.exit)
        };
        let (weak, strong): (Vec<&ExitMark>, Vec<&ExitMark>) =
            self.marks.iter().filter(of).partition(|mark| mark.is_weak());
        let is_counted = |weak: &&ExitMark| {
            let is_same =
                |mark: &&ExitMark| mark.exit == weak.exit || mark.at.abs_diff(weak.at) <= MOMENT;
            strong.iter().any(is_same)
        };
        let weak = weak.into_iter().filter(|mark| !is_counted(mark));
        let moments = moment_count(weak.map(|mark| mark.at).collect(), MOMENT);
        let strong: BTreeSet<ExitId> = strong.iter().map(|mark| mark.exit).collect();
        strong.len() + moments
    }

    /// Returns how strongly the request is suspected. If it succeeded for some caller,
    /// only the exits of the caller that has most of them are counted.
    pub fn weight(&self) -> SuspectWeight {
        match self.runs_well {
            false => self.weight_of(None),
            true => {
                let of = |caller| self.weight_of(Some(caller));
                self.callers().into_iter().map(of).max().unwrap_or_default()
            },
        }
    }

    fn weight_of(&self, caller: Option<CallerDigest>) -> SuspectWeight {
        let of = |mark: &&ExitMark| caller.is_none_or(|caller| mark.caller == caller);
        let before_response = self.marks.iter().filter(of).filter(|mark| !mark.has_other_cause);
        let exits_before_response =
            before_response.map(|mark| mark.exit).collect::<BTreeSet<ExitId>>().len();
        SuspectWeight { exits: self.exits_of(caller).len(), exits_before_response }
    }
}
