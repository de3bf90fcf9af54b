//! Owns the membership: ticks it, sends its messages, and passes on what it learns.

use super::{
    status::{ConfigurationStatus, PeersState, configuration_status, process_status},
    view::{PeerProcess, PeersView},
};
use crate::router_actor::{RouterActor, RouterUpdate};
use kameo::prelude::*;
use prost::Message as _;
use skylarkpick_interface::{
    Clock, ConfigurationVersion, LoadReport, PeerNetwork, RunnerId, RunnerStatus,
};
use skylarkpick_membership::{Change, Membership, Outgoing, RunnerInfo, digest_of};
use skylarkpick_protocol::peer::PeerMessage;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::sync::watch;

/// Role of the process that watches the configuration.
const CONFIGURATION_ROLE: &str = "configuration";
/// Role of the process that reads the platform's list.
const LIST_ROLE: &str = "list";

/// Owns the membership.
#[derive(Actor)]
pub(super) struct MembershipActor {
    pub(super) membership: Membership,
    pub(super) network: Arc<dyn PeerNetwork>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) router: ActorRef<RouterActor>,
    pub(super) view: watch::Sender<Arc<PeersView>>,
    pub(super) runners: BTreeMap<u64, RunnerInfo>,
}

/// Lets time pass.
pub(super) struct Tick;

/// A message of a peer.
pub(super) struct Receive(pub(super) PeerMessage);

/// The version in force here, and where the runners are.
pub(super) struct InForceHere(pub(super) ConfigurationVersion, pub(super) Vec<RunnerInfo>);

/// What this process saw itself.
pub(super) enum Seen {
    /// What a runner says of itself.
    Status(RunnerId, RunnerStatus),
    /// A load report.
    Load(RunnerId, LoadReport),
    /// A runner gave no answer.
    Unreachable(RunnerId),
    /// A target leaves.
    Leaving(String),
    /// What the platform's list says: names, and whether they leave.
    Listed(Vec<(String, bool)>),
}

/// Leaves the membership.
pub(super) struct Leave;

/// Asks whether this process reads a runner, and how often.
pub(super) struct ReadsRunner(pub(super) RunnerId);

/// Asks whether a target leaves.
pub(super) struct IsLeaving(pub(super) String);

/// Asks which version is in force where.
pub(super) struct ReadStatus;

/// Asks for the state of the membership.
pub(super) struct ReadState;

impl MembershipActor {
    fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    fn send(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { address, message } in outgoing {
            let network = self.network.clone();
            // A lost message is repaired by later rounds.
            tokio::spawn(async move {
                let _ = network.send(&address, message.encode_to_vec()).await;
            });
        }
    }

