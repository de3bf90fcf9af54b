//! Times in which the answers of all targets are faulty.

use crate::{
    clients::SharedClientState,
    history::{CallKind, DisturbanceScope},
    run::{Fleet, FleetState},
};
use skylarkpick_platform_standin::AnswerFaults;
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Kinds of the further requests that clients send then: those that may run only once.
const KINDS: [CallKind; 2] = [CallKind::Write, CallKind::Unresumable];
/// Interval between two of them, of which each goes to the next process.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

impl Fleet {
    /// Makes the answers of all targets faulty for some time, under further requests that may run only
    /// once.
    pub(crate) async fn make_answers_faulty(
        &self,
        clients: &Arc<SharedClientState>,
        faults: AnswerFaults,
        span: Duration,
    ) {
        let from = Instant::now();
        self.lock().set_answer_faults(faults);
        let mut calls = JoinSet::new();
        let fronts = self.fronts();
        for turn in 0.. {
            // Each process gets requests of each kind.
            let (round, process) = (turn / fronts.len(), turn % fronts.len());
            let (kind, front) = (KINDS[round % KINDS.len()], fronts[process]);
            if from.elapsed() >= span {
                break;
            }
            let request = clients.next_request(kind);
            let clients = clients.clone();
            calls.spawn(async move { clients.send_once(front, process, kind, request).await });
            sleep(SEND_INTERVAL).await;
        }
        self.lock().set_answer_faults(AnswerFaults::default());
        while calls.join_next().await.is_some() {}
        self.record_disturbance(DisturbanceScope::Target, from);
    }
}

impl FleetState {
    /// Makes the answers of all targets, and of those that start later, as faulty as this.
    fn set_answer_faults(&mut self, faults: AnswerFaults) {
        self.answer_faults = faults;
        self.targets.iter().for_each(|target| target.service.set_answer_faults(faults));
    }
}
