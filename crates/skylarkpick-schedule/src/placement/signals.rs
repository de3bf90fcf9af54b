//! What targets ask for in their responses: pauses, and no requests once they leave.

use super::{pauses::Incarnation, selection::Placement, types::Assignment};
use skylarkpick_interface::{RegisteredTarget, TargetId};
use std::{net::SocketAddr, time::Duration};

impl Placement {
    /// Records that the target of an assignment asked for a pause. Returns the length that is kept.
    pub fn note_pause(
        &mut self,
        assignment: &Assignment,
        pause: Duration,
        now: Duration,
    ) -> Duration {
        let incarnation = Incarnation::open(&assignment.target, assignment.started_at_ms);
        self.pauses.note(assignment.address, Some(incarnation), pause, now)
    }

    /// Records that whoever has an address asked for a pause, in its response to a call. Returns the
    /// length that is kept.
    pub fn note_pause_at(
        &mut self,
        address: SocketAddr,
        pause: Duration,
        now: Duration,
    ) -> Duration {
        let target = self.registered_at(&address);
        let incarnation = target.map(|it| Incarnation::open(&it.id, it.started_at_ms));
        self.pauses.note(address, incarnation, pause, now)
    }

    /// Records that the target of an assignment said that it leaves. Returns whether that was not
    /// known yet.
    pub fn note_leaving(&mut self, assignment: &Assignment) -> bool {
        self.departures.note(&assignment.target, assignment.started_at_ms)
    }

    /// Records that whoever has an address said that it leaves, in its response to a call. Returns the
    /// target if that was not known yet.
    pub fn note_leaving_at(&mut self, address: SocketAddr) -> Option<TargetId> {
        let target = self.registered_at(&address)?;
        let (id, started_at_ms) = (target.id.clone(), target.started_at_ms);
        self.departures.note(&id, started_at_ms).then_some(id)
    }

    /// Returns whether a target takes no new requests, by its registration or by its own word.
    pub fn is_leaving(&self, target: &RegisteredTarget) -> bool {
        target.is_draining || self.departures.contains(target)
    }

    /// Returns the rest of the pause that whoever has an address asked for.
    ///
    /// ```
    /// use skylarkpick_schedule::Placement;
    /// use std::time::Duration;
    /// let mut placement = Placement::open(Duration::from_secs(10));
    /// let address = "10.1.0.1:80".parse()?;
    /// placement.note_pause_at(address, Duration::from_secs(3), Duration::from_secs(1));
    /// let rest = placement.pause_rest(&address, Duration::from_secs(2));
    /// assert_eq!(rest, Some(Duration::from_secs(2)));
    /// assert_eq!(placement.pause_rest(&address, Duration::from_secs(4)), None);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn pause_rest(&self, address: &SocketAddr, now: Duration) -> Option<Duration> {
        // Few addresses have a pause, so the targets are rarely searched.
        if !self.pauses.is_known(address) {
            return None;
        }
        match self.registered_at(address) {
            Some(target) => self.pauses.rest_of(target, now),
            None => self.pauses.rest_at(address, now),
        }
    }

    fn registered_at(&self, address: &SocketAddr) -> Option<&RegisteredTarget> {
        let mut targets = self.targets.values().map(|state| &state.registration);
        targets.find(|target| target.address == *address)
    }
}
