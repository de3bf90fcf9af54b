//! The admission actor: request queues, concurrency limits, the retry budget and the ejection of
//! failing runners.

use super::messages::{
    Acquire, AdmissionState, ModelAdmission, ReadSaturated, ReadState, RecordFirstAttempt, Release,
    RunEvent, SetTargets, TakeRetry,
};
use crate::router_actor::{ReadCandidates, RouterActor, SetEjected};
use kameo::prelude::*;
use skylarkpick_interface::{Clock, ModelName, RunnerId};
use skylarkpick_schedule::{
    Admission, AdmissionDecision, AdmissionRequest, Candidate, QueueDecision, QueuedId, Refusal,
    RetryBudget, TargetHealth,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Time between two refreshes of the list of runners.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Queueing delay before the first token above which a runner's in-flight limit shrinks.
const FIRST_TOKEN_DELAY_LIMIT: Duration = Duration::from_millis(400);

/// Serialises every admission decision of the process.
#[derive(Actor)]
pub(crate) struct AdmissionActor {
    clock: Arc<dyn Clock>,
    admission: Admission,
    health: BTreeMap<ModelName, TargetHealth>,
    runner_models: BTreeMap<RunnerId, ModelName>,
    /// Prompt tokens per second of the fastest runner of each model.
    prefill_rates: BTreeMap<ModelName, f64>,
    retry_budget: RetryBudget,
    queued_replies: BTreeMap<QueuedId, oneshot::Sender<Result<QueuedId, Refusal>>>,
    router: ActorRef<RouterActor>,
}

impl AdmissionActor {
    pub(super) fn open(clock: Arc<dyn Clock>, router: ActorRef<RouterActor>) -> AdmissionActor {
        AdmissionActor {
            clock,
            admission: Admission::open(1),
            health: BTreeMap::new(),
            runner_models: BTreeMap::new(),
            prefill_rates: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            queued_replies: BTreeMap::new(),
            router,
        }
    }

    fn acquire(&mut self, message: Acquire) {
        let now = self.clock.since_boot();
        let request = self.with_prefill_time_subtracted(message.request, message.prompt_tokens);
        let decision = match self.admission.admit(&request, now) {
            AdmissionDecision::Start(id) => Ok(id),
            AdmissionDecision::Refused(refusal) => Err(refusal),
            AdmissionDecision::Queued(id) => {
                self.queued_replies.insert(id, message.reply);
                return;
            }
        };
        if let Err(Ok(id)) = message.reply.send(decision) {
            // The caller disconnected before the reply; send returns the id in that case.
            self.admission.release(id);
        }
    }

    /// Time that the runner takes to prefill `tokens` when it is idle.
    fn prefill_time(&self, runner: &str, tokens: u64) -> Duration {
        let rate = self.runner_models.get(runner).and_then(|model| self.prefill_rates.get(model));
        let seconds = tokens as f64 / rate.copied().unwrap_or(f64::INFINITY).max(1.0);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Makes the latest start earlier by the prefill time of the prompt.
    fn with_prefill_time_subtracted(
        &self,
        request: AdmissionRequest,
        prompt_tokens: u64,
    ) -> AdmissionRequest {
        let rate = self.prefill_rates.get(&request.model).copied().unwrap_or(f64::INFINITY);
        let seconds = prompt_tokens as f64 / rate.max(1.0);
        let time = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        AdmissionRequest { start_by: request.start_by.saturating_sub(time), ..request }
    }

    /// Replies to queued requests that may start now or that cannot meet their deadline.
    fn advance(&mut self) {
        let decisions = self.admission.advance(self.clock.since_boot());
        for decision in decisions {
            let (id, reply) = match decision {
                QueueDecision::Start(id) => (id, Ok(id)),
                QueueDecision::Refused(id, refusal) => (id, Err(refusal)),
            };
            let sent = self.queued_replies.remove(&id).map(|sender| sender.send(reply));
            if !matches!(sent, Some(Ok(()))) {
                self.admission.release(id);
            }
        }
    }

    fn set_targets(&mut self, candidates: &BTreeMap<RunnerId, Candidate>) {
        let mut slots: BTreeMap<ModelName, BTreeMap<RunnerId, u32>> = BTreeMap::new();
        self.runner_models.clear();
        self.prefill_rates.clear();
        for (name, candidate) in candidates {
            let model = candidate.model.clone();
            self.runner_models.insert(name.clone(), model.clone());
            let rate = self.prefill_rates.entry(model.clone()).or_default();
            *rate = rate.max(candidate.prefill_rate());
            slots.entry(model).or_default().insert(name.clone(), candidate.load.slots);
        }
        self.health.retain(|model, _| slots.contains_key(model));
        for (model, slots) in slots {
            let health = self
                .health
                .entry(model.clone())
                .or_insert_with(|| TargetHealth::open(FIRST_TOKEN_DELAY_LIMIT));
            health.set_targets(&slots);
            self.admission.set_capacity(&model, health.capacity() as usize);
        }
    }

    fn health_of(&mut self, runner: &str) -> Option<&mut TargetHealth> {
        self.health.get_mut(self.runner_models.get(runner)?)
    }

    fn ejected(&self) -> Vec<RunnerId> {
        let now = self.clock.since_boot();
        self.health.values().flat_map(|health| health.ejected(now)).collect()
    }

    fn state(&self) -> AdmissionState {
        let now = self.clock.since_boot();
        let models = self.health.iter().map(|(model, health)| {
            let (running, waiting) = self.admission.counts(model);
            let limits = health.states().iter();
            let in_flight_limits =
                limits.map(|(name, state)| (name.clone(), state.in_flight.limit())).collect();
            let ejected = health.ejected(now);
            (model.clone(), ModelAdmission { running, waiting, in_flight_limits, ejected })
        });
        AdmissionState { models: models.collect(), retries_saved: self.retry_budget.available() }
    }
}

/// Copies the router's view of the runners to the admission actor, periodically.
pub(crate) async fn refresh_targets(
    router: ActorRef<RouterActor>,
    admission: ActorRef<AdmissionActor>,
) {
    loop {
        // Fails only while the process is exiting.
        if let Ok(candidates) = router.ask(ReadCandidates).await {
            let _ = admission.tell(SetTargets(candidates)).await;
        }
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

impl Message<Acquire> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, message: Acquire, _: &mut Context<Self, Self::Reply>) {
        self.acquire(message);
        self.advance();
    }
}

impl Message<Release> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, message: Release, _: &mut Context<Self, Self::Reply>) {
        self.queued_replies.remove(&message.0);
        self.admission.release(message.0);
        self.advance();
    }
}

