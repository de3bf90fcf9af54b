//! What the router learns from reports, answers and transfers.

use super::{
    router::Router,
    types::{CacheMismatch, ContextPlan, ImportPlan, Route, RouteRequest},
};
use skylarkpick_interface::{LoadReport, RunnerId, RunnerStatus, StoreStatus};
use std::time::{Duration, Instant};

impl Router {
    /// Takes in a load report, whose `age` says how long ago it was true.
    pub fn observe_load(&mut self, runner: &str, load: LoadReport, now: Instant) {
        let corrects = self.rules.corrects_reports;
        let Some(place) = self.runner_place(runner) else { return };
        let runner = &mut self.runners[place];
        runner.leaving |= load.leaving;
        let taken_at = now.checked_sub(load.age).unwrap_or(now);
        let rate = load.prefill_tokens_per_second.max(1.0);
        let waiting = load.queued_prompt_tokens as f64;
        let runs = f64::from(load.active_runs + load.queued_runs);
        if corrects {
            runner.backlog.report(waiting, rate, taken_at, now);
            runner.runs.report(runs, 0.0, taken_at, now);
        } else {
            runner.backlog.replace(waiting, now);
            runner.runs.replace(runs, now);
        }
        runner.load = load;
        runner.reported_at = Some(now);
    }

    /// Takes in what a runner says that it serves. A new start of the runner is no longer leaving;
    /// words of an earlier start are dropped.
    pub fn observe_status(&mut self, runner: &str, status: &RunnerStatus) {
        let Some(place) = self.runner_place(runner) else { return };
        let runner = &mut self.runners[place];
        if status.incarnation < runner.incarnation {
            return;
        }
        let restarted = runner.incarnation > 0 && status.incarnation > runner.incarnation;
        runner.incarnation = status.incarnation;
        runner.leaving = status.leaving || (runner.leaving && !restarted);
        runner.loading = status.loading.is_some();
        runner.weight_version = Some(status.weight_version);
    }

    /// Notes that a runner leaves.
    pub fn observe_leaving(&mut self, runner: &str) {
        if let Some(place) = self.runner_place(runner) {
            self.runners[place].leaving = true;
        }
    }

    /// Notes that a runner could not be reached; it is left out until its next report.
    pub fn observe_failure(&mut self, runner: &str, now: Instant) {
        if let Some(place) = self.runner_place(runner) {
            self.runners[place].failed_at = Some(now);
        }
    }

    /// Leaves these runners out, and takes all others in again.
    pub fn set_ejected(&mut self, ejected: &[RunnerId]) {
        for runner in &mut self.runners {
            runner.ejected = ejected.contains(&runner.name);
        }
    }

    /// Adds what a peer says that it sent to a runner since its report.
    pub fn observe_peer_sent(&mut self, runner: &str, tokens: u64, runs: u32, now: Instant) {
        if let Some(place) = self.runner_place(runner) {
            let runner = &mut self.runners[place];
            runner.backlog.add(tokens as f64, runner.prefill_rate(), now);
            runner.runs.add(f64::from(runs), 0.0, now);
        }
    }

    /// Takes in what a store reports of its link.
    pub fn observe_store(&mut self, store: &str, status: &StoreStatus, now: Instant) {
        let Some(place) = self.store_place(store) else { return };
        let store = &mut self.stores[place];
        store.unusable = status.leaving;
        if status.link_bytes_per_second > 0.0 {
            store.link_rate = status.link_bytes_per_second;
        }
        let rate = store.link_rate;
        store.backlog.report(status.link_queued_bytes as f64, rate, now, now);
    }

    /// Notes that a store cannot be reached, until its next report.
    pub fn observe_store_failure(&mut self, store: &str) {
        if let Some(place) = self.store_place(store) {
            self.stores[place].unusable = true;
        }
    }

    /// Notes that an import has ended; `took` is its length, waiting
    /// included, if it succeeded.
    pub fn observe_import_end(&mut self, runner: &str, plan: &ImportPlan, took: Option<Duration>) {
        if let Some(place) = self.runner_place(runner) {
            self.imports.end(place, plan.prefix_key);
        }
        let Some(place) = self.store_place(&plan.store) else { return };
        if let Some(took) = took {
            self.stores[place].note_import(plan.tier, plan.size_bytes, took.as_secs_f64());
        }
    }

    /// Takes in how many tokens the runner's cache spared. Gives what to correct in the
    /// directory when that is not what the route expected.
    pub fn observe_started(
        &mut self,
        route: &Route,
        prompt_tokens: u64,
        cached_tokens: u64,
        now: Instant,
    ) -> Option<CacheMismatch> {
        let expected_tokens = route.spared_tokens();
        let place = self.runner_place(&route.runner)?;
        let runner = &mut self.runners[place];
        let computes = prompt_tokens.saturating_sub(cached_tokens) as f64;
        let difference = computes - route.compute_tokens as f64;
        if difference != 0.0 {
            runner.backlog.add(difference, runner.prefill_rate(), now);
        }
        (expected_tokens != cached_tokens).then(|| CacheMismatch {
            runner: route.runner.clone(),
            expected_tokens,
            held_tokens: cached_tokens,
        })
    }

    /// Notes that a run has its first token.
    pub fn observe_first_token(&mut self, route: &Route, request: &RouteRequest, now: Instant) {
        let Some(place) = self.runner_place(&route.runner) else { return };
        let runner = &mut self.runners[place];
        runner.backlog.finish_until(route.chosen_at, runner.prefill_rate(), now);
        self.pending.remove(place, request.keys(route.weight_version));
    }

    /// Notes that a run has ended, before its first token or after.
    pub fn observe_end(
        &mut self,
        route: &Route,
        request: &RouteRequest,
        had_first_token: bool,
        now: Instant,
    ) {
        let Some(place) = self.runner_place(&route.runner) else { return };
        let runner = &mut self.runners[place];
        runner.in_flight = runner.in_flight.saturating_sub(1);
        runner.runs.add(-1.0, 0.0, now);
        if had_first_token {
            let length = now.saturating_duration_since(route.chosen_at);
            runner.note_run_length(length.as_secs_f64());
            return;
        }
        let rate = runner.prefill_rate();
        runner.backlog.add(-(route.compute_tokens as f64), rate, now);
        self.pending.remove(place, request.keys(route.weight_version));
        if let ContextPlan::Import(plan) = &route.context {
            self.imports.leave(place, plan.prefix_key);
        }
        self.imports.forget_overdue(now);
    }
}
