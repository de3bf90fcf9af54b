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
};

/// Which process owns which places of the targets of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct PlaceOwners {
    processes: Vec<EntryId>,
    own: usize,
    /// For each target, the index of the owner of each place.
    owners: BTreeMap<TargetId, Vec<usize>>,
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

    /// Returns the owners of all places.
    fn into_owners(self) -> Vec<usize> {
        let each = std::iter::repeat_n(&self.order, self.places_each).flatten();
        self.owners.iter().chain(each).copied().collect()
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
        let owners =
            open.into_iter().map(|target| (target.id.clone(), target.into_owners())).collect();
        PlaceOwners { processes, own, owners }
    }

    /// Returns the places of this process at a target whose numbers are below `room`.
    pub(super) fn own_places(&self, target: &str, room: usize) -> u32 {
        let owners = self.owners.get(target).map_or(&[][..], Vec::as_slice);
        let own = owners.iter().take(room).filter(|owner| **owner == self.own);
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
        let owners = self.owners.get(target).map_or(&[][..], Vec::as_slice).iter().copied();
        let others =
            owners.take(room).filter(|owner| !excesses.contains_key(&self.processes[*owner]));
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

    /// Returns whether processes are gone since `before`.
    pub(super) fn lacks_processes_of(&self, before: &PlaceOwners) -> bool {
        // Both lists are in order.
        before.processes.iter().any(|name| self.processes.binary_search(name).is_err())
    }

    /// Returns how many places of this process at a target come from processes that are gone since
    /// `before`. All processes that know the same agree on it.
    pub(super) fn own_inherited(&self, before: &PlaceOwners, target: &str) -> u32 {
        let names = |owners: &PlaceOwners| -> Vec<EntryId> {
            let indexes = owners.owners.get(target).map_or(&[][..], Vec::as_slice);
            indexes.iter().map(|index| owners.processes[*index].clone()).collect()
        };
        let (mut kept, gone): (Vec<EntryId>, Vec<EntryId>) =
            names(before).into_iter().partition(|name| self.processes.contains(name));
        let mut gained = names(self);
        gained.retain(|name| match kept.iter().position(|it| it == name) {
            Some(index) => {
                kept.swap_remove(index);
                false
            }
            None => true,
        });
        let own_name = &self.processes[self.own];
        // No target has as many slots as the type holds.
        gained.iter().take(gone.len()).filter(|name| *name == own_name).count() as u32
    }

    /// Returns the other processes that own places which they may use, with how many.
    pub(super) fn other_owners(
        &self,
        excesses_at: impl Fn(&TargetId) -> BTreeMap<EntryId, u32>,
    ) -> BTreeMap<&EntryId, u32> {
        let mut places = BTreeMap::new();
        for (target, owners) in &self.owners {
            let excesses = excesses_at(target);
            let usable = self.usable(target, owners.len(), &excesses);
            for owner in usable.filter(|owner| *owner != self.own) {
                *places.entry(&self.processes[owner]).or_default() += 1;
            }
        }
        places
    }
}
