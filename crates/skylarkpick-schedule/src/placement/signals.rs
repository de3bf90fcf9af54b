//! What targets ask for in their responses: pauses, fewer requests, and none once they leave.

use super::{
    heard::{Incarnation, LimitChange},
    limits::EntryList,
    selection::Placement,
    types::Assignment,
};
use skylarkpick_interface::{EntryId, RegisteredTarget, RequestLimit, TargetId};
use std::{net::SocketAddr, time::Duration};

impl Placement {
    /// Records that the target of an assignment asked for a pause. Returns the length that is kept.
    pub fn note_pause(
        &mut self,
        assignment: &Assignment,
        pause: Duration,
        now: Duration,
    ) -> Duration {
        let incarnation = Some(incarnation_of(assignment));
        self.heard.note_pause(assignment.address, incarnation, pause, now)
    }

    /// Records that whoever has an address asked for a pause, in its response to a call. Returns the
    /// length that is kept.
    pub fn note_pause_at(
        &mut self,
        address: SocketAddr,
        pause: Duration,
        now: Duration,
    ) -> Duration {
        let incarnation = self.incarnation_at(&address);
        self.heard.note_pause(address, incarnation, pause, now)
    }

    /// Records that the target of an assignment said that it leaves. Returns whether that was not
    /// known yet.
    pub fn note_leaving(&mut self, assignment: &Assignment, now: Duration) -> bool {
        self.heard.note_leaving(assignment.address, incarnation_of(assignment), now)
    }

    /// Records that whoever has an address said that it leaves, in its response to a call. Returns the
    /// target if that was not known yet.
    pub fn note_leaving_at(&mut self, address: SocketAddr, now: Duration) -> Option<TargetId> {
        let target = self.registered_at(&address)?;
        let (id, started_at_ms) = (target.id.clone(), target.started_at_ms);
        self.heard.note_leaving(address, Incarnation::open(&id, started_at_ms), now).then_some(id)
    }

    /// Records that the target of an assignment named a limit for the requests of all processes.
    pub fn note_limit(
        &mut self,
        assignment: &Assignment,
        limit: RequestLimit,
        now: Duration,
    ) -> LimitChange {
        let incarnation = Some(incarnation_of(assignment));
        self.heard.note_limit(assignment.address, incarnation, limit, now)
    }

    /// Records that whoever has an address named a limit, in its response to a call.
    pub fn note_limit_at(
        &mut self,
        address: SocketAddr,
        limit: RequestLimit,
        now: Duration,
    ) -> LimitChange {
        let incarnation = self.incarnation_at(&address);
        self.heard.note_limit(address, incarnation, limit, now)
    }

    /// Records that the target of an assignment named no limit in its response to a request that was
    /// sent at `sent_at`.
    pub fn note_no_limit(&mut self, assignment: &Assignment, sent_at: Duration) -> LimitChange {
        self.heard.note_no_limit(assignment.address, &incarnation_of(assignment), sent_at)
    }

    /// Applies what another process says of the limit of a target since a start. Without a limit, it
    /// has ended.
    pub fn merge_limit(
        &mut self,
        target: &str,
        started_at_ms: u64,
        limit: Option<RequestLimit>,
        now: Duration,
    ) -> LimitChange {
        let registered = self.targets.get(target).map(|state| &state.registration);
        let Some(registered) = registered.filter(|it| it.started_at_ms == started_at_ms) else {
            return LimitChange::None;
        };
        let incarnation = Some(Incarnation::open(target, started_at_ms));
        match limit {
            Some(limit) => self.heard.note_limit(registered.address, incarnation, limit, now),
            None => self.heard.end_limit(registered, now),
        }
    }

