//! The end of a shard's log, and its objects that are due for deletion.

use crate::{events::Time, settings::ClaimSettings};
use skylarkpick_interface::StoreRevision;
use std::{collections::VecDeque, time::Duration};

/// An object of the log that has not been deleted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogObject {
    pub(crate) number: u64,
    pub(crate) version: StoreRevision,
    first_seen_at: Duration,
    written_at_ms: u64,
}

/// The end of a shard's log.
#[derive(Debug, Default)]
pub(crate) struct Tail {
    /// Number after the last object that was applied.
    pub(crate) next_number: u64,
    /// Number after the last listed object; every lower number is or was in use.
    pub(crate) listed_end: u64,
    /// Time at which `next_number`, or a lower number, was known never to have been used.
    confirmed_at: Duration,
    /// Objects that this process wrote, oldest first.
    own: VecDeque<LogObject>,
    /// Objects of other processes, oldest first.
    others: VecDeque<LogObject>,
}

impl Tail {
    /// Records that the next number had never been used at `at`.
    pub(crate) fn confirm(&mut self, at: Duration) {
        self.confirmed_at = at;
    }

    /// Returns whether the log was read to its end at `at` or later.
    pub(crate) fn was_confirmed_since(&self, at: Duration) -> bool {
        self.confirmed_at >= at
    }

    /// Returns whether appending at the tail is safe. Past the window, the next number may have
    /// been used and deleted, so that creating its object would not prove that a claim came first.
    pub(crate) fn is_fresh(&self, now: Duration, settings: &ClaimSettings) -> bool {
        now <= self.confirmed_at + settings.tail_window()
    }

    /// Returns whether the tail should be confirmed by a read before an append, which keeps it
    /// fresh.
    pub(crate) fn needs_confirmation(&self, now: Duration, settings: &ClaimSettings) -> bool {
        now > self.confirmed_at + settings.tail_window() / 2
    }

    /// Moves past the next number, whose object has `version`.
    pub(crate) fn advance(&mut self, version: StoreRevision, is_own: bool, now: Time) {
        let object = LogObject {
            number: self.next_number,
            version,
            first_seen_at: now.since_boot,
            written_at_ms: now.wall_ms,
        };
        if is_own {
            self.own.push_back(object)
        } else {
            self.others.push_back(object)
        }
        self.next_number += 1;
    }

    /// Resets the tail, so that a new listing can start.
    pub(crate) fn reset(&mut self) {
        *self = Tail::default();
    }

    /// Returns when the next object is due for deletion.
    pub(crate) fn next_expiry(&self, settings: &ClaimSettings) -> Option<Duration> {
        let own =
            self.own.front().map(|object| object.expires_at(settings.retention / 4, settings));
        let other =
            self.others.front().map(|object| object.expires_at(settings.retention, settings));
        own.into_iter().chain(other).min()
    }

    /// Removes and returns an object that is due for deletion. A process deletes its own objects a
    /// quarter of the retention late, and those of other processes a full retention late, in case
    /// their writer has stopped. The newest object is never deleted, so that a listing always shows
    /// which numbers were used.
    pub(crate) fn take_expired(
        &mut self,
        settings: &ClaimSettings,
        now: Time,
    ) -> Option<LogObject> {
        let next_number = self.next_number;
        let queues =
            [(&mut self.own, settings.retention / 4), (&mut self.others, settings.retention)];
        for (queue, margin) in queues {
            let is_expired = queue.front().is_some_and(|object| {
                let age_by_wall = now.wall_ms.saturating_sub(object.written_at_ms);
                object.number + 1 < next_number
                    && now.since_boot >= object.expires_at(margin, settings)
                    && Duration::from_millis(age_by_wall) >= settings.retention
            });
            if is_expired {
                return queue.pop_front();
            }
        }
        None
    }
}

impl LogObject {
    fn expires_at(&self, margin: Duration, settings: &ClaimSettings) -> Duration {
        self.first_seen_at + settings.retention + margin
    }
}
