//! Restarts, replacements and departures of targets.

use crate::{
    checks::DRAIN_LIMIT,
    history::{ServingTarget, SoftwareVersion},
    run::{Fleet, FleetState},
    store_faults::TARGETS,
    target::{Target, start_service, start_target},
};
use skylarkpick_platform_standin::{EchoTarget, ObjectServer, TargetState};
use std::{ops::Range, time::Duration};
use tokio::time::{Instant, sleep};

/// Time between the replacements of two targets in a release.
const RELEASE_STEP: Duration = Duration::from_millis(700);
/// Time for which a drained target keeps running after the drain limit, so that it records late
/// requests.
const REMOVAL_SLACK: Duration = Duration::from_secs(1);

impl Fleet {
    /// Replaces a target by a new instance with the same name, without draining it.
    pub(crate) async fn restart_target(
        &self,
        index: usize,
        version: SoftwareVersion,
    ) -> anyhow::Result<()> {
        let name = self.lock().targets[index].name.clone();
        let service = start_service(&name, version, &self.arrivals).await?;
        let mut state = self.lock();
        state.arm(&service);
        let FleetState { targets, changes, .. } = &mut *state;
        let target = &mut targets[index];
        if target.name != name {
            // Another fault replaced the target meanwhile.
            return Ok(());
        }
        target.proxy.set_upstream(service.address);
        target.service = service;
        target.is_end_seen = false;
        target.version = version;
        target.registered_version = Some(version);
        changes.stop_serving(&name);
        let record = target.registration(TargetState::Ready);
        changes.serving.push(ServingTarget::from_now(&name, version));
        state.write(&self.objects, TARGETS, &name, Some(record));
        Ok(())
    }

    /// Replaces targets by new ones of a software version, one after another. Each old one drains once
    /// the new one is registered, and is removed at the end.
    pub(crate) async fn replace_targets(
        &self,
        indexes: Range<usize>,
        version: SoftwareVersion,
    ) -> anyhow::Result<()> {
        let mut replaced = Vec::new();
        for index in indexes {
            if !replaced.is_empty() {
                sleep(RELEASE_STEP).await;
            }
            let new =
                start_target(self.next_target(), version, Some(version), &self.arrivals).await?;
            let mut state = self.lock();
            state.add_target(&self.objects, &new, version);
            let old = std::mem::replace(&mut state.targets[index], new);
            state.drain_target(&self.objects, &old);
            replaced.push(old);
        }
        self.remove_drained(replaced).await;
        Ok(())
    }

    /// Runs a target for some time whose entry, by another writer, names no software version.
    pub(crate) async fn run_unversioned_target(
        &self,
        version: SoftwareVersion,
        span: Duration,
    ) -> anyhow::Result<()> {
        let target = start_target(self.next_target(), version, None, &self.arrivals).await?;
        self.lock().arm(&target.service);
        let record = target.registration(TargetState::Ready);
        self.lock().write(&self.objects, TARGETS, &target.name, Some(record));
        sleep(span).await;
        self.lock().drain_target(&self.objects, &target);
        self.remove_drained(vec![target]).await;
        Ok(())
    }

    /// Changes how a target answers for some time, unless it is replaced meanwhile.
    pub(crate) async fn change_answers(
        &self,
        index: usize,
        span: Duration,
        change: impl Fn(&EchoTarget, bool),
    ) {
        let started_at_ms = {
            let target = &self.lock().targets[index];
            change(&target.service, true);
            target.service.started_at_ms
        };
        sleep(span).await;
        let service = &self.lock().targets[index].service;
        if service.started_at_ms == started_at_ms {
            change(service, false);
        }
    }

    async fn remove_drained(&self, targets: Vec<Target>) {
        sleep(DRAIN_LIMIT + REMOVAL_SLACK).await;
        for target in targets {
            self.lock().write(&self.objects, TARGETS, &target.name, None);
        }
    }
}

impl FleetState {
    pub(crate) fn add_target(
        &mut self,
        objects: &ObjectServer,
        target: &Target,
        version: SoftwareVersion,
    ) {
        self.arm(&target.service);
        let record = target.registration(TargetState::Ready);
        self.write(objects, TARGETS, &target.name, Some(record));
        self.changes.serving.push(ServingTarget::from_now(&target.name, version));
    }

    /// Makes a target end by what ends targets now, and as brittle and faulty as the others.
    pub(crate) fn arm(&self, service: &EchoTarget) {
        service.set_crashing_part(self.crashing_part);
        service.set_crashing_request(self.crashing_request.as_ref());
        service.set_answer_faults(self.answer_faults);
        if let Some(brittleness) = self.brittleness {
            brittleness.apply(service);
        }
    }

    fn drain_target(&mut self, objects: &ObjectServer, target: &Target) {
        self.changes.stop_serving(&target.name);
        let record = target.registration(TargetState::Draining);
        self.write(objects, TARGETS, &target.name, Some(record));
        self.changes.draining.push((target.name.clone(), Instant::now()));
    }
}