    /// Records that the target of an assignment said that it is brittle: it falls over if it has to turn
    /// away more than a few requests. Returns whether that was not known yet.
    pub fn note_brittle(&mut self, assignment: &Assignment, now: Duration) -> bool {
        let Some(target) = self.registered_start(&assignment.target, assignment.started_at_ms)
        else {
            return false;
        };
        let is_new = self.heard.note_brittle(&target, now);
        self.refresh_places(now);
        is_new
    }

    /// Records that whoever has an address said that it is brittle, in its response to a call. Returns
    /// the target if that was not known yet.
    pub fn note_brittle_at(&mut self, address: SocketAddr, now: Duration) -> Option<TargetId> {
        let target = self.registered_at(&address)?.clone();
        let is_new = self.heard.note_brittle(&target, now);
        self.refresh_places(now);
        is_new.then_some(target.id)
    }

    /// Records that the target of an assignment did not say so in its response to a request that was
    /// sent at `sent_at`. Returns whether it was brittle.
    pub fn note_not_brittle(
        &mut self,
        assignment: &Assignment,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let service = self.targets.get(&assignment.target).map(|it| &it.registration.service);
        if !service.is_some_and(|service| self.heard.is_service_brittle(service, now)) {
            return false;
        }
        let target = self.registered_start(&assignment.target, assignment.started_at_ms);
        target.is_some_and(|target| self.heard.note_not_brittle(&target, sent_at, now))
    }

    /// Applies what another process says of whether a target is brittle since a start. Returns whether
    /// that changes anything.
    pub fn merge_brittle(
        &mut self,
        target: &str,
        started_at_ms: u64,
        is_brittle: bool,
        now: Duration,
    ) -> bool {
        let target = self.registered_start(target, started_at_ms);
        let is_change =
            target.is_some_and(|target| self.heard.merge_brittle(&target, is_brittle, now));
        self.refresh_places(now);
        is_change
    }

    /// Follows changes of processes, targets and time in the places of brittle targets. To be called
    /// before a target is chosen.
    pub fn refresh_places(&mut self, now: Duration) {
        self.brittle.refresh(&self.heard, &self.targets, now);
    }

    /// Returns the other processes that may send requests to the brittle targets of a service, without
    /// those of evacuated data centres, with how many at the same time.
    pub fn place_owners(&self, service: &str, now: Duration) -> Vec<(EntryId, u32)> {
        let is_used = |id: &TargetId| {
            let target = self.targets.get(id);
            !target.is_some_and(|target| self.is_evacuated(&target.registration))
        };
        self.brittle.other_owners(service, &self.targets, is_used, now)
    }

    /// Returns whether a target counts as brittle.
    pub fn is_brittle(&self, target: &RegisteredTarget, now: Duration) -> bool {
        self.heard.is_brittle(target, now)
    }

    /// Returns the targets, with their starts, of which other processes are to be told now that they
    /// are brittle. Each is returned again after a while, as long as it says so.
    pub fn take_brittle_to_tell(&mut self, now: Duration) -> Vec<(TargetId, u64)> {
        let targets = self.targets.values().map(|state| &state.registration);
        let due = self.heard.take_brittle_to_tell(targets, now);
        due.into_iter().map(|target| (target.id.clone(), target.started_at_ms)).collect()
    }

    /// Records that a brittle target rejected a request of another process `age` ago: it has no room for
    /// any.
    pub fn note_rejection_elsewhere(
        &mut self,
        target: &str,
        started_at_ms: u64,
        age: Duration,
        now: Duration,
    ) {
        if let Some(target) = self.registered_start(target, started_at_ms) {
            self.brittle.note_rejection_elsewhere(&target.service, &target.id, age, now);
        }
    }

    /// Records that another process has `under_way` requests under way at a brittle target, which are
    /// more than its places; 0 if they no longer are. Returns whether that has begun or ended.
    pub fn note_excess(
        &mut self,
        target: &str,
        started_at_ms: u64,
        process: &str,
        under_way: u32,
        now: Duration,
    ) -> bool {
        let target = self.registered_start(target, started_at_ms);
        target.is_some_and(|it| self.brittle.note_excess(&it, process, under_way, now))
    }

