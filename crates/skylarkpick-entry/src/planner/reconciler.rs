//! Compares what the data centre's runners serve with the active configuration and plans the load
//! orders to send.

use super::load_slots::{ActiveLoad, LoadSlots};
use crate::{
    active_configuration::ActiveConfiguration,
    router_actor::{CountBlocks, ReadCandidates, RouterActor},
};
use kameo::prelude::ActorRef;
use skylarkpick_config::{Configuration, Model};
use skylarkpick_interface::{
    AdapterName, ModelName, RunnerId, RunnerStatus, TargetConnector, WeightVersion,
};
use skylarkpick_schedule::{Candidate, RolloutGoal, RolloutRunner, RolloutWait, plan_rollout};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{sync::watch, time::timeout};

/// Maximum time for a runner to report its status.
pub(super) const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Plans the load orders of one data centre.
pub(super) struct Reconciler {
    pub(super) data_centre: String,
    pub(super) active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(super) router: ActorRef<RouterActor>,
    pub(super) connector: Arc<dyn TargetConnector>,
}

/// A load order to send.
#[derive(Clone, Debug)]
pub(super) struct PlannedOrder {
    pub(super) runner: RunnerId,
    pub(super) address: String,
    pub(super) model: ModelName,
    pub(super) weight_version: WeightVersion,
    pub(super) adapters: Vec<AdapterName>,
    pub(super) loads_limit: u32,
}

/// Outcome of a reconciliation pass.
#[derive(Debug, Default)]
pub(super) struct ReconcilePlan {
    pub(super) orders: Vec<PlannedOrder>,
    pub(super) waiting: BTreeMap<RunnerId, RolloutWait>,
}

impl Reconciler {
    /// Plans the orders to send now. `in_progress` names the runners that have an order already.
    pub(super) async fn plan(
        &self,
        load_slots: &LoadSlots,
        in_progress: &BTreeSet<RunnerId>,
    ) -> Result<ReconcilePlan, String> {
        let active_configuration = self.active_configuration.borrow().clone();
        let configuration = &active_configuration.configuration;
        let candidates = self.router.ask(ReadCandidates).await.unwrap_or_default();
        let outdated = self.outdated_runners(configuration, &candidates);
        if outdated.is_empty() && !load_slots.may_hold_own() {
            return Ok(ReconcilePlan::default());
        }
        let mut active = load_slots.read().await?;
        for load in active.iter().filter(|load| load.data_centre == self.data_centre) {
            if !in_progress.contains(&load.runner) && self.has_ended(configuration, load).await {
                load_slots.release(&load.runner).await;
            }
        }
        active = load_slots.drop_stale(active).await;
        let blocks = self.router.ask(CountBlocks).await.unwrap_or_default();
        let mut result = ReconcilePlan::default();
        let mut active_loads = u32::try_from(active.len()).unwrap_or(u32::MAX);
        for (name, model) in &configuration.models {
            let runners = self.runners(configuration, name, &candidates, in_progress, &blocks);
            let goal = rollout_goal(configuration, name, model);
            let plan = plan_rollout(&runners, &goal, active_loads);
            active_loads += u32::try_from(plan.order.len()).unwrap_or(u32::MAX);
            result.waiting.extend(plan.waiting);
            for runner in plan.order {
                result.orders.extend(self.order(configuration, &runner, model, &goal));
            }
        }
        Ok(result)
    }

    fn targets<'a>(
        &self,
        configuration: &'a Configuration,
    ) -> impl Iterator<Item = (&'a RunnerId, &'a skylarkpick_config::RunnerTarget)> + use<'a> {
        let data_centre = configuration.data_centres.get(&self.data_centre);
        data_centre.into_iter().flat_map(|targets| targets.runners.iter())
    }

    /// Returns the runners that serve another weight version than the desired one.
    fn outdated_runners(
        &self,
        configuration: &Configuration,
        candidates: &BTreeMap<RunnerId, Candidate>,
    ) -> Vec<RunnerId> {
        let desired = |model: &str| configuration.models.get(model).map(|it| it.weight_version);
        self.targets(configuration)
            .filter(|(name, target)| {
                let served = candidates.get(*name).and_then(|it| it.weight_version);
                served.is_some() && served != desired(&target.model)
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn runners(
        &self,
        configuration: &Configuration,
        model: &str,
        candidates: &BTreeMap<RunnerId, Candidate>,
        in_progress: &BTreeSet<RunnerId>,
        blocks: &BTreeMap<RunnerId, u64>,
    ) -> Vec<RolloutRunner> {
        let targets = self.targets(configuration).filter(|(_, target)| target.model == model);
        let runner = |(name, _): (&RunnerId, _)| {
            let candidate = candidates.get(name);
            let load = candidate.map(|it| it.load.clone()).unwrap_or_default();
            RolloutRunner {
                name: name.clone(),
                model: model.to_string(),
                weight_version: candidate.and_then(|it| it.weight_version),
                is_loading: candidate.is_some_and(|it| it.loading) || in_progress.contains(name),
                is_unavailable: false,
                is_leaving: candidate.is_some_and(|it| it.leaving),
                runs: load.active_runs + load.queued_runs,
                slots: load.slots,
                hot_blocks: blocks.get(name).copied().unwrap_or_default(),
            }
        };
        targets.map(runner).collect()
    }

    fn order(
        &self,
        configuration: &Configuration,
        runner: &str,
        model: &Model,
        goal: &RolloutGoal,
    ) -> Option<PlannedOrder> {
        let (_, target) = self.targets(configuration).find(|(name, _)| *name == runner)?;
        Some(PlannedOrder {
            runner: runner.to_string(),
            address: target.address.clone(),
            model: goal.model.clone(),
            weight_version: goal.weight_version,
            adapters: model.adapters.clone(),
            loads_limit: goal.loads_limit,
        })
    }

    /// Returns whether a listed load has ended. Only needed for loads without an order of this
    /// process, such as those that a previous lease holder ordered.
    async fn has_ended(&self, configuration: &Configuration, load: &ActiveLoad) -> bool {
        let found = self.targets(configuration).find(|(name, _)| **name == load.runner);
        let Some((_, target)) = found else { return true };
        let runner = self.connector.runner(&target.address);
        let status = timeout(STATUS_TIMEOUT, runner.status()).await;
        matches!(status, Ok(Ok(RunnerStatus { loading: None, .. })))
    }
}

fn rollout_goal(configuration: &Configuration, name: &str, model: &Model) -> RolloutGoal {
    let serving = configuration.serving.get(&model.serving).cloned().unwrap_or_default();
    RolloutGoal {
        model: name.to_string(),
        weight_version: model.weight_version,
        usable_weight_versions: model.usable_weight_versions(),
        expired_weight_versions: Vec::new(),
        loads_limit: serving.loads_limit,
        serving_share_floor: serving.serving_share_floor,
    }
}
