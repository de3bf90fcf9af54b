//! Divides the places of brittle targets among the entry processes.
//!
//! A place is the right to have one request under way at a target, which has as many places as slots.
//! Each process derives all of them from the registered processes and targets alone, so that together
//! they send no more than the targets can run, without any message. Rendezvous hashing keeps most
//! places where they are while processes or targets come and go.

use super::parts::rendezvous_weight;
use skylarkpick_interface::{EntryId, TargetId};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Which process owns which places of the targets of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct PlaceOwners {
    processes: Vec<EntryId>,
    own: usize,
    places: BTreeMap<TargetId, Vec<Place>>,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    /// Index of the process.
    owner: usize,
    /// Time from which the owner may use it.
    usable_from: Duration,
}

/// Times from which places may be used that a division gives to another owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct MoveTimes {
    /// Those of targets that were not divided before.
    pub(super) new_from: Duration,
    /// Those that belonged to another process.
    pub(super) moved_from: Duration,
}

/// A target whose places are being assigned.
struct OpenTarget<'a> {
    id: &'a TargetId,
    /// Processes in the order in which they get places.
    order: Vec<usize>,
    /// Owners of the places that are left if each process gets equally many, at most one each.
    owners: Vec<usize>,
    places_left: usize,
    places_each: usize,
}

impl OpenTarget<'_> {
    /// Assigns places to processes that have fewer than `limit`. Those that reach it only with a place
    /// at each of the `left` targets come first.
    fn assign(&mut self, counts: &mut [usize], limit: usize, left: usize) {
        let (urgent, others): (Vec<usize>, Vec<usize>) =
            self.order.iter().partition(|process| limit - counts[**process] >= left);
        for process in urgent.into_iter().chain(others) {
            if self.owners.len() >= self.places_left {
                return;
            }
            if counts[process] < limit && !self.owners.contains(&process) {
                counts[process] += 1;
                self.owners.push(process);
            }
        }
    }

    /// Returns all places, which may be used at once.
    fn into_places(self) -> Vec<Place> {
        let each = std::iter::repeat_n(&self.order, self.places_each).flatten();
        let owners = self.owners.iter().chain(each);
        owners.map(|owner| Place { owner: *owner, usable_from: Duration::ZERO }).collect()
    }
}

