//! The way to the admission actor for requests under way.

use super::{
    actor::AdmissionActor,
    messages::{AdmissionState, Enter, FirstAttempt, MayRetry, News, ReadFull, ReadState, Release},
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

/// When to come back to a process that shuts down.
const CLOSING_RETRY: Duration = Duration::from_secs(1);

/// The way to the admission actor for requests under way.
#[derive(Clone)]
pub(crate) struct Desk {
    actor: ActorRef<AdmissionActor>,
    clock: Arc<dyn Clock>,
}

/// Leave to run, given back on drop.
pub(crate) struct Permit {
    id: QueuedId,
    actor: ActorRef<AdmissionActor>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (actor, id) = (self.actor.clone(), self.id);
        // Outside a runtime the process has ended, and its limits with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let _ = actor.tell(Release(id)).await;
            });
        }
    }
}

impl Desk {
    pub(crate) fn spawn(clock: Arc<dyn Clock>, router: ActorRef<RouterActor>) -> Desk {
        let actor = AdmissionActor::spawn(AdmissionActor::open(clock.clone(), router));
        Desk { actor, clock }
    }

    pub(crate) fn actor(&self) -> ActorRef<AdmissionActor> {
        self.actor.clone()
    }

    /// Waits for leave to run.
    ///
    /// # Errors
    /// A true refusal: the account is over its limits, or the deadline cannot be met.
    pub(crate) async fn enter(
        &self,
        in_force: &ActiveConfiguration,
        request: &CompletionRequest,
        prompt_tokens: u64,
        deadline: Instant,
    ) -> Result<Permit, Failure> {
        let account = in_force.configuration.accounts.get(&request.account);
        let account = account.cloned().unwrap_or_default();
        let offer = self.offer(&account, request, prompt_tokens, deadline);
        let (reply, answer) = oneshot::channel();
        let sent = self.actor.tell(Enter { offer, prompt_tokens, reply }).await;
        if sent.is_err() {
            return Err(closing());
        }
        match answer.await {
            Ok(Ok(id)) => Ok(Permit { id, actor: self.actor.clone() }),
            Ok(Err(refusal)) => Err(refused(refusal)),
            Err(_) => Err(closing()),
        }
    }

    fn offer(
        &self,
        account: &Account,
        request: &CompletionRequest,
        prompt_tokens: u64,
        deadline: Instant,
    ) -> AdmissionRequest {
        let left = deadline.saturating_duration_since(Instant::now());
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
            start_by: self.clock.since_boot() + left,
        }
    }

    /// Whether a retry may be made.
    pub(crate) async fn may_retry(&self) -> bool {
        self.actor.ask(MayRetry).await.unwrap_or(false)
    }

    /// Notes a first attempt under `retry_percent_limit`.
    pub(crate) async fn note_first_attempt(&self, retry_percent_limit: u32) {
        // A stopped actor means that the process ends.
        let _ = self.actor.tell(FirstAttempt(retry_percent_limit)).await;
    }

    /// Runners of a model that should get nothing more now.
    pub(crate) async fn full_runners(&self, model: &str) -> Vec<RunnerId> {
        self.actor.ask(ReadFull(model.to_string())).await.unwrap_or_default()
    }

    /// Tells what was seen of a run.
    pub(crate) async fn tell(&self, news: News) {
        // A stopped actor means that the process ends.
        let _ = self.actor.tell(news).await;
    }

    /// Queues, limits and ejected runners.
    pub(crate) async fn state(&self) -> AdmissionState {
        self.actor.ask(ReadState).await.unwrap_or_default()
    }
}

fn refused(refusal: Refusal) -> Failure {
    let (code, message) = match refusal.reason {
        RefusalReason::OverLimit => (FailureCode::LimitReached, "the account is over its limits"),
        RefusalReason::DeadlineCannotBeMet => {
            (FailureCode::DeadlineExceeded, "the request cannot start in time for its deadline")
        }
    };
    Failure::not_run(code, message).retry_after(refusal.retry_after)
}

fn closing() -> Failure {
    Failure::not_run(FailureCode::NotReady, "the process is ending").retry_after(CLOSING_RETRY)
}
