//! Reports the outcome of a run and cancels or retains it when its attempt ends.

use super::retention_actor::{AttachReader, DetachReader, ReleaseRun};
use crate::{
    admission::RunEvent, entry::Shared, request::CompletionEvent, router_actor::RouterUpdate,
};
use skylarkpick_interface::{RunId, Runner};
use skylarkpick_schedule::{Route, RouteRequest};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::Instant};

/// Cancellation requests sent to a runner that does not respond.
const CANCEL_ATTEMPTS_LIMIT: u32 = 3;
/// Delay between two cancellation requests.
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Reports the end of a run to the router and the admission control when dropped, and cancels the
/// run at the runner if it has not ended.
///
/// A resumable run whose caller disconnected is retained for the resume window instead.
pub(crate) struct RunGuard {
    pub(crate) shared: Arc<Shared>,
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) run_id: RunId,
    pub(crate) route: Route,
    pub(crate) route_request: Arc<RouteRequest>,
    pub(crate) events: mpsc::Sender<CompletionEvent>,
    /// Whether to retain the run when its caller disconnects: set once the caller of a resumable
    /// request holds a resume token.
    pub(crate) retained: bool,
    pub(crate) had_first_token: bool,
    pub(crate) sent_at: Instant,
    /// Whether the runner failed the run.
    pub(crate) failed: bool,
    pub(crate) ended: bool,
}

impl RunGuard {
    /// Retains the run from now on if its caller disconnects.
    pub(crate) async fn retain(&mut self) {
        self.retained = true;
        // Fails only while the process is exiting.
        let _ = self.shared.retention.tell(AttachReader(self.run_id.clone())).await;
    }

    pub(crate) async fn record_started(&self, cached_tokens: u64) {
        let (route, request) = (self.route.clone(), self.route_request.clone());
        // Fails only while the process is exiting.
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
        let update = RouterUpdate::FirstToken(self.route.clone(), self.route_request.clone());
        // Fails only while the process is exiting.
        let _ = self.shared.router.tell(update).await;
        let event = RunEvent::FirstToken {
            runner: self.route.runner.clone(),
            wait: self.sent_at.elapsed(),
            computed_tokens: self.route.compute_tokens,
        };
        self.shared.admission.record(event).await;
    }

    /// Whether the runner failed this run, or sent no first token before the deadline.
    fn has_failed(&self, caller_disconnected: bool) -> bool {
        self.failed || !(self.ended || caller_disconnected || self.had_first_token)
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let update = RouterUpdate::RunEnded {
            route: self.route.clone(),
            request: self.route_request.clone(),
            had_first_token: self.had_first_token,
        };
        let (shared, runner, run_id) =
            (self.shared.clone(), self.runner.clone(), self.run_id.clone());
        let (ended, retained) = (self.ended, self.retained);
        let caller_disconnected = self.events.is_closed();
        let event = RunEvent::Ended {
            runner: self.route.runner.clone(),
            failed: self.has_failed(caller_disconnected),
        };
        tokio::spawn(async move {
            // Fails only while the process is exiting.
            let _ = shared.router.tell(update).await;
            shared.admission.record(event).await;
            let end = RunEnd { shared, runner, run_id, ended, retained, caller_disconnected };
            end.settle().await;
        });
    }
}

/// Final state of a run that this process no longer reads.
pub(crate) struct RunEnd {
    pub(crate) shared: Arc<Shared>,
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) run_id: RunId,
    pub(crate) ended: bool,
    pub(crate) retained: bool,
    pub(crate) caller_disconnected: bool,
}

impl RunEnd {
    /// Cancels the run, or retains it for a caller that may resume it.
    pub(crate) async fn settle(self) {
        let RunEnd { shared, runner, run_id, ended, retained, caller_disconnected } = self;
        if retained && caller_disconnected && !ended {
            // Fails only while the process is exiting.
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

/// Cancels a run, with retries while the runner does not respond.
pub(crate) async fn cancel_run(runner: &dyn Runner, run_id: &str) {
    for _ in 0..CANCEL_ATTEMPTS_LIMIT {
        if runner.cancel(run_id).await.is_ok() {
            return;
        }
        tokio::time::sleep(CANCEL_RETRY_INTERVAL).await;
    }
}
