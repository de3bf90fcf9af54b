//! One look at the data centre's runners and the configuration in force.

use super::loads::Loads;
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

/// Time for a runner to say what it serves.
pub(super) const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Looks at the runners of one data centre.
pub(super) struct Look {
    pub(super) centre: String,
    pub(super) in_force: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(super) router: ActorRef<RouterActor>,
    pub(super) connector: Arc<dyn TargetConnector>,
}

/// An order to give.
#[derive(Clone, Debug)]
pub(super) struct OrderDue {
    pub(super) runner: RunnerId,
    pub(super) address: String,
    pub(super) model: ModelName,
    pub(super) weight_version: WeightVersion,
    pub(super) adapters: Vec<AdapterName>,
    pub(super) loads_limit: u32,
}

/// What a look found.
#[derive(Debug, Default)]
pub(super) struct Chosen {
    pub(super) orders: Vec<OrderDue>,
    pub(super) waiting: BTreeMap<RunnerId, RolloutWait>,
}

impl Look {
    /// Chooses the orders to give now.
    pub(super) async fn choose(
        &self,
        loads: &Loads,
        under_way: &BTreeSet<RunnerId>,
    ) -> Result<Chosen, String> {
        let in_force = self.in_force.borrow().clone();
        let configuration = &in_force.configuration;
        let candidates = self.router.ask(ReadCandidates).await.unwrap_or_default();
        let misplaced = self.misplaced(configuration, &candidates);
        if misplaced.is_empty() && !loads.may_hold_own() {
            return Ok(Chosen::default());
        }
        let mut taken = loads.read().await?;
        for runner in taken.iter().filter(|it| it.data_centre == self.centre) {
            if !under_way.contains(&runner.runner) && self.has_ended(configuration, runner).await {
                loads.give_back(&runner.runner).await;
            }
        }
        taken = loads.drop_forgotten(taken).await;
        let blocks = self.router.ask(CountBlocks).await.unwrap_or_default();
        let mut chosen = Chosen::default();
        let mut loads_under_way = u32::try_from(taken.len()).unwrap_or(u32::MAX);
        for (name, model) in &configuration.models {
            let runners = self.runners(configuration, name, &candidates, under_way, &blocks);
            let wish = wish(configuration, name, model);
            let plan = plan_rollout(&runners, &wish, loads_under_way);
            loads_under_way += u32::try_from(plan.order.len()).unwrap_or(u32::MAX);
            chosen.waiting.extend(plan.waiting);
            for runner in plan.order {
                chosen.orders.extend(self.order(configuration, &runner, model, &wish));
            }
        }
        Ok(chosen)
    }

    fn targets<'a>(
        &self,
        configuration: &'a Configuration,
    ) -> impl Iterator<Item = (&'a RunnerId, &'a skylarkpick_config::RunnerTarget)> + use<'a> {
        let centre = configuration.data_centres.get(&self.centre);
        centre.into_iter().flat_map(|targets| targets.runners.iter())
    }

    /// Runners that serve other weights than wanted.
    fn misplaced(
        &self,
        configuration: &Configuration,
        candidates: &BTreeMap<RunnerId, Candidate>,
    ) -> Vec<RunnerId> {
        let wanted = |model: &str| configuration.models.get(model).map(|it| it.weight_version);
        self.targets(configuration)
            .filter(|(name, target)| {
                let served = candidates.get(*name).and_then(|it| it.weight_version);
                served.is_some() && served != wanted(&target.model)
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn runners(
        &self,
        configuration: &Configuration,
        model: &str,
        candidates: &BTreeMap<RunnerId, Candidate>,
        under_way: &BTreeSet<RunnerId>,
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
                is_loading: candidate.is_some_and(|it| it.loading) || under_way.contains(name),
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
        wish: &RolloutGoal,
    ) -> Option<OrderDue> {
        let (_, target) = self.targets(configuration).find(|(name, _)| *name == runner)?;
        Some(OrderDue {
            runner: runner.to_string(),
            address: target.address.clone(),
            model: wish.model.clone(),
            weight_version: wish.weight_version,
            adapters: model.adapters.clone(),
            loads_limit: wish.loads_limit,
        })
    }

    /// Whether a load that an earlier planner ordered is over.
    async fn has_ended(
        &self,
        configuration: &Configuration,
        load: &super::loads::LoadUnderWay,
    ) -> bool {
        let found = self.targets(configuration).find(|(name, _)| **name == load.runner);
        let Some((_, target)) = found else { return true };
        let runner = self.connector.runner(&target.address);
        let status = timeout(STATUS_TIMEOUT, runner.status()).await;
        matches!(status, Ok(Ok(RunnerStatus { loading: None, .. })))
    }
}

fn wish(configuration: &Configuration, name: &str, model: &Model) -> RolloutGoal {
    let serving = configuration.serving.get(&model.serving).cloned().unwrap_or_default();
    RolloutGoal {
        model: name.to_string(),
        weight_version: model.weight_version,
        usable_weight_versions: model.usable_weight_versions(),
        loads_limit: serving.loads_limit,
        serving_share_floor: serving.serving_share_floor,
    }
}