    /// Returns the name of this process; empty until the registered processes are known.
    pub fn own_entry(&self) -> &EntryId {
        self.brittle.own()
    }

    /// Returns the brittle targets, with their starts, at which this process has more requests under way
    /// than places, with how many, or 0 if it no longer has: those that other processes are to be told
    /// of now.
    pub fn take_excesses_to_tell(&mut self, now: Duration) -> Vec<(TargetId, u64, u32)> {
        self.brittle.take_excesses_to_tell(&self.targets, now)
    }

    fn registered_start(&self, target: &str, started_at_ms: u64) -> Option<RegisteredTarget> {
        let registered = self.targets.get(target).map(|state| &state.registration);
        registered.filter(|it| it.started_at_ms == started_at_ms).cloned()
    }

    /// Sets the registered entry processes, among which limits are shared.
    pub fn set_entries(&mut self, own: &str, names: Vec<EntryId>, now: Duration) {
        self.brittle.set_entries(own, &names, now);
        self.cold.set_entries(own, &names, now);
        self.heard.set_entries(EntryList::open(own, names), now);
    }

    /// Takes a request to the target of an assignment from this process's share in its limit, if it
    /// names one, and in what it tolerates, if it is cold, and checks that it has a place there if the
    /// target is brittle, and that the data centre is not being evacuated. To be called immediately
    /// before the request is written.
    ///
    /// # Errors
    /// Returns the time to wait if there is no room.
    pub fn take_share(&mut self, assignment: &Assignment, now: Duration) -> Result<(), Duration> {
        let registered = self.targets.get(&assignment.target).map(|state| &state.registration);
        if registered.is_some_and(|target| self.is_evacuated(target)) {
            return Err(Duration::ZERO);
        }
        if let Some(target) = self.targets.get(&assignment.target)
            && self.heard.is_brittle(&target.registration, now)
            && !self.brittle.may_write(target, self.memory_room(&target.registration.service), now)
        {
            return Err(Duration::ZERO);
        }
        self.heard.take_share(assignment.address, &incarnation_of(assignment), now)?;
        self.cold.take(&assignment.target, now)
    }

    /// Returns whether a target limits its requests.
    pub fn is_limited(&self, target: &RegisteredTarget, now: Duration) -> bool {
        self.heard.is_limited(target, now)
    }

    /// Returns whether a target takes no new requests, by its registration or by its own word.
    pub fn is_leaving(&self, target: &RegisteredTarget) -> bool {
        target.is_draining || self.heard.is_leaving(target)
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
        // Few addresses are known, so the targets are rarely searched.
        if !self.heard.is_known(address) {
            return None;
        }
        match self.registered_at(address) {
            Some(target) => self.heard.pause_rest(target, now),
            None => self.heard.pause_rest_at(address, now),
        }
    }

    /// Returns the address of a registered target that started by `started_by_ms` (Unix time in
    /// milliseconds): what it said in a response to a request that was sent after that is not about an
    /// earlier start.
    pub fn address_of(&self, target: &str, started_by_ms: u64) -> Option<SocketAddr> {
        let registered = &self.targets.get(target)?.registration;
        (registered.started_at_ms <= started_by_ms).then_some(registered.address)
    }

    fn incarnation_at(&self, address: &SocketAddr) -> Option<Incarnation> {
        let target = self.registered_at(address)?;
        Some(Incarnation::open(&target.id, target.started_at_ms))
    }

    fn registered_at(&self, address: &SocketAddr) -> Option<&RegisteredTarget> {
        let mut targets = self.targets.values().map(|state| &state.registration);
        targets.find(|target| target.address == *address)
    }
}

fn incarnation_of(assignment: &Assignment) -> Incarnation {
    Incarnation::open(&assignment.target, assignment.started_at_ms)
}
