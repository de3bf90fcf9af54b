//! Handle to the actors and tasks that manage context.

use super::{
    import::{CountImports, ImportActor, ImportJob, JoinInProgress, StartOrJoin},
    messages::ReadIndexSizes,
    poller::ContextPoller,
    publisher::{DirectoryPublisher, IndexDirectory},
    saving::{CompletedRun, CountExports, SavingActor},
    state::ContextState,
};
use crate::{
    active_configuration::ActiveConfiguration, entry_parts::EntryParts, peers::Peers,
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

/// Maximum time that a request waits for an import before its run starts without it.
const IMPORT_WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Polls caches and stores, imports context to runners and saves it. Dropping it stops the polling;
/// imports and exports in progress run to their end.
pub(crate) struct ContextManager {
    router: ActorRef<RouterActor>,
    imports: ActorRef<ImportActor>,
    saving: ActorRef<SavingActor>,
    connector: Arc<dyn TargetConnector>,
    _tasks: JoinSet<()>,
}

impl ContextManager {
    pub(crate) fn spawn(
        parts: &EntryParts,
        active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
        router: ActorRef<RouterActor>,
        peers: &Peers,
    ) -> ContextManager {
        let data_centre = &parts.settings.data_centre;
        let connector = parts.connector.clone();
        let imports =
            ImportActor::spawn(ImportActor { router: router.clone(), waiters: BTreeMap::new() });
        let saving = SavingActor::open(
            router.clone(),
            connector.clone(),
            active_configuration.clone(),
            data_centre,
        );
        let saving = SavingActor::spawn(saving);
        peers.register_directory(Arc::new(IndexDirectory { router: router.clone() }));
        let publisher = DirectoryPublisher {
            network: peers.network(),
            view: peers.view(),
            data_centre: data_centre.clone(),
            entry_id: parts.settings.entry_id.clone(),
            sequence: Arc::default(),
            frame_size_bytes: parts.settings.limits.frame_size_bytes,
        };
        let poller = ContextPoller {
            reporter: peers.reporter(),
            publisher,
            connector: connector.clone(),
            active_configuration,
            router: router.clone(),
            saving: saving.clone(),
            data_centre: data_centre.clone(),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(poller.run());
        ContextManager { router, imports, saving, connector, _tasks: tasks }
    }

    /// Imports the context of a prompt to its runner as the route plans it, or waits for a matching
    /// import in progress. Returns whether the runner confirmed an import; without one, the runner
    /// computes the prompt.
    pub(crate) async fn import_context(
        &self,
        route: &Route,
        runner: Arc<dyn Runner>,
        account: &AccountId,
        keys: &[PrefixKey],
    ) -> bool {
        let (done, confirmed) = oneshot::channel();
        let ContextPlan::Import(plan) = &route.context else {
            // The index may list blocks whose import is still in progress.
            let (runner, keys) = (route.runner.clone(), keys.to_vec());
            let joined = self.imports.tell(JoinInProgress { runner, keys, done }).await;
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
        let joined = self.imports.tell(StartOrJoin { job, done }).await;
        joined.is_ok() && wait(confirmed).await
    }

    /// Records a completed run, after which its prompt may be saved.
    pub(crate) async fn record_completed_run(&self, run: CompletedRun) {
        // Fails only while the process is exiting.
        let _ = self.saving.tell(run).await;
    }

    /// Returns the sizes of the index and the transfers in progress, for the state dump.
    pub(crate) async fn state(&self) -> ContextState {
        let sizes = self.router.ask(ReadIndexSizes).await.unwrap_or_default();
        ContextState {
            blocks_known: sizes.blocks,
            blocks_size_bytes: sizes.size_bytes,
            doubtful_runners: sizes.doubtful_runners,
            copies_known: sizes.copies,
            imports_under_way: self.imports.ask(CountImports).await.unwrap_or_default(),
            exports_under_way: self.saving.ask(CountExports).await.unwrap_or_default(),
        }
    }
}

async fn wait(confirmed: oneshot::Receiver<bool>) -> bool {
    matches!(tokio::time::timeout(IMPORT_WAIT_LIMIT, confirmed).await, Ok(Ok(true)))
}
