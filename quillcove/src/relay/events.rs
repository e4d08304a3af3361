//! Splits a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event of a stream is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Buffers received bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
    /// Number of bytes of `buffered` already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes; returns all events that are complete now as one buffer, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// When an incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        self.buffered.extend_from_slice(bytes);
        let end = self.complete_len();
        if let Some(end) = end {
            self.searched = 0;
            return Ok(Some(self.buffered.split_to(end).freeze()));
        }
        self.searched = self.buffered.len().saturating_sub(3);
        match self.buffered.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(None),
        }
    }

    /// Returns the offset after the last complete event, which ends with an empty line.
    fn complete_len(&self) -> Option<usize> {
        let bytes = &self.buffered[self.searched..];
        let newlines = bytes.iter().enumerate().rev().filter(|(_, byte)| **byte == b'\n');
        for (index, _) in newlines {
            let before = &bytes[..index];
            let is_empty_line = before.ends_with(b"\n") || before.ends_with(b"\n\r");
            if is_empty_line {
                return Some(self.searched + index + 1);
            }
        }
        None
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Discards the incomplete event.
    pub fn discard_incomplete(&mut self) {
        self.buffered.clear();
        self.searched = 0;
    }
}

/// Returns the id of the last event that has one; `None` if no event has an id.
pub fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_string())
}
