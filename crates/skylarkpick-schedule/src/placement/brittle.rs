//! What this process may have under way at brittle targets, which fall over if they have to turn away
//! a few requests.

use super::{
    excess::Excesses,
    heard::HeardSignals,
    places::{MoveTimes, PlaceOwners},
    target::TargetView,
};
use skylarkpick_interface::{EntryId, RegisteredTarget, ReportedLoad, ServiceName, TargetId};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Time after which a place may be used that another process owned before: by then that process knows
/// of the change, and what it sent has mostly ended.
const TAKE_OVER_DELAY: Duration = Duration::from_secs(2);
/// Time for which a process that is no longer registered keeps its places: one that was only cut off
/// registers again.
const REGISTRATION_GRACE: Duration = Duration::from_secs(1);
/// Shortest time between two divisions of the places of a service.
const DIVISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a place stays taken after a request that ended without an answer: the target may
/// still run it.
const UNKNOWN_END_TIME: Duration = Duration::from_secs(1);
/// Time without requests to a target that rejected one.
const REJECTION_PAUSE: Duration = Duration::from_secs(1);
/// The same after a target rejected a request of another process.
const REJECTION_PAUSE_ELSEWHERE: Duration = Duration::from_millis(500);
/// Factor on the room of a target that rejected a request, or that has just started.
const ROOM_DECREASE: f64 = 0.5;
/// Largest number of places at a target. Each takes memory, and a registration may name any number of
/// slots.
const PLACES_LIMIT: u32 = 1_024;
/// Time in which the room of a target grows from none to all of its slots.
const ROOM_GROWTH_TIME: Duration = Duration::from_secs(4);
/// Requests waiting at a target up to which its room is not taken for full: it may not have read the
/// end of another one yet.
const TOLERATED_WAITING: u32 = 1;

/// Places of this process at the targets of brittle services.
#[derive(Clone, Debug, Default)]
pub(super) struct BrittlePlaces {
    services: BTreeMap<ServiceName, ServicePlaces>,
    /// Name of this process.
    own: EntryId,
    /// Processes that own places, with the time from which they no longer do.
    processes: BTreeMap<EntryId, Option<Duration>>,
    /// Time at which this process first knew the others.
    knows_entries_at: Option<Duration>,
    /// Requests of this process under way, by the address and the start of their target. A record may be
    /// removed and written again meanwhile.
    under_way: BTreeMap<(SocketAddr, u64), u32>,
    /// Requests under way beyond the places of their processes.
    excesses: Excesses,
}

#[derive(Clone, Debug)]
struct ServicePlaces {
    owners: PlaceOwners,
    own: BTreeMap<TargetId, OwnPlaces>,
    divided_at: Duration,
    is_outdated: bool,
}

/// Places of this process at one target.
#[derive(Clone, Debug)]
struct OwnPlaces {
    /// Times from which it may use each of its places.
    usable_from: Vec<Duration>,
    slots: f64,
    /// Requests that the target had room for at a time, from which it grows.
    room: f64,
    room_at: Duration,
    paused_until: Duration,
    /// Ends of the times for which places stay taken after requests without an answer.
    unknown_ends: Vec<Duration>,
}

impl OwnPlaces {
    fn open(slots: u32, room: f64, now: Duration) -> OwnPlaces {
        OwnPlaces {
            usable_from: Vec::new(),
            slots: f64::from(slots),
            room,
            room_at: now,
            paused_until: Duration::ZERO,
            unknown_ends: Vec::new(),
        }
    }

    /// Returns how many places this process owns, at most `PLACES_LIMIT`.
    fn places(&self) -> u32 {
        self.usable_from.len() as u32
    }

    /// Returns how many of them it may use.
    fn allowed(&self, now: Duration) -> u32 {
        self.usable_from.iter().filter(|from| now >= **from).count() as u32
    }

    fn room(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.room_at).as_secs_f64();
        let grown = self.room + self.slots * elapsed / ROOM_GROWTH_TIME.as_secs_f64();
        grown.min(self.slots)
    }

    fn set_room(&mut self, room: f64, now: Duration) {
        (self.room, self.room_at) = (room.max(1.0), now);
    }
}

impl BrittlePlaces {
    /// Returns the name of this process.
    pub(super) fn own(&self) -> &EntryId {
        &self.own
    }

    /// Records that processes or targets have changed.
    pub(super) fn note_change(&mut self) {
        self.services.values_mut().for_each(|service| service.is_outdated = true);
    }

    /// Applies a list of the registered processes.
    pub(super) fn set_entries(&mut self, own: &str, names: &[EntryId], now: Duration) {
        self.own = own.to_string();
        if self.knows_entries_at.is_none() {
            self.knows_entries_at = Some(now);
        }
        let listed: BTreeSet<&EntryId> = names.iter().collect();
        for (process, gone_from) in &mut self.processes {
            if !listed.contains(process) {
                gone_from.get_or_insert(now + REGISTRATION_GRACE);
            }
        }
        for name in names {
            if self.processes.insert(name.clone(), None).is_none() {
                self.note_change();
            }
        }
    }

