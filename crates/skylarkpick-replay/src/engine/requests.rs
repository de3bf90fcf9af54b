//! The request lifecycle: arrival, admission, routing, runs and retries.

use super::{
    admission::Verdict,
    directory::{context_keys, last_key},
    event_queue::{ContextId, Event, RunId},
    runner::Prompt,
    simulation::Simulation,
};
use skylarkpick_schedule::{ContextPlan, Route};
use std::time::{Duration, Instant};

/// Time after which an attempt at an unreachable runner times out.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a request for which no runner was available is routed again.
const NO_RUNNER_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, number: usize) {
        let entry = self.requests[number].entry;
        match self.admission.admit(entry, number, &self.trace.requests[number], self.now) {
            Verdict::Start => self.route(RunId { request: number, attempt: 1 }),
            Verdict::Wait => {}
            Verdict::Refuse => self.finish(number),
        }
    }

    /// Ends a request.
    fn finish(&mut self, number: usize) {
        if !self.requests[number].ended {
            self.requests[number].ended = true;
            self.unfinished -= 1;
        }
    }

    /// Ends an admitted request, and starts waiting requests that can now run.
    fn finish_admitted(&mut self, number: usize) {
        self.finish(number);
        self.admission.request_ended(number, self.now);
        self.apply_admission_decisions();
    }

    /// Applies the admission verdicts that are due for waiting requests.
    pub(super) fn apply_admission_decisions(&mut self) {
        for (number, verdict) in self.admission.advance(self.now) {
            match verdict {
                Verdict::Start => {
                    let run = RunId { request: number, attempt: 1 };
                    self.events.schedule(self.now, Event::Route(run));
                }
                Verdict::Refuse => self.finish(number),
                Verdict::Wait => {}
            }
        }
    }

    pub(super) fn route(&mut self, run: RunId) {
        if !self.is_current(run) {
            return;
        }
        let number = run.request;
        let entry = self.requests[number].entry;
        self.deliver_reports(entry);
        self.set_prefix_keys(number);
        let now = self.instant();
        let Some(route) = self.choose(number, now) else { return self.retry_without_runner(run) };
        self.admission.run_started(number, &route.runner);
        let import = match &route.context {
            ContextPlan::Import(plan) => Some(plan.clone()),
            _ => None,
        };
        self.requests[number].route = Some(route);
        match import {
            Some(plan) => self.request_import(run, &plan),
            None => self.send_to_runner(run),
        }
    }

    /// Chooses a runner below its in-flight limit, or any runner if there is none below.
    fn choose(&mut self, number: usize, now: Instant) -> Option<Route> {
        let state = &self.requests[number];
        let routing = &mut self.entries[state.entry].routing;
        let full = self.admission.full_runners(number);
        if !full.is_empty() {
            let mut request = state.route_request.clone();
            request.avoid.extend(full);
            if let Some(route) = routing.choose(&request, &self.directory, now) {
                return Some(route);
            }
        }
        routing.choose(&state.route_request, &self.directory, now)
    }

    /// Sets the block keys of the prefix under every weight version in use.
    fn set_prefix_keys(&mut self, number: usize) {
        let tokens = self.trace.requests[number].prefix_tokens;
        let prefix = self.requests[number].prefix;
        let versions = self.weight_versions.iter();
        let keys = versions.map(|version| {
            (*version, context_keys(ContextId { prefix, weight_version: *version }, tokens))
        });
        self.requests[number].route_request.prefix_keys = keys.collect();
    }

    /// Routes a request again after a delay, or ends it at its deadline.
    fn retry_without_runner(&mut self, run: RunId) {
        let waited = self.now.saturating_sub(self.trace.requests[run.request].at);
        let deadline = Duration::from_millis(self.trace.fleet.serving.deadline_ms);
        if waited >= deadline {
            return self.finish_admitted(run.request);
        }
        self.requests[run.request].route_request.avoid.clear();
        self.events.schedule(self.now + NO_RUNNER_RETRY_DELAY, Event::Route(run));
    }

    pub(super) fn route_of(&self, run: RunId) -> Option<(Route, usize)> {
        let route = self.requests[run.request].route.clone()?;
        let runner = *self.runner_indices.get(&route.runner)?;
        Some((route, runner))
    }

    pub(super) fn send_to_runner(&mut self, run: RunId) {
        let Some((_, runner)) = self.route_of(run) else { return };
        let entry = self.requests[run.request].entry;
        let delay = self.delay(self.entries[entry].data_centre, self.runners[runner].data_centre);
        self.events.schedule(self.now + delay, Event::ReachRunner(run));
    }

    pub(super) fn reach_runner(&mut self, run: RunId) {
        if !self.is_current(run) {
            return;
        }
        let Some((route, index)) = self.route_of(run) else { return };
        let entry = self.requests[run.request].entry;
        let runner = &self.runners[index];
        if runner.down || !self.can_reach(self.entries[entry].data_centre, runner.data_centre) {
            return self.fail_attempt(run);
        }
        if runner.loading || runner.weight_version != route.weight_version {
            return self.retry_on_another_runner(run, Duration::ZERO, false);
        }
        let request = &self.trace.requests[run.request];
        let prefix = self.requests[run.request].prefix;
        self.runners[index].accept(Prompt {
            run,
            context: ContextId { prefix, weight_version: route.weight_version },
            prefix_tokens: request.prefix_tokens,
            question_tokens: request.question_tokens,
        });
        self.start_next_prefill(index);
    }

    /// Ends an attempt at a runner that does not respond, and retries on another runner.
    pub(super) fn fail_attempt(&mut self, run: RunId) {
        let Some((route, _)) = self.route_of(run) else { return };
        let entry = self.requests[run.request].entry;
        let now = self.instant();
        self.entries[entry].routing.observe_runner_failure(&route.runner, now);
        self.retry_on_another_runner(run, ATTEMPT_TIMEOUT, true);
    }

    /// Ends the current attempt and schedules the next, which avoids the runner of this one.
    fn retry_on_another_runner(&mut self, run: RunId, delay: Duration, failed: bool) {
        self.admission.run_ended(run.request, failed, self.now);
        let now = self.instant();
        let state = &mut self.requests[run.request];
        let Some(route) = state.route.take() else { return };
        let routing = &mut self.entries[state.entry].routing;
        routing.observe_run_end(&route, &state.route_request, false, now);
        state.route_request.avoid.push(route.runner);
        state.attempt += 1;
        let next = RunId { attempt: state.attempt, ..run };
        self.events.schedule(self.now + delay, Event::Route(next));
    }

    /// Starts the next prefill of a runner, and corrects the directory if the runner holds less of
    /// the prefix than recorded.
    pub(super) fn start_next_prefill(&mut self, index: usize) {
        let Some(prefill) = self.runners[index].start_next_prefill(self.now) else { return };
        let run = prefill.prompt.run;
        let epoch = self.runners[index].epoch;
        self.events.schedule(prefill.ends_at, Event::PrefillFinished { runner: index, run, epoch });
        if !self.is_current(run) {
            return;
        }
        let Some((route, _)) = self.route_of(run) else { return };
        let now = self.instant();
        let prompt_tokens = prefill.prompt.prefix_tokens + prefill.prompt.question_tokens;
        let entry = self.requests[run.request].entry;
        let routing = &mut self.entries[entry].routing;
        if routing.observe_run_start(&route, prompt_tokens, prefill.cached_tokens, now) {
            self.directory.set_held_tokens(index, prefill.prompt.context, prefill.cached_tokens);
        }
    }

    pub(super) fn prefill_finished(&mut self, index: usize, run: RunId) {
        let Some(prefill) = self.runners[index].finish_prefill() else { return };
        let prompt = prefill.prompt;
        let changes = self.runners[index].cache.put(prompt.context, prompt.prefix_tokens);
        self.publish(index, changes);
        self.requests[run.request].computed_prefix_tokens +=
            prompt.prefix_tokens - prefill.cached_tokens;
        let answer_tokens = self.trace.requests[run.request].answer_tokens as f64;
        let seconds = answer_tokens * self.trace.fleet.token_interval_ms / 1_000.0;
        let epoch = self.runners[index].epoch;
        let end = Event::RunFinished { runner: index, run, epoch };
        self.events.schedule(self.now + Duration::from_secs_f64(seconds), end);
        if self.is_current(run) {
            let uncached_tokens =
                prompt.prefix_tokens + prompt.question_tokens - prefill.cached_tokens;
            let seconds = uncached_tokens as f64 / self.trace.fleet.prefill_tokens_per_second;
            self.first_token(index, run, prompt, Duration::from_secs_f64(seconds));
        }
        self.start_next_prefill(index);
    }

    fn first_token(&mut self, index: usize, run: RunId, prompt: Prompt, prefill_time: Duration) {
        let Some((route, _)) = self.route_of(run) else { return };
        let now = self.instant();
        let entry = self.requests[run.request].entry;
        let data_centre = self.entries[entry].data_centre;
        let delay = self.delay(data_centre, self.runners[index].data_centre);
        let state = &mut self.requests[run.request];
        state.first_token_at.get_or_insert(self.now + delay);
        let routing = &mut self.entries[entry].routing;
        routing.observe_first_token(&route, &state.route_request, now);
        let waited = now.saturating_duration_since(route.chosen_at).saturating_sub(prefill_time);
        self.admission.first_token(run.request, waited, self.now);
        self.directory.set_held_tokens(index, prompt.context, prompt.prefix_tokens);
        self.prefix_tokens.insert(prompt.context.prefix, prompt.prefix_tokens);
        if self.policy.saves_prefixes() {
            let key = last_key(prompt.context, prompt.prefix_tokens);
            let account = &self.trace.requests[run.request].account;
            let decisions =
                self.saving.on_use(&route.runner, key, account, prompt.prefix_tokens, now);
            for decision in decisions {
                self.export(decision);
            }
        }
    }

    pub(super) fn run_finished(&mut self, index: usize, run: RunId) {
        self.runners[index].end(run);
        self.start_next_prefill(index);
        if !self.is_current(run) {
            return;
        }
        let Some((route, _)) = self.route_of(run) else { return };
        let now = self.instant();
        let state = &self.requests[run.request];
        let routing = &mut self.entries[state.entry].routing;
        routing.observe_run_end(&route, &state.route_request, true, now);
        self.admission.run_ended(run.request, false, self.now);
        self.finish_admitted(run.request);
    }
}
