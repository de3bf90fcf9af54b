//! Cuts a stream of events into whole events.

use bytes::{Bytes, BytesMut};
use skylarkpick_interface::EventId;

/// Largest event that is waited for.
const EVENT_SIZE_LIMIT_BYTES: usize = 262_144;

/// A whole event with its number, where it has one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Event {
    pub(crate) id: Option<EventId>,
    pub(crate) bytes: Bytes,
}

/// Cuts a stream of events into whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes of the stream; gives false once an event is larger than is waited for.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_SIZE_LIMIT_BYTES
    }

    /// The next whole event.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let length = event_length(&self.buffer)?;
        let bytes = self.buffer.split_to(length).freeze();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Whether the stream stands between two events.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Length of the first event, its empty line included.
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
