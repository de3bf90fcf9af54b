//! Splits the bytes of an event stream into events.

use bytes::{Bytes, BytesMut};
use skylarkpick_interface::EventId;

/// Maximum number of buffered bytes of an incomplete event.
const EVENT_SIZE_LIMIT_BYTES: usize = 262_144;

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
}

impl EventSplitter {
    /// Appends bytes of the stream. Returns false if an event exceeds the size limit.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_SIZE_LIMIT_BYTES
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let length = event_length(&self.buffer)?;
        let bytes = self.buffer.split_to(length).freeze();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Whether no incomplete event is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the length of the first event, including the empty line at its end.
fn event_length(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