    /// Hands what changed to the router and to those who look at the view.
    async fn settle(&mut self) {
        let changes = self.membership.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            match change {
                Change::RunnerState(key) => self.pass_on(*key, false).await,
                Change::RunnerLeaving(key) => self.pass_on(*key, true).await,
                Change::RunnerLoad(key) => self.pass_load(*key).await,
                Change::DataCentreLoad(centre, model) => self.pass_centre_load(centre, model).await,
                Change::Member(_) | Change::InForce(_) => {}
            }
        }
        let concerns_view =
            |change: &Change| !matches!(change, Change::RunnerLoad(_) | Change::DataCentreLoad(..));
        if changes.iter().any(concerns_view) {
            self.publish();
        }
    }

    async fn pass_on(&self, key: u64, began_to_leave: bool) {
        let Some(place) = self.runners.get(&key) else { return };
        let view = self.membership.runner_view(&place.name);
        // A stopped actor means that the process ends.
        if began_to_leave || self.membership.is_target_leaving(&place.name) {
            let _ = self.router.tell(RouterUpdate::Leaving(place.name.clone())).await;
        }
        if let Some(status) = view.status {
            let _ = self.router.tell(RouterUpdate::Status(place.name.clone(), status)).await;
        }
    }

    async fn pass_load(&self, key: u64) {
        let Some(place) = self.runners.get(&key) else { return };
        if let Some(load) = self.membership.runner_view(&place.name).load {
            // A stopped actor means that the process ends.
            let _ = self.router.tell(RouterUpdate::Load(place.name.clone(), load)).await;
        }
    }

    async fn pass_centre_load(&self, centre: &str, model: &str) {
        if centre == self.membership.own().data_centre {
            return;
        }
        let here = |place: &&RunnerInfo| place.data_centre == centre && place.model == model;
        for place in self.runners.values().filter(here) {
            self.pass_load(digest_of(&place.name)).await;
        }
    }

    pub(super) fn publish(&self) {
        let membership = &self.membership;
        let members = membership.live_members().into_iter().map(|member| PeerProcess {
            entry_id: member.entry_id.clone(),
            data_centre: member.data_centre.clone(),
            address: member.address.clone(),
        });
        let mut members: Vec<PeerProcess> = members.collect();
        members.sort();
        let newest_version = membership.newest_version();
        let view = PeersView {
            members,
            newest_version,
            version_holders: membership.addresses_with_version(newest_version),
            leaving_targets: membership.leaving_targets(),
            watches_configuration: membership.holds_role(CONFIGURATION_ROLE),
            reads_list: membership.holds_role(LIST_ROLE),
        };
        self.view.send_replace(Arc::new(view));
    }

    async fn see(&mut self, seen: Seen) {
        let now = self.now();
        match seen {
            Seen::Status(runner, status) => self.membership.observe_status(now, &runner, &status),
            Seen::Unreachable(runner) => self.membership.observe_unreachable(now, &runner),
            Seen::Leaving(target) => self.membership.observe_leaving(now, &target),
            Seen::Listed(targets) => {
                for (target, leaving) in targets {
                    self.membership.observe_listed(now, &target, leaving);
                }
            }
            Seen::Load(runner, load) => {
                self.membership.observe_load(now, &runner, &load);
                // The router takes the report itself, exact and even where nothing changed.
                let _ = self.router.tell(RouterUpdate::Load(runner, load)).await;
            }
        }
    }

    fn state(&self) -> PeersState {
        let membership = &self.membership;
        let holder = |role| membership.role_holder(role).map(|member| member.entry_id.clone());
        let name = |key: &u64| {
            membership.gossip_state().members.get(key).map(|member| member.entry_id.clone())
        };
        let centre = &membership.own().data_centre;
        let leaves = |place: &&RunnerInfo| membership.is_target_leaving(&place.name);
        let mut leaving_runners: Vec<String> =
            self.runners.values().filter(leaves).map(|place| place.name.clone()).collect();
        leaving_runners.sort();
        PeersState {
            address: self.network.address(),
            incarnation: membership.own().incarnation,
            members: membership.member_views().into_iter().map(process_status).collect(),
            configuration_watcher: holder(CONFIGURATION_ROLE),
            list_reader: holder(LIST_ROLE),
            bridges: membership.bridges_of(centre).iter().filter_map(name).collect(),
            leaving_runners,
            silent_data_centres: membership.version_status(self.now()).silent_data_centres,
        }
    }
}

impl Message<Tick> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) {
        let outgoing = self.membership.tick(self.now());
        self.send(outgoing);
        self.settle().await;
    }
}

impl Message<Receive> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: Receive, _: &mut Context<Self, Self::Reply>) {
        let outgoing = self.membership.receive(self.now(), message.0);
        self.send(outgoing);
        self.settle().await;
    }
}

impl Message<InForceHere> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: InForceHere, _: &mut Context<Self, Self::Reply>) {
        let InForceHere(version, places) = message;
        self.runners = places.iter().map(|place| (digest_of(&place.name), place.clone())).collect();
        self.membership.set_runners(places);
        let now = self.now();
        self.membership.set_in_force(now, version);
        let outgoing = self.membership.tick(now);
        self.send(outgoing);
        self.settle().await;
        // The router may have met some of these runners only now.
        let keys: Vec<u64> = self.runners.keys().copied().collect();
        for key in keys {
            self.pass_on(key, false).await;
            self.pass_load(key).await;
        }
    }
}

impl Message<Seen> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, seen: Seen, _: &mut Context<Self, Self::Reply>) {
        self.see(seen).await;
        self.settle().await;
    }
}

impl Message<Leave> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, Self::Reply>) {
        let outgoing = self.membership.leave(self.now());
        self.send(outgoing);
        self.settle().await;
    }
}

impl Message<ReadsRunner> for MembershipActor {
    type Reply = (bool, Duration);

    async fn handle(
        &mut self,
        ReadsRunner(runner): ReadsRunner,
        _: &mut Context<Self, Self::Reply>,
    ) -> (bool, Duration) {
        let reads = self.membership.is_reporter(self.now(), &runner);
        (reads, self.membership.load_interval())
    }
}

impl Message<IsLeaving> for MembershipActor {
    type Reply = bool;

    async fn handle(
        &mut self,
        IsLeaving(target): IsLeaving,
        _: &mut Context<Self, Self::Reply>,
    ) -> bool {
        self.membership.is_target_leaving(&target)
    }
}

impl Message<ReadStatus> for MembershipActor {
    type Reply = ConfigurationStatus;

    async fn handle(
        &mut self,
        _: ReadStatus,
        _: &mut Context<Self, Self::Reply>,
    ) -> ConfigurationStatus {
        configuration_status(&self.membership, self.now())
    }
}

impl Message<ReadState> for MembershipActor {
    type Reply = PeersState;

    async fn handle(&mut self, _: ReadState, _: &mut Context<Self, Self::Reply>) -> PeersState {
        self.state()
    }
}
