//! Admission control with the queues and in-flight limits of the schedule crate, as entry
//! processes use them.

use super::{AdmissionControl, Verdict};
use crate::trace::{Fleet, TraceRequest};
use skylarkpick_interface::Priority;
use skylarkpick_schedule::{
    AccountLimits, Admission, AdmissionDecision, AdmissionRequest, QueueDecision, QueuedId,
    TargetHealth,
};
use std::{collections::BTreeMap, time::Duration};

/// Wait for a first token above which a runner's in-flight limit shrinks. Entry processes use
/// the same value.
const FIRST_TOKEN_WAIT_LIMIT: Duration = Duration::from_millis(400);
/// Account limits that no trace reaches.
const NO_LIMITS: AccountLimits =
    AccountLimits { requests_limit: u32::MAX, tokens_per_second_limit: 1e18 };

/// Admission state of one entry process.
struct EntryQueues {
    admission: Admission,
    health: TargetHealth,
    request_numbers: BTreeMap<QueuedId, usize>,
}

/// Admission control as entry processes run it, with separate state for each entry process.
pub struct EntryAdmission {
    model: String,
    deadline: Duration,
    prefill_tokens_per_second: f64,
    entries: Vec<EntryQueues>,
    /// Entry process and queue id of each admitted or waiting request, by request number.
    queue_ids: BTreeMap<usize, (usize, QueuedId)>,
    /// Runner of the current run of each request, by request number.
    runners: BTreeMap<usize, String>,
}

impl EntryAdmission {
    /// Creates the admission state of every entry process of a fleet.
    pub fn open(fleet: &Fleet, runners: &[String]) -> EntryAdmission {
        let slots: BTreeMap<String, u32> =
            runners.iter().map(|runner| (runner.clone(), fleet.slots)).collect();
        let entry_queues = || {
            let mut health = TargetHealth::open(FIRST_TOKEN_WAIT_LIMIT);
            health.set_targets(&slots);
            EntryQueues {
                admission: Admission::open(fleet.entries()),
                health,
                request_numbers: BTreeMap::new(),
            }
        };
        EntryAdmission {
            model: fleet.model.clone(),
            deadline: Duration::from_millis(fleet.serving.deadline_ms),
            prefill_tokens_per_second: fleet.prefill_tokens_per_second,
            entries: (0..fleet.entries()).map(|_| entry_queues()).collect(),
            queue_ids: BTreeMap::new(),
            runners: BTreeMap::new(),
        }
    }

    fn health_of(&mut self, number: usize) -> Option<(&mut TargetHealth, &str)> {
        let (entry, _) = self.queue_ids.get(&number)?;
        let runner = self.runners.get(&number)?;
        Some((&mut self.entries[*entry].health, runner))
    }
}

impl EntryQueues {
    fn set_capacity(&mut self, model: &str) {
        self.admission.set_capacity(model, self.health.capacity() as usize);
    }
}

impl AdmissionControl for EntryAdmission {
    fn admit(
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
        let entry_queues = &mut self.entries[entry];
        entry_queues.set_capacity(&self.model);
        let (verdict, id) = match entry_queues.admission.admit(&offer, now) {
            AdmissionDecision::Start(id) => (Verdict::Start, id),
            AdmissionDecision::Queued(id) => (Verdict::Wait, id),
            AdmissionDecision::Refused(_) => return Verdict::Refuse,
        };
        entry_queues.request_numbers.insert(id, number);
        self.queue_ids.insert(number, (entry, id));
        verdict
    }

    fn request_ended(&mut self, number: usize, _: Duration) {
        if let Some((entry, id)) = self.queue_ids.remove(&number) {
            self.entries[entry].admission.release(id);
            self.entries[entry].request_numbers.remove(&id);
        }
    }

    fn advance(&mut self, now: Duration) -> Vec<(usize, Verdict)> {
        let mut released = Vec::new();
        for entry_queues in &mut self.entries {
            entry_queues.set_capacity(&self.model);
            for verdict in entry_queues.admission.advance(now) {
                let (id, verdict) = match verdict {
                    QueueDecision::Start(id) => (id, Verdict::Start),
                    QueueDecision::Refused(id, _) => (id, Verdict::Refuse),
                };
                released
                    .extend(entry_queues.request_numbers.get(&id).map(|number| (*number, verdict)));
            }
        }
        released
    }

    fn full_runners(&self, number: usize) -> Vec<String> {
        self.queue_ids
            .get(&number)
            .map_or(Vec::new(), |(entry, _)| self.entries[*entry].health.full())
    }

    fn run_started(&mut self, number: usize, runner: &str) {
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
