//! Starts the membership and its tasks, and holds the handle to them.

use super::{
    configuration::ConfigurationFollower,
    directory_shard::DirectoryShard,
    membership_actor::{
        IsLeaving, IsReporter, Leave, MembershipActor, Observation, ReadState, ReadStatus, Tick,
    },
    message_handler::MessageHandler,
    runner_polling::follow_configuration,
    status::{ConfigurationStatus, PeersState},
    view::PeersView,
    vm_list::poll_vm_list,
};
use crate::{
    active_configuration::ActiveConfiguration, configuration_actor::ConfigurationActor,
    entry_parts::EntryParts, router_actor::RouterActor, streams::RetentionActor,
};
use kameo::{actor::Spawn, prelude::ActorRef};
use skylarkpick_interface::{PeerHandler, PeerNetwork};
use skylarkpick_membership::{Membership, MembershipSettings, ProtocolParameters};
use std::{
    collections::BTreeMap,
    sync::{Arc, OnceLock},
    time::{Duration, SystemTime},
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

/// Answers whether this process is the reporter of a runner.
#[derive(Clone)]
pub(crate) struct Reporter(ActorRef<MembershipActor>);

impl Reporter {
    /// Whether this process polls the runner and reports its state to the fleet now.
    pub(crate) async fn is_reporter_for(&self, runner: &str) -> bool {
        let response = self.0.ask(IsReporter(runner.to_string())).await;
        response.is_ok_and(|(is_reporter, _)| is_reporter)
    }
}

/// The running membership of this process. Dropping it stops the membership's tasks.
pub struct Peers {
    membership: ActorRef<MembershipActor>,
    network: Arc<dyn PeerNetwork>,
    view: watch::Receiver<Arc<PeersView>>,
    message_handler: Arc<MessageHandler>,
    _tasks: JoinSet<()>,
}

impl Peers {
    /// Starts the membership and the tasks that follow the configuration, the platform's list of
    /// VMs and the runners.
    pub(crate) fn spawn(
        parts: &EntryParts,
        active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
        configuration: ActorRef<ConfigurationActor>,
        router: ActorRef<RouterActor>,
    ) -> Peers {
        let (view_sender, view) = watch::channel(Arc::default());
        let actor = MembershipActor {
            membership: Membership::open(membership_settings(parts)),
            network: parts.peers.clone(),
            clock: parts.clock.clone(),
            router: router.clone(),
            view: view_sender,
            runners: BTreeMap::new(),
        };
        actor.publish();
        let membership = MembershipActor::spawn(actor);
        let message_handler = Arc::new(MessageHandler {
            membership: membership.clone(),
            active_configuration: active_configuration.clone(),
            directory: OnceLock::new(),
            retention: OnceLock::new(),
        });
        let handler: Arc<dyn PeerHandler> = message_handler.clone();
        parts.peers.listen(Arc::downgrade(&handler));
        let follower = ConfigurationFollower {
            platform: parts.platform.clone(),
            network: parts.peers.clone(),
            configuration,
            active_configuration: active_configuration.clone(),
            view: view.clone(),
            poll_interval: Duration::from_millis(parts.settings.limits.configuration_poll_ms),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(tick(membership.clone()));
        tasks.spawn(follower.clone().watch_platform());
        tasks.spawn(follower.clone().fetch_newer_versions());
        tasks.spawn(follower.poll_platform());
        tasks.spawn(poll_vm_list(parts.platform.clone(), membership.clone(), view.clone()));
        let connector = parts.connector.clone();
        tasks.spawn(follow_configuration(
            connector,
            active_configuration,
            router,
            membership.clone(),
        ));
        Peers { membership, network: parts.peers.clone(), view, message_handler, _tasks: tasks }
    }

    /// Subscribes to the view of the live peers.
    pub fn view(&self) -> watch::Receiver<Arc<PeersView>> {
        self.view.clone()
    }

    /// The network to the peers.
    pub fn network(&self) -> Arc<dyn PeerNetwork> {
        self.network.clone()
    }

    /// Lets peers reach this process's shard of the prefix directory. Only the first call has an
    /// effect.
    pub fn register_directory(&self, shard: Arc<dyn DirectoryShard>) {
        let _ = self.message_handler.directory.set(shard);
    }

    /// Returns a handle that answers whether this process is the reporter of a runner.
    pub(crate) fn reporter(&self) -> Reporter {
        Reporter(self.membership.clone())
    }

    /// Lets peers announce that they resumed runs that this process retains. Only the first call
    /// has an effect.
    pub(crate) fn register_retention(&self, retention: ActorRef<RetentionActor>) {
        let _ = self.message_handler.retention.set(retention);
    }

    /// Records that the current incarnation of a target is leaving.
    pub async fn observe_leaving(&self, target: &str) {
        // Fails only while the process is exiting.
        let _ = self.membership.tell(Observation::Leaving(target.to_string())).await;
    }

    /// Whether any source reports that a target is leaving.
    pub async fn is_leaving(&self, target: &str) -> bool {
        self.membership.ask(IsLeaving(target.to_string())).await.unwrap_or(false)
    }

    /// Returns the configuration version in force at each live process.
    pub async fn configuration_status(&self) -> ConfigurationStatus {
        self.membership.ask(ReadStatus).await.unwrap_or_default()
    }

    /// Returns the state of the membership, for the state dump.
    pub async fn state(&self) -> PeersState {
        self.membership.ask(ReadState).await.unwrap_or_default()
    }

    /// Leaves the membership and hands off the directory shard, without waiting for either.
    pub(crate) fn leave(&self) {
        let membership = self.membership.clone();
        let directory = self.message_handler.directory.get().cloned();
        tokio::spawn(async move {
            // Fails only while the process is exiting.
            let _ = membership.ask(Leave).await;
            if let Some(directory) = directory {
                directory.hand_off().await;
            }
        });
    }
}

fn membership_settings(parts: &EntryParts) -> MembershipSettings {
    let since_epoch = parts.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    MembershipSettings {
        entry_id: parts.settings.entry_id.clone(),
        data_centre: parts.settings.data_centre.clone(),
        address: parts.peers.address(),
        incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        seed_addresses: parts.settings.seed_peers.clone(),
        seed: parts.seed,
        parameters: ProtocolParameters::default(),
    }
}

async fn tick(membership: ActorRef<MembershipActor>) {
    let mut ticks = interval(ProtocolParameters::default().tick_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if membership.tell(Tick).await.is_err() {
            return;
        }
    }
}
