//! The running keeper of context.

use super::{
    actor::CountBeliefs,
    follow::Follower,
    import::{CountImports, ImportActor, ImportJob, Join, JoinUnderWay},
    saving::{CountExports, SavingActor, Used},
    spread::{BeliefsPart, Spread},
    state::ContextState,
};
use crate::{
    active_configuration::ActiveConfiguration, parts::EntryParts, peers::Peers,
    router_actor::RouterActor,
};
use kameo::{actor::Spawn, prelude::ActorRef};
use skylarkpick_interface::{AccountId, PrefixKey, Runner, TargetConnector};
use skylarkpick_schedule::{ContextPlan, Route};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    sync::{oneshot, watch},
    task::JoinSet,
};

/// Longest time that a request waits for an import before it goes on by recomputing.
const IMPORT_WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Follows caches and stores, brings context to runners and saves it. Dropping it stops the
/// following; imports and exports under way go on to their end.
pub(crate) struct ContextKeeper {
    router: ActorRef<RouterActor>,
    imports: ActorRef<ImportActor>,
    saving: ActorRef<SavingActor>,
    connector: Arc<dyn TargetConnector>,
    _tasks: JoinSet<()>,
}

impl ContextKeeper {
    pub(crate) fn spawn(
        parts: &EntryParts,
        in_force: watch::Receiver<Arc<ActiveConfiguration>>,
        router: ActorRef<RouterActor>,
        peers: &Peers,
    ) -> ContextKeeper {
        let data_centre = &parts.settings.data_centre;
        let connector = parts.connector.clone();
        let imports =
            ImportActor::spawn(ImportActor { router: router.clone(), waiters: BTreeMap::new() });
        let saving =
            SavingActor::open(router.clone(), connector.clone(), in_force.clone(), data_centre);
        let saving = SavingActor::spawn(saving);
        peers.register_directory(Arc::new(BeliefsPart { router: router.clone() }));
        let spread = Spread {
            network: peers.network(),
            view: peers.view(),
            data_centre: data_centre.clone(),
            entry_id: parts.settings.entry_id.clone(),
            sequence: Arc::default(),
            frame_size_bytes: parts.settings.limits.frame_size_bytes,
        };
        let follower = Follower {
            reporter: peers.reporter(),
            spread,
            connector: connector.clone(),
            in_force,
            router: router.clone(),
            saving: saving.clone(),
            data_centre: data_centre.clone(),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(follower.run());
        ContextKeeper { router, imports, saving, connector, _tasks: tasks }
    }

    /// Brings the context of a prompt to its runner as the route plans it. Gives whether the
    /// runner confirmed an import; without one, the run goes on by recomputing.
    pub(crate) async fn prepare(
        &self,
        route: &Route,
        runner: Arc<dyn Runner>,
        account: &AccountId,
        keys: &[PrefixKey],
    ) -> bool {
        let (done, confirmed) = oneshot::channel();
        let ContextPlan::Import(plan) = &route.context else {
            // What the runner is believed to hold may still be on its way there.
            let (runner, keys) = (route.runner.clone(), keys.to_vec());
            let joined = self.imports.tell(JoinUnderWay { runner, keys, done }).await;
            return joined.is_ok() && wait(confirmed).await;
        };
        let job = ImportJob {
            runner_name: route.runner.clone(),
            runner,
            store: self.connector.store(&plan.address),
            plan: plan.clone(),
            account: account.clone(),
            weight_version: route.weight_version,
            keys: keys.to_vec(),
        };
        let joined = self.imports.tell(Join { job, done }).await;
        joined.is_ok() && wait(confirmed).await
    }

    /// Takes in that a run has come to its end.
    pub(crate) async fn note_use(&self, used: Used) {
        // A stopped actor means that the process ends.
        let _ = self.saving.tell(used).await;
    }

    /// State of the directory and of transfers, for the state dump.
    pub(crate) async fn state(&self) -> ContextState {
        let beliefs = self.router.ask(CountBeliefs).await.unwrap_or_default();
        ContextState {
            blocks_known: beliefs.blocks,
            blocks_size_bytes: beliefs.size_bytes,
            doubtful_runners: beliefs.doubtful_runners,
            copies_known: beliefs.copies,
            imports_under_way: self.imports.ask(CountImports).await.unwrap_or_default(),
            exports_under_way: self.saving.ask(CountExports).await.unwrap_or_default(),
        }
    }
}

async fn wait(confirmed: oneshot::Receiver<bool>) -> bool {
    matches!(tokio::time::timeout(IMPORT_WAIT_LIMIT, confirmed).await, Ok(Ok(true)))
}
