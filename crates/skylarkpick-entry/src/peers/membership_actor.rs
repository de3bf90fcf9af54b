//! Drives the membership: ticks it, sends its messages, and forwards its changes to the router and
//! the view.

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
/// Role of the process that reads the platform's list of VMs.
const LIST_ROLE: &str = "list";

/// Owns the membership.
#[derive(Actor)]
pub(super) struct MembershipActor {
    pub(super) membership: Membership,
    pub(super) network: Arc<dyn PeerNetwork>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) router: ActorRef<RouterActor>,
    pub(super) view: watch::Sender<Arc<PeersView>>,
    /// Configured runners by the digest of their names.
    pub(super) runners: BTreeMap<u64, RunnerInfo>,
}

/// Advances the membership to the current time.
pub(super) struct Tick;

/// A message that a peer sent.
pub(super) struct Receive(pub(super) PeerMessage);

/// Applies a configuration: its version, and the configured runners.
pub(super) struct ApplyConfiguration(pub(super) ConfigurationVersion, pub(super) Vec<RunnerInfo>);

/// What this process observed itself.
pub(super) enum Observation {
    /// Status that a runner reported.
    Status(RunnerId, RunnerStatus),
    /// Load that a runner reported.
    Load(RunnerId, LoadReport),
    /// A runner did not respond.
    Unreachable(RunnerId),
    /// A target is leaving.
    Leaving(String),
    /// The platform's list: target names, and whether each target is leaving.
    Listed(Vec<(String, bool)>),
}

/// Leaves the membership.
pub(super) struct Leave;

/// Asks whether this process is the reporter of a runner, and how often to poll it.
pub(super) struct IsReporter(pub(super) RunnerId);

/// Asks whether a target is leaving.
pub(super) struct IsLeaving(pub(super) String);

/// Asks for the configuration version in force at each process.
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
            // Later gossip rounds make up for a lost message.
            tokio::spawn(async move {
                let _ = network.send(&address, message.encode_to_vec()).await;
            });
        }
    }

    /// Forwards the changes of the membership to the router and the view.
    async fn forward_changes(&mut self) {
        let changes = self.membership.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            match change {
                Change::RunnerState(key) => self.forward_state(*key, false).await,
                Change::RunnerLeaving(key) => self.forward_state(*key, true).await,
                Change::RunnerLoad(key) => self.forward_load(*key).await,
                Change::DataCentreLoad(data_centre, model) => {
                    self.forward_data_centre_load(data_centre, model).await
                }
                Change::Member(_) | Change::InForce(_) => {}
            }
        }
        let affects_view =
            |change: &Change| !matches!(change, Change::RunnerLoad(_) | Change::DataCentreLoad(..));
        if changes.iter().any(affects_view) {
            self.publish();
        }
    }

    async fn forward_state(&self, key: u64, is_leaving: bool) {
        let Some(runner) = self.runners.get(&key) else { return };
        let view = self.membership.runner_view(&runner.name);
        // Fails only while the process is exiting.
        if is_leaving || self.membership.is_target_leaving(&runner.name) {
            let _ = self.router.tell(RouterUpdate::Leaving(runner.name.clone())).await;
        }
        if let Some(status) = view.status {
            let _ = self.router.tell(RouterUpdate::Status(runner.name.clone(), status)).await;
        }
    }

    async fn forward_load(&self, key: u64) {
        let Some(runner) = self.runners.get(&key) else { return };
        if let Some(load) = self.membership.runner_view(&runner.name).load {
            // Fails only while the process is exiting.
            let _ = self.router.tell(RouterUpdate::Load(runner.name.clone(), load)).await;
        }
    }

    async fn forward_data_centre_load(&self, data_centre: &str, model: &str) {
        if data_centre == self.membership.own().data_centre {
            return;
        }
        let serves_model =
            |runner: &&RunnerInfo| runner.data_centre == data_centre && runner.model == model;
        for runner in self.runners.values().filter(serves_model) {
            self.forward_load(digest_of(&runner.name)).await;
        }
    }

    /// Publishes the current view.
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

    async fn observe(&mut self, observation: Observation) {
        let now = self.now();
        match observation {
            Observation::Status(runner, status) => {
                self.membership.observe_status(now, &runner, &status)
            }
            Observation::Unreachable(runner) => self.membership.observe_unreachable(now, &runner),
            Observation::Leaving(target) => self.membership.observe_leaving(now, &target),
            Observation::Listed(targets) => {
                for (target, leaving) in targets {
                    self.membership.observe_listed(now, &target, leaving);
                }
            }
            Observation::Load(runner, load) => {
                self.membership.observe_load(now, &runner, &load);
                // The router gets every report directly: the membership rounds the load and
                // announces an unchanged one only at intervals.
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
        let data_centre = &membership.own().data_centre;
        let is_leaving = |runner: &&RunnerInfo| membership.is_target_leaving(&runner.name);
        let mut leaving_runners: Vec<String> =
            self.runners.values().filter(is_leaving).map(|runner| runner.name.clone()).collect();
        leaving_runners.sort();
        PeersState {
            address: self.network.address(),
            incarnation: membership.own().incarnation,
            members: membership.member_views().into_iter().map(process_status).collect(),
            configuration_watcher: holder(CONFIGURATION_ROLE),
            list_reader: holder(LIST_ROLE),
            bridges: membership.bridges_of(data_centre).iter().filter_map(name).collect(),
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
        self.forward_changes().await;
    }
}

impl Message<Receive> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: Receive, _: &mut Context<Self, Self::Reply>) {
        let outgoing = self.membership.receive(self.now(), message.0);
        self.send(outgoing);
        self.forward_changes().await;
    }
}

impl Message<ApplyConfiguration> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: ApplyConfiguration, _: &mut Context<Self, Self::Reply>) {
        let ApplyConfiguration(version, runners) = message;
        self.runners =
            runners.iter().map(|runner| (digest_of(&runner.name), runner.clone())).collect();
        self.membership.set_runners(runners);
        let now = self.now();
        self.membership.set_in_force(now, version);
        let outgoing = self.membership.tick(now);
        self.send(outgoing);
        self.forward_changes().await;
        // Some of these runners may be new to the router.
        let keys: Vec<u64> = self.runners.keys().copied().collect();
        for key in keys {
            self.forward_state(key, false).await;
            self.forward_load(key).await;
        }
    }
}

impl Message<Observation> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, observation: Observation, _: &mut Context<Self, Self::Reply>) {
        self.observe(observation).await;
        self.forward_changes().await;
    }
}

impl Message<Leave> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, Self::Reply>) {
        let outgoing = self.membership.leave(self.now());
        self.send(outgoing);
        self.forward_changes().await;
    }
}

impl Message<IsReporter> for MembershipActor {
    type Reply = (bool, Duration);

    async fn handle(
        &mut self,
        IsReporter(runner): IsReporter,
        _: &mut Context<Self, Self::Reply>,
    ) -> (bool, Duration) {
        let is_reporter = self.membership.is_reporter(self.now(), &runner);
        (is_reporter, self.membership.load_interval())
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