    /// Drops the processes that are gone.
    fn drop_processes(&mut self, now: Duration) {
        let known = self.processes.len();
        self.processes.retain(|_, gone_from| gone_from.is_none_or(|from| now < from));
        if self.processes.len() < known {
            self.note_change();
        }
    }

    /// Divides the places of services that have become brittle, or whose processes or targets have
    /// changed, and forgets those of services that are no longer brittle.
    pub(super) fn refresh(
        &mut self,
        heard: &HeardSignals,
        targets: &BTreeMap<TargetId, TargetView>,
        now: Duration,
    ) {
        self.drop_processes(now);
        self.services.retain(|service, _| heard.is_service_brittle(service, now));
        for service in heard.brittle_services() {
            let known = self.services.get(service);
            let is_current =
                |it: &ServicePlaces| !it.is_outdated || now < it.divided_at + DIVISION_INTERVAL;
            if known.is_some_and(is_current) || !heard.is_service_brittle(service, now) {
                continue;
            }
            let slots: BTreeMap<TargetId, u32> = targets
                .values()
                .map(|target| &target.registration)
                .filter(|target| target.service == *service && !target.is_draining)
                .map(|target| (target.id.clone(), target.slots.clamp(1, PLACES_LIMIT)))
                .collect();
            self.divide(service, &slots, now);
        }
    }

    fn divide(&mut self, service: &ServiceName, slots: &BTreeMap<TargetId, u32>, now: Duration) {
        let mut owners = PlaceOwners::open(&self.own, self.processes.keys(), slots);
        let known = self.services.remove(service);
        let is_new = known.is_none();
        let (before, mut known) = known.map(|it| (it.owners, it.own)).unwrap_or_default();
        // Alone, no other process may use a place.
        if self.processes.len() >= 2 {
            // Others know of this process, and of the places that it owns, a while after its start.
            let knows_entries_at = self.knows_entries_at.unwrap_or_default();
            let new_from = now.max(knows_entries_at + TAKE_OVER_DELAY);
            let moved_from = now + TAKE_OVER_DELAY;
            owners.set_usable_times(&before, MoveTimes { new_from, moved_from });
        }
        let mut own = BTreeMap::new();
        for (target, slots) in slots {
            let all_room = f64::from(*slots);
            let room = if is_new { all_room } else { (all_room * ROOM_DECREASE).max(1.0) };
            let known = known.remove(target);
            let mut places = known.unwrap_or_else(|| OwnPlaces::open(*slots, room, now));
            places.slots = all_room;
            places.usable_from = owners.own_usable_times(target);
            own.insert(target.clone(), places);
        }
        let divided = ServicePlaces { owners, own, divided_at: now, is_outdated: false };
        self.services.insert(service.clone(), divided);
    }

    /// Counts a request as under way at one start of a target.
    pub(super) fn begin(&mut self, address: SocketAddr, started_at_ms: u64) {
        *self.under_way.entry((address, started_at_ms)).or_default() += 1;
    }

    /// Ends the count of such a request.
    pub(super) fn end(&mut self, address: SocketAddr, started_at_ms: u64) {
        let start = (address, started_at_ms);
        if let Some(count) = self.under_way.get_mut(&start) {
            *count -= 1;
            if *count == 0 {
                self.under_way.remove(&start);
            }
        }
    }

    fn under_way(&self, target: &RegisteredTarget) -> u32 {
        self.under_way.get(&(target.address, target.started_at_ms)).copied().unwrap_or_default()
    }

    /// Returns the requests that this process may have under way at a target of a brittle service whose
    /// memory holds `memory_room` requests.
    fn allowed(&self, target: &TargetView, memory_room: usize, now: Duration) -> u32 {
        let registration = &target.registration;
        let Some(service) = self.services.get(&registration.service) else { return 0 };
        let Some(own) = service.own.get(&registration.id) else { return 0 };
        if now < own.paused_until {
            return 0;
        }
        let room = own.room(now).min(f64::from(target.slots())).floor() as usize;
        let excesses = self.excesses.of(&registration.id, registration.started_at_ms, now);
        let room = room.min(memory_room);
        let in_room = service.owners.own_usable(&registration.id, room, &excesses);
        let held = own.unknown_ends.iter().filter(|end| now < **end).count() as u32;
        own.allowed(now).min(in_room).saturating_sub(held)
    }

    /// Returns whether this process has a free place at a brittle target.
    pub(super) fn has_free(&self, target: &TargetView, memory_room: usize, now: Duration) -> bool {
        self.under_way(&target.registration) < self.allowed(target, memory_room, now)
    }

    /// Returns whether a request that counts as under way at a brittle target may be written.
    pub(super) fn may_write(&self, target: &TargetView, memory_room: usize, now: Duration) -> bool {
        self.under_way(&target.registration) <= self.allowed(target, memory_room, now)
    }

    /// Returns the targets of a brittle service at which this process owns places, with how many.
    pub(super) fn owned(&self, service: &str) -> impl Iterator<Item = (&TargetId, u32)> {
        let own = self.services.get(service).into_iter().flat_map(|service| &service.own);
        own.filter(|(_, own)| own.places() > 0).map(|(target, own)| (target, own.places()))
    }

