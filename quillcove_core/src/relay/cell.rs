//! Which engines a relay works with in a large fleet.
//!
//! What relays and loaders tell each other grows with relays times engines. A service with many engines is therefore
//! divided into cells, by hall first and each hall into halves, and a relay exchanges words with the loaders of its own
//! cell only: what a process hears stays the same however large the fleet is. Engines and relays are placed by a hash,
//! so that all processes that know the same list agree with no message; a process that knows another list for a moment
//! only tells a few loaders too many or too few.

use std::collections::BTreeMap;

use crate::ids::HallName;
use crate::rendezvous;

/// Engines of a cell beyond which it is divided. A relay hears each of them a few times a second.
const MOST_ENGINES: usize = 96;

/// Engines of a cell below which two of them are one again. Between this and the half of [`MOST_ENGINES`] a division
/// stays as it is, so that some engines that come and go do not move others.
const FEWEST_ENGINES: usize = 32;

/// Engines from which on a hall is divided from the others; those of smaller halls go with one of the larger ones.
const HALL_ENGINES: usize = 24;

/// One cell of a service: its group of halls, and the part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCell {
    hall: HallName,
    part: u64,
}

/// How the engines of one service are divided into cells.
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
    /// Parts of each group of halls, a power of two; empty as long as all engines are one cell.
    parts: BTreeMap<HallName, u64>,
}

impl CellPlan {
    /// Takes how many engines each hall has; tells whether the division is another one now.
    ///
    /// See [`CellPlan`] for an example.
    pub fn update(&mut self, engines: &BTreeMap<HallName, usize>) -> bool {
        let before = self.parts.clone();
        let total: usize = engines.values().sum();
        let is_divided = match self.parts.is_empty() {
            true => total > MOST_ENGINES,
            false => total >= FEWEST_ENGINES * 2,
        };
        self.parts = match is_divided {
            true => self.divide(engines, total),
            false => BTreeMap::new(),
        };
        self.parts != before
    }

    fn divide(&self, engines: &BTreeMap<HallName, usize>, total: usize) -> BTreeMap<HallName, u64> {
        let is_large = |(_, count): &(&HallName, &usize)| **count >= HALL_ENGINES;
        let large: Vec<(&HallName, usize)> =
            engines.iter().filter(is_large).map(|(hall, count)| (hall, *count)).collect();
        if large.len() < 2 {
            // Halls that can not stand alone are one group, named after none of them.
            let hall = HallName::new();
            let parts = self.parts_of(&hall, total);
            return BTreeMap::from([(hall, parts)]);
        }
        let of_large: usize = large.iter().map(|(_, count)| count).sum();
        let of_others = (total - of_large) / large.len();
        let group = |(hall, count): (&HallName, usize)| {
            (hall.clone(), self.parts_of(hall, count + of_others))
        };
        large.into_iter().map(group).collect()
    }

    /// Parts of a group with so many engines: as before, unless its cells are too large or too small by now.
    fn parts_of(&self, hall: &HallName, engines: usize) -> u64 {
        let mut parts = self.parts.get(hall).copied().unwrap_or(1);
        while engines > MOST_ENGINES * parts as usize {
            parts *= 2;
        }
        while parts > 1 && engines < FEWEST_ENGINES * parts as usize {
            parts /= 2;
        }
        parts
    }

    /// The cell of an engine or a relay, by its hall and its own name.
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

    /// How many cells there are.
    ///
    /// See [`CellPlan`] for an example.
    pub fn count(&self) -> usize {
        self.parts.values().sum::<u64>().max(1) as usize
    }
}
