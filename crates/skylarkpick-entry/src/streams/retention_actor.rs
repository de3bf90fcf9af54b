//! Cancels retained runs that no caller resumed within the resume window.

use super::{
    retention::{DetachOutcome, Retention},
    run_guard::cancel_run,
};
use kameo::prelude::*;
use skylarkpick_interface::{RunId, Runner};
use std::{sync::Arc, time::Duration};

/// Cancels retained runs that no caller resumed within `window`.
#[derive(Actor)]
pub(crate) struct RetentionActor {
    retention: Retention,
    window: Duration,
}

impl RetentionActor {
    pub(crate) fn open(window: Duration) -> RetentionActor {
        RetentionActor { retention: Retention::default(), window }
    }
}

/// Adds a reader of a run.
pub(crate) struct AttachReader(pub(crate) RunId);

/// Removes a reader that disconnected before the run ended.
pub(crate) struct DetachReader {
    pub(crate) run_id: RunId,
    pub(crate) runner: Arc<dyn Runner>,
}

/// Stops tracking a run that has ended or that another process reads now.
pub(crate) struct ReleaseRun(pub(crate) RunId);

/// Counts the runs that are retained without a reader.
pub(crate) struct CountRetained;

struct Expire {
    run_id: RunId,
    window_id: u64,
    runner: Arc<dyn Runner>,
}

impl Message<AttachReader> for RetentionActor {
    type Reply = ();

    async fn handle(
        &mut self,
        AttachReader(run_id): AttachReader,
        _: &mut Context<Self, Self::Reply>,
    ) {
        self.retention.attach(&run_id);
    }
}

impl Message<DetachReader> for RetentionActor {
    type Reply = ();

    async fn handle(&mut self, message: DetachReader, context: &mut Context<Self, Self::Reply>) {
        let DetachReader { run_id, runner } = message;
        match self.retention.detach(&run_id) {
            DetachOutcome::HasReaders => {}
            DetachOutcome::Cancel => {
                tokio::spawn(async move { cancel_run(runner.as_ref(), &run_id).await });
            }
            DetachOutcome::Retain(window_id) => {
                let (actor, window) = (context.actor_ref().clone(), self.window);
                tokio::spawn(async move {
                    tokio::time::sleep(window).await;
                    // Fails only while the process is exiting.
                    let _ = actor.tell(Expire { run_id, window_id, runner }).await;
                });
            }
        }
    }
}

impl Message<ReleaseRun> for RetentionActor {
    type Reply = ();

    async fn handle(&mut self, ReleaseRun(run_id): ReleaseRun, _: &mut Context<Self, Self::Reply>) {
        self.retention.release(&run_id);
    }
}

impl Message<CountRetained> for RetentionActor {
    type Reply = usize;

    async fn handle(&mut self, _: CountRetained, _: &mut Context<Self, Self::Reply>) -> usize {
        self.retention.retained_count()
    }
}

impl Message<Expire> for RetentionActor {
    type Reply = ();

    async fn handle(&mut self, message: Expire, _: &mut Context<Self, Self::Reply>) {
        if self.retention.expire(&message.run_id, message.window_id) {
            tokio::spawn(async move {
                cancel_run(message.runner.as_ref(), &message.run_id).await;
            });
        }
    }
}
