//! Bounds the bytes that all buffered bodies of a process hold together.

use bytes::Bytes;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that buffered bodies may hold together. Clones share them.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    free_bytes: Arc<AtomicUsize>,
}

/// Part of a budget that one body holds. Dropping it gives the bytes back.
#[derive(Debug)]
pub struct BufferShare {
    budget: BufferBudget,
    /// Bytes that the share may still take without the budget.
    allowance_bytes: usize,
    held_bytes: usize,
}

impl BufferBudget {
    /// Creates a budget of this many bytes.
    ///
    /// ```
    /// let mut share = skylarkpick_http::BufferBudget::open(10).share();
    /// assert!(share.grow(10));
    /// assert!(!share.grow(1));
    /// ```
    pub fn open(total_bytes: usize) -> BufferBudget {
        BufferBudget { free_bytes: Arc::new(AtomicUsize::new(total_bytes)) }
    }

    /// Returns a share that holds nothing yet.
    pub fn share(&self) -> BufferShare {
        self.share_after(0)
    }

    /// Returns a share whose first bytes don't count, so that short bodies always find room.
    ///
    /// ```
    /// let budget = skylarkpick_http::BufferBudget::open(0);
    /// let mut share = budget.share_after(10);
    /// assert!(share.grow(10));
    /// assert!(!share.grow(1));
    /// ```
    pub fn share_after(&self, allowance_bytes: usize) -> BufferShare {
        BufferShare { budget: self.clone(), allowance_bytes, held_bytes: 0 }
    }
}

impl BufferShare {
    /// Takes more bytes from the budget. Returns false if they aren't free; then nothing changes.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let free_of_charge = bytes.min(self.allowance_bytes);
        let charged = bytes - free_of_charge;
        let free_bytes = &self.budget.free_bytes;
        let taken = free_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| free.checked_sub(charged));
        if taken.is_ok() {
            self.allowance_bytes -= free_of_charge;
            self.held_bytes += charged;
        }
        taken.is_ok()
    }

    /// Returns `content` so that the share is given back with its last copy.
    ///
    /// ```
    /// let budget = skylarkpick_http::BufferBudget::open(10);
    /// let mut share = budget.share();
    /// assert!(share.grow(10));
    /// let content = share.hold("0123456789".into());
    /// assert!(!budget.share().grow(1));
    /// drop(content);
    /// assert!(budget.share().grow(1));
    /// ```
    pub fn hold(self, content: Bytes) -> Bytes {
        Bytes::from_owner(HeldContent { content, _share: self })
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.free_bytes.fetch_add(self.held_bytes, Ordering::AcqRel);
    }
}

struct HeldContent {
    content: Bytes,
    _share: BufferShare,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
