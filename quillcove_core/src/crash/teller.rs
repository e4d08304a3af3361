//! What a process tells the others of replicas that ended: at once, and again with the next beacons, as
//! messages get lost.

use std::collections::VecDeque;

use super::digest::RequestIdentity;
use super::telling::{CrashBeacon, EndId, EndReport, EndedRequest, GoodReport};
use crate::ids::MonoTime;

/// How often each word is told: once at once, and with the next three beacons. Where three packets of a
/// hundred are lost, one word of a million is missed by a relay, until the next end.
const TOLD_TIMES: u32 = 4;

/// Words that wait to be told at most; past that the oldest goes. A replica ends with a few hundred requests
/// at most.
const MOST_WORDS: usize = 2048;

/// Requests in one message, so that it fits into a datagram: about 28 bytes each, or 46 with an end of its own.
const MOST_IN_MESSAGE: usize = 30;

/// One thing to be told.
#[derive(Clone, Copy, Debug)]
enum CrashWord {
    Ended { end: EndId, ended: EndedRequest },
    Good(RequestIdentity),
}

/// A word and how often it was told.
#[derive(Clone, Copy, Debug)]
struct ToldWord {
    word: CrashWord,
    at: MonoTime,
    told: u32,
}

/// Words of one process.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::teller::CrashTeller;
///
/// assert!(CrashTeller::default().tell(true, Duration::ZERO).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashTeller {
    words: VecDeque<ToldWord>,
}

impl CrashTeller {
    /// Notes that a request was at a replica which ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::teller::CrashTeller;
    /// use quillcove_core::crash::telling::EndedRequest;
    ///
    /// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
    /// let identity = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let mut teller = CrashTeller::default();
    /// let ended = EndedRequest { identity, has_begun: true, runs_well: false };
    /// teller.note_end(7, ended, Duration::ZERO);
    /// assert_eq!(teller.tell(false, Duration::ZERO)[0].ends[0].end, 7);
    /// assert!(teller.tell(false, Duration::ZERO).is_empty());
    /// ```
    pub fn note_end(&mut self, end: EndId, ended: EndedRequest, at: MonoTime) {
        self.push(CrashWord::Ended { end, ended }, at);
    }

    /// Notes that a request which had been suspected ran to a good end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::teller::CrashTeller;
    ///
    /// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
    /// let identity = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let mut teller = CrashTeller::default();
    /// teller.note_good(identity, Duration::ZERO);
    /// assert_eq!(teller.tell(false, Duration::ZERO)[0].good.len(), 1);
    /// ```
    pub fn note_good(&mut self, identity: RequestIdentity, at: MonoTime) {
        self.push(CrashWord::Good(identity), at);
    }

    fn push(&mut self, word: CrashWord, at: MonoTime) {
        if self.words.len() >= MOST_WORDS {
            self.words.pop_front();
        }
        self.words.push_back(ToldWord { word, at, told: 0 });
    }

    /// What is due now, in messages that fit into a datagram.
    ///
    /// See [`CrashTeller::note_end`] for an example.
    pub fn tell(&mut self, is_beacon: bool, now: MonoTime) -> Vec<CrashBeacon> {
        let mut beacon = CrashBeacon::default();
        for told in &mut self.words {
            if told.told > 0 && !is_beacon {
                continue;
            }
            told.told += 1;
            add(&mut beacon, told, now);
        }
        self.words.retain(|word| word.told < TOLD_TIMES);
        in_messages(beacon)
    }
}

fn add(beacon: &mut CrashBeacon, told: &ToldWord, now: MonoTime) {
    let age = now.saturating_sub(told.at);
    match told.word {
        CrashWord::Good(identity) => beacon.good.push(GoodReport { identity, age }),
        CrashWord::Ended { end, ended } => {
            match beacon.ends.last_mut().filter(|last| last.end == end) {
                Some(last) => last.requests.push(ended),
                None => beacon.ends.push(EndReport { end, age, requests: vec![ended] }),
            }
        },
    }
}

/// Splits what is to be told into messages that fit into a datagram each.
///
/// ```
/// use quillcove_core::crash::teller::in_messages;
/// use quillcove_core::crash::telling::CrashBeacon;
///
/// assert!(in_messages(CrashBeacon::default()).is_empty());
/// ```
pub fn in_messages(beacon: CrashBeacon) -> Vec<CrashBeacon> {
    let mut messages = Vec::new();
    let mut message = CrashBeacon::default();
    let mut count = 0;
    for report in beacon.ends {
        for requests in report.requests.chunks(MOST_IN_MESSAGE) {
            if count + requests.len() > MOST_IN_MESSAGE {
                messages.push(std::mem::take(&mut message));
                count = 0;
            }
            count += requests.len();
            let (end, age) = (report.end, report.age);
            message.ends.push(EndReport { end, age, requests: requests.to_vec() });
        }
    }
    for good in beacon.good {
        if count >= MOST_IN_MESSAGE {
            messages.push(std::mem::take(&mut message));
            count = 0;
        }
        count += 1;
        message.good.push(good);
    }
    if !message.is_empty() {
        messages.push(message);
    }
    messages
}
