//! Decides whether a request starts now, waits in the fair queue of its model, or is refused.

use crate::{
    limit::{AccountLimits, AccountShares},
    queue::{FairQueue, QueuedId, QueuedRequest},
};
use skylarkpick_interface::{AccountId, ModelName, Priority};
use std::{collections::BTreeMap, time::Duration};

/// Time constant of the exponential average of the start rate.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Shortest retry time returned with a refusal.
const RETRY_AFTER_FLOOR: Duration = Duration::from_millis(100);
/// Longest retry time returned with a refusal.
const RETRY_AFTER_LIMIT: Duration = Duration::from_secs(30);

/// A request to be admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Client account that sent the request.
    pub account: AccountId,
    /// Model to run.
    pub model: ModelName,
    /// Weight of the account in the fair queue.
    pub weight: f64,
    /// Limits of the account over the whole fleet.
    pub limits: AccountLimits,
    /// Priority within the account.
    pub priority: Priority,
    /// Estimated tokens of prompt and response.
    pub cost_tokens: u64,
    /// Time since boot by which the request must start to meet its deadline.
    pub start_by: Duration,
}

/// Why a request is refused before it is sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The account exceeds its limits.
    OverLimit,
    /// The request can't start in time to meet its deadline.
    DeadlineCannotBeMet,
}

/// A refusal with the time after which to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which the same request may succeed.
    pub retry_after: Duration,
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Start(QueuedId),
    /// The request waits. [`Admission::advance`] returns the decision later.
    Queued(QueuedId),
    /// The request is refused.
    Refused(Refusal),
}

/// Decision on a request that waited in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request starts now.
    Start(QueuedId),
    /// The request is refused.
    Refused(QueuedId, Refusal),
}

/// Admission control of one entry process.
#[derive(Debug, Default)]
pub struct Admission {
    models: BTreeMap<ModelName, ModelState>,
    shares: AccountShares,
    last_id: QueuedId,
    running: BTreeMap<QueuedId, (AccountId, ModelName)>,
}

/// Waiting and running requests of one model.
#[derive(Debug, Default)]
struct ModelState {
    queue: FairQueue,
    running: usize,
    /// Requests that may run at once.
    capacity: usize,
    /// Exponential average of the start rate, as of `started_at`.
    started_tokens_per_second: f64,
    started_at: Duration,
}

impl Admission {
    /// Opens the admission control of one process in a fleet of `processes`.
    pub fn open(processes: usize) -> Admission {
        Admission { shares: AccountShares::open(processes), ..Admission::default() }
    }

    /// Sets how many requests to a model may run at once.
    pub fn set_capacity(&mut self, model: &str, capacity: usize) {
        self.models.entry(model.to_string()).or_default().capacity = capacity;
    }

    /// Returns the shares of this process in the accounts' limits.
    pub fn shares(&mut self) -> &mut AccountShares {
        &mut self.shares
    }

    /// Returns the running and the waiting requests of a model.
    pub fn counts(&self, model: &str) -> (usize, usize) {
        self.models
            .get(model)
            .map_or((0, 0), |model_state| (model_state.running, model_state.queue.len()))
    }

    /// Decides whether a request starts, waits or is refused, and counts it accordingly.
    ///
    /// ```
    /// use skylarkpick_schedule::{AccountLimits, Admission, AdmissionDecision, AdmissionRequest};
    /// use skylarkpick_interface::Priority;
    /// use std::time::Duration;
    /// let request = AdmissionRequest {
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
    /// assert!(matches!(admission.admit(&request, Duration::ZERO), AdmissionDecision::Start(_)));
    /// assert!(matches!(admission.admit(&request, Duration::ZERO), AdmissionDecision::Queued(_)));
    /// ```
    pub fn admit(&mut self, request: &AdmissionRequest, now: Duration) -> AdmissionDecision {
        let account = request.account.as_str();
        let started = self.shares.begin(account, request.limits, request.cost_tokens, now);
        if let Err(wait) = started {
            return AdmissionDecision::Refused(refusal(RefusalReason::OverLimit, wait));
        }
        self.last_id += 1;
        let id = self.last_id;
        let model_state = self.models.entry(request.model.clone()).or_default();
        if model_state.queue.is_empty() && model_state.running < model_state.capacity {
            model_state.start(request.cost_tokens, now);
            self.running.insert(id, (request.account.clone(), request.model.clone()));
            return AdmissionDecision::Start(id);
        }
        let wait = model_state.expected_wait(account, request.weight);
        if now + wait > request.start_by {
            self.shares.end(account);
            let retry_after = wait.saturating_sub(request.start_by.saturating_sub(now));
            let reason = RefusalReason::DeadlineCannotBeMet;
            return AdmissionDecision::Refused(refusal(reason, retry_after));
        }
        model_state.queue.push(queued(id, request), request.weight);
        AdmissionDecision::Queued(id)
    }

    /// Removes a request that has ended, or whose caller disconnected while it waited.
    pub fn release(&mut self, id: QueuedId) {
        if let Some((account, model)) = self.running.remove(&id) {
            self.shares.end(&account);
            if let Some(model_state) = self.models.get_mut(&model) {
                model_state.running = model_state.running.saturating_sub(1);
            }
            return;
        }
        let removed = self.models.values_mut().find_map(|model_state| model_state.queue.remove(id));
        if let Some(queued) = removed {
            self.shares.end(&queued.account);
        }
    }

    /// Returns the decisions on waiting requests that are due: refuses those that waited too long,
    /// and starts others while there is capacity.
    pub fn advance(&mut self, now: Duration) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        for (model, model_state) in &mut self.models {
            for expired in model_state.queue.expire(now) {
                self.shares.end(&expired.account);
                let wait = model_state.expected_wait(&expired.account, 1.0);
                let refusal = refusal(RefusalReason::DeadlineCannotBeMet, wait);
                decisions.push(QueueDecision::Refused(expired.id, refusal));
            }
            while model_state.running < model_state.capacity {
                let Some(next) = model_state.queue.pop() else { break };
                model_state.start(next.cost_tokens, now);
                self.running.insert(next.id, (next.account, model.clone()));
                decisions.push(QueueDecision::Start(next.id));
            }
        }
        decisions
    }
}

impl ModelState {
    fn start(&mut self, cost_tokens: u64, now: Duration) {
        let passed = now.saturating_sub(self.started_at).as_secs_f64();
        self.started_at = self.started_at.max(now);
        let window = RATE_WINDOW.as_secs_f64();
        let decayed = self.started_tokens_per_second * (-passed / window).exp();
        self.started_tokens_per_second = decayed + cost_tokens as f64 / window;
        self.running += 1;
    }

    /// Returns the expected wait of a new request of the account, by the recent start rate.
    fn expected_wait(&self, account: &str, weight: f64) -> Duration {
        let tokens = self.queue.tokens_before(account, weight);
        if tokens <= 0.0 || self.started_tokens_per_second <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = tokens / self.started_tokens_per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_AFTER_LIMIT)
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
    Refusal { reason, retry_after: retry_after.clamp(RETRY_AFTER_FLOOR, RETRY_AFTER_LIMIT) }
}
