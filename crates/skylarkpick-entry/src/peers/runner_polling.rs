//! Applies each new configuration, and polls the runners that this process is the reporter of.

use super::membership_actor::{ApplyConfiguration, IsReporter, MembershipActor, Observation};
use crate::{
    active_configuration::ActiveConfiguration,
    router_actor::{RouterActor, SetConfiguration},
};
use kameo::prelude::ActorRef;
use skylarkpick_interface::{Runner, RunnerId, TargetConnector};
use skylarkpick_membership::RunnerInfo;
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinSet};

/// Response timeout of a runner.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Applies each new configuration to the router and the membership, and polls its runners.
pub(super) async fn follow_configuration(
    connector: Arc<dyn TargetConnector>,
    mut active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
    router: ActorRef<RouterActor>,
    membership: ActorRef<MembershipActor>,
) {
    loop {
        let current = active_configuration.borrow_and_update().clone();
        // Fails only while the process is exiting.
        let _ = router.ask(SetConfiguration(current.clone())).await;
        let _ =
            membership.ask(ApplyConfiguration(current.version, configured_runners(&current))).await;
        let mut polls = JoinSet::new();
        for targets in current.configuration.data_centres.values() {
            for (name, target) in &targets.runners {
                let runner = connector.runner(&target.address);
                polls.spawn(poll_runner(name.clone(), runner, membership.clone()));
            }
        }
        if active_configuration.changed().await.is_err() {
            return;
        }
    }
}

fn configured_runners(active_configuration: &ActiveConfiguration) -> Vec<RunnerInfo> {
    let data_centres = active_configuration.configuration.data_centres.iter();
    let runner_info = |data_centre: &str, name: &str, model: &str| RunnerInfo {
        name: name.to_string(),
        data_centre: data_centre.to_string(),
        model: model.to_string(),
    };
    data_centres
        .flat_map(|(data_centre, targets)| {
            targets
                .runners
                .iter()
                .map(move |(name, target)| runner_info(data_centre, name, &target.model))
        })
        .collect()
}

async fn poll_runner(
    name: RunnerId,
    runner: Arc<dyn Runner>,
    membership: ActorRef<MembershipActor>,
) {
    loop {
        let Ok((is_reporter, interval)) = membership.ask(IsReporter(name.clone())).await else {
            return;
        };
        if is_reporter {
            poll_once(&name, runner.as_ref(), &membership).await;
        }
        tokio::time::sleep(interval).await;
    }
}

async fn poll_once(name: &str, runner: &dyn Runner, membership: &ActorRef<MembershipActor>) {
    let name = name.to_string();
    let status = tokio::time::timeout(POLL_TIMEOUT, runner.status()).await;
    let observation = match status {
        Ok(Ok(status)) => Observation::Status(name.clone(), status),
        _ => Observation::Unreachable(name.clone()),
    };
    // Fails only while the process is exiting.
    let _ = membership.tell(observation).await;
    if let Ok(Ok(load)) = tokio::time::timeout(POLL_TIMEOUT, runner.load()).await {
        let _ = membership.tell(Observation::Load(name, load)).await;
    }
}
