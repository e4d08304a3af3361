//! Divides the engines of a large service into cells, each used by a part of the relays.
//!
//! The messages between relays and loaders grow with relays times engines. A service with many engines is
//! therefore divided into cells, first by hall and then each hall into halves, and a relay exchanges
//! heartbeats with the loaders of its own cell only, so that the messages that one process receives do not
//! grow with the fleet. Engines and relays are assigned to cells by a hash, so that all processes with the
//! same listing of engines agree without messages. A process with another listing for a moment only sends to
//! a few loaders too many or too few.

use std::collections::BTreeMap;

use crate::ids::HallName;
use crate::rendezvous;

/// Number of engines above which a cell is divided. A relay receives heartbeats from each of them a few
/// times a second.
const MAX_CELL_ENGINES: usize = 96;

/// Number of engines in a cell below which two cells are merged. Between this and half of
/// [`MAX_CELL_ENGINES`] a division stays as it is, so that a few engines joining or leaving do not move
/// others to another cell.
const MIN_CELL_ENGINES: usize = 32;

/// Number of engines from which a hall has cells of its own. The engines of smaller halls are assigned to
/// those of the larger ones.
const MIN_HALL_ENGINES: usize = 24;

/// A cell of a service, identified by its group of halls and the part of that group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCell {
    hall: HallName,
    part: u64,
}

/// The division of the engines of one service into cells.
///
/// ```
/// use std::collections::BTreeMap;
/// use quillcove_core::relay::cell::CellPlan;
///
/// let mut plan = CellPlan::default();
/// plan.update(&BTreeMap::from([("hall-a".to_string(), 46)]));
/// assert_eq!(plan.count(), 1);
/// plan.update(&BTreeMap::from([("hall-a".to_string(), 120), ("hall-b".to_string(), 120)]));
/// assert_eq!(plan.count(), 4);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellPlan {
    /// Number of parts of each group of halls, a power of two; empty while all engines form one cell.
    parts: BTreeMap<HallName, u64>,
}

impl CellPlan {
    /// Updates the division from the number of engines in each hall; returns whether it has changed.
    ///
    /// See [`CellPlan`] for an example.
    pub fn update(&mut self, engines: &BTreeMap<HallName, usize>) -> bool {
        let previous = self.parts.clone();
        let total: usize = engines.values().sum();
        let is_divided = match self.parts.is_empty() {
            true => total > MAX_CELL_ENGINES,
            false => total >= MIN_CELL_ENGINES * 2,
        };
        self.parts = match is_divided {
            true => self.divide(engines, total),
            false => BTreeMap::new(),
        };
        self.parts != previous
    }

    fn divide(&self, engines: &BTreeMap<HallName, usize>, total: usize) -> BTreeMap<HallName, u64> {
        let is_large = |(_, count): &(&HallName, &usize)| **count >= MIN_HALL_ENGINES;
        let large: Vec<(&HallName, usize)> =
            engines.iter().filter(is_large).map(|(hall, count)| (hall, *count)).collect();
        if large.len() < 2 {
            // With fewer than two large halls, all halls form one group, which has an empty name.
            let hall = HallName::new();
            let parts = self.part_count(&hall, total);
            return BTreeMap::from([(hall, parts)]);
        }
        let large_total: usize = large.iter().map(|(_, count)| count).sum();
        let small_hall_share = (total - large_total) / large.len();
        let group = |(hall, count): (&HallName, usize)| {
            (hall.clone(), self.part_count(hall, count + small_hall_share))
        };
        large.into_iter().map(group).collect()
    }

    /// Returns the number of parts of a group with `engines` engines: the current one, unless its cells
    /// have become too large or too small.
    fn part_count(&self, hall: &HallName, engines: usize) -> u64 {
        let mut parts = self.parts.get(hall).copied().unwrap_or(1);
        while engines > MAX_CELL_ENGINES * parts as usize {
            parts *= 2;
        }
        while parts > 1 && engines < MIN_CELL_ENGINES * parts as usize {
            parts /= 2;
        }
        parts
    }

    /// Returns the cell of an engine or a relay, by its hall and its name.
    ///
    /// ```
    /// use quillcove_core::relay::cell::CellPlan;
    ///
    /// let plan = CellPlan::default();
    /// assert_eq!(plan.cell_of("hall-a", "relay-1"), plan.cell_of("hall-b", "relay-2"));
    /// ```
    pub fn cell_of(&self, hall: &str, name: &str) -> EngineCell {
        let group = match self.parts.contains_key(hall) {
            true => Some(hall),
            false => rendezvous::first(name, self.parts.keys().map(String::as_str)),
        };
        let hall = group.unwrap_or_default().to_string();
        let parts = self.parts.get(&hall).copied().unwrap_or(1);
        EngineCell { part: rendezvous::weight("cell", name) % parts, hall }
    }

    /// Returns the number of cells.
    ///
    /// See [`CellPlan`] for an example.
    pub fn count(&self) -> usize {
        self.parts.values().sum::<u64>().max(1) as usize
    }
}
