//! Intervals at which a relay sends heartbeats to other relays.
//!
//! Relays of the same hall get heartbeats often, as some of them read the store on behalf of the
//! others. Relays of other halls get them seldom: they only need to know that the sender is alive.
//! Each group has a fixed rate of messages that does not grow with the fleet, so with more relays
//! the interval for each becomes longer. A heartbeat states when the next one follows, so that a
//! receiver knows how long it is valid without knowing the size of the fleet.

use std::time::Duration;

/// Shortest interval between two heartbeats to a relay.
pub const SHORTEST_INTERVAL: Duration = Duration::from_millis(500);

/// Heartbeats per second to all relays of the own hall, and to all relays of other halls.
const NEAR_HEARTBEATS_PER_SECOND: f64 = 150.0;
const FAR_HEARTBEATS_PER_SECOND: f64 = 40.0;

/// Intervals without a heartbeat after which a relay counts as gone, with a margin for network
/// delay.
const MISSED_HEARTBEATS: f64 = 3.2;

/// Intervals without a heartbeat after which a relay no longer counts as recently heard from.
const RECENT_HEARTBEATS: u32 = 2;

/// Whether another relay is in the same hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayDistance {
    /// In the same hall.
    Near,
    /// In another hall.
    Far,
}

impl RelayDistance {
    /// Returns the interval between two heartbeats to each of `relays` relays.
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
            Self::Near => NEAR_HEARTBEATS_PER_SECOND,
            Self::Far => FAR_HEARTBEATS_PER_SECOND,
        };
        SHORTEST_INTERVAL.max(Duration::from_secs_f64(relays as f64 / rate))
    }

    /// Returns how many of `relays` relays get a heartbeat in one batch, with a batch each
    /// [`SHORTEST_INTERVAL`].
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

/// Returns the time for which a relay counts as alive after a heartbeat that stated `interval`.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::telling;
///
/// assert_eq!(telling::lifetime(Duration::from_millis(500)), Duration::from_millis(1600));
/// ```
pub fn lifetime(interval: Duration) -> Duration {
    interval.max(SHORTEST_INTERVAL).mul_f64(MISSED_HEARTBEATS)
}

/// Returns the time for which a relay counts as recently heard from after a heartbeat that stated
/// `interval`.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::telling;
///
/// assert_eq!(telling::recent_time(Duration::from_millis(500)), Duration::from_secs(1));
/// ```
pub fn recent_time(interval: Duration) -> Duration {
    interval.max(SHORTEST_INTERVAL) * RECENT_HEARTBEATS
}

/// Iterates over a list in batches, starting over at its end.
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
    /// Returns the next `count` elements, or all elements if the list has fewer.
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
