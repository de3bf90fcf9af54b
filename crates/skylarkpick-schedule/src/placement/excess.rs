//! Requests that processes have under way at brittle targets beyond their places, such as those that
//! they sent before the targets became brittle.
//!
//! Each process tells the others of its own. They leave as many of their places unused, so that all
//! processes together send a target no more than it can run.

use skylarkpick_interface::{EntryId, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// Time after which a process tells others again of what it has under way.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which what another process told counts. It is told again meanwhile.
const LIFETIME: Duration = Duration::from_millis(2_500);

/// One start of a target.
type TargetStart = (TargetId, u64);

/// Excesses of this process and of others.
#[derive(Clone, Debug, Default)]
pub(super) struct Excesses {
    others: BTreeMap<TargetStart, BTreeMap<EntryId, Told>>,
    /// What others were told of this process.
    own: BTreeMap<TargetStart, Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    under_way: u32,
    at: Duration,
}

impl Told {
    fn is_live(&self, now: Duration) -> bool {
        now < self.at + LIFETIME
    }
}

impl Excesses {
    /// Keeps how many requests another process has under way at a target; 0 ends its excess. Returns
    /// whether one has begun or ended.
    pub(super) fn note(
        &mut self,
        target: &str,
        started_at_ms: u64,
        process: &str,
        under_way: u32,
        now: Duration,
    ) -> bool {
        let start = (target.to_string(), started_at_ms);
        let processes = self.others.entry(start).or_default();
        let before = match under_way {
            0 => processes.remove(process),
            _ => processes.insert(process.to_string(), Told { under_way, at: now }),
        };
        let was_live = before.is_some_and(|told| told.is_live(now));
        self.others.retain(|_, processes| {
            processes.retain(|_, told| told.is_live(now));
            !processes.is_empty()
        });
        was_live != (under_way > 0)
    }

    /// Returns whether no process is known to have more requests under way anywhere than places.
    pub(super) fn is_empty(&self) -> bool {
        self.others.is_empty() && self.own.is_empty()
    }

    /// Returns how many requests of this process others were told of at a target.
    pub(super) fn own_at(&self, target: &str, started_at_ms: u64) -> Option<u32> {
        self.own.get(&(target.to_string(), started_at_ms)).map(|told| told.under_way)
    }

    /// Returns how many requests other processes have under way at a target, if they are more than their
    /// places.
    pub(super) fn of(
        &self,
        target: &str,
        started_at_ms: u64,
        now: Duration,
    ) -> BTreeMap<EntryId, u32> {
        if self.others.is_empty() {
            return BTreeMap::new();
        }
        let processes = self.others.get(&(target.to_string(), started_at_ms));
        let live = processes.into_iter().flatten().filter(|(_, told)| told.is_live(now));
        live.map(|(process, told)| (process.clone(), told.under_way)).collect()
    }

    /// Returns those of this process that others don't know, or are to be told again; 0 for those that
    /// have ended.
    pub(super) fn take_to_tell(
        &mut self,
        own: BTreeMap<TargetStart, u32>,
        now: Duration,
    ) -> Vec<(TargetId, u64, u32)> {
        let ended: Vec<TargetStart> =
            self.own.keys().filter(|start| !own.contains_key(*start)).cloned().collect();
        let mut untold = Vec::new();
        for start in ended {
            self.own.remove(&start);
            untold.push((start.0, start.1, 0));
        }
        for (start, under_way) in own {
            let is_told =
                |told: &Told| told.under_way == under_way && now < told.at + REPEAT_INTERVAL;
            if self.own.get(&start).is_some_and(is_told) {
                continue;
            }
            self.own.insert(start.clone(), Told { under_way, at: now });
            untold.push((start.0, start.1, under_way));
        }
        untold
    }
}
