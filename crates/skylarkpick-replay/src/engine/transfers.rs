//! Transfers between stores and runners: imports of saved contexts and exports that save them.

use super::{
    directory::{context_of, last_key},
    event_queue::{ContextId, Event, RunId},
    simulation::Simulation,
    store::{SavedContext, TransferPurpose, TransferState},
};
use skylarkpick_interface::StoreTier;
use skylarkpick_schedule::{
    ImportPlan, NextTransfer, SaveDecision, SavedCopy, SavedEntry, Transfer, TransferId,
    TransferKind,
};
use std::time::Duration;

/// Time after which an import from an unreachable store fails.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(200);

impl Simulation<'_> {
    /// Starts the import that a route needs before its run can be sent, or joins one in progress.
    pub(super) fn request_import(&mut self, run: RunId, plan: &ImportPlan) {
        let Some((route, runner)) = self.route_of(run) else { return };
        let Some(store) = self.store_indices.get(&plan.store).copied() else { return };
        let entry = self.requests[run.request].entry;
        let prefix = self.requests[run.request].prefix;
        let context = ContextId { prefix, weight_version: route.weight_version };
        if !self.is_store_reachable(store, entry, runner) {
            self.events.schedule(self.now + IMPORT_TIMEOUT, Event::ImportFailed(run));
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
        let purpose = TransferPurpose::Import { entry, runner, context, tokens, waiters };
        let transfer = self.add_transfer(store, purpose, plan.size_bytes);
        let now = self.instant();
        self.stores[store].touch(context, now);
        match plan.tier {
            StoreTier::Memory => self.queue_transfer(store, transfer),
            StoreTier::Disk => self.read_disk(store, transfer, plan.size_bytes),
        }
    }

    fn is_store_reachable(&self, store: usize, entry: usize, runner: usize) -> bool {
        let store = &self.stores[store];
        !store.down
            && self.can_reach(self.entries[entry].data_centre, store.data_centre)
            && self.can_reach(self.runners[runner].data_centre, store.data_centre)
    }

    /// Adds the run to the waiters of an import of the same context to the same runner. Returns
    /// whether there is one.
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
            if let TransferPurpose::Import { entry: from, runner: to, context: of, waiters, .. } =
                &mut transfer.purpose
                && (*from, *to, *of) == (entry, runner, context)
            {
                waiters.push(run);
                store.queue.join(*id);
                return true;
            }
        }
        false
    }

    fn add_transfer(
        &mut self,
        store: usize,
        purpose: TransferPurpose,
        size_bytes: u64,
    ) -> TransferId {
        self.next_transfer += 1;
        let requested_at = self.now;
        let state = TransferState { purpose, size_bytes, requested_at, started_at: None };
        self.stores[store].transfers.insert(self.next_transfer, state);
        self.next_transfer
    }

    /// Schedules a disk read. A disk serves one read at a time.
    fn read_disk(&mut self, store: usize, transfer: TransferId, size_bytes: u64) {
        let now = self.now;
        let store_state = &mut self.stores[store];
        let seconds = size_bytes as f64 / store_state.sizes.disk_bytes_per_second;
        let ends_at = store_state.disk_free_at.max(now) + Duration::from_secs_f64(seconds);
        store_state.disk_free_at = ends_at;
        let epoch = store_state.epoch;
        self.events.schedule(ends_at, Event::DiskReadFinished { store, transfer, epoch });
    }

    /// Adds a transfer to the queue of its link.
    pub(super) fn queue_transfer(&mut self, store: usize, id: TransferId) {
        let Some(state) = self.stores[store].transfers.get(&id) else { return };
        let (kind, waiters) = match &state.purpose {
            TransferPurpose::Import { waiters, .. } => (TransferKind::Import, waiters.len() as u32),
            TransferPurpose::Export { .. } => (TransferKind::Export, 0),
        };
        let transfer = Transfer { id, kind, size_bytes: state.size_bytes, waiters };
        self.stores[store].queue.add(transfer);
        self.start_next_transfer(store);
    }

    /// Starts the next transfer of a link, or schedules an event for the time at which the budget of
    /// the link allows it.
    pub(super) fn start_next_transfer(&mut self, index: usize) {
        let now = self.instant();
        match self.stores[index].queue.next(now) {
            NextTransfer::Begin(transfer) if self.is_stale_export(index, transfer.id) => {
                self.cancel_export(index, transfer.id);
                self.start_next_transfer(index);
            }
            NextTransfer::Begin(transfer) => {
                let store = &mut self.stores[index];
                let seconds = transfer.size_bytes as f64 / store.link_rate();
                let ends_at = self.now + Duration::from_secs_f64(seconds);
                if let Some(state) = store.transfers.get_mut(&transfer.id) {
                    state.started_at = Some(self.now);
                }
                let (transfer, epoch) = (transfer.id, store.epoch);
                self.events
                    .schedule(ends_at, Event::TransferFinished { store: index, transfer, epoch });
            }
            NextTransfer::WaitUntil(at) => {
                let at = at.saturating_duration_since(self.base);
                self.events.schedule(at.max(self.now), Event::LinkReady(index));
            }
            NextTransfer::Nothing => {}
        }
    }

    /// Returns whether the runner has evicted the context of an export.
    fn is_stale_export(&self, index: usize, id: TransferId) -> bool {
        let state = self.stores[index].transfers.get(&id);
        state.is_some_and(|state| match &state.purpose {
            TransferPurpose::Export { runner, context, saved, .. } => {
                self.runners[*runner].cache.held(*context) < saved.tokens
            }
            TransferPurpose::Import { .. } => false,
        })
    }

    fn cancel_export(&mut self, index: usize, id: TransferId) {
        let store = &mut self.stores[index];
        store.queue.finish();
        if let Some(state) = store.transfers.remove(&id)
            && let TransferPurpose::Export { tier, saved, .. } = state.purpose
        {
            let name = store.sizes.name.clone();
            self.saving.note_copy_removed(saved.entry.prefix_key, &name, tier);
        }
    }

    pub(super) fn transfer_finished(&mut self, index: usize, id: TransferId) {
        let now = self.now;
        let store = &mut self.stores[index];
        store.queue.finish();
        if let Some(state) = store.transfers.remove(&id) {
            let started_at = state.started_at.unwrap_or(now);
            store.link_transfers.push((started_at, now, state.size_bytes));
            let took = now.saturating_sub(state.requested_at);
            match state.purpose {
                TransferPurpose::Import { runner, context, tokens, waiters, .. } => {
                    self.imported(runner, context, tokens, &waiters, took);
                }
                TransferPurpose::Export { context, tier, saved, .. } => {
                    self.exported(index, context, tier, saved);
                }
            }
        }
        self.start_next_transfer(index);
    }

    fn imported(
        &mut self,
        runner: usize,
        context: ContextId,
        tokens: u64,
        waiters: &[RunId],
        took: Duration,
    ) {
        let target = &mut self.runners[runner];
        if !target.down && !target.loading && target.weight_version == context.weight_version {
            let changes = target.cache.put(context, tokens);
            self.publish(runner, changes);
            self.directory.set_held_tokens(runner, context, tokens);
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
            self.entries[state.entry].routing.observe_import_end(&route.runner, plan, took);
        }
    }

    /// Sends a run to its runner without the import that failed; the runner computes the prefix.
    pub(super) fn import_failed(&mut self, run: RunId) {
        self.import_ended(run, None);
        let state = &self.requests[run.request];
        if let Some(route) = &state.route
            && let skylarkpick_schedule::ContextPlan::Import(plan) = &route.context
        {
            self.entries[state.entry].routing.observe_store_failure(&plan.store);
        }
        if self.is_current(run) {
            self.send_to_runner(run);
        }
    }

    /// Starts an export, unless the store is unreachable.
    pub(super) fn export(&mut self, decision: SaveDecision) {
        let context = context_of(decision.prefix_key);
        let Some(runner) = self.runner_indices.get(&decision.runner).copied() else { return };
        let Some(store) = self.store_indices.get(&decision.store).copied() else { return };
        let data_centre = self.stores[store].data_centre;
        if self.stores[store].down || !self.can_reach(self.runners[runner].data_centre, data_centre)
        {
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
        let saved = SavedContext { tokens: decision.tokens, entry };
        let purpose = TransferPurpose::Export { runner, context, tier: decision.tier, saved };
        let transfer = self.add_transfer(store, purpose, decision.size_bytes);
        self.queue_transfer(store, transfer);
    }

    fn exported(&mut self, index: usize, context: ContextId, tier: StoreTier, saved: SavedContext) {
        let now = self.instant();
        let name = self.stores[index].sizes.name.clone();
        let copy = SavedCopy {
            store: name.clone(),
            tier,
            tokens: saved.tokens,
            prefix_key: last_key(context, saved.tokens),
            generation: 1,
            size_bytes: saved.entry.size_bytes,
        };
        let evicted = self.stores[index].put(context, tier, saved, &self.saving, now);
        for (context, key) in evicted {
            self.directory.remove_saved_copy(context, &name, tier);
            self.saving.note_copy_removed(key, &name, tier);
        }
        self.directory.add_saved_copy(context, copy);
    }
}
