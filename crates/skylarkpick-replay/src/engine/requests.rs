//! The way of a request: arrival, routing, its runner, its end.

use super::{
    admission::Verdict,
    agenda::{ContextId, Event, RunId},
    beliefs::{context_keys, last_key},
    runner::Prompt,
    world::World,
};
use skylarkpick_schedule::{ContextPlan, Route};
use std::time::{Duration, Instant};

/// Time after which an unreachable runner is given up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a request without a runner is routed again.
const NO_RUNNER_PAUSE: Duration = Duration::from_millis(200);

impl World<'_> {
    pub(super) fn arrive(&mut self, number: usize) {
        let entry = self.requests[number].entry;
        match self.admission.offer(entry, number, &self.trace.requests[number], self.now) {
            Verdict::Start => self.route(RunId { request: number, attempt: 1 }),
            Verdict::Wait => {}
            Verdict::Refuse => self.finish(number),
        }
    }

    fn finish(&mut self, number: usize) {
        if !self.requests[number].ended {
            self.requests[number].ended = true;
            self.unfinished -= 1;
        }
    }

    /// Ends a request that was started, and starts those that waited for it.
    fn finish_started(&mut self, number: usize) {
        self.finish(number);
        self.admission.ended(number, self.now);
        self.release_waiting();
    }

    /// Carries out the verdicts about requests that waited.
    pub(super) fn release_waiting(&mut self) {
        for (number, verdict) in self.admission.release(self.now) {
            match verdict {
                Verdict::Start => {
                    let run = RunId { request: number, attempt: 1 };
                    self.agenda.add(self.now, Event::Route(run));
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
        self.hand_over_reports(entry);
        self.name_keys(number);
        let now = self.instant();
        let Some(route) = self.choose(number, now) else { return self.no_runner(run) };
        self.admission.run_began(number, &route.runner);
        let import = match &route.context {
            ContextPlan::Import(plan) => Some(plan.clone()),
            _ => None,
        };
        self.requests[number].route = Some(route);
        match import {
            Some(plan) => self.ask_for_import(run, &plan),
            None => self.send_to_runner(run),
        }
    }

    /// Chooses among the runners that are not full, or among all if all are.
    fn choose(&mut self, number: usize, now: Instant) -> Option<Route> {
        let state = &self.requests[number];
        let placement = &mut self.entries[state.entry].placement;
        let full = self.admission.full(number);
        if !full.is_empty() {
            let mut request = state.route_request.clone();
            request.avoid.extend(full);
            if let Some(route) = placement.choose(&request, &self.beliefs, now) {
                return Some(route);
            }
        }
        placement.choose(&state.route_request, &self.beliefs, now)
    }

    fn name_keys(&mut self, number: usize) {
        let tokens = self.trace.requests[number].prefix_tokens;
        let prefix = self.requests[number].prefix;
        let versions = self.weight_versions.iter();
        let keys = versions.map(|version| {
            (*version, context_keys(ContextId { prefix, weight_version: *version }, tokens))
        });
        self.requests[number].route_request.prefix_keys = keys.collect();
    }

    fn no_runner(&mut self, run: RunId) {
        let waited = self.now.saturating_sub(self.trace.requests[run.request].at);
        let deadline = Duration::from_millis(self.trace.fleet.serving.deadline_ms);
        if waited >= deadline {
            return self.finish_started(run.request);
        }
        self.requests[run.request].route_request.avoid.clear();
        self.agenda.add(self.now + NO_RUNNER_PAUSE, Event::Route(run));
    }

    pub(super) fn route_of(&self, run: RunId) -> Option<(Route, usize)> {
        let route = self.requests[run.request].route.clone()?;
        let runner = *self.runner_places.get(&route.runner)?;
        Some((route, runner))
    }

    pub(super) fn send_to_runner(&mut self, run: RunId) {
        let Some((_, runner)) = self.route_of(run) else { return };
        let entry = self.requests[run.request].entry;
        let delay = self.delay(self.entries[entry].data_centre, self.runners[runner].data_centre);
        self.agenda.add(self.now + delay, Event::ReachRunner(run));
    }

    pub(super) fn reach_runner(&mut self, run: RunId) {
        if !self.is_current(run) {
            return;
        }
        let Some((route, place)) = self.route_of(run) else { return };
        let entry = self.requests[run.request].entry;
        let runner = &self.runners[place];
        if runner.down || !self.reaches(self.entries[entry].data_centre, runner.data_centre) {
            return self.fail_attempt(run);
        }
        if runner.loading || runner.weight_version != route.weight_version {
            return self.try_elsewhere(run, Duration::ZERO, false);
        }
        let request = &self.trace.requests[run.request];
        let prefix = self.requests[run.request].prefix;
        self.runners[place].accept(Prompt {
            run,
            context: ContextId { prefix, weight_version: route.weight_version },
            prefix_tokens: request.prefix_tokens,
            question_tokens: request.question_tokens,
        });
        self.begin_next(place);
    }

    /// Gives up an attempt at a runner that does not answer.
    pub(super) fn fail_attempt(&mut self, run: RunId) {
        let Some((route, _)) = self.route_of(run) else { return };
        let entry = self.requests[run.request].entry;
        let now = self.instant();
        self.entries[entry].placement.runner_failed(&route.runner, now);
        self.try_elsewhere(run, ATTEMPT_TIMEOUT, true);
    }

    fn try_elsewhere(&mut self, run: RunId, pause: Duration, failed: bool) {
        self.admission.run_ended(run.request, failed, self.now);
        let now = self.instant();
        let state = &mut self.requests[run.request];
        let Some(route) = state.route.take() else { return };
        let placement = &mut self.entries[state.entry].placement;
        placement.ended(&route, &state.route_request, false, now);
        state.route_request.avoid.push(route.runner);
        state.attempt += 1;
        let again = RunId { attempt: state.attempt, ..run };
        self.agenda.add(self.now + pause, Event::Route(again));
    }

    pub(super) fn begin_next(&mut self, place: usize) {
        let Some(begun) = self.runners[place].begin_next(self.now) else { return };
        let run = begun.prompt.run;
        let epoch = self.runners[place].epoch;
        self.agenda.add(begun.ends_at, Event::Computed { runner: place, run, epoch });
        if !self.is_current(run) {
            return;
        }
        let Some((route, _)) = self.route_of(run) else { return };
        let now = self.instant();
        let prompt_tokens = begun.prompt.prefix_tokens + begun.prompt.question_tokens;
        let entry = self.requests[run.request].entry;
        let placement = &mut self.entries[entry].placement;
        if placement.started(&route, prompt_tokens, begun.cached_tokens, now) {
            self.beliefs.set_held(place, begun.prompt.context, begun.cached_tokens);
        }
    }

    pub(super) fn computed(&mut self, place: usize, run: RunId) {
        let Some(begun) = self.runners[place].computed() else { return };
        let prompt = begun.prompt;
        let changes = self.runners[place].cache.put(prompt.context, prompt.prefix_tokens);
        self.publish(place, changes);
        self.requests[run.request].computed_prefix_tokens +=
            prompt.prefix_tokens - begun.cached_tokens;
        let answer_tokens = self.trace.requests[run.request].answer_tokens as f64;
        let seconds = answer_tokens * self.trace.fleet.token_interval_ms / 1_000.0;
        let epoch = self.runners[place].epoch;
        let end = Event::RunEnd { runner: place, run, epoch };
        self.agenda.add(self.now + Duration::from_secs_f64(seconds), end);
        if self.is_current(run) {
            let rest = prompt.prefix_tokens + prompt.question_tokens - begun.cached_tokens;
            let seconds = rest as f64 / self.trace.fleet.prefill_tokens_per_second;
            self.first_token(place, run, prompt, Duration::from_secs_f64(seconds));
        }
        self.begin_next(place);
    }

    fn first_token(&mut self, place: usize, run: RunId, prompt: Prompt, computing: Duration) {
        let Some((route, _)) = self.route_of(run) else { return };
        let now = self.instant();
        let entry = self.requests[run.request].entry;
        let centre = self.entries[entry].data_centre;
        let delay = self.delay(centre, self.runners[place].data_centre);
        let state = &mut self.requests[run.request];
        state.first_token_at.get_or_insert(self.now + delay);
        let placement = &mut self.entries[entry].placement;
        placement.first_token(&route, &state.route_request, now);
        let waited = now.saturating_duration_since(route.chosen_at).saturating_sub(computing);
        self.admission.first_token(run.request, waited, self.now);
        self.beliefs.set_held(place, prompt.context, prompt.prefix_tokens);
        self.prefix_tokens.insert(prompt.context.prefix, prompt.prefix_tokens);
        if self.policy.saves() {
            let key = last_key(prompt.context, prompt.prefix_tokens);
            let account = &self.trace.requests[run.request].account;
            let decisions =
                self.saving.on_use(&route.runner, key, account, prompt.prefix_tokens, now);
            for decision in decisions {
                self.export(decision);
            }
        }
    }

    pub(super) fn run_end(&mut self, place: usize, run: RunId) {
        self.runners[place].end(run);
        self.begin_next(place);
        if !self.is_current(run) {
            return;
        }
        let Some((route, _)) = self.route_of(run) else { return };
        let now = self.instant();
        let state = &self.requests[run.request];
        let placement = &mut self.entries[state.entry].placement;
        placement.ended(&route, &state.route_request, true, now);
        self.admission.run_ended(run.request, false, self.now);
        self.finish_started(run.request);
    }
}
