//! Handle to the admission actor, and the permit that an admitted request holds.

use super::{
    actor::AdmissionActor,
    messages::{
        Acquire, AdmissionState, ReadSaturated, ReadState, RecordFirstAttempt, Release, RunEvent,
        TakeRetry,
    },
};
use crate::{
    active_configuration::ActiveConfiguration,
    failure::{Failure, FailureCode},
    request::CompletionRequest,
    router_actor::RouterActor,
};
use kameo::{actor::Spawn, prelude::ActorRef};
use skylarkpick_config::Account;
use skylarkpick_interface::{Clock, RunnerId};
use skylarkpick_schedule::{AccountLimits, AdmissionRequest, QueuedId, Refusal, RefusalReason};
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// `retry_after` of a request that is refused because the process is shutting down.
const SHUTDOWN_RETRY: Duration = Duration::from_secs(1);

/// Handle to the admission actor.
#[derive(Clone)]
pub(crate) struct AdmissionHandle {
    actor: ActorRef<AdmissionActor>,
    clock: Arc<dyn Clock>,
}

/// Permission to run one request; dropping it releases the slot.
pub(crate) struct Permit {
    id: QueuedId,
    actor: ActorRef<AdmissionActor>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (actor, id) = (self.actor.clone(), self.id);
        // Without a runtime the process is exiting, and the actor with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let _ = actor.tell(Release(id)).await;
            });
        }
    }
}

impl AdmissionHandle {
    pub(crate) fn spawn(clock: Arc<dyn Clock>, router: ActorRef<RouterActor>) -> AdmissionHandle {
        let actor = AdmissionActor::spawn(AdmissionActor::open(clock.clone(), router));
        AdmissionHandle { actor, clock }
    }

    pub(crate) fn actor(&self) -> ActorRef<AdmissionActor> {
        self.actor.clone()
    }

    /// Waits in the queue until the request may run.
    ///
    /// # Errors
    /// When the account is over its limits, the deadline cannot be met, or the process is shutting
    /// down.
    pub(crate) async fn acquire(
        &self,
        active: &ActiveConfiguration,
        request: &CompletionRequest,
        prompt_tokens: u64,
        deadline: Instant,
    ) -> Result<Permit, Failure> {
        let account = active.configuration.accounts.get(&request.account);
        let account = account.cloned().unwrap_or_default();
        let request = self.admission_request(&account, request, prompt_tokens, deadline);
        let (reply, decision) = oneshot::channel();
        let sent = self.actor.tell(Acquire { request, prompt_tokens, reply }).await;
        if sent.is_err() {
            return Err(shutting_down());
        }
        match decision.await {
            Ok(Ok(id)) => Ok(Permit { id, actor: self.actor.clone() }),
            Ok(Err(refusal)) => Err(refused(refusal)),
            Err(_) => Err(shutting_down()),
        }
    }

    fn admission_request(
        &self,
        account: &Account,
        request: &CompletionRequest,
        prompt_tokens: u64,
        deadline: Instant,
    ) -> AdmissionRequest {
        let remaining = deadline.saturating_duration_since(Instant::now());
        AdmissionRequest {
            account: request.account.clone(),
            model: request.model.clone(),
            weight: account.weight,
            limits: AccountLimits {
                requests_limit: account.requests_limit,
                tokens_per_second_limit: account.tokens_per_second_limit,
            },
            priority: request.priority,
            cost_tokens: prompt_tokens + request.answer_tokens_limit,
            start_by: self.clock.since_boot() + remaining,
        }
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub(crate) async fn take_retry(&self) -> bool {
        self.actor.ask(TakeRetry).await.unwrap_or(false)
    }

    /// Records a first attempt, which adds `retry_percent_limit` percent of a retry to the budget.
    pub(crate) async fn record_first_attempt(&self, retry_percent_limit: u32) {
        // Fails only while the process is exiting.
        let _ = self.actor.tell(RecordFirstAttempt(retry_percent_limit)).await;
    }

    /// Returns the runners of a model that are at their in-flight limit.
    pub(crate) async fn saturated_runners(&self, model: &str) -> Vec<RunnerId> {
        self.actor.ask(ReadSaturated(model.to_string())).await.unwrap_or_default()
    }

    /// Records an event of a run for the health of its runner.
    pub(crate) async fn record(&self, event: RunEvent) {
        // Fails only while the process is exiting.
        let _ = self.actor.tell(event).await;
    }

    /// Returns queues, limits and ejected runners, for the state dump.
    pub(crate) async fn state(&self) -> AdmissionState {
        self.actor.ask(ReadState).await.unwrap_or_default()
    }
}

fn refused(refusal: Refusal) -> Failure {
    let (code, message) = match refusal.reason {
        RefusalReason::OverLimit => (FailureCode::LimitReached, "the account is over its limits"),
        RefusalReason::DeadlineCannotBeMet => (
            FailureCode::DeadlineExceeded,
            "the request cannot start early enough to meet its deadline",
        ),
    };
    Failure::not_run(code, message).retry_after(refusal.retry_after)
}

fn shutting_down() -> Failure {
    Failure::not_run(FailureCode::NotReady, "the process is shutting down")
        .retry_after(SHUTDOWN_RETRY)
}
