//! How true the times were that refused callers were told.
//!
//! A caller whose adapter comes too late is told when it will be there. Each such time is kept until
//! the adapter has come, so that the difference can be seen.

use std::collections::BTreeMap;
use std::time::Duration;

use super::beacon::AdapterKey;
use crate::ids::MonoTime;

/// Time after the told one at which an adapter that has not come counts as missed. Callers that come
/// back wait for no longer than the longest aim of the users' sheets.
const MISSED_AFTER: Duration = Duration::from_secs(2);

/// Times that may be open; beyond these no more are kept.
const OPEN_LIMIT: usize = 4096;

/// How a told time ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromiseFate {
    /// The adapter was there so long before the told time.
    Early(Duration),
    /// The adapter came so long after the told time.
    Late(Duration),
    /// The adapter did not come in a useful time.
    Missed,
}

/// A told time that is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedPromise {
    /// Which adapter.
    pub key: AdapterKey,
    /// What became of it.
    pub fate: PromiseFate,
}

/// The times that callers of one relay were told.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::beacon::AdapterKey;
/// use quillcove_core::relay::promise::{PromiseBook, PromiseFate};
///
/// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
/// let mut book = PromiseBook::default();
/// book.tell(&key, Duration::from_secs(3));
/// book.note_held(|held| *held == key, Duration::from_secs(4));
/// assert_eq!(book.take_ended()[0].fate, PromiseFate::Late(Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PromiseBook {
    open: BTreeMap<AdapterKey, MonoTime>,
    ended: Vec<EndedPromise>,
}

impl PromiseBook {
    /// Notes that a caller was told when an adapter will be there. Of several times that are open for
    /// one adapter, the first counts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::promise::PromiseBook;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// PromiseBook::default().tell(&key, Duration::from_secs(3));
    /// ```
    pub fn tell(&mut self, key: &AdapterKey, at: MonoTime) {
        if self.open.len() < OPEN_LIMIT {
            self.open.entry(key.clone()).or_insert(at);
        }
    }

    /// Ends the times of adapters that an engine holds now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::promise::PromiseBook;
    ///
    /// PromiseBook::default().note_held(|_| true, Duration::ZERO);
    /// ```
    pub fn note_held(&mut self, is_held: impl Fn(&AdapterKey) -> bool, now: MonoTime) {
        self.end(
            |key, _| is_held(key),
            |told| match now.checked_sub(told) {
                Some(late) => PromiseFate::Late(late),
                None => PromiseFate::Early(told - now),
            },
        );
    }

    /// Ends the times of adapters that have not come.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::promise::PromiseBook;
    ///
    /// PromiseBook::default().tick(Duration::ZERO);
    /// ```
    pub fn tick(&mut self, now: MonoTime) {
        self.end(|_, told| now >= told + MISSED_AFTER, |_| PromiseFate::Missed);
    }

    fn end(
        &mut self,
        is_over: impl Fn(&AdapterKey, MonoTime) -> bool,
        fate: impl Fn(MonoTime) -> PromiseFate,
    ) {
        let ended = &mut self.ended;
        self.open.retain(|key, told| {
            let is_over = is_over(key, *told);
            if is_over {
                ended.push(EndedPromise { key: key.clone(), fate: fate(*told) });
            }
            !is_over
        });
    }

    /// The times that ended since the last call.
    ///
    /// ```
    /// use quillcove_core::relay::promise::PromiseBook;
    ///
    /// assert!(PromiseBook::default().take_ended().is_empty());
    /// ```
    pub fn take_ended(&mut self) -> Vec<EndedPromise> {
        std::mem::take(&mut self.ended)
    }
}
