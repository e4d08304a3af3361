//! Splits a server-sent event stream into complete events, within the process's account of memory.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use quillcove_core::memory::{MemoryAccount, MemoryClass, MemoryFull, MemoryPermit};

use crate::web::held::with_permit;

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size of the first buffer of an incomplete event, in bytes; it is doubled while the event grows.
const FIRST_BUFFER_BYTES: usize = 2 << 10;

/// Largest part of a stream, in bytes, that is forwarded without a permit of its own: the memory of the request covers it.
const UNCOUNTED_BYTES: usize = 8 << 10;

/// Why an incomplete event is not buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventFault {
    /// It is longer than [`MAX_EVENT_BYTES`].
    #[error("event exceeds the size limit")]
    TooLong,
    /// No memory is left for it.
    #[error(transparent)]
    Memory(#[from] MemoryFull),
}

/// Buffers received bytes and returns complete events.
#[derive(Debug)]
pub struct EventSplitter {
    account: Arc<MemoryAccount>,
    /// Begin of an incomplete event.
    buffered: BytesMut,
    /// What the buffer takes, by its capacity.
    permit: MemoryPermit,
    /// Received bytes for which no memory was left.
    pending: Bytes,
}

impl EventSplitter {
    pub fn new(account: Arc<MemoryAccount>) -> Self {
        let permit = account.empty_permit(MemoryClass::Events);
        Self { account, buffered: BytesMut::new(), permit, pending: Bytes::new() }
    }

    /// Appends received bytes; returns all events that are complete now as one buffer, or `None` if there is none. A large
    /// buffer counts as held until its last copy is dropped.
    ///
    /// # Errors
    ///
    /// If an incomplete event is too long, or no memory is left for it. In the latter case the bytes are kept in the
    /// connection's buffer, for [`EventSplitter::push_pending`].
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventFault> {
        let Some(end) = self.complete_len(&bytes) else {
            self.append_or_keep(bytes)?;
            return match self.buffered.len() > MAX_EVENT_BYTES {
                true => Err(EventFault::TooLong),
                false => Ok(None),
            };
        };
        let events = match self.buffered.is_empty() {
            true => self.hold_copy(&bytes[..end]),
            false => {
                if let Err(full) = self.append(&bytes[..end]) {
                    self.pending = bytes;
                    return Err(full.into());
                }
                self.take_buffered()
            },
        };
        // The complete events go on; the rest is appended before the next read.
        let _ = self.append_or_keep(bytes.slice(end..));
        Ok(Some(events))
    }

    /// Returns whether there are received bytes for which no memory was left.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Appends the bytes for which no memory was left.
    ///
    /// # Errors
    ///
    /// The same as of [`EventSplitter::push`].
    pub fn push_pending(&mut self) -> Result<Option<Bytes>, EventFault> {
        let pending = std::mem::take(&mut self.pending);
        self.push(pending)
    }

    fn append_or_keep(&mut self, bytes: Bytes) -> Result<(), MemoryFull> {
        self.append(&bytes).inspect_err(|_| self.pending = bytes)
    }

    /// Returns how many of the received bytes belong to complete events. An event ends with an empty line.
    fn complete_len(&self, bytes: &[u8]) -> Option<usize> {
        let byte_before = |index: usize, distance: usize| match index.checked_sub(distance) {
            Some(at) => bytes.get(at).copied(),
            None => {
                let at = (self.buffered.len() + index).checked_sub(distance)?;
                self.buffered.get(at).copied()
            },
        };
        let is_end = |index: usize| match byte_before(index, 1) {
            Some(b'\n') => true,
            Some(b'\r') => byte_before(index, 2) == Some(b'\n'),
            _ => false,
        };
        let mut newlines = (0..bytes.len()).rev().filter(|index| bytes[*index] == b'\n');
        newlines.find(|index| is_end(*index)).map(|index| index + 1)
    }

    /// Adds bytes to the buffer.
    fn append(&mut self, bytes: &[u8]) -> Result<(), MemoryFull> {
        let length = self.buffered.len() + bytes.len();
        if length > self.buffered.capacity() {
            let capacity = length.next_power_of_two().max(FIRST_BUFFER_BYTES);
            self.permit.grow_to(capacity)?;
            let mut larger = BytesMut::with_capacity(capacity);
            larger.extend_from_slice(&self.buffered);
            self.buffered = larger;
        }
        self.buffered.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns a copy of events that are complete as received: a piece of a few bytes would keep the buffer of the
    /// connection. Without memory left they are forwarded all the same, as the connection's buffer bounds them.
    fn hold_copy(&self, events: &[u8]) -> Bytes {
        let copy = Bytes::copy_from_slice(events);
        if events.len() <= UNCOUNTED_BYTES {
            return copy;
        }
        match self.account.reserve(MemoryClass::Events, events.len()) {
            Ok(permit) => with_permit(copy, permit),
            Err(MemoryFull(_)) => copy,
        }
    }

    /// Returns the buffered events with their permit, and begins a new buffer.
    fn take_buffered(&mut self) -> Bytes {
        let permit =
            std::mem::replace(&mut self.permit, self.account.empty_permit(MemoryClass::Events));
        let events = std::mem::take(&mut self.buffered).freeze();
        match events.len() <= UNCOUNTED_BYTES {
            true => events,
            false => with_permit(events, permit),
        }
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffered.is_empty() || self.has_pending()
    }

    /// Discards the incomplete event, with its memory.
    pub fn discard_incomplete(&mut self) {
        *self = Self::new(self.account.clone());
    }
}

/// Returns the id of the last event that has one; `None` if no event has an id.
pub fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_string())
}
