//! How long a request waits at an engine until its first event.
//!
//! Engines read prompts one after another, so what a request waits for is the tokens before it and
//! its own. A relay knows the tokens that it sent itself; of the other relays' it knows how many
//! requests wait, from the engine's report, and takes them to be like its own. The time a token
//! takes is learnt from the first events that came.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::MonoTime;

/// Time of a token until one has been seen, in seconds: a prompt of a thousand tokens in 40 ms.
const FIRST_TOKEN_TIME: f64 = 0.000_04;

/// Tokens of a prompt until one has been seen.
const FIRST_PROMPT: f64 = 1000.0;

/// Share of what was learnt that each newly read prompt replaces.
const LEARN_SHARE: f64 = 0.08;

/// Tokens of the whole service's experience that an engine's own is mixed with, so that a few
/// prompts do not decide what is thought of an engine.
const COMMON_TOKENS: f64 = 30_000.0;

/// Least tokens that a prompt counts for: a step of the engine takes as long as reading some.
const LEAST_TOKENS: f64 = 200.0;

/// A prompt as it goes to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadingPrompt {
    /// Its tokens.
    pub tokens: u32,
    /// Its rank at the engine; lower ones go first.
    pub rank: u8,
}

/// Names one attempt whose prompt is being read.
pub type ReadingNumber = u64;

/// Time and tokens of prompts that were read, older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadingPace {
    seconds: f64,
    tokens: f64,
}

impl ReadingPace {
    /// Takes the time from sending a prompt until its first event, and the tokens before and of it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::reading::ReadingPace;
    ///
    /// let mut pace = ReadingPace::default();
    /// pace.note(Duration::from_millis(100), 1000.0);
    /// assert_eq!(pace.token_time(), 0.0001);
    /// ```
    pub fn note(&mut self, took: Duration, tokens: f64) {
        self.seconds += took.as_secs_f64() - self.seconds * LEARN_SHARE;
        self.tokens += tokens - self.tokens * LEARN_SHARE;
    }

    /// Time of a token, in seconds.
    ///
    /// ```
    /// assert!(quillcove_core::relay::reading::ReadingPace::default().token_time() > 0.0);
    /// ```
    pub fn token_time(&self) -> f64 {
        if self.tokens > 0.0 { self.seconds / self.tokens } else { FIRST_TOKEN_TIME }
    }

    /// Time of a token at an engine with this pace in a service with the common one.
    fn mixed_with(&self, common: &Self) -> f64 {
        let tokens = self.tokens + COMMON_TOKENS;
        (self.seconds + common.token_time() * COMMON_TOKENS) / tokens
    }
}

/// What a service's engines have in common.
#[derive(Clone, Copy, Debug)]
pub struct ReadingNorm {
    pace: ReadingPace,
    /// Mean tokens of a prompt.
    prompt: f64,
}

impl Default for ReadingNorm {
    fn default() -> Self {
        Self { pace: ReadingPace::default(), prompt: FIRST_PROMPT }
    }
}

impl ReadingNorm {
    /// Takes the size of a prompt that is sent.
    ///
    /// ```
    /// use quillcove_core::relay::reading::ReadingNorm;
    ///
    /// ReadingNorm::default().note_prompt(500);
    /// ```
    pub fn note_prompt(&mut self, tokens: u32) {
        self.prompt += (f64::from(tokens) - self.prompt) * LEARN_SHARE;
    }
}

/// An attempt whose first event has not come.
#[derive(Clone, Copy, Debug)]
struct ReadingAttempt {
    tokens: f64,
    /// Rank at the engine; lower ones go first.
    rank: u8,
    /// Tokens that the engine had before it, as it was thought then.
    before: f64,
    sent: MonoTime,
}

