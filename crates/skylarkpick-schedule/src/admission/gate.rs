//! Decides which requests start now, wait in the fair queue of their model, or are refused.

use crate::{
    limit::{AccountLimits, AccountShares},
    queue::{FairQueue, QueuedId, QueuedRequest},
};
use skylarkpick_interface::{AccountId, ModelName, Priority};
use std::{collections::BTreeMap, time::Duration};

/// Time over which the rate of starts is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Shortest time after which a refused caller is told to come back.
const RETRY_FLOOR: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is told to come back.
const RETRY_LIMIT: Duration = Duration::from_secs(30);

/// A request that asks to start.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Client account that asks.
    pub account: AccountId,
    /// Model that is asked for.
    pub model: ModelName,
    /// Weight of the account.
    pub weight: f64,
    /// Limits of the account over the fleet.
    pub limits: AccountLimits,
    /// Order within the account.
    pub priority: Priority,
    /// Estimated tokens of prompt and answer.
    pub cost_tokens: u64,
    /// Time since boot by which the request must start to meet its deadline.
    pub start_by: Duration,
}

/// Why a request is refused before anything is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The account is over its own limits.
    OverLimit,
    /// The request cannot start in time to meet its deadline.
    DeadlineCannotBeMet,
}

/// A refusal with the time to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the same request may succeed.
    pub retry_after: Duration,
}

/// What comes of an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It starts now.
    Start(QueuedId),
    /// It waits; a verdict follows.
    Queued(QueuedId),
    /// It is refused.
    Refused(Refusal),
}

/// What comes of a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// It starts now.
    Start(QueuedId),
    /// It is refused.
    Refused(QueuedId, Refusal),
}

/// Decides which requests start now, wait, or are refused at once.
#[derive(Debug, Default)]
pub struct Admission {
    gates: BTreeMap<ModelName, Gate>,
    shares: AccountShares,
    last_id: QueuedId,
    running: BTreeMap<QueuedId, (AccountId, ModelName)>,
}

/// What waits and runs for one model.
#[derive(Debug, Default)]
struct Gate {
    queue: FairQueue,
    running: usize,
    capacity: usize,
    started_tokens_per_second: f64,
    started_at: Duration,
}

impl Admission {
    /// Opens the admission of one process in a fleet of `processes`.
    pub fn open(processes: usize) -> Admission {
        Admission { shares: AccountShares::open(processes), ..Admission::default() }
    }

    /// Changes how many requests to a model may run at once.
    pub fn set_capacity(&mut self, model: &str, capacity: usize) {
        self.gates.entry(model.to_string()).or_default().capacity = capacity;
    }

    /// Shares of this process in the accounts' limits.
    pub fn shares(&mut self) -> &mut AccountShares {
        &mut self.shares
    }

    /// Requests to a model that run and that wait.
    pub fn counts(&self, model: &str) -> (usize, usize) {
        self.gates.get(model).map_or((0, 0), |gate| (gate.running, gate.queue.len()))
    }

    /// Takes a request in.
    ///
    /// ```
    /// use skylarkpick_schedule::{AccountLimits, Admission, AdmissionDecision, AdmissionRequest};
    /// use skylarkpick_interface::Priority;
    /// use std::time::Duration;
    /// let offer = AdmissionRequest {
    ///     account: "cubesat".to_string(),
    ///     model: "model".to_string(),
    ///     weight: 1.0,
    ///     limits: AccountLimits { requests_limit: 10, tokens_per_second_limit: 1e6 },
    ///     priority: Priority::Normal,
    ///     cost_tokens: 100,
    ///     start_by: Duration::from_secs(1),
    /// };
    /// let mut admission = Admission::open(1);
    /// admission.set_capacity("model", 1);
    /// assert!(matches!(admission.admit(&offer, Duration::ZERO), AdmissionDecision::Start(_)));
    /// assert!(matches!(admission.admit(&offer, Duration::ZERO), AdmissionDecision::Queued(_)));
    /// ```
    pub fn admit(&mut self, request: &AdmissionRequest, now: Duration) -> AdmissionDecision {
        let account = request.account.as_str();
        let over = self.shares.begin(account, request.limits, request.cost_tokens, now);
        if let Err(wait) = over {
            return AdmissionDecision::Refused(refusal(RefusalReason::OverLimit, wait));
        }
        self.last_id += 1;
        let id = self.last_id;
        let gate = self.gates.entry(request.model.clone()).or_default();
        if gate.queue.is_empty() && gate.running < gate.capacity {
            gate.start(request.cost_tokens, now);
            self.running.insert(id, (request.account.clone(), request.model.clone()));
            return AdmissionDecision::Start(id);
        }
        let wait = gate.expected_wait(account, request.weight);
        if now + wait > request.start_by {
            self.shares.end(account);
            let retry_after = wait.saturating_sub(request.start_by.saturating_sub(now));
            let reason = RefusalReason::DeadlineCannotBeMet;
            return AdmissionDecision::Refused(refusal(reason, retry_after));
        }
        gate.queue.push(queued(id, request), request.weight);
        AdmissionDecision::Queued(id)
    }

    /// Notes that a request has ended, or that its caller went away while it waited.
    pub fn release(&mut self, id: QueuedId) {
        if let Some((account, model)) = self.running.remove(&id) {
            self.shares.end(&account);
            if let Some(gate) = self.gates.get_mut(&model) {
                gate.running = gate.running.saturating_sub(1);
            }
            return;
        }
        let removed = self.gates.values_mut().find_map(|gate| gate.queue.remove(id));
        if let Some(queued) = removed {
            self.shares.end(&queued.account);
        }
    }

    /// Verdicts that are due: refusals of those that waited too long, and starts into the room.
    pub fn advance(&mut self, now: Duration) -> Vec<QueueDecision> {
        let mut verdicts = Vec::new();
        for (model, gate) in &mut self.gates {
            for late in gate.queue.expire(now) {
                self.shares.end(&late.account);
                let wait = gate.expected_wait(&late.account, 1.0);
                let refusal = refusal(RefusalReason::DeadlineCannotBeMet, wait);
                verdicts.push(QueueDecision::Refused(late.id, refusal));
            }
            while gate.running < gate.capacity {
                let Some(next) = gate.queue.pop() else { break };
                gate.start(next.cost_tokens, now);
                self.running.insert(next.id, (next.account, model.clone()));
                verdicts.push(QueueDecision::Start(next.id));
            }
        }
        verdicts
    }
}

impl Gate {
    fn start(&mut self, cost_tokens: u64, now: Duration) {
        let passed = now.saturating_sub(self.started_at).as_secs_f64();
        self.started_at = self.started_at.max(now);
        let window = RATE_WINDOW.as_secs_f64();
        let kept = self.started_tokens_per_second * (-passed / window).exp();
        self.started_tokens_per_second = kept + cost_tokens as f64 / window;
        self.running += 1;
    }

    /// Time until a new request of the account would get its turn, by the rate of late.
    fn expected_wait(&self, account: &str, weight: f64) -> Duration {
        let tokens = self.queue.tokens_before(account, weight);
        if tokens <= 0.0 || self.started_tokens_per_second <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = tokens / self.started_tokens_per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_LIMIT)
    }
}

fn queued(id: QueuedId, request: &AdmissionRequest) -> QueuedRequest {
    QueuedRequest {
        id,
        account: request.account.clone(),
        priority: request.priority,
        cost_tokens: request.cost_tokens,
        start_by: request.start_by,
    }
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal { reason, retry_after: retry_after.clamp(RETRY_FLOOR, RETRY_LIMIT) }
}
