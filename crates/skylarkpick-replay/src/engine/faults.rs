//! Reports and faults.

use super::{
    agenda::{Event, RunId},
    store::Purpose,
    world::{Reports, World},
};
use crate::trace::FaultKind;
use skylarkpick_interface::{LoadReport, RunnerStatus, StoreStatus};
use std::time::Duration;

/// Age to which reports are kept for entry processes that get them late.
const REPORTS_KEPT: Duration = Duration::from_secs(15);

impl World<'_> {
    pub(super) fn take_reports(&mut self) {
        self.release_waiting();
        let reports = Reports {
            taken_at: self.now,
            runners: (0..self.runners.len()).map(|place| self.runner_report(place)).collect(),
            stores: (0..self.stores.len()).map(|place| self.store_report(place)).collect(),
        };
        self.reports.push_back(reports);
        while let Some(first) = self.reports.front()
            && first.taken_at + REPORTS_KEPT < self.now
        {
            self.reports.pop_front();
        }
        for store in &self.stores {
            self.saving.set_store(store.room());
        }
        let interval = Duration::from_millis(self.trace.fleet.load_report_interval_ms);
        self.agenda.add(self.now + interval, Event::Report);
    }

    fn runner_report(&self, place: usize) -> Option<(LoadReport, RunnerStatus)> {
        let runner = &self.runners[place];
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

    fn store_report(&self, place: usize) -> Option<StoreStatus> {
        let store = &self.stores[place];
        (!store.down).then(|| StoreStatus {
            link_bytes_per_second: store.link_rate(),
            link_queued_bytes: store.queue.waiting_bytes(true),
            ..StoreStatus::default()
        })
    }

    /// Gives an entry process the newest reports that are old enough to have come.
    pub(super) fn hand_over_reports(&mut self, entry: usize) {
        let come = |reports: &&Reports| reports.taken_at + self.report_age <= self.now;
        let Some(newest) = self.reports.iter().rev().find(come) else { return };
        let state = &self.entries[entry];
        if state.reports_until.is_some_and(|until| newest.taken_at <= until) {
            return;
        }
        let (centre, now) = (state.data_centre, self.instant());
        let age = self.now - newest.taken_at;
        let reachable: Vec<bool> =
            self.runners.iter().map(|runner| self.reaches(centre, runner.data_centre)).collect();
        let stores: Vec<bool> =
            self.stores.iter().map(|store| self.reaches(centre, store.data_centre)).collect();
        let state = &mut self.entries[entry];
        for (place, report) in newest.runners.iter().enumerate().filter(|(at, _)| reachable[*at]) {
            if let Some((load, status)) = report {
                let load = LoadReport { age, ..load.clone() };
                state.placement.runner_report(&self.runners[place].name, &load, status, now);
            }
        }
        for (place, report) in newest.stores.iter().enumerate().filter(|(at, _)| stores[*at]) {
            if let Some(status) = report {
                state.placement.store_report(&self.stores[place].sizes.name, status, now);
            }
        }
        state.reports_until = Some(newest.taken_at);
    }

    pub(super) fn begin_fault(&mut self, number: usize) {
        let fault = self.trace.faults[number].clone();
        let target = fault.target.as_deref().unwrap_or_default();
        match fault.kind {
            FaultKind::StoreDown => self.set_store_down(target, true),
            FaultKind::SlowLink => self.set_link_factor(target, fault.factor.unwrap_or(1.0)),
            FaultKind::RunnerDown => self.crash_runner(target),
            FaultKind::DataCentreCut => self.cut_data_centre(target),
            FaultKind::WeightSwap => self.begin_roll_out(),
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
                if let Some(place) = self.runner_places.get(target) {
                    self.runners[*place].down = false;
                }
            }
            FaultKind::DataCentreCut => self.cut = None,
            FaultKind::WeightSwap => {}
            FaultKind::LateReports => {
                self.report_age = Duration::from_millis(self.trace.fleet.load_report_age_ms);
            }
        }
    }

    fn set_link_factor(&mut self, target: &str, factor: f64) {
        let is_struck = |name: &str| target.is_empty() || target == name;
        for store in self.stores.iter_mut().filter(|store| is_struck(&store.sizes.name)) {
            store.set_link_factor(factor);
        }
    }

    fn set_store_down(&mut self, target: &str, down: bool) {
        let Some(place) = self.store_places.get(target).copied() else { return };
        self.stores[place].down = down;
        if !down {
            return;
        }
        let broken = self.stores[place].crash();
        self.saving.note_store_emptied(target);
        self.saving.set_store(self.stores[place].room());
        self.beliefs.remove_store(target);
        for transfer in broken {
            if let Purpose::Import { waiters, .. } = transfer.purpose {
                for run in waiters {
                    self.agenda.add(self.now, Event::ImportFailed(run));
                }
            }
        }
    }

    fn crash_runner(&mut self, target: &str) {
        let Some(place) = self.runner_places.get(target).copied() else { return };
        let runner = &mut self.runners[place];
        runner.down = true;
        let lost = runner.crash();
        let changes = runner.cache.clear();
        self.publish(place, changes);
        for run in lost {
            if self.is_current(run) {
                self.fail_attempt(run);
            }
        }
    }

    fn cut_data_centre(&mut self, target: &str) {
        let centres = &self.trace.fleet.data_centres;
        self.cut = centres.iter().position(|centre| centre.name == target);
        let runs: Vec<RunId> = (0..self.requests.len())
            .map(|request| RunId { request, attempt: self.requests[request].attempt })
            .filter(|run| self.is_current(*run) && self.is_cut_off(*run))
            .collect();
        for run in runs {
            self.fail_attempt(run);
        }
    }

    /// Whether a run without a first token is at a runner that its entry process cannot reach.
    fn is_cut_off(&self, run: RunId) -> bool {
        let state = &self.requests[run.request];
        let centre = self.entries[state.entry].data_centre;
        state.first_token_at.is_none()
            && self
                .route_of(run)
                .is_some_and(|(_, runner)| !self.reaches(centre, self.runners[runner].data_centre))
    }

    fn begin_roll_out(&mut self) {
        let next = self.weight_versions[0] + 1;
        self.weight_versions.insert(0, next);
        self.to_load = (0..self.runners.len()).collect();
        self.begin_loads();
    }

    fn begin_loads(&mut self) {
        let limit = self.trace.fleet.serving.loads_limit as usize;
        while self.loads < limit
            && let Some(place) = self.to_load.pop_front()
        {
            self.loads += 1;
            self.loads_at_once = self.loads_at_once.max(self.loads);
            self.runners[place].loading = true;
            let time = Duration::from_millis(self.trace.fleet.weight_load_ms);
            self.agenda.add(self.now + time, Event::WeightsLoaded(place));
        }
    }

    pub(super) fn weights_loaded(&mut self, place: usize) {
        let runner = &mut self.runners[place];
        runner.loading = false;
        runner.weight_version = self.weight_versions[0];
        let changes = runner.cache.clear();
        self.publish(place, changes);
        self.loads -= 1;
        self.begin_loads();
        if self.loads == 0 {
            self.weight_versions.truncate(1);
        }
    }
}
