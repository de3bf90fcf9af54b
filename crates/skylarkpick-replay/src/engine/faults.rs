//! Load reports and injected faults.
//!
//! Reports are sampled at a fixed interval, and an entry process receives them only when they have
//! reached the report age of the fleet or of a `late_reports` fault.

use super::{
    event_queue::{Event, RunId},
    simulation::{ReportSnapshot, Simulation},
    store::TransferPurpose,
};
use crate::trace::FaultKind;
use skylarkpick_interface::{LoadReport, RunnerStatus, StoreStatus};
use std::time::Duration;

/// Time for which reports are kept, so that they can be delivered late.
const REPORT_RETENTION: Duration = Duration::from_secs(15);

impl Simulation<'_> {
    /// Samples a report of every runner and store, and schedules the next sample.
    pub(super) fn sample_reports(&mut self) {
        self.apply_admission_decisions();
        let reports = ReportSnapshot {
            taken_at: self.now,
            runners: (0..self.runners.len()).map(|index| self.runner_report(index)).collect(),
            stores: (0..self.stores.len()).map(|index| self.store_report(index)).collect(),
        };
        self.reports.push_back(reports);
        while let Some(first) = self.reports.front()
            && first.taken_at + REPORT_RETENTION < self.now
        {
            self.reports.pop_front();
        }
        for store in &self.stores {
            self.saving.set_store(store.capacity());
        }
        let interval = Duration::from_millis(self.trace.fleet.load_report_interval_ms);
        self.events.schedule(self.now + interval, Event::Report);
    }

    fn runner_report(&self, index: usize) -> Option<(LoadReport, RunnerStatus)> {
        let runner = &self.runners[index];
        if runner.down {
            return None;
        }
        let load = LoadReport {
            queued_runs: runner.queued_runs(),
            queued_prompt_tokens: runner.queued_tokens(self.now),
            active_runs: runner.active_runs(),
            slots: self.trace.fleet.slots,
            prefill_tokens_per_second: self.trace.fleet.prefill_tokens_per_second,
            age: Duration::ZERO,
            leaving: false,
        };
        let status = RunnerStatus {
            model: self.trace.fleet.model.clone(),
            weight_version: runner.weight_version,
            loading: runner.loading.then_some(runner.weight_version + 1),
            leaving: false,
            incarnation: 1,
        };
        Some((load, status))
    }

    fn store_report(&self, index: usize) -> Option<StoreStatus> {
        let store = &self.stores[index];
        (!store.down).then(|| StoreStatus {
            link_bytes_per_second: store.link_rate(),
            link_queued_bytes: store.queue.waiting_bytes(true),
            ..StoreStatus::default()
        })
    }

    /// Delivers the newest reports that have reached the report age to an entry process, from the
    /// runners and stores that it can reach.
    pub(super) fn deliver_reports(&mut self, entry: usize) {
        let has_arrived =
            |reports: &&ReportSnapshot| reports.taken_at + self.report_age <= self.now;
        let Some(newest) = self.reports.iter().rev().find(has_arrived) else { return };
        let state = &self.entries[entry];
        if state.newest_report_at.is_some_and(|last| newest.taken_at <= last) {
            return;
        }
        let (data_centre, now) = (state.data_centre, self.instant());
        let age = self.now - newest.taken_at;
        let reachable_runners: Vec<bool> = self
            .runners
            .iter()
            .map(|runner| self.can_reach(data_centre, runner.data_centre))
            .collect();
        let reachable_stores: Vec<bool> = self
            .stores
            .iter()
            .map(|store| self.can_reach(data_centre, store.data_centre))
            .collect();
        let state = &mut self.entries[entry];
        for (index, report) in
            newest.runners.iter().enumerate().filter(|(at, _)| reachable_runners[*at])
        {
            if let Some((load, status)) = report {
                let load = LoadReport { age, ..load.clone() };
                state.routing.observe_runner_report(&self.runners[index].name, &load, status, now);
            }
        }
        for (index, report) in
            newest.stores.iter().enumerate().filter(|(at, _)| reachable_stores[*at])
        {
            if let Some(status) = report {
                state.routing.observe_store_report(&self.stores[index].sizes.name, status, now);
            }
        }
        state.newest_report_at = Some(newest.taken_at);
    }

    pub(super) fn start_fault(&mut self, number: usize) {
        let fault = self.trace.faults[number].clone();
        let target = fault.target.as_deref().unwrap_or_default();
        match fault.kind {
            FaultKind::StoreDown => self.set_store_down(target, true),
            FaultKind::SlowLink => self.set_link_factor(target, fault.factor.unwrap_or(1.0)),
            FaultKind::RunnerDown => self.crash_runner(target),
            FaultKind::DataCentreCut => self.partition_data_centre(target),
            FaultKind::WeightSwap => self.start_rollout(),
            FaultKind::LateReports => {
                self.report_age = Duration::from_millis(fault.age_ms.unwrap_or_default());
            }
        }
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let fault = self.trace.faults[number].clone();
        let target = fault.target.as_deref().unwrap_or_default();
        match fault.kind {
            FaultKind::StoreDown => self.set_store_down(target, false),
            FaultKind::SlowLink => self.set_link_factor(target, 1.0),
            FaultKind::RunnerDown => {
                if let Some(index) = self.runner_indices.get(target) {
                    self.runners[*index].down = false;
                }
            }
            FaultKind::DataCentreCut => self.partitioned_data_centre = None,
            FaultKind::WeightSwap => {}
            FaultKind::LateReports => {
                self.report_age = Duration::from_millis(self.trace.fleet.load_report_age_ms);
            }
        }
    }

    fn set_link_factor(&mut self, target: &str, factor: f64) {
        let is_affected = |name: &str| target.is_empty() || target == name;
        for store in self.stores.iter_mut().filter(|store| is_affected(&store.sizes.name)) {
            store.set_link_factor(factor);
        }
    }

    fn set_store_down(&mut self, target: &str, down: bool) {
        let Some(index) = self.store_indices.get(target).copied() else { return };
        self.stores[index].down = down;
        if !down {
            return;
        }
        let aborted = self.stores[index].crash();
        self.saving.note_store_emptied(target);
        self.saving.set_store(self.stores[index].capacity());
        self.directory.remove_store(target);
        for transfer in aborted {
            if let TransferPurpose::Import { waiters, .. } = transfer.purpose {
                for run in waiters {
                    self.events.schedule(self.now, Event::ImportFailed(run));
                }
            }
        }
    }

    fn crash_runner(&mut self, target: &str) {
        let Some(index) = self.runner_indices.get(target).copied() else { return };
        let runner = &mut self.runners[index];
        runner.down = true;
        let lost = runner.crash();
        let changes = runner.cache.clear();
        self.publish(index, changes);
        for run in lost {
            if self.is_current(run) {
                self.fail_attempt(run);
            }
        }
    }

    /// Cuts the network between a data centre and all others, and fails the runs that wait for a
    /// first token across it.
    fn partition_data_centre(&mut self, target: &str) {
        let data_centres = &self.trace.fleet.data_centres;
        self.partitioned_data_centre =
            data_centres.iter().position(|data_centre| data_centre.name == target);
        let runs: Vec<RunId> = (0..self.requests.len())
            .map(|request| RunId { request, attempt: self.requests[request].attempt })
            .filter(|run| self.is_current(*run) && self.is_partitioned(*run))
            .collect();
        for run in runs {
            self.fail_attempt(run);
        }
    }

    /// Returns whether a run without a first token is at a runner that its entry process cannot
    /// reach. A run that already has its first token is not interrupted.
    fn is_partitioned(&self, run: RunId) -> bool {
        let state = &self.requests[run.request];
        let data_centre = self.entries[state.entry].data_centre;
        state.first_token_at.is_none()
            && self.route_of(run).is_some_and(|(_, runner)| {
                !self.can_reach(data_centre, self.runners[runner].data_centre)
            })
    }

    /// Starts a rollout of the next weight version to all runners. Both versions are served until
    /// the last runner has loaded.
    fn start_rollout(&mut self) {
        let next = self.weight_versions[0] + 1;
        self.weight_versions.insert(0, next);
        self.to_load = (0..self.runners.len()).collect();
        self.start_loads();
    }

    /// Starts weight loads up to `serving.loads_limit` at once.
    fn start_loads(&mut self) {
        let limit = self.trace.fleet.serving.loads_limit as usize;
        while self.loads < limit
            && let Some(index) = self.to_load.pop_front()
        {
            self.loads += 1;
            self.peak_loads = self.peak_loads.max(self.loads);
            self.runners[index].loading = true;
            let time = Duration::from_millis(self.trace.fleet.weight_load_ms);
            self.events.schedule(self.now + time, Event::WeightsLoaded(index));
        }
    }

    pub(super) fn weights_loaded(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        runner.loading = false;
        runner.weight_version = self.weight_versions[0];
        let changes = runner.cache.clear();
        self.publish(index, changes);
        self.loads -= 1;
        self.start_loads();
        if self.loads == 0 {
            self.weight_versions.truncate(1);
        }
    }
}
