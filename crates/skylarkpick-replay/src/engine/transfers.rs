//! Transfers between stores and runners.

use super::{
    agenda::{ContextId, Event, RunId},
    beliefs::{context_of, last_key},
    store::{Purpose, Saved, TransferState},
    world::World,
};
use skylarkpick_interface::StoreTier;
use skylarkpick_schedule::{
    ImportPlan, NextTransfer, SaveDecision, SavedCopy, SavedEntry, Transfer, TransferId,
    TransferKind,
};
use std::time::Duration;

/// Time after which an unreachable store is given up.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(200);

impl World<'_> {
    pub(super) fn ask_for_import(&mut self, run: RunId, plan: &ImportPlan) {
        let Some((route, runner)) = self.route_of(run) else { return };
        let Some(store) = self.store_places.get(&plan.store).copied() else { return };
        let entry = self.requests[run.request].entry;
        let prefix = self.requests[run.request].prefix;
        let context = ContextId { prefix, weight_version: route.weight_version };
        if !self.store_is_reachable(store, entry, runner) {
            self.agenda.add(self.now + IMPORT_TIMEOUT, Event::ImportFailed(run));
            return;
        }
        if self.join_import(store, entry, runner, context, run) {
            return;
        }
        if plan.joined && self.runners[runner].cache.held(context) >= plan.tokens {
            return self.send_to_runner(run);
        }
        let tokens = plan.tokens;
        let waiters = vec![run];
        let purpose = Purpose::Import { entry, runner, context, tokens, waiters };
        let transfer = self.add_transfer(store, purpose, plan.size_bytes);
        let now = self.instant();
        self.stores[store].touch(context, now);
        match plan.tier {
            StoreTier::Memory => self.ask_for_link(store, transfer),
            StoreTier::Disk => self.read_disk(store, transfer, plan.size_bytes),
        }
    }

    fn store_is_reachable(&self, store: usize, entry: usize, runner: usize) -> bool {
        let store = &self.stores[store];
        !store.down
            && self.reaches(self.entries[entry].data_centre, store.data_centre)
            && self.reaches(self.runners[runner].data_centre, store.data_centre)
    }

    /// Waits for an import of the same context to the same runner, if there is one.
    fn join_import(
        &mut self,
        store: usize,
        entry: usize,
        runner: usize,
        context: ContextId,
        run: RunId,
    ) -> bool {
        let store = &mut self.stores[store];
        for (id, transfer) in &mut store.transfers {
            if let Purpose::Import { entry: by, runner: to, context: of, waiters, .. } =
                &mut transfer.purpose
                && (*by, *to, *of) == (entry, runner, context)
            {
                waiters.push(run);
                store.queue.join(*id);
                return true;
            }
        }
        false
    }

    fn add_transfer(&mut self, store: usize, purpose: Purpose, size_bytes: u64) -> TransferId {
        self.next_transfer += 1;
        let asked_at = self.now;
        let state = TransferState { purpose, size_bytes, asked_at, begun_at: None };
        self.stores[store].transfers.insert(self.next_transfer, state);
        self.next_transfer
    }

    fn read_disk(&mut self, store: usize, transfer: TransferId, size_bytes: u64) {
        let now = self.now;
        let store_state = &mut self.stores[store];
        let seconds = size_bytes as f64 / store_state.sizes.disk_bytes_per_second;
        let ends_at = store_state.disk_free_at.max(now) + Duration::from_secs_f64(seconds);
        store_state.disk_free_at = ends_at;
        let epoch = store_state.epoch;
        self.agenda.add(ends_at, Event::DiskRead { store, transfer, epoch });
    }

    pub(super) fn ask_for_link(&mut self, store: usize, id: TransferId) {
        let Some(state) = self.stores[store].transfers.get(&id) else { return };
        let (kind, waiters) = match &state.purpose {
            Purpose::Import { waiters, .. } => (TransferKind::Import, waiters.len() as u32),
            Purpose::Export { .. } => (TransferKind::Export, 0),
        };
        let transfer = Transfer { id, kind, size_bytes: state.size_bytes, waiters };
        self.stores[store].queue.add(transfer);
        self.pump(store);
    }

    /// Begins the next transfer of a link, or asks to be woken for it.
    pub(super) fn pump(&mut self, place: usize) {
        let now = self.instant();
        match self.stores[place].queue.next(now) {
            NextTransfer::Begin(transfer) if self.export_is_void(place, transfer.id) => {
                self.drop_export(place, transfer.id);
                self.pump(place);
            }
            NextTransfer::Begin(transfer) => {
                let store = &mut self.stores[place];
                let seconds = transfer.size_bytes as f64 / store.link_rate();
                let ends_at = self.now + Duration::from_secs_f64(seconds);
                if let Some(state) = store.transfers.get_mut(&transfer.id) {
                    state.begun_at = Some(self.now);
                }
                let (transfer, epoch) = (transfer.id, store.epoch);
                self.agenda.add(ends_at, Event::Transferred { store: place, transfer, epoch });
            }
            NextTransfer::WaitUntil(at) => {
                let at = at.saturating_duration_since(self.base);
                self.agenda.add(at.max(self.now), Event::LinkWake(place));
            }
            NextTransfer::Nothing => {}
        }
    }

    /// Whether the runner no longer holds what an export is to save.
    fn export_is_void(&self, place: usize, id: TransferId) -> bool {
        let state = self.stores[place].transfers.get(&id);
        state.is_some_and(|state| match &state.purpose {
            Purpose::Export { runner, context, saved, .. } => {
                self.runners[*runner].cache.held(*context) < saved.tokens
            }
            Purpose::Import { .. } => false,
        })
    }

    fn drop_export(&mut self, place: usize, id: TransferId) {
        let store = &mut self.stores[place];
        store.queue.finish();
        if let Some(state) = store.transfers.remove(&id)
            && let Purpose::Export { tier, saved, .. } = state.purpose
        {
            let name = store.sizes.name.clone();
            self.saving.note_copy_removed(saved.entry.prefix_key, &name, tier);
        }
    }

    pub(super) fn transferred(&mut self, place: usize, id: TransferId) {
        let now = self.now;
        let store = &mut self.stores[place];
        store.queue.finish();
        if let Some(state) = store.transfers.remove(&id) {
            let begun_at = state.begun_at.unwrap_or(now);
            store.carried.push((begun_at, now, state.size_bytes));
            let took = now.saturating_sub(state.asked_at);
            match state.purpose {
                Purpose::Import { runner, context, tokens, waiters, .. } => {
                    self.imported(runner, context, tokens, &waiters, took);
                }
                Purpose::Export { context, tier, saved, .. } => {
                    self.exported(place, context, tier, saved);
                }
            }
        }
        self.pump(place);
    }

    fn imported(
        &mut self,
        runner: usize,
        context: ContextId,
        tokens: u64,
        waiters: &[RunId],
        took: Duration,
    ) {
        let fake = &mut self.runners[runner];
        if !fake.down && !fake.loading && fake.weight_version == context.weight_version {
            let changes = fake.cache.put(context, tokens);
            self.publish(runner, changes);
            self.beliefs.set_held(runner, context, tokens);
        }
        for run in waiters {
            self.import_ended(*run, Some(took));
            if self.is_current(*run) {
                self.send_to_runner(*run);
            }
        }
    }

    fn import_ended(&mut self, run: RunId, took: Option<Duration>) {
        let state = &self.requests[run.request];
        let Some(route) = &state.route else { return };
        if let skylarkpick_schedule::ContextPlan::Import(plan) = &route.context {
            self.entries[state.entry].placement.import_ended(&route.runner, plan, took);
        }
    }

    /// Goes on without an import that failed.
    pub(super) fn import_failed(&mut self, run: RunId) {
        self.import_ended(run, None);
        let state = &self.requests[run.request];
        if let Some(route) = &state.route
            && let skylarkpick_schedule::ContextPlan::Import(plan) = &route.context
        {
            self.entries[state.entry].placement.store_failed(&plan.store);
        }
        if self.is_current(run) {
            self.send_to_runner(run);
        }
    }

    pub(super) fn export(&mut self, decision: SaveDecision) {
        let context = context_of(decision.prefix_key);
        let Some(runner) = self.runner_places.get(&decision.runner).copied() else { return };
        let Some(store) = self.store_places.get(&decision.store).copied() else { return };
        let centre = self.stores[store].data_centre;
        if self.stores[store].down || !self.reaches(self.runners[runner].data_centre, centre) {
            self.saving.note_copy_removed(decision.prefix_key, &decision.store, decision.tier);
            return;
        }
        let entry = SavedEntry {
            prefix_key: decision.prefix_key,
            account: decision.account.clone(),
            tokens: decision.tokens,
            size_bytes: decision.size_bytes,
            last_used_at: self.instant(),
        };
        let saved = Saved { tokens: decision.tokens, entry };
        let purpose = Purpose::Export { runner, context, tier: decision.tier, saved };
        let transfer = self.add_transfer(store, purpose, decision.size_bytes);
        self.ask_for_link(store, transfer);
    }

    fn exported(&mut self, place: usize, context: ContextId, tier: StoreTier, saved: Saved) {
        let now = self.instant();
        let name = self.stores[place].sizes.name.clone();
        let copy = SavedCopy {
            store: name.clone(),
            tier,
            tokens: saved.tokens,
            prefix_key: last_key(context, saved.tokens),
            generation: 1,
            size_bytes: saved.entry.size_bytes,
        };
        let gone = self.stores[place].put(context, tier, saved, &self.saving, now);
        for (context, key) in gone {
            self.beliefs.remove_saved(context, &name, tier);
            self.saving.note_copy_removed(key, &name, tier);
        }
        self.beliefs.add_saved(context, copy);
    }
}
