//! Owns queues, limits, the retry budget and the runners' health.

use super::messages::{
    AdmissionState, Enter, FirstAttempt, MayRetry, ModelAdmission, News, ReadFull, ReadState,
    Release, Targets,
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

/// Time between two looks at the runners.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Wait of first tokens above which a runner's in-flight limit shrinks.
const WAIT_LIMIT: Duration = Duration::from_millis(400);

/// Owns queues, limits, the retry budget and the runners' health.
#[derive(Actor)]
pub(crate) struct AdmissionActor {
    clock: Arc<dyn Clock>,
    admission: Admission,
    health: BTreeMap<ModelName, TargetHealth>,
    model_of: BTreeMap<RunnerId, ModelName>,
    prefill_rates: BTreeMap<ModelName, f64>,
    retries: RetryBudget,
    waiting: BTreeMap<QueuedId, oneshot::Sender<Result<QueuedId, Refusal>>>,
    router: ActorRef<RouterActor>,
}

impl AdmissionActor {
    pub(super) fn open(clock: Arc<dyn Clock>, router: ActorRef<RouterActor>) -> AdmissionActor {
        AdmissionActor {
            clock,
            admission: Admission::open(1),
            health: BTreeMap::new(),
            model_of: BTreeMap::new(),
            prefill_rates: BTreeMap::new(),
            retries: RetryBudget::default(),
            waiting: BTreeMap::new(),
            router,
        }
    }

    fn enter(&mut self, message: Enter) {
        let now = self.clock.since_boot();
        let offer = self.with_computing_time(message.offer, message.prompt_tokens);
        let answer = match self.admission.admit(&offer, now) {
            AdmissionDecision::Start(id) => Ok(id),
            AdmissionDecision::Refused(refusal) => Err(refusal),
            AdmissionDecision::Queued(id) => {
                self.waiting.insert(id, message.reply);
                return;
            }
        };
        if let Err(Ok(id)) = message.reply.send(answer) {
            // The caller went away before its turn was told.
            self.admission.release(id);
        }
    }

    /// Time that a runner takes to compute prompt tokens when nothing else is in the way.
    fn computing_time(&self, runner: &str, tokens: u64) -> Duration {
        let rate = self.model_of.get(runner).and_then(|model| self.prefill_rates.get(model));
        let seconds = tokens as f64 / rate.copied().unwrap_or(f64::INFINITY).max(1.0);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    fn with_computing_time(&self, offer: AdmissionRequest, prompt_tokens: u64) -> AdmissionRequest {
        let rate = self.prefill_rates.get(&offer.model).copied().unwrap_or(f64::INFINITY);
        let seconds = prompt_tokens as f64 / rate.max(1.0);
        let time = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        AdmissionRequest { start_by: offer.start_by.saturating_sub(time), ..offer }
    }

    /// Gives the verdicts that are due.
    fn advance(&mut self) {
        let verdicts = self.admission.advance(self.clock.since_boot());
        for verdict in verdicts {
            let (id, answer) = match verdict {
                QueueDecision::Start(id) => (id, Ok(id)),
                QueueDecision::Refused(id, refusal) => (id, Err(refusal)),
            };
            let told = self.waiting.remove(&id).map(|reply| reply.send(answer));
            if !matches!(told, Some(Ok(()))) {
                self.admission.release(id);
            }
        }
    }

    fn set_targets(&mut self, candidates: &BTreeMap<RunnerId, Candidate>) {
        let mut slots: BTreeMap<ModelName, BTreeMap<RunnerId, u32>> = BTreeMap::new();
        self.model_of.clear();
        self.prefill_rates.clear();
        for (name, candidate) in candidates {
            let model = candidate.model.clone();
            self.model_of.insert(name.clone(), model.clone());
            let rate = self.prefill_rates.entry(model.clone()).or_default();
            *rate = rate.max(candidate.prefill_rate());
            slots.entry(model).or_default().insert(name.clone(), candidate.load.slots);
        }
        self.health.retain(|model, _| slots.contains_key(model));
        for (model, slots) in slots {
            let health =
                self.health.entry(model.clone()).or_insert_with(|| TargetHealth::open(WAIT_LIMIT));
            health.set_targets(&slots);
            self.admission.set_capacity(&model, health.capacity() as usize);
        }
    }

    fn health_of(&mut self, runner: &str) -> Option<&mut TargetHealth> {
        self.health.get_mut(self.model_of.get(runner)?)
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
        AdmissionState { models: models.collect(), retries_saved: self.retries.saved() }
    }
}

/// Tells the actor again and again what the router knows of the runners.
pub(crate) async fn follow_targets(
    router: ActorRef<RouterActor>,
    admission: ActorRef<AdmissionActor>,
) {
    loop {
        // A stopped actor means that the process ends.
        if let Ok(candidates) = router.ask(ReadCandidates).await {
            let _ = admission.tell(Targets(candidates)).await;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

impl Message<Enter> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, message: Enter, _: &mut Context<Self, Self::Reply>) {
        self.enter(message);
        self.advance();
    }
}

impl Message<Release> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, message: Release, _: &mut Context<Self, Self::Reply>) {
        self.waiting.remove(&message.0);
        self.admission.release(message.0);
        self.advance();
    }
}

impl Message<MayRetry> for AdmissionActor {
    type Reply = bool;

    async fn handle(&mut self, _: MayRetry, _: &mut Context<Self, Self::Reply>) -> bool {
        self.retries.take()
    }
}

impl Message<FirstAttempt> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, message: FirstAttempt, _: &mut Context<Self, Self::Reply>) {
        self.retries.note_first_attempt(message.0);
    }
}

impl Message<ReadFull> for AdmissionActor {
    type Reply = Vec<RunnerId>;

    async fn handle(
        &mut self,
        message: ReadFull,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<RunnerId> {
        self.health.get(&message.0).map(TargetHealth::full).unwrap_or_default()
    }
}

impl Message<Targets> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, message: Targets, _: &mut Context<Self, Self::Reply>) {
        self.set_targets(&message.0);
        // A stopped actor means that the process ends.
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

impl Message<News> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, news: News, _: &mut Context<Self, Self::Reply>) {
        let now = self.clock.since_boot();
        match news {
            News::Began(runner) => {
                if let Some(health) = self.health_of(&runner) {
                    health.begin(&runner);
                }
            }
            News::FirstToken { runner, waited, computed_tokens } => {
                let wait = waited.saturating_sub(self.computing_time(&runner, computed_tokens));
                if let Some(health) = self.health_of(&runner) {
                    health.observe_first_token(&runner, wait, now);
                }
            }
            News::Ended { runner, failed } => {
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
