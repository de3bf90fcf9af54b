//! The queues, limits and in-flight limits that entry processes run.

use super::{AdmissionControl, Verdict};
use crate::trace::{Fleet, TraceRequest};
use skylarkpick_interface::Priority;
use skylarkpick_schedule::{
    AccountLimits, Admission, AdmissionDecision, AdmissionRequest, QueueDecision, QueuedId,
    TargetHealth,
};
use std::{collections::BTreeMap, time::Duration};

/// Wait of first tokens above which a runner's in-flight limit shrinks, as in entry processes.
const WAIT_LIMIT: Duration = Duration::from_millis(400);
/// Limits that no account of a trace reaches.
const NO_LIMITS: AccountLimits =
    AccountLimits { requests_limit: u32::MAX, tokens_per_second_limit: 1e18 };

/// Admission of one entry process.
struct Gate {
    queues: Admission,
    health: TargetHealth,
    numbers: BTreeMap<QueuedId, usize>,
}

/// The queues, limits and in-flight limits that entry processes run, one set for each.
pub struct EntryAdmission {
    model: String,
    deadline: Duration,
    prefill_tokens_per_second: f64,
    gates: Vec<Gate>,
    /// Entry process and name in its queue, by request.
    places: BTreeMap<usize, (usize, QueuedId)>,
    runners: BTreeMap<usize, String>,
}

impl EntryAdmission {
    /// Opens the admission of every entry process of a fleet.
    pub fn open(fleet: &Fleet, runners: &[String]) -> EntryAdmission {
        let slots: BTreeMap<String, u32> =
            runners.iter().map(|runner| (runner.clone(), fleet.slots)).collect();
        let gate = || {
            let mut health = TargetHealth::open(WAIT_LIMIT);
            health.set_targets(&slots);
            Gate { queues: Admission::open(fleet.entries()), health, numbers: BTreeMap::new() }
        };
        EntryAdmission {
            model: fleet.model.clone(),
            deadline: Duration::from_millis(fleet.serving.deadline_ms),
            prefill_tokens_per_second: fleet.prefill_tokens_per_second,
            gates: (0..fleet.entries()).map(|_| gate()).collect(),
            places: BTreeMap::new(),
            runners: BTreeMap::new(),
        }
    }

    fn health_of(&mut self, number: usize) -> Option<(&mut TargetHealth, &str)> {
        let (entry, _) = self.places.get(&number)?;
        let runner = self.runners.get(&number)?;
        Some((&mut self.gates[*entry].health, runner))
    }
}

impl Gate {
    fn set_capacity(&mut self, model: &str) {
        self.queues.set_capacity(model, self.health.capacity() as usize);
    }
}

impl AdmissionControl for EntryAdmission {
    fn offer(
        &mut self,
        entry: usize,
        number: usize,
        request: &TraceRequest,
        now: Duration,
    ) -> Verdict {
        let prompt_tokens = request.prefix_tokens + request.question_tokens;
        let seconds = prompt_tokens as f64 / self.prefill_tokens_per_second;
        let offer = AdmissionRequest {
            account: request.account.clone(),
            model: self.model.clone(),
            weight: 1.0,
            limits: NO_LIMITS,
            priority: Priority::Normal,
            cost_tokens: prompt_tokens + request.answer_tokens,
            start_by: (now + self.deadline).saturating_sub(Duration::from_secs_f64(seconds)),
        };
        let gate = &mut self.gates[entry];
        gate.set_capacity(&self.model);
        let (verdict, id) = match gate.queues.admit(&offer, now) {
            AdmissionDecision::Start(id) => (Verdict::Start, id),
            AdmissionDecision::Queued(id) => (Verdict::Wait, id),
            AdmissionDecision::Refused(_) => return Verdict::Refuse,
        };
        gate.numbers.insert(id, number);
        self.places.insert(number, (entry, id));
        verdict
    }

    fn ended(&mut self, number: usize, _: Duration) {
        if let Some((entry, id)) = self.places.remove(&number) {
            self.gates[entry].queues.release(id);
            self.gates[entry].numbers.remove(&id);
        }
    }

    fn release(&mut self, now: Duration) -> Vec<(usize, Verdict)> {
        let mut released = Vec::new();
        for gate in &mut self.gates {
            gate.set_capacity(&self.model);
            for verdict in gate.queues.advance(now) {
                let (id, verdict) = match verdict {
                    QueueDecision::Start(id) => (id, Verdict::Start),
                    QueueDecision::Refused(id, _) => (id, Verdict::Refuse),
                };
                released.extend(gate.numbers.get(&id).map(|number| (*number, verdict)));
            }
        }
        released
    }

    fn full(&self, number: usize) -> Vec<String> {
        self.places.get(&number).map_or(Vec::new(), |(entry, _)| self.gates[*entry].health.full())
    }

    fn run_began(&mut self, number: usize, runner: &str) {
        self.runners.insert(number, runner.to_string());
        if let Some((health, runner)) = self.health_of(number) {
            health.begin(runner);
        }
    }

    fn first_token(&mut self, number: usize, waited: Duration, now: Duration) {
        if let Some((health, runner)) = self.health_of(number) {
            health.observe_first_token(runner, waited, now);
        }
    }

    fn run_ended(&mut self, number: usize, failed: bool, now: Duration) {
        if let Some((health, runner)) = self.health_of(number) {
            health.end(runner, failed, now);
        }
        self.runners.remove(&number);
    }
}
