//! What is known of one request that was at replicas when they ended.

use std::collections::BTreeSet;

use super::digest::CallerDigest;
use super::telling::EndId;
use crate::ids::MonoTime;

/// Ends that are kept of one request: many times what makes it fatal, so that a request with few can be
/// told from one with many.
const MOST_MARKS: usize = 24;

/// Callers of one request whose good ends are kept.
const MOST_GOOD: usize = 8;

/// A replica's end with the request of one caller at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndMark {
    pub end: EndId,
    pub caller: CallerDigest,
    pub at: MonoTime,
}

/// One request, whoever sent it.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestRecord {
    pub marks: Vec<EndMark>,
    /// Last good end by caller.
    good: Vec<(CallerDigest, MonoTime)>,
    /// Whether it ran to a good end for some caller, so that what ends replicas is one caller's only.
    pub runs_well: bool,
    /// When it was last met here or told of.
    pub seen_at: MonoTime,
    /// When all of it was last told to others.
    pub told_at: MonoTime,
}

impl RequestRecord {
    /// Adds an end; `false` when it is known, older than a good end, or one too many.
    pub fn add(&mut self, mark: EndMark) -> bool {
        let is_cleared =
            |(caller, at): &(CallerDigest, MonoTime)| *caller == mark.caller && *at >= mark.at;
        let is_same = |known: &EndMark| known.end == mark.end && known.caller == mark.caller;
        let is_known = self.marks.iter().any(is_same) || self.good.iter().any(is_cleared);
        if is_known || self.marks.len() >= MOST_MARKS {
            return false;
        }
        self.marks.push(mark);
        true
    }

    /// Takes a good end: it clears the caller whose run it was. `false` when it is not news.
    pub fn clear(&mut self, caller: CallerDigest, at: MonoTime) -> bool {
        if self.good.iter().any(|(known, known_at)| *known == caller && *known_at >= at) {
            return false;
        }
        self.runs_well = true;
        self.good.retain(|(known, _)| *known != caller);
        if self.good.len() >= MOST_GOOD {
            self.good.remove(0);
        }
        self.good.push((caller, at));
        self.marks.retain(|mark| mark.caller != caller || mark.at > at);
        true
    }

    /// Ends at which the requests of one caller were, or of all.
    pub fn ends_of(&self, caller: Option<CallerDigest>) -> BTreeSet<EndId> {
        let of = |mark: &&EndMark| caller.is_none_or(|caller| mark.caller == caller);
        self.marks.iter().filter(of).map(|mark| mark.end).collect()
    }

    pub fn callers(&self) -> BTreeSet<CallerDigest> {
        self.marks.iter().map(|mark| mark.caller).collect()
    }

    /// How strongly it is suspected: its ends, and where it runs well for others only those of the caller
    /// who has most.
    pub fn weight(&self) -> usize {
        match self.runs_well {
            false => self.ends_of(None).len(),
            true => {
                let of = |caller| self.ends_of(Some(caller)).len();
                self.callers().into_iter().map(of).max().unwrap_or(0)
            },
        }
    }
}
