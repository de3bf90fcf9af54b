//! Memory of a request body that arrives or is kept.

use memmap2::{MmapMut, MmapOptions};

/// Size up to which a body lies in the heap. Larger ones have a mapping of their own, whose memory goes
/// back to the system with them: on the heap, buffers that grow to different sizes leave gaps that the
/// next ones don't fit into.
pub(super) const HEAP_LIMIT_BYTES: usize = 65_536;
/// First buffer of a body of unknown size: what one read of a connection brings.
const FIRST_BUFFER_BYTES: usize = 16_384;
/// Steps in which a mapped body takes room.
const MAPPED_STEP_BYTES: usize = 65_536;

/// Content of a body.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    storage: Storage,
    /// Memory that the content may take before it needs more room.
    room_bytes: usize,
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapped { map: MmapMut, length_bytes: usize },
}

impl Storage {
    /// Returns the size of a body that fits.
    fn capacity_bytes(&self) -> usize {
        match self {
            Storage::Heap(_) => HEAP_LIMIT_BYTES,
            Storage::Mapped { map, .. } => map.len(),
        }
    }
}

impl BodyBuffer {
    pub(super) fn empty() -> BodyBuffer {
        BodyBuffer { storage: Storage::Heap(Vec::new()), room_bytes: 0 }
    }

    pub(super) fn content(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(content) => content,
            Storage::Mapped { map, length_bytes } => &map[..*length_bytes],
        }
    }

    /// Returns the room that the buffer needs in addition before `more_bytes` are added to a body of an
    /// announced size, or of at most `size_limit_bytes`.
    pub(super) fn missing_room_bytes(
        &self,
        more_bytes: usize,
        announced_bytes: Option<usize>,
        size_limit_bytes: usize,
    ) -> usize {
        let needed = self.content().len() + more_bytes;
        if needed <= self.room_bytes {
            return 0;
        }
        let most = announced_bytes.unwrap_or(size_limit_bytes);
        let room = match announced_bytes {
            // A client that announces a large body need not send it.
            Some(announced) if announced <= HEAP_LIMIT_BYTES => announced,
            _ if needed <= HEAP_LIMIT_BYTES => {
                (self.room_bytes * 2).clamp(FIRST_BUFFER_BYTES, HEAP_LIMIT_BYTES)
            }
            _ => needed.next_multiple_of(MAPPED_STEP_BYTES),
        };
        room.min(most).max(needed) - self.room_bytes
    }

    /// Adds bytes to a body of at most `most_bytes`, for which the buffer takes further room.
    ///
    /// # Errors
    /// Returns an error if the system has no memory for them.
    pub(super) fn add(
        &mut self,
        bytes: &[u8],
        missing_room_bytes: usize,
        most_bytes: usize,
    ) -> std::io::Result<()> {
        self.room_bytes += missing_room_bytes;
        let content = self.content();
        let (length_bytes, needed_bytes) = (content.len(), content.len() + bytes.len());
        if needed_bytes > self.storage.capacity_bytes() {
            // A mapping of the size that the body may have would count in full where the address space is
            // limited or memory isn't overcommitted, and other allocations would fail.
            let size_bytes = needed_bytes.next_power_of_two().min(most_bytes).max(needed_bytes);
            let mut map = MmapOptions::new().len(size_bytes).map_anon()?;
            map[..length_bytes].copy_from_slice(content);
            self.storage = Storage::Mapped { map, length_bytes };
        }
        match &mut self.storage {
            Storage::Heap(content) => {
                content.try_reserve_exact(self.room_bytes.saturating_sub(content.len()))?;
                content.extend_from_slice(bytes);
            }
            Storage::Mapped { map, length_bytes } => {
                map[*length_bytes..*length_bytes + bytes.len()].copy_from_slice(bytes);
                *length_bytes += bytes.len();
            }
        }
        Ok(())
    }

    /// Gives back what the content doesn't need. Returns the room that it keeps.
    pub(super) fn shrink(&mut self) -> usize {
        if let Storage::Heap(content) = &mut self.storage {
            content.shrink_to_fit();
        }
        self.room_bytes = self.content().len();
        self.room_bytes
    }
}
