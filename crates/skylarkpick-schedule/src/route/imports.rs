//! Imports in progress, one for each prefix and runner.

use skylarkpick_interface::PrefixKey;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// An import to a runner that is in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ActiveImport {
    /// Tokens in the imported copy.
    pub(super) tokens: u64,
    /// When the import is expected to end.
    pub(super) ends_at: Instant,
    /// Requests that wait for the import.
    pub(super) waiters: u32,
}

/// Imports in progress, by runner (as its index in the router's table) and prefix.
#[derive(Debug, Default)]
pub(super) struct Imports {
    active: HashMap<(usize, PrefixKey), ActiveImport>,
}

/// Time after its expected end at which an import whose end was never observed is dropped.
const OVERDUE: Duration = Duration::from_secs(30);

impl Imports {
    pub(super) fn get(&self, runner: usize, prefix_key: PrefixKey) -> Option<&ActiveImport> {
        self.active.get(&(runner, prefix_key))
    }

    /// Adds a waiter to an import, and starts the import if it isn't in progress.
    pub(super) fn add_waiter(
        &mut self,
        runner: usize,
        prefix_key: PrefixKey,
        tokens: u64,
        ends_at: Instant,
    ) {
        let new = ActiveImport { tokens, ends_at, waiters: 0 };
        self.active.entry((runner, prefix_key)).or_insert(new).waiters += 1;
    }

    pub(super) fn end(&mut self, runner: usize, prefix_key: PrefixKey) -> Option<ActiveImport> {
        self.active.remove(&(runner, prefix_key))
    }

    /// Removes a waiter from an import, and drops the import if it was the last one.
    pub(super) fn remove_waiter(&mut self, runner: usize, prefix_key: PrefixKey) {
        if let Some(import) = self.active.get_mut(&(runner, prefix_key)) {
            import.waiters = import.waiters.saturating_sub(1);
            if import.waiters == 0 {
                self.active.remove(&(runner, prefix_key));
            }
        }
    }

    pub(super) fn drop_overdue(&mut self, now: Instant) {
        self.active.retain(|_, import| now < import.ends_at + OVERDUE);
    }

    pub(super) fn clear(&mut self) {
        self.active.clear();
    }

    pub(super) fn waiters(&self) -> u32 {
        self.active.values().map(|import| import.waiters).sum()
    }

    pub(super) fn len(&self) -> usize {
        self.active.len()
    }
}