/// The prompts that one engine has to read.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::reading::{ReadingNorm, ReadingPrompt, ReadingQueue};
///
/// let prompt = ReadingPrompt { tokens: 1000, rank: 0 };
/// let (mut queue, mut norm) = (ReadingQueue::default(), ReadingNorm::default());
/// let alone = queue.time_to_read(prompt, &norm);
/// queue.begin(1, prompt, &norm, Duration::ZERO);
/// assert!(queue.time_to_read(prompt, &norm) > alone);
/// queue.end(1, Some(Duration::from_millis(300)), &mut norm);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReadingQueue {
    attempts: BTreeMap<ReadingNumber, ReadingAttempt>,
    /// Requests of other relays that waited at the last report.
    others: u32,
    pace: ReadingPace,
}

impl ReadingQueue {
    /// Notes that a prompt is sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::reading::{ReadingNorm, ReadingPrompt, ReadingQueue};
    ///
    /// let prompt = ReadingPrompt { tokens: 5000, rank: 0 };
    /// ReadingQueue::default().begin(1, prompt, &ReadingNorm::default(), Duration::ZERO);
    /// ```
    pub fn begin(
        &mut self,
        number: ReadingNumber,
        prompt: ReadingPrompt,
        norm: &ReadingNorm,
        now: MonoTime,
    ) {
        let before = self.tokens_before(prompt.rank, norm);
        let tokens = f64::from(prompt.tokens).max(LEAST_TOKENS);
        let attempt = ReadingAttempt { tokens, rank: prompt.rank, before, sent: now };
        self.attempts.insert(number, attempt);
    }

    /// Notes that an attempt has its first event at this time, or has ended without one.
    ///
    /// ```
    /// use quillcove_core::relay::reading::{ReadingNorm, ReadingQueue};
    ///
    /// ReadingQueue::default().end(1, None, &mut ReadingNorm::default());
    /// ```
    pub fn end(
        &mut self,
        number: ReadingNumber,
        read_at: Option<MonoTime>,
        norm: &mut ReadingNorm,
    ) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        if let Some(read_at) = read_at {
            let took = read_at.saturating_sub(attempt.sent);
            let tokens = attempt.before + attempt.tokens;
            self.pace.note(took, tokens);
            norm.pace.note(took, tokens);
        }
    }

    /// Takes how many requests wait at the engine, those of this relay included.
    ///
    /// ```
    /// use quillcove_core::relay::reading::ReadingQueue;
    ///
    /// ReadingQueue::default().report(3);
    /// ```
    pub fn report(&mut self, waiting: u32) {
        self.others = waiting.saturating_sub(self.attempts.len() as u32);
    }

    /// Tokens that the engine reads before those of a prompt with this rank that is sent now. The
    /// ranks of other relays' prompts are not known; they are taken to go first.
    fn tokens_before(&self, rank: u8, norm: &ReadingNorm) -> f64 {
        let ahead = self.attempts.values().filter(|attempt| attempt.rank <= rank);
        let own: f64 = ahead.map(|attempt| attempt.tokens).sum();
        own + f64::from(self.others) * norm.prompt
    }

    /// Time until the engine has read what it has now.
    ///
    /// ```
    /// use quillcove_core::relay::reading::{ReadingNorm, ReadingQueue};
    ///
    /// let time = ReadingQueue::default().backlog(&ReadingNorm::default());
    /// assert_eq!(time, std::time::Duration::ZERO);
    /// ```
    pub fn backlog(&self, norm: &ReadingNorm) -> Duration {
        Duration::from_secs_f64(
            self.tokens_before(u8::MAX, norm) * self.pace.mixed_with(&norm.pace),
        )
    }

    /// Time until the first event of a request with this prompt that is sent now.
    ///
    /// ```
    /// use quillcove_core::relay::reading::{ReadingNorm, ReadingPrompt, ReadingQueue};
    ///
    /// let prompt = ReadingPrompt { tokens: 1000, rank: 0 };
    /// let time = ReadingQueue::default().time_to_read(prompt, &ReadingNorm::default());
    /// assert!(time > std::time::Duration::ZERO);
    /// ```
    pub fn time_to_read(&self, prompt: ReadingPrompt, norm: &ReadingNorm) -> Duration {
        let own = f64::from(prompt.tokens).max(LEAST_TOKENS);
        let pace = self.pace.mixed_with(&norm.pace);
        Duration::from_secs_f64((self.tokens_before(prompt.rank, norm) + own) * pace)
    }
}
