//! Times in which all targets say that they are brittle.

use crate::{
    clients::SharedClientState,
    history::{BrittleTime, CallKind, DisturbanceScope},
    plan::BrittleNumber,
    run::{Fleet, FleetState},
};
use skylarkpick_platform_standin::EchoTarget;
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Time from which brittle targets have less room and fall over, as the users' rule allows.
const NOTICE: Duration = Duration::from_secs(3);
/// Requests that may wait at a target before that time.
const AMPLE_ROOM: usize = 18;
/// Processing time in a brittle time. With the requests below, most slots are in use.
const BRITTLE_PROCESSING_TIME: Duration = Duration::from_millis(300);
/// Processing time outside.
const USUAL_PROCESSING_TIME: Duration = Duration::from_millis(25);
/// Interval between two further requests, of which each goes to the next process.
const SEND_INTERVAL: Duration = Duration::from_millis(30);

/// How brittle the targets are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Brittleness {
    number: BrittleNumber,
    room: usize,
    falls: bool,
}

impl Brittleness {
    pub(crate) fn apply(self, service: &EchoTarget) {
        let limit = self.number.parse().ok().filter(|_| self.falls);
        service.set_processing_time(BRITTLE_PROCESSING_TIME);
        service.set_room(self.room);
        service.set_falls_above(limit);
        service.set_brittle(Some(self.number));
    }
}

impl Fleet {
    /// Makes all targets brittle for some time, with room for so many waiting requests from the
    /// contact window on, under a load that most of their slots are needed for.
    pub(crate) async fn make_targets_brittle(
        &self,
        clients: &Arc<SharedClientState>,
        number: BrittleNumber,
        room: usize,
        span: Duration,
    ) {
        let from = Instant::now();
        let mut brittleness = Brittleness { number, room: AMPLE_ROOM, falls: false };
        self.lock().set_brittleness(Some(brittleness));
        let mut calls = JoinSet::new();
        let fronts = self.fronts();
        for process in (0..fronts.len()).cycle() {
            if from.elapsed() >= span {
                break;
            }
            if !brittleness.falls && from.elapsed() >= NOTICE {
                brittleness = Brittleness { number, room, falls: true };
                self.lock().set_brittleness(Some(brittleness));
            }
            // Equal requests would be blamed for the ends of targets.
            let request = clients.next_request(CallKind::Read);
            let (clients, address) = (clients.clone(), fronts[process]);
            calls.spawn(async move {
                clients.send_once(address, process, CallKind::Read, request).await;
            });
            sleep(SEND_INTERVAL).await;
        }
        {
            let mut state = self.lock();
            state.set_brittleness(None);
            let targets = state.targets.len();
            let time = BrittleTime { targets, from, until: Instant::now() };
            state.changes.brittle_times.push(time);
        }
        while calls.join_next().await.is_some() {}
        self.record_disturbance(DisturbanceScope::Target, from);
    }
}

impl FleetState {
    /// Makes all targets, and those that start later, as brittle as this.
    fn set_brittleness(&mut self, brittleness: Option<Brittleness>) {
        self.brittleness = brittleness;
        for target in &self.targets {
            match brittleness {
                Some(brittleness) => brittleness.apply(&target.service),
                None => {
                    target.service.set_brittle(None);
                    target.service.set_falls_above(None);
                    target.service.set_room(0);
                    target.service.set_processing_time(USUAL_PROCESSING_TIME);
                }
            }
        }
    }
}
