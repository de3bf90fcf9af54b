//! Where a shard's log ends, and which of its objects can go.

use crate::{events::Time, settings::ClaimSettings};
use skylarkpick_interface::ObjectVersion;
use std::{collections::VecDeque, time::Duration};

/// An object of the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldObject {
    pub(crate) number: u64,
    pub(crate) version: ObjectVersion,
    first_seen_at: Duration,
    written_at_ms: u64,
}

/// Where a shard's log ends.
#[derive(Debug, Default)]
pub(crate) struct Tail {
    /// Number that comes next, as far as is known.
    pub(crate) next_number: u64,
    /// Numbers below this one are known to exist, or to have existed.
    pub(crate) listed_end: u64,
    /// Time at which `next_number`, or a number before it, had never been used.
    confirmed_at: Duration,
    own: VecDeque<HeldObject>,
    others: VecDeque<HeldObject>,
}

impl Tail {
    /// Takes in that the next number had never been used at `at`.
    pub(crate) fn confirm(&mut self, at: Duration) {
        self.confirmed_at = at;
    }

    /// Whether the log was read to its end at `at` or later.
    pub(crate) fn was_confirmed_since(&self, at: Duration) -> bool {
        self.confirmed_at >= at
    }

    /// Whether what is known of the tail may be acted on. Past the window the next number can have
    /// been used and deleted, so that creating it would prove nothing.
    pub(crate) fn is_fresh(&self, now: Duration, settings: &ClaimSettings) -> bool {
        now <= self.confirmed_at + settings.tail_window()
    }

    /// Whether what is known of the tail should be confirmed by a read before it is acted on.
    pub(crate) fn is_ageing(&self, now: Duration, settings: &ClaimSettings) -> bool {
        now > self.confirmed_at + settings.tail_window() / 2
    }

    /// Goes past the next number, whose object is at `version`.
    pub(crate) fn advance(&mut self, version: ObjectVersion, is_own: bool, now: Time) {
        let held = HeldObject {
            number: self.next_number,
            version,
            first_seen_at: now.since_boot,
            written_at_ms: now.wall_ms,
        };
        if is_own {
            self.own.push_back(held)
        } else {
            self.others.push_back(held)
        }
        self.next_number += 1;
    }

    /// Forgets all but what a new listing needs.
    pub(crate) fn reset(&mut self) {
        *self = Tail::default();
    }

    /// Time at which the next object is past its retention.
    pub(crate) fn next_expiry(&self, settings: &ClaimSettings) -> Option<Duration> {
        let own = self.own.front().map(|held| held.expires_at(settings.retention / 4, settings));
        let other = self.others.front().map(|held| held.expires_at(settings.retention, settings));
        own.into_iter().chain(other).min()
    }

    /// Takes an object past its retention: its writer's at once, another's much later. The newest
    /// object always stays, so that a listing never forgets which numbers were used.
    pub(crate) fn take_expired(
        &mut self,
        settings: &ClaimSettings,
        now: Time,
    ) -> Option<HeldObject> {
        let next_number = self.next_number;
        let queues =
            [(&mut self.own, settings.retention / 4), (&mut self.others, settings.retention)];
        for (queue, margin) in queues {
            let is_expired = queue.front().is_some_and(|held| {
                let age_by_wall = now.wall_ms.saturating_sub(held.written_at_ms);
                held.number + 1 < next_number
                    && now.since_boot >= held.expires_at(margin, settings)
                    && Duration::from_millis(age_by_wall) >= settings.retention
            });
            if is_expired {
                return queue.pop_front();
            }
        }
        None
    }
}

impl HeldObject {
    fn expires_at(&self, margin: Duration, settings: &ClaimSettings) -> Duration {
        self.first_seen_at + settings.retention + margin
    }
}
