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

/// Finds the ends of events in the bytes of an event stream.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    line: Line,
    is_within_event: bool,
}

/// What the current line holds so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Line {
    #[default]
    Nothing,
    CarriageReturn,
    Text,
}

impl EventScanner {
    /// Reads bytes up to the end of the next event. Returns their number, or `None` if all of them
    /// were read without such an end.
    pub(crate) fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let end = bytes.iter().position(|byte| self.is_event_end(*byte))?;
        Some(end + 1)
    }

    /// Reads all bytes.
    pub(crate) fn read(&mut self, mut bytes: &[u8]) {
        while let Some(length) = self.next_end(bytes) {
            bytes = &bytes[length..];
        }
    }

    /// Returns whether the bytes read so far stop within an event.
    pub(crate) fn is_within_event(&self) -> bool {
        self.is_within_event
    }

    fn is_event_end(&mut self, byte: u8) -> bool {
        let is_end = byte == b'\n' && self.line != Line::Text;
        self.line = match (byte, self.line) {
            (b'\n', _) => Line::Nothing,
            (b'\r', Line::Nothing) => Line::CarriageReturn,
            _ => Line::Text,
        };
        self.is_within_event = !is_end;
        is_end
    }
}

/// Splits the bytes of an event stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that contain no end of an event.
    scanned_bytes: usize,
    scanner: EventScanner,
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
        self.scanned_bytes = 0;
        Ok(Some(Event { id: event_id(&bytes), bytes }))
    }

    /// Returns whether no incomplete event is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the length of the first event, including the empty line at its end.
    fn event_length(&mut self) -> Option<usize> {
        let unscanned = &self.buffer[self.scanned_bytes..];
        let length = self.scanner.next_end(unscanned);
        self.scanned_bytes += length.unwrap_or(unscanned.len());
        length.map(|_| self.scanned_bytes)
    }
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
