//! Targets that end by themselves, and what takes their places.

use crate::{
    clients::SharedClientState,
    history::{DisturbanceScope, SoftwareVersion},
    plan::CrashingPart,
    run::Fleet,
    store_faults::TARGETS,
    target::start_target,
};
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Interval at which targets are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time until the platform removes the record of a target that has ended.
const REMOVAL_DELAY: Duration = Duration::from_millis(900);
/// Time between that removal and the start of another target.
const RESTART_DELAY: Duration = Duration::from_millis(600);

/// Time until all targets are replaced after they have ended.
pub(crate) const REPLACEMENT_TIME: Duration = REMOVAL_DELAY.saturating_add(RESTART_DELAY);

/// A target that has ended.
struct EndedTarget {
    index: usize,
    name: String,
    version: SoftwareVersion,
    seen_at: Instant,
}

impl Fleet {
    /// Makes a part end targets for some time, and lets clients send it meanwhile.
    pub(crate) async fn inject_crashing_part(
        &self,
        clients: &SharedClientState,
        part: CrashingPart,
        span: Duration,
    ) {
        self.lock().crashing_part = Some(part);
        sleep(LOOK_INTERVAL * 2).await;
        clients.set_crashing_part(Some(part));
        sleep(span).await;
        // This also ends another such fault that began meanwhile.
        clients.set_crashing_part(None);
        self.lock().crashing_part = None;
    }

    /// Replaces the targets that have ended, for as long as the task runs.
    pub(crate) async fn replace_ended_targets(self: Arc<Fleet>) {
        let mut replacements = JoinSet::new();
        loop {
            sleep(LOOK_INTERVAL).await;
            for ended in self.take_ended_targets() {
                replacements.spawn(self.clone().replace_ended_target(ended));
            }
            while replacements.try_join_next().is_some() {}
        }
    }

    /// Returns the targets that have ended since the last look.
    fn take_ended_targets(&self) -> Vec<EndedTarget> {
        let seen_at = Instant::now();
        let mut state = self.lock();
        let part = state.crashing_part;
        let mut ended = Vec::new();
        for (index, target) in state.targets.iter_mut().enumerate() {
            target.service.set_crashing_part(part);
            if target.service.has_ended() && !std::mem::replace(&mut target.is_end_seen, true) {
                let (name, version) = (target.name.clone(), target.version);
                ended.push(EndedTarget { index, name, version, seen_at });
            }
        }
        ended
    }

    async fn replace_ended_target(self: Arc<Fleet>, ended: EndedTarget) {
        self.lock().changes.stop_serving(&ended.name);
        sleep(REMOVAL_DELAY).await;
        self.lock().write(&self.objects, TARGETS, &ended.name, None);
        sleep(RESTART_DELAY).await;
        let (number, version) = (self.next_target(), ended.version);
        let Ok(target) = start_target(number, version, Some(version), &self.arrivals).await else {
            // Without a free port, the fleet goes on with one target less.
            return;
        };
        {
            let mut state = self.lock();
            if state.targets[ended.index].name == ended.name {
                state.add_target(&self.objects, &target, version);
                state.targets[ended.index] = target;
            }
        }
        self.record_disturbance(DisturbanceScope::Target, ended.seen_at - LOOK_INTERVAL * 2);
    }
}
