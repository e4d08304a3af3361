//! How often a relay tells the others that it is there.
//!
//! A relay hears the others of its hall often, as one of them reads the store for it, and those of other halls seldom:
//! of them it only has to know that they are there. Both go by a rate of messages that does not grow with the fleet; with
//! more relays each is told less often. A message says when the next one follows, so that a receiver knows for how long
//! it holds, whatever it knows of the fleet.

use std::time::Duration;

/// Shortest time between two words to a relay.
pub const SHORTEST_INTERVAL: Duration = Duration::from_millis(500);

/// Words a second to the relays of the own hall, and to all others.
const NEAR_RATE: f64 = 150.0;
const FAR_RATE: f64 = 40.0;

/// Words of a relay that have to be missing until it counts as gone, with a margin for their way.
const MISSED_WORDS: f64 = 3.2;

/// Words that have to be missing until a relay is not taken to be heard at present.
const RECENT_WORDS: u32 = 2;

/// Where another relay is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayDistance {
    /// In the same hall.
    Near,
    /// In another one.
    Far,
}

impl RelayDistance {
    /// Time between two words to each of so many relays.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::telling::RelayDistance;
    ///
    /// assert_eq!(RelayDistance::Far.interval(16), Duration::from_millis(500));
    /// assert_eq!(RelayDistance::Far.interval(320), Duration::from_secs(8));
    /// ```
    pub fn interval(self, relays: usize) -> Duration {
        let rate = match self {
            Self::Near => NEAR_RATE,
            Self::Far => FAR_RATE,
        };
        SHORTEST_INTERVAL.max(Duration::from_secs_f64(relays as f64 / rate))
    }

    /// How many of so many relays are told at once, with a call each [`SHORTEST_INTERVAL`].
    ///
    /// ```
    /// use quillcove_core::relay::telling::RelayDistance;
    ///
    /// assert_eq!(RelayDistance::Far.at_once(16), 16);
    /// assert_eq!(RelayDistance::Far.at_once(320), 20);
    /// ```
    pub fn at_once(self, relays: usize) -> usize {
        let share = SHORTEST_INTERVAL.as_secs_f64() / self.interval(relays).as_secs_f64();
        (relays as f64 * share).ceil() as usize
    }
}

/// Time for which a relay counts as there after a word that named this interval.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::telling;
///
/// assert_eq!(telling::lifetime(Duration::from_millis(500)), Duration::from_millis(1600));
/// ```
pub fn lifetime(interval: Duration) -> Duration {
    interval.max(SHORTEST_INTERVAL).mul_f64(MISSED_WORDS)
}

/// Time for which a relay counts as heard at present.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::telling;
///
/// assert_eq!(telling::recent_time(Duration::from_millis(500)), Duration::from_secs(1));
/// ```
pub fn recent_time(interval: Duration) -> Duration {
    interval.max(SHORTEST_INTERVAL) * RECENT_WORDS
}

/// Goes round a list, some at a time.
///
/// ```
/// use quillcove_core::relay::telling::ListRound;
///
/// let mut round = ListRound::default();
/// assert_eq!(round.take(&[1, 2, 3], 2), [1, 2]);
/// assert_eq!(round.take(&[1, 2, 3], 2), [3, 1]);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ListRound {
    next: usize,
}

impl ListRound {
    /// The next ones of a list, at most all of it.
    ///
    /// See [`ListRound`] for an example.
    pub fn take<T: Copy>(&mut self, list: &[T], count: usize) -> Vec<T> {
        if list.is_empty() {
            return Vec::new();
        }
        let count = count.min(list.len());
        let start = self.next % list.len();
        self.next = start + count;
        list.iter().cycle().skip(start).take(count).copied().collect()
    }
}
