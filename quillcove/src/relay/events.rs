//! Splits a stream of events into whole ones.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event that are held back until it is whole.
const EVENT_LIMIT: usize = 1 << 20;

/// An event of a stream is longer than [`EVENT_LIMIT`].
#[derive(Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Collects bytes and gives whole events back.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    /// Bytes of `held` already searched for an end.
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes as they arrived; gives all events that are whole now, in one piece.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        self.held.extend_from_slice(bytes);
        let end = self.last_end();
        if let Some(end) = end {
            self.searched = 0;
            return Ok(Some(self.held.split_to(end).freeze()));
        }
        self.searched = self.held.len().saturating_sub(3);
        match self.held.len() > EVENT_LIMIT {
            true => Err(EventTooLong),
            false => Ok(None),
        }
    }

    /// Where the last whole event ends: after an empty line.
    fn last_end(&self) -> Option<usize> {
        let bytes = &self.held[self.searched..];
        let newlines = bytes.iter().enumerate().rev().filter(|(_, byte)| **byte == b'\n');
        for (place, _) in newlines {
            let before = &bytes[..place];
            let is_empty_line = before.ends_with(b"\n") || before.ends_with(b"\n\r");
            if is_empty_line {
                return Some(self.searched + place + 1);
            }
        }
        None
    }

    /// Tells whether part of an event is held back.
    pub fn holds_part(&self) -> bool {
        !self.held.is_empty()
    }

    /// Drops the part of an event that is held back.
    pub fn clear(&mut self) {
        self.held.clear();
        self.searched = 0;
    }
}

/// Id of the last event among whole ones; `None` when none of them has an id.
pub fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_string())
}
