//! Reads the runners of which this process is the reporter.

use super::membership_actor::{InForceHere, MembershipActor, ReadsRunner, Seen};
use crate::{
    active_configuration::ActiveConfiguration,
    router_actor::{RouterActor, SetConfiguration},
};
use kameo::prelude::ActorRef;
use skylarkpick_interface::{Runner, RunnerId, TargetConnector};
use skylarkpick_membership::RunnerInfo;
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinSet};

/// Time for a runner to answer.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Hands each new configuration to the router and the membership, and reads the runners.
pub(super) async fn follow_targets(
    connector: Arc<dyn TargetConnector>,
    mut in_force: watch::Receiver<Arc<ActiveConfiguration>>,
    router: ActorRef<RouterActor>,
    membership: ActorRef<MembershipActor>,
) {
    loop {
        let current = in_force.borrow_and_update().clone();
        // A stopped actor means that the process ends.
        let _ = router.ask(SetConfiguration(current.clone())).await;
        let _ = membership.ask(InForceHere(current.version, places(&current))).await;
        let mut reads = JoinSet::new();
        for targets in current.configuration.data_centres.values() {
            for (name, target) in &targets.runners {
                let runner = connector.runner(&target.address);
                reads.spawn(follow_runner(name.clone(), runner, membership.clone()));
            }
        }
        if in_force.changed().await.is_err() {
            return;
        }
    }
}

fn places(in_force: &ActiveConfiguration) -> Vec<RunnerInfo> {
    let centres = in_force.configuration.data_centres.iter();
    let place = |centre: &str, name: &str, model: &str| RunnerInfo {
        name: name.to_string(),
        data_centre: centre.to_string(),
        model: model.to_string(),
    };
    centres
        .flat_map(|(centre, targets)| {
            targets.runners.iter().map(move |(name, target)| place(centre, name, &target.model))
        })
        .collect()
}

async fn follow_runner(
    name: RunnerId,
    runner: Arc<dyn Runner>,
    membership: ActorRef<MembershipActor>,
) {
    loop {
        let Ok((reads, interval)) = membership.ask(ReadsRunner(name.clone())).await else { return };
        if reads {
            read(&name, runner.as_ref(), &membership).await;
        }
        tokio::time::sleep(interval).await;
    }
}

async fn read(name: &str, runner: &dyn Runner, membership: &ActorRef<MembershipActor>) {
    let name = name.to_string();
    let status = tokio::time::timeout(READ_TIMEOUT, runner.status()).await;
    let seen = match status {
        Ok(Ok(status)) => Seen::Status(name.clone(), status),
        _ => Seen::Unreachable(name.clone()),
    };
    // A stopped actor means that the process ends.
    let _ = membership.tell(seen).await;
    if let Ok(Ok(load)) = tokio::time::timeout(READ_TIMEOUT, runner.load()).await {
        let _ = membership.tell(Seen::Load(name, load)).await;
    }
}
