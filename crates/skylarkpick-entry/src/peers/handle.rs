//! The handle of a running membership.

use super::{
    configuration::Follower,
    directory_shard::DirectoryShard,
    inbox::Inbox,
    list::follow_list,
    membership_actor::{
        IsLeaving, Leave, MembershipActor, ReadState, ReadStatus, ReadsRunner, Seen, Tick,
    },
    status::{ConfigurationStatus, PeersState},
    targets::follow_targets,
    view::PeersView,
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

/// Tells which runners this process reads for its data centre.
#[derive(Clone)]
pub(crate) struct Reporter(ActorRef<MembershipActor>);

impl Reporter {
    /// Whether this process reads the runner now.
    pub(crate) async fn is_reporter_for(&self, runner: &str) -> bool {
        let asked = self.0.ask(ReadsRunner(runner.to_string())).await;
        asked.is_ok_and(|(reads, _)| reads)
    }
}

/// The running membership of this process. Dropping it stops everything about it.
pub struct Peers {
    membership: ActorRef<MembershipActor>,
    network: Arc<dyn PeerNetwork>,
    view: watch::Receiver<Arc<PeersView>>,
    inbox: Arc<Inbox>,
    _tasks: JoinSet<()>,
}

impl Peers {
    /// Starts the membership and the tasks that follow configuration, list and runners.
    pub(crate) fn spawn(
        parts: &EntryParts,
        in_force: watch::Receiver<Arc<ActiveConfiguration>>,
        configuration: ActorRef<ConfigurationActor>,
        router: ActorRef<RouterActor>,
    ) -> Peers {
        let (view_sender, view) = watch::channel(Arc::default());
        let actor = MembershipActor {
            membership: Membership::open(membership_parts(parts)),
            network: parts.peers.clone(),
            clock: parts.clock.clone(),
            router: router.clone(),
            view: view_sender,
            runners: BTreeMap::new(),
        };
        actor.publish();
        let membership = MembershipActor::spawn(actor);
        let inbox = Arc::new(Inbox {
            membership: membership.clone(),
            in_force: in_force.clone(),
            directory: OnceLock::new(),
            retention: OnceLock::new(),
        });
        let handler: Arc<dyn PeerHandler> = inbox.clone();
        parts.peers.listen(Arc::downgrade(&handler));
        let follower = Follower {
            platform: parts.platform.clone(),
            network: parts.peers.clone(),
            configuration,
            in_force: in_force.clone(),
            view: view.clone(),
            poll: Duration::from_millis(parts.settings.limits.configuration_poll_ms),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(tick(membership.clone()));
        tasks.spawn(follower.clone().watch());
        tasks.spawn(follower.clone().fetch());
        tasks.spawn(follower.read_slowly());
        tasks.spawn(follow_list(parts.platform.clone(), membership.clone(), view.clone()));
        let connector = parts.connector.clone();
        tasks.spawn(follow_targets(connector, in_force, router, membership.clone()));
        Peers { membership, network: parts.peers.clone(), view, inbox, _tasks: tasks }
    }

    /// Follows what is known of the peers.
    pub fn view(&self) -> watch::Receiver<Arc<PeersView>> {
        self.view.clone()
    }

    /// The network to the peers.
    pub fn network(&self) -> Arc<dyn PeerNetwork> {
        self.network.clone()
    }

    /// Lets peers reach this process's part of the directory; only the first call counts.
    pub fn register_directory(&self, part: Arc<dyn DirectoryShard>) {
        let _ = self.inbox.directory.set(part);
    }

    /// Tells which runners this process reads for its data centre.
    pub(crate) fn reporter(&self) -> Reporter {
        Reporter(self.membership.clone())
    }

    /// Lets peers say that they read runs that are kept here; only the first call counts.
    pub(crate) fn register_retention(&self, retention: ActorRef<RetentionActor>) {
        let _ = self.inbox.retention.set(retention);
    }

    /// Says that the present start of a target leaves.
    pub async fn observe_leaving(&self, target: &str) {
        // A stopped actor means that the process ends.
        let _ = self.membership.tell(Seen::Leaving(target.to_string())).await;
    }

    /// Whether a target leaves, by anybody's word.
    pub async fn is_leaving(&self, target: &str) -> bool {
        self.membership.ask(IsLeaving(target.to_string())).await.unwrap_or(false)
    }

    /// Which version is in force where.
    pub async fn configuration_status(&self) -> ConfigurationStatus {
        self.membership.ask(ReadStatus).await.unwrap_or_default()
    }

    /// State of the membership, for the state dump.
    pub async fn state(&self) -> PeersState {
        self.membership.ask(ReadState).await.unwrap_or_default()
    }

    /// Leaves the membership and hands the directory part over, without waiting for either.
    pub(crate) fn leave(&self) {
        let membership = self.membership.clone();
        let directory = self.inbox.directory.get().cloned();
        tokio::spawn(async move {
            // A stopped actor means that the process ends.
            let _ = membership.ask(Leave).await;
            if let Some(directory) = directory {
                directory.hand_off().await;
            }
        });
    }
}

fn membership_parts(parts: &EntryParts) -> MembershipSettings {
    let since = parts.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    MembershipSettings {
        entry_id: parts.settings.entry_id.clone(),
        data_centre: parts.settings.data_centre.clone(),
        address: parts.peers.address(),
        incarnation: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
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
