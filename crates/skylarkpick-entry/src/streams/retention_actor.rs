//! Cancels runs whose callers did not come back in time.

use super::{
    retention::{Detached, Retention},
    run_guard::cancel_run,
};
use kameo::prelude::*;
use skylarkpick_interface::{RunId, Runner};
use std::{sync::Arc, time::Duration};

/// Cancels runs whose callers did not come back in time.
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

/// Somebody reads a run from now on.
pub(crate) struct AttachReader(pub(crate) RunId);

/// The reader of an unfinished run has gone.
pub(crate) struct DetachReader {
    pub(crate) run_id: RunId,
    pub(crate) runner: Arc<dyn Runner>,
}

/// A run has ended, or another process reads it now.
pub(crate) struct ReleaseRun(pub(crate) RunId);

/// Counts the runs that wait for their callers.
pub(crate) struct CountRetained;

struct Expire {
    run_id: RunId,
    wait: u64,
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
            Detached::StillRead => {}
            Detached::Cancel => {
                tokio::spawn(async move { cancel_run(runner.as_ref(), &run_id).await });
            }
            Detached::Wait(wait) => {
                let (actor, window) = (context.actor_ref().clone(), self.window);
                tokio::spawn(async move {
                    tokio::time::sleep(window).await;
                    // A stopped actor means that the process ends.
                    let _ = actor.tell(Expire { run_id, wait, runner }).await;
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
        self.retention.waiting()
    }
}

impl Message<Expire> for RetentionActor {
    type Reply = ();

    async fn handle(&mut self, message: Expire, _: &mut Context<Self, Self::Reply>) {
        if self.retention.expire(&message.run_id, message.wait) {
            tokio::spawn(async move {
                cancel_run(message.runner.as_ref(), &message.run_id).await;
            });
        }
    }
}