impl Message<TakeRetry> for AdmissionActor {
    type Reply = bool;

    async fn handle(&mut self, _: TakeRetry, _: &mut Context<Self, Self::Reply>) -> bool {
        self.retry_budget.take()
    }
}

impl Message<RecordFirstAttempt> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, message: RecordFirstAttempt, _: &mut Context<Self, Self::Reply>) {
        self.retry_budget.note_first_attempt(message.0);
    }
}

impl Message<ReadSaturated> for AdmissionActor {
    type Reply = Vec<RunnerId>;

    async fn handle(
        &mut self,
        message: ReadSaturated,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<RunnerId> {
        self.health.get(&message.0).map(TargetHealth::full).unwrap_or_default()
    }
}

impl Message<SetTargets> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, message: SetTargets, _: &mut Context<Self, Self::Reply>) {
        self.set_targets(&message.0);
        // Fails only while the process is exiting.
        let _ = self.router.tell(SetEjected(self.ejected())).await;
        self.advance();
    }
}

impl Message<ReadState> for AdmissionActor {
    type Reply = AdmissionState;

    async fn handle(&mut self, _: ReadState, _: &mut Context<Self, Self::Reply>) -> AdmissionState {
        self.state()
    }
}

impl Message<RunEvent> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, event: RunEvent, _: &mut Context<Self, Self::Reply>) {
        let now = self.clock.since_boot();
        match event {
            RunEvent::Sent(runner) => {
                if let Some(health) = self.health_of(&runner) {
                    health.begin(&runner);
                }
            }
            RunEvent::FirstToken { runner, wait, computed_tokens } => {
                let wait = wait.saturating_sub(self.prefill_time(&runner, computed_tokens));
                if let Some(health) = self.health_of(&runner) {
                    health.observe_first_token(&runner, wait, now);
                }
            }
            RunEvent::Ended { runner, failed } => {
                if let Some(health) = self.health_of(&runner) {
                    health.end(&runner, failed, now);
                }
                if failed {
                    let _ = self.router.tell(SetEjected(self.ejected())).await;
                }
            }
        }
    }
}
