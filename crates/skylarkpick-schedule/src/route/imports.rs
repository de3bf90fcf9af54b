//! Imports under way, one for each prefix and runner.

use skylarkpick_interface::PrefixKey;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// An import to a runner under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ImportUnderWay {
    /// Tokens that it brings.
    pub(super) tokens: u64,
    /// When it is expected to end.
    pub(super) ends_at: Instant,
    /// Requests that wait for it.
    pub(super) waiters: u32,
}

/// Imports under way by runner (its place in the table) and prefix.
#[derive(Debug, Default)]
pub(super) struct Imports {
    under_way: HashMap<(usize, PrefixKey), ImportUnderWay>,
}

/// Time past its expected end after which an import that nobody reported is forgotten.
const OVERDUE: Duration = Duration::from_secs(30);

impl Imports {
    pub(super) fn get(&self, runner: usize, prefix_key: PrefixKey) -> Option<&ImportUnderWay> {
        self.under_way.get(&(runner, prefix_key))
    }

    /// Adds a waiter, beginning the import if there is none.
    pub(super) fn join(
        &mut self,
        runner: usize,
        prefix_key: PrefixKey,
        tokens: u64,
        ends_at: Instant,
    ) {
        let fresh = ImportUnderWay { tokens, ends_at, waiters: 0 };
        self.under_way.entry((runner, prefix_key)).or_insert(fresh).waiters += 1;
    }

    pub(super) fn end(&mut self, runner: usize, prefix_key: PrefixKey) -> Option<ImportUnderWay> {
        self.under_way.remove(&(runner, prefix_key))
    }

    /// Takes a waiter away; without any, the import is forgotten.
    pub(super) fn leave(&mut self, runner: usize, prefix_key: PrefixKey) {
        if let Some(import) = self.under_way.get_mut(&(runner, prefix_key)) {
            import.waiters = import.waiters.saturating_sub(1);
            if import.waiters == 0 {
                self.under_way.remove(&(runner, prefix_key));
            }
        }
    }

    pub(super) fn forget_overdue(&mut self, now: Instant) {
        self.under_way.retain(|_, import| now < import.ends_at + OVERDUE);
    }

    pub(super) fn clear(&mut self) {
        self.under_way.clear();
    }

    pub(super) fn waiters(&self) -> u32 {
        self.under_way.values().map(|import| import.waiters).sum()
    }

    pub(super) fn len(&self) -> usize {
        self.under_way.len()
    }
}