impl PlaceOwners {
    /// Divides the places of targets. All processes own about equally many.
    pub(super) fn open<'a>(
        own: &'a EntryId,
        processes: impl Iterator<Item = &'a EntryId>,
        targets: &BTreeMap<TargetId, u32>,
    ) -> PlaceOwners {
        let processes: BTreeSet<&EntryId> = processes.chain([own]).collect();
        let processes: Vec<EntryId> = processes.into_iter().cloned().collect();
        let own = processes.iter().position(|name| name == own).unwrap_or_default();
        let mut counts = vec![0; processes.len()];
        let mut open: Vec<OpenTarget<'_>> = targets
            .iter()
            .map(|(id, slots)| {
                let mut order: Vec<usize> = (0..processes.len()).collect();
                order.sort_by_cached_key(|process| {
                    Reverse(rendezvous_weight(id, &processes[*process]))
                });
                let (places, processes) = (*slots as usize, order.len());
                let (places_left, places_each) = (places % processes, places / processes);
                OpenTarget { id, order, owners: Vec::new(), places_left, places_each }
            })
            .collect();
        open.sort_by_cached_key(|target| rendezvous_weight(target.id, ""));
        let left: usize = open.iter().map(|target| target.places_left).sum();
        let share = left / processes.len();
        // A target has fewer places left than there are processes, but the first ones may leave too few
        // processes below the limit.
        for limit in [share, share + 1, usize::MAX] {
            let lefts = (1..=open.len()).rev();
            open.iter_mut()
                .zip(lefts)
                .for_each(|(target, left)| target.assign(&mut counts, limit, left));
        }
        let places =
            open.into_iter().map(|target| (target.id.clone(), target.into_places())).collect();
        PlaceOwners { processes, own, places }
    }

    /// Sets the times from which the places may be used, by the division `before`. A process that is gone
    /// leaves its places to others as they were: at once only those that it might use itself, since a
    /// request of an earlier owner may still be under way at one that it had just got. All processes that
    /// know the same agree on it.
    pub(super) fn set_usable_times(&mut self, before: &PlaceOwners, times: MoveTimes) {
        let index_of = |name: &EntryId| self.processes.binary_search(name).ok();
        let indexes: Vec<Option<usize>> = before.processes.iter().map(index_of).collect();
        for (target, places) in &mut self.places {
            let Some(known) = before.places.get(target) else {
                places.iter_mut().for_each(|place| place.usable_from = times.new_from);
                continue;
            };
            let mut known = known.clone();
            known.sort_by_key(|place| place.usable_from);
            let (mut kept, gone): (Vec<Place>, Vec<Place>) =
                known.into_iter().partition(|place| indexes[place.owner].is_some());
            let mut left_by_gone = gone.into_iter();
            for place in places {
                let known = kept.iter().position(|it| indexes[it.owner] == Some(place.owner));
                let known = known.map(|index| kept.remove(index)).or_else(|| left_by_gone.next());
                place.usable_from = known.map_or(times.moved_from, |known| known.usable_from);
            }
        }
    }

    /// Returns the owners of the places at a target.
    fn owners(&self, target: &str) -> impl Iterator<Item = usize> + '_ {
        self.places.get(target).into_iter().flatten().map(|place| place.owner)
    }

    /// Returns the times from which this process may use its places at a target.
    pub(super) fn own_usable_times(&self, target: &str) -> Vec<Duration> {
        let places = self.places.get(target).into_iter().flatten();
        places.filter(|place| place.owner == self.own).map(|place| place.usable_from).collect()
    }

    /// Returns the places of this process at a target whose numbers are below `room`.
    pub(super) fn own_places(&self, target: &str, room: usize) -> u32 {
        let own = self.owners(target).take(room).filter(|owner| *owner == self.own);
        // No target has as many slots as the type holds.
        own.count() as u32
    }

    /// Returns the owners of the places at a target whose numbers are below `room`, as far as they may be
    /// used: `excesses` has the processes with more requests under way there than places. These count in
    /// full, and the first places of all other processes are left.
    fn usable<'a>(
        &'a self,
        target: &str,
        room: usize,
        excesses: &'a BTreeMap<EntryId, u32>,
    ) -> impl Iterator<Item = usize> + 'a {
        let taken: usize = excesses.values().map(|under_way| *under_way as usize).sum();
        let owners = self.owners(target).take(room);
        let others = owners.filter(|owner| !excesses.contains_key(&self.processes[*owner]));
        others.take(room.saturating_sub(taken))
    }

    /// Returns the places of this process at a target that it may use, as [`usable`](Self::usable).
    pub(super) fn own_usable(
        &self,
        target: &str,
        room: usize,
        excesses: &BTreeMap<EntryId, u32>,
    ) -> u32 {
        if excesses.is_empty() {
            return self.own_places(target, room);
        }
        // No target has as many slots as the type holds.
        self.usable(target, room, excesses).filter(|owner| *owner == self.own).count() as u32
    }

    /// Returns the other processes that own places which they may use, with how many.
    pub(super) fn other_owners(
        &self,
        is_used: impl Fn(&TargetId) -> bool,
        excesses_at: impl Fn(&TargetId) -> BTreeMap<EntryId, u32>,
    ) -> BTreeMap<&EntryId, u32> {
        let mut counts = BTreeMap::new();
        for (target, places) in self.places.iter().filter(|(target, _)| is_used(target)) {
            let excesses = excesses_at(target);
            let usable = self.usable(target, places.len(), &excesses);
            for owner in usable.filter(|owner| *owner != self.own) {
                *counts.entry(&self.processes[owner]).or_default() += 1;
            }
        }
        counts
    }
}
