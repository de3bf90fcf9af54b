//! Targets and stores that turned this process away and asked it for a pause.

use skylarkpick_interface::{RegisteredTarget, TargetId};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Longest pause that is kept, so that a mistake in its value does not exclude a target for good.
const PAUSE_LIMIT: Duration = Duration::from_secs(600);

/// Pauses that targets and stores asked for, by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Pauses {
    pauses: BTreeMap<SocketAddr, Pause>,
}

#[derive(Clone, Debug)]
struct Pause {
    until: Duration,
    /// Target that asked for it, if one was registered at the address.
    incarnation: Option<Incarnation>,
}

/// Target between two starts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Incarnation {
    target: TargetId,
    started_at_ms: u64,
}

impl Incarnation {
    pub(super) fn open(target: &str, started_at_ms: u64) -> Incarnation {
        Incarnation { target: target.to_string(), started_at_ms }
    }

    fn is_of(&self, registration: &RegisteredTarget) -> bool {
        self.target == registration.id && self.started_at_ms == registration.started_at_ms
    }
}

impl Pauses {
    /// Keeps a pause that was asked for at `now`. A shorter one does not end an earlier one. Returns
    /// the length that is kept.
    pub(super) fn note(
        &mut self,
        address: SocketAddr,
        incarnation: Option<Incarnation>,
        pause: Duration,
        now: Duration,
    ) -> Duration {
        self.pauses.retain(|_, pause| now < pause.until);
        let kept = pause.min(PAUSE_LIMIT);
        let until = now + kept;
        let known = self.pauses.get(&address).filter(|known| known.incarnation == incarnation);
        let until = known.map_or(until, |known| known.until.max(until));
        self.pauses.insert(address, Pause { until, incarnation });
        kept
    }

    /// Returns the rest of the pause that a target asked for. A pause without a known target binds
    /// whichever is registered at its address.
    pub(super) fn rest_of(&self, target: &RegisteredTarget, now: Duration) -> Option<Duration> {
        let pause = self.pauses.get(&target.address)?;
        let is_own = pause.incarnation.as_ref().is_none_or(|it| it.is_of(target));
        pause.until.checked_sub(now).filter(|rest| is_own && !rest.is_zero())
    }

    /// Returns the rest of the pause at an address that is no registered target's.
    pub(super) fn rest_at(&self, address: &SocketAddr, now: Duration) -> Option<Duration> {
        let rest = self.pauses.get(address)?.until.checked_sub(now);
        rest.filter(|rest| !rest.is_zero())
    }

    /// Returns whether any pause was asked for at an address.
    pub(super) fn is_known(&self, address: &SocketAddr) -> bool {
        self.pauses.contains_key(address)
    }
}
