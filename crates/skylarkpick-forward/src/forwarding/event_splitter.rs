//! Splits the bytes of an event stream into events.

use bytes::{Bytes, BytesMut};
use skylarkpick_interface::EventId;

/// Maximum size of an event. Events carry a few tokens; with a read buffer each, the incomplete events
/// of 360 connections take at most 24 MB.
const EVENT_SIZE_LIMIT_BYTES: usize = 32_768;

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event is longer than {EVENT_SIZE_LIMIT_BYTES} bytes")]
pub(crate) struct EventTooLong;

/// Complete event, with its ID if it has one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Event {
    pub(crate) id: Option<EventId>,
    pub(crate) bytes: Bytes,
}

/// Splits the bytes of an event stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that contain no end of an event.
    scanned_bytes: usize,
    /// Start of the line at which scanning stopped.
    line_start: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    ///
    /// # Errors
    /// Returns an error if the next event is too long, whether it is complete or not.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        let length = self.event_length();
        if length.unwrap_or(self.buffer.len()) > EVENT_SIZE_LIMIT_BYTES {
            return Err(EventTooLong);
        }
        let Some(length) = length else { return Ok(None) };
        let bytes = self.buffer.split_to(length).freeze();
        (self.scanned_bytes, self.line_start) = (0, 0);
        Ok(Some(Event { id: event_id(&bytes), bytes }))
    }

    /// Returns whether no incomplete event is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the length of the first event, including the empty line at its end.
    fn event_length(&mut self) -> Option<usize> {
        while let Some(offset) = self.buffer[self.scanned_bytes..].iter().position(is_line_end) {
            let line_end = self.scanned_bytes + offset;
            let line = &self.buffer[self.line_start..line_end];
            self.scanned_bytes = line_end + 1;
            if line.is_empty() || line == b"\r" {
                return Some(self.scanned_bytes);
            }
            self.line_start = self.scanned_bytes;
        }
        self.scanned_bytes = self.buffer.len();
        None
    }
}

fn is_line_end(byte: &u8) -> bool {
    *byte == b'\n'
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
