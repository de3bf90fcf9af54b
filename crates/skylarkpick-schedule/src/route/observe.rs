//! Updates of the router's state from reports, responses and transfers.

use super::{
    router::Router,
    types::{CacheMismatch, ContextPlan, ImportPlan, Route, RouteRequest},
};
use skylarkpick_interface::{LoadReport, RunnerId, RunnerStatus, StoreStatus};
use std::time::{Duration, Instant};

impl Router {
    /// Applies a load report, which was taken `age` ago.
    pub fn observe_load(&mut self, runner: &str, load: LoadReport, now: Instant) {
        let corrects = self.rules.corrects_reports;
        let Some(index) = self.runner_index(runner) else { return };
        let runner = &mut self.runners[index];
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

    /// Applies a status that a runner reported. Ignores a status of an earlier incarnation. A new
    /// incarnation is no longer leaving.
    pub fn observe_status(&mut self, runner: &str, status: &RunnerStatus) {
        let Some(index) = self.runner_index(runner) else { return };
        let runner = &mut self.runners[index];
        if status.incarnation < runner.incarnation {
            return;
        }
        let restarted = runner.incarnation > 0 && status.incarnation > runner.incarnation;
        runner.incarnation = status.incarnation;
        runner.leaving = status.leaving || (runner.leaving && !restarted);
        runner.loading = status.loading.is_some();
        runner.weight_version = Some(status.weight_version);
    }

    /// Records that a runner is leaving.
    pub fn observe_leaving(&mut self, runner: &str) {
        if let Some(index) = self.runner_index(runner) {
            self.runners[index].leaving = true;
        }
    }

    /// Records that a runner was unreachable. It isn't used until its next load report, unless no
    /// other runner is healthy.
    pub fn observe_failure(&mut self, runner: &str, now: Instant) {
        if let Some(index) = self.runner_index(runner) {
            self.runners[index].failed_at = Some(now);
        }
    }

    /// Sets the ejected runners. All others are no longer ejected.
    pub fn set_ejected(&mut self, ejected: &[RunnerId]) {
        for runner in &mut self.runners {
            runner.ejected = ejected.contains(&runner.name);
        }
    }

    /// Adds the load that a peer reported to have sent to a runner since the runner's report.
    pub fn observe_peer_sent(&mut self, runner: &str, tokens: u64, runs: u32, now: Instant) {
        if let Some(index) = self.runner_index(runner) {
            let runner = &mut self.runners[index];
            runner.backlog.add(tokens as f64, runner.prefill_rate(), now);
            runner.runs.add(f64::from(runs), 0.0, now);
        }
    }

    /// Applies a status that a store reported, in particular the state of its link.
    pub fn observe_store(&mut self, store: &str, status: &StoreStatus, now: Instant) {
        let Some(index) = self.store_index(store) else { return };
        let store = &mut self.stores[index];
        store.unusable = status.leaving;
        if status.link_bytes_per_second > 0.0 {
            store.link_rate = status.link_bytes_per_second;
        }
        let rate = store.link_rate;
        store.backlog.report(status.link_queued_bytes as f64, rate, now, now);
    }

    /// Records that a store is unreachable. It isn't used until its next status.
    pub fn observe_store_failure(&mut self, store: &str) {
        if let Some(index) = self.store_index(store) {
            self.stores[index].unusable = true;
        }
    }

    /// Records the end of an import. `took` is its total duration if it succeeded.
    pub fn observe_import_end(&mut self, runner: &str, plan: &ImportPlan, took: Option<Duration>) {
        if let Some(index) = self.runner_index(runner) {
            self.imports.end(index, plan.prefix_key);
        }
        let Some(index) = self.store_index(&plan.store) else { return };
        if let Some(took) = took {
            self.stores[index].note_import(plan.tier, plan.size_bytes, took.as_secs_f64());
        }
    }

    /// Records how many prompt tokens the runner had cached. Returns the mismatch to correct in the
    /// prefix directory if the route expected another number.
    pub fn observe_started(
        &mut self,
        route: &Route,
        prompt_tokens: u64,
        cached_tokens: u64,
        now: Instant,
    ) -> Option<CacheMismatch> {
        let expected_tokens = route.reused_tokens();
        let index = self.runner_index(&route.runner)?;
        let runner = &mut self.runners[index];
        let compute_tokens = prompt_tokens.saturating_sub(cached_tokens) as f64;
        let difference = compute_tokens - route.compute_tokens as f64;
        if difference != 0.0 {
            runner.backlog.add(difference, runner.prefill_rate(), now);
        }
        (expected_tokens != cached_tokens).then(|| CacheMismatch {
            runner: route.runner.clone(),
            expected_tokens,
            held_tokens: cached_tokens,
        })
    }

    /// Records that a run has produced its first token.
    pub fn observe_first_token(&mut self, route: &Route, request: &RouteRequest, now: Instant) {
        let Some(index) = self.runner_index(&route.runner) else { return };
        let runner = &mut self.runners[index];
        runner.backlog.finish_until(route.chosen_at, runner.prefill_rate(), now);
        self.pending.remove(index, request.keys(route.weight_version));
    }

    /// Records that a run has ended, before or after its first token.
    pub fn observe_end(
        &mut self,
        route: &Route,
        request: &RouteRequest,
        had_first_token: bool,
        now: Instant,
    ) {
        let Some(index) = self.runner_index(&route.runner) else { return };
        let runner = &mut self.runners[index];
        runner.in_flight = runner.in_flight.saturating_sub(1);
        runner.runs.add(-1.0, 0.0, now);
        if had_first_token {
            let length = now.saturating_duration_since(route.chosen_at);
            runner.note_run_length(length.as_secs_f64());
            return;
        }
        let rate = runner.prefill_rate();
        runner.backlog.add(-(route.compute_tokens as f64), rate, now);
        self.pending.remove(index, request.keys(route.weight_version));
        if let ContextPlan::Import(plan) = &route.context {
            self.imports.remove_waiter(index, plan.prefix_key);
        }
        self.imports.drop_overdue(now);
    }
}