    /// Returns the targets of a brittle service at which this process owns places, with how many it may
    /// use if their memory holds `memory_room` requests.
    pub(super) fn own_counts(
        &self,
        service: &str,
        targets: &BTreeMap<TargetId, TargetView>,
        memory_room: usize,
        now: Duration,
    ) -> impl Iterator<Item = (&TargetId, u32)> {
        self.services.get(service).into_iter().flat_map(move |service| {
            let owned = service.own.iter().filter(|(_, own)| own.places() > 0);
            owned.map(move |(id, _)| {
                let excesses = self.excesses_at(id, targets, now);
                (id, service.owners.own_usable(id, memory_room, &excesses))
            })
        })
    }

    /// Returns the other processes that own places of a brittle service which they may use, with how many.
    pub(super) fn other_owners(
        &self,
        service: &str,
        targets: &BTreeMap<TargetId, TargetView>,
        is_used: impl Fn(&TargetId) -> bool,
        now: Duration,
    ) -> Vec<(EntryId, u32)> {
        let Some(service) = self.services.get(service) else { return Vec::new() };
        let excesses_at = |id: &TargetId| self.excesses_at(id, targets, now);
        let owners = service.owners.other_owners(is_used, excesses_at);
        owners.into_iter().map(|(process, places)| (process.clone(), places)).collect()
    }

    /// Returns the processes with more requests under way at a target than places, this one included,
    /// with how many.
    fn excesses_at(
        &self,
        target: &TargetId,
        targets: &BTreeMap<TargetId, TargetView>,
        now: Duration,
    ) -> BTreeMap<EntryId, u32> {
        if self.excesses.is_empty() {
            return BTreeMap::new();
        }
        let Some(view) = targets.get(target) else { return BTreeMap::new() };
        let started_at_ms = view.registration.started_at_ms;
        let mut excesses = self.excesses.of(target, started_at_ms, now);
        if let Some(under_way) = self.excesses.own_at(target, started_at_ms) {
            excesses.insert(self.own.clone(), under_way);
        }
        excesses
    }

    /// Records that a target rejected a request.
    pub(super) fn note_rejection(&mut self, service: &str, target: &str, now: Duration) {
        if let Some(own) = self.own_mut(service, target) {
            own.paused_until = now + REJECTION_PAUSE;
            own.set_room(own.room(now) * ROOM_DECREASE, now);
        }
    }

    /// Records that a target rejected a request of another process `age` ago.
    pub(super) fn note_rejection_elsewhere(
        &mut self,
        service: &str,
        target: &str,
        age: Duration,
        now: Duration,
    ) {
        if let Some(own) = self.own_mut(service, target) {
            // Those that come at the same time have one cause.
            if now >= own.paused_until {
                own.set_room(own.room(now) * ROOM_DECREASE, now);
            }
            let until = (now + REJECTION_PAUSE_ELSEWHERE).saturating_sub(age);
            own.paused_until = own.paused_until.max(until);
        }
    }

    /// Records that another process had `under_way` requests under way at the start of a target, which
    /// are more than its places; 0 if they no longer are. Returns whether that has begun or ended.
    pub(super) fn note_excess(
        &mut self,
        target: &RegisteredTarget,
        process: &str,
        under_way: u32,
        now: Duration,
    ) -> bool {
        process != self.own
            && self.excesses.note(&target.id, target.started_at_ms, process, under_way, now)
    }

    /// Returns the targets at which this process has more requests under way than places, with how many,
    /// or no longer has, as far as others are to be told now.
    pub(super) fn take_excesses_to_tell(
        &mut self,
        targets: &BTreeMap<TargetId, TargetView>,
        now: Duration,
    ) -> Vec<(TargetId, u64, u32)> {
        let mut own_excesses = BTreeMap::new();
        for (id, own) in self.services.values().flat_map(|service| &service.own) {
            let Some(target) = targets.get(id) else { continue };
            let under_way = self.under_way(&target.registration);
            if under_way > own.places() {
                own_excesses.insert((id.clone(), target.registration.started_at_ms), under_way);
            }
        }
        self.excesses.take_to_tell(own_excesses, now)
    }

    /// Records that a request ended without an answer.
    pub(super) fn note_unknown_end(&mut self, service: &str, target: &str, now: Duration) {
        if let Some(own) = self.own_mut(service, target) {
            own.unknown_ends.retain(|end| now < *end);
            own.unknown_ends.push(now + UNKNOWN_END_TIME);
        }
    }

    /// Applies the load that a target reports.
    pub(super) fn note_load(
        &mut self,
        service: &str,
        target: &str,
        load: ReportedLoad,
        now: Duration,
    ) {
        if load.waiting <= TOLERATED_WAITING {
            return;
        }
        if let Some(own) = self.own_mut(service, target) {
            own.set_room(own.room(now).min(f64::from(load.running)), now);
        }
    }

    fn own_mut(&mut self, service: &str, target: &str) -> Option<&mut OwnPlaces> {
        self.services.get_mut(service)?.own.get_mut(target)
    }
}
