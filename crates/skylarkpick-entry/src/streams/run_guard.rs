//! Ends what a run holds when its attempt ends.

use super::retention_actor::{AttachReader, DetachReader, ReleaseRun};
use crate::{
    admission::RunEvent, entry::Shared, request::CompletionEvent, router_actor::RouterUpdate,
};
use skylarkpick_interface::{RunId, Runner};
use skylarkpick_schedule::{Route, RouteRequest};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::Instant};

/// Times that a cancellation is sent to a runner that does not answer.
const CANCEL_ATTEMPTS_LIMIT: u32 = 3;
/// Time between two of them.
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Tells the router when a run ends, and cancels it at the runner if it did not end by itself.
///
/// A run whose caller closed is kept for a while instead if the caller asked for that.
pub(crate) struct RunGuard {
    pub(crate) shared: Arc<Shared>,
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) run_id: RunId,
    pub(crate) route: Route,
    pub(crate) route_request: Arc<RouteRequest>,
    pub(crate) events: mpsc::Sender<CompletionEvent>,
    /// Whether the caller holds a token that names the run, and wants it retained.
    pub(crate) retained: bool,
    pub(crate) had_first_token: bool,
    pub(crate) sent_at: Instant,
    /// Whether the runner did not do what was asked.
    pub(crate) failed: bool,
    pub(crate) ended: bool,
}

impl RunGuard {
    /// Keeps the run for its caller from now on.
    pub(crate) async fn retain(&mut self) {
        self.retained = true;
        // A stopped actor means that the process ends.
        let _ = self.shared.retention.tell(AttachReader(self.run_id.clone())).await;
    }

    pub(crate) async fn record_started(&self, cached_tokens: u64) {
        let (route, request) = (self.route.clone(), self.route_request.clone());
        // A stopped actor means that the process ends.
        let _ = self
            .shared
            .router
            .tell(RouterUpdate::RunStarted { route, request, cached_tokens })
            .await;
    }

    pub(crate) async fn record_first_token(&mut self) {
        if self.had_first_token {
            return;
        }
        self.had_first_token = true;
        let observed = RouterUpdate::FirstToken(self.route.clone(), self.route_request.clone());
        // A stopped actor means that the process ends.
        let _ = self.shared.router.tell(observed).await;
        let event = RunEvent::FirstToken {
            runner: self.route.runner.clone(),
            wait: self.sent_at.elapsed(),
            computed_tokens: self.route.compute_tokens,
        };
        self.shared.admission.record(event).await;
    }

    /// Whether the runner failed this run, or gave no first token until its deadline.
    fn has_failed(&self, caller_gone: bool) -> bool {
        self.failed || !(self.ended || caller_gone || self.had_first_token)
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let observed = RouterUpdate::RunEnded {
            route: self.route.clone(),
            request: self.route_request.clone(),
            had_first_token: self.had_first_token,
        };
        let (shared, runner, run_id) =
            (self.shared.clone(), self.runner.clone(), self.run_id.clone());
        let (ended, retained) = (self.ended, self.retained);
        let caller_gone = self.events.is_closed();
        let event = RunEvent::Ended {
            runner: self.route.runner.clone(),
            failed: self.has_failed(caller_gone),
        };
        tokio::spawn(async move {
            // A stopped actor means that the process ends.
            let _ = shared.router.tell(observed).await;
            shared.admission.record(event).await;
            let end = RunEnd { shared, runner, run_id, ended, retained, caller_gone };
            end.settle().await;
        });
    }
}

/// What is known of a run that this process no longer reads.
pub(crate) struct RunEnd {
    pub(crate) shared: Arc<Shared>,
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) run_id: RunId,
    pub(crate) ended: bool,
    pub(crate) retained: bool,
    pub(crate) caller_gone: bool,
}

impl RunEnd {
    /// Cancels the run, or keeps it for a caller that may come back.
    pub(crate) async fn settle(self) {
        let RunEnd { shared, runner, run_id, ended, retained, caller_gone } = self;
        if retained && caller_gone && !ended {
            // A stopped actor means that the process ends.
            let _ = shared.retention.tell(DetachReader { run_id, runner }).await;
            return;
        }
        if retained {
            let _ = shared.retention.tell(ReleaseRun(run_id.clone())).await;
        }
        if !ended {
            cancel_run(runner.as_ref(), &run_id).await;
        }
    }
}

/// Cancels a run, again if the runner does not answer.
pub(crate) async fn cancel_run(runner: &dyn Runner, run_id: &str) {
    for _ in 0..CANCEL_ATTEMPTS_LIMIT {
        if runner.cancel(run_id).await.is_ok() {
            return;
        }
        tokio::time::sleep(CANCEL_RETRY_INTERVAL).await;
    }
}
