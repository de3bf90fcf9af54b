//! The membership state machine: receives messages and the time, and returns messages to send and
//! changes of the state.

use crate::{
    bridges::Bridges,
    detection::Detection,
    digests,
    gossip_state::{Change, GossipState, UpdateKey, is_leaving},
    outbox::Outbox,
    protocol_parameters::ProtocolParameters,
    rendezvous::digest_of,
};
use rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom};
use skylarkpick_interface::{ConfigurationVersion, DataCentreId, EntryId, ModelName, RunnerId};
use skylarkpick_protocol::peer::{
    Digest, Gossip, InForce, Member, MemberState, PeerMessage, Probe, ProbeAck, peer_message::Body,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Most configuration versions whose time of arrival is kept.
const VERSIONS_LIMIT: usize = 64;

/// Identity of this process, the addresses to join, and the protocol parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Id of the process.
    pub entry_id: EntryId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Address that peers connect to; empty for a process without peers.
    pub address: String,
    /// Number that grows with each start of the process, such as the wall-clock time of the start
    /// in milliseconds.
    pub incarnation: u64,
    /// Addresses of processes to join through.
    pub seed_addresses: Vec<String>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Intervals, timeouts and size limits.
    pub parameters: ProtocolParameters,
}

/// Location of a runner and the model that it serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerInfo {
    /// Name of the runner.
    pub name: RunnerId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Model that it serves.
    pub model: ModelName,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Address of the receiver.
    pub address: String,
    /// The message.
    pub message: PeerMessage,
}

/// The membership protocol of one process.
///
/// ```
/// use skylarkpick_membership::{Membership, MembershipSettings, ProtocolParameters};
/// use std::time::Duration;
/// let settings = |name: &str, seeds: &[&str]| MembershipSettings {
///     entry_id: name.to_string(),
///     data_centre: "mnl-a".to_string(),
///     address: name.to_string(),
///     incarnation: 1,
///     seed_addresses: seeds.iter().map(|seed| seed.to_string()).collect(),
///     seed: 7,
///     parameters: ProtocolParameters::default(),
/// };
/// let mut one = Membership::open(settings("one", &[]));
/// let mut two = Membership::open(settings("two", &["one"]));
/// for outgoing in two.tick(Duration::ZERO) {
///     one.receive(Duration::ZERO, outgoing.message);
/// }
/// assert_eq!(one.live_members().len(), 2);
/// ```
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) own_key: u64,
    pub(crate) own: Member,
    pub(crate) gossip_state: GossipState,
    pub(crate) outbox: Outbox,
    pub(crate) detection: Detection,
    pub(crate) bridges: Bridges,
    pub(crate) rng: StdRng,
    pub(crate) changes: Vec<Change>,
    /// Runners of the cluster by the digest of their name.
    pub(crate) runners: BTreeMap<u64, RunnerInfo>,
    /// When the unchanged load of a runner that this process reads is sent again.
    pub(crate) loads_repeat_at: BTreeMap<u64, Duration>,
    /// Whether the platform's list last flagged a target as leaving.
    pub(crate) listed_leaving: BTreeMap<u64, bool>,
    /// When this process learned of each configuration version.
    pub(crate) versions_learned_at: BTreeMap<ConfigurationVersion, Duration>,
    pub(crate) last_tick: Option<Duration>,
    /// Number of live members of this data centre at the last tick.
    pub(crate) live_count: usize,
    next_gossip: Duration,
    next_digest: Duration,
    next_aggregation: Duration,
}

impl Membership {
    /// Opens the membership of a process that has not met any peer yet.
    pub fn open(settings: MembershipSettings) -> Membership {
        let own = Member {
            entry_id: settings.entry_id.clone(),
            data_centre: settings.data_centre.clone(),
            address: settings.address.clone(),
            incarnation: settings.incarnation,
            state: MemberState::Alive as i32,
        };
        let own_key = digest_of(&own.entry_id);
        let mut membership = Membership {
            rng: StdRng::seed_from_u64(settings.seed ^ own_key),
            settings,
            own_key,
            own: own.clone(),
            gossip_state: GossipState::default(),
            outbox: Outbox::default(),
            detection: Detection::default(),
            bridges: Bridges::default(),
            changes: Vec::new(),
            runners: BTreeMap::new(),
            loads_repeat_at: BTreeMap::new(),
            listed_leaving: BTreeMap::new(),
            versions_learned_at: BTreeMap::new(),
            last_tick: None,
            live_count: 1,
            next_gossip: Duration::ZERO,
            next_digest: Duration::ZERO,
            next_aggregation: Duration::ZERO,
        };
        membership.gossip_state.merge_member(own);
        membership
    }

    /// Advances to `now` and returns the messages to send. Must be called every
    /// [`ProtocolParameters::tick_interval`].
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        if self.settings.address.is_empty() {
            return Vec::new();
        }
        let mut out = Vec::new();
        self.reset_timeouts_after_pause(now);
        self.last_tick = Some(now);
        self.live_count = self.alive_members_of(&self.settings.data_centre).len();
        self.bridges.is_bridge = self.is_bridge();
        self.probe(now, &mut out);
        self.expire_members(now);
        if now >= self.next_aggregation {
            self.next_aggregation = now + self.settings.parameters.gossip_interval * 5;
            self.aggregate_data_centre_loads(now);
        }
        self.send_as_bridge(now, &mut out);
        if self.outbox.is_urgent() || now >= self.next_gossip {
            self.next_gossip = now + self.settings.parameters.gossip_interval;
            self.gossip(&mut out);
        }
        if now >= self.next_digest {
            // A process that is alone or has left receives no gossip, so it compares digests more
            // often.
            let has_left = self.own.state == MemberState::Left as i32;
            let gets_no_gossip = has_left || self.live_count <= 1;
            let parameters = &self.settings.parameters;
            let interval =
                if gets_no_gossip { parameters.probe_interval } else { parameters.digest_interval };
            self.next_digest = now + interval;
            self.run_anti_entropy(&mut out);
        }
        out
    }

    /// Handles a message of a peer and returns the messages to send.
    pub fn receive(&mut self, now: Duration, message: PeerMessage) -> Vec<Outgoing> {
        let mut out = Vec::new();
        match message.body {
            Some(Body::Gossip(gossip)) => self.merge(now, gossip),
            Some(Body::Probe(probe)) => self.handle_probe(now, probe, &mut out),
            Some(Body::ProbeRequest(request)) => self.handle_probe_request(now, request, &mut out),
            Some(Body::ProbeAck(ack)) => self.handle_ack(now, ack, &mut out),
            Some(Body::Digest(digest)) => self.handle_digest(&digest, &mut out),
            _ => {}
        }
        out
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the replicated state as this process sees it.
    pub fn gossip_state(&self) -> &GossipState {
        &self.gossip_state
    }

    /// Returns this process's own member entry, as peers receive it.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the configuration version in force at this process.
    pub fn set_in_force(&mut self, now: Duration, version: ConfigurationVersion) {
        let in_force = vec![InForce { entry: self.own_key, version }];
        self.merge(now, Gossip { in_force, ..Gossip::default() });
    }

    /// Sets the runners of the cluster, and drops the loads of runners that are not among them.
    pub fn set_runners(&mut self, runners: impl IntoIterator<Item = RunnerInfo>) {
        self.runners =
            runners.into_iter().map(|runner| (digest_of(&runner.name), runner)).collect();
        let known = |key: &u64| self.runners.contains_key(key);
        self.gossip_state.runner_loads.retain(|key, _| known(key));
        self.loads_repeat_at.retain(|key, _| known(key));
    }

    /// Leaves the membership, without a wait for failure detection, and returns the messages to
    /// send.
    pub fn leave(&mut self, now: Duration) -> Vec<Outgoing> {
        self.own.state = MemberState::Left as i32;
        let members = vec![self.own.clone()];
        self.merge(now, Gossip { members, ..Gossip::default() });
        let mut out = Vec::new();
        if !self.settings.address.is_empty() {
            self.gossip(&mut out);
            self.next_gossip = now;
            self.next_digest = now;
        }
        out
    }

    /// Merges updates and disseminates those that changed the state. Refutes an update that says
    /// this process is suspected, dead or has left.
    pub(crate) fn merge(&mut self, now: Duration, gossip: Gossip) {
        let changes = self.gossip_state.merge(gossip);
        for change in changes {
            self.record_contact(now, &change);
            self.disseminate(now, &change);
            self.changes.push(change);
        }
        self.refute(now);
    }

    /// Announces this process's own state under a higher incarnation, if an update contradicts it.
    fn refute(&mut self, now: Duration) {
        let Some(known) = self.gossip_state.members.get(&self.own_key) else { return };
        if *known == self.own || known.incarnation < self.own.incarnation {
            return;
        }
        self.own.incarnation = known.incarnation + 1;
        let refutation = self.gossip_state.merge_member(self.own.clone());
        if let Some(change) = refutation {
            self.disseminate(now, &change);
        }
    }

    /// Queues the update behind a change for peers and, at a bridge, for the other data centres.
    fn disseminate(&mut self, now: Duration, change: &Change) {
        let copies = self.update_copies();
        let key = match change {
            Change::Member(key) => {
                self.update_member_timers(now, *key);
                UpdateKey::Member(*key)
            }
            Change::InForce(key) => UpdateKey::InForce(*key),
            Change::RunnerState(key) | Change::RunnerLeaving(key) => UpdateKey::RunnerState(*key),
            Change::RunnerLoad(key) => {
                self.outbox.put(UpdateKey::RunnerLoad(*key), self.settings.parameters.load_copies);
                return;
            }
            Change::DataCentreLoad(data_centre, model) => {
                UpdateKey::DataCentreLoad(data_centre.clone(), model.clone())
            }
        };
        if self.is_urgent(now, change) {
            self.outbox.put_urgent(key.clone(), copies);
        } else {
            self.outbox.put(key.clone(), copies);
        }
        self.queue_for_other_data_centres(&key);
    }

    /// Returns whether a change must not wait for the next gossip round.
    fn is_urgent(&mut self, now: Duration, change: &Change) -> bool {
        match change {
            Change::Member(_) | Change::RunnerLeaving(_) | Change::RunnerState(_) => true,
            Change::InForce(key) => {
                let version = self.gossip_state.in_force.get(key).copied().unwrap_or_default();
                self.record_version(now, version)
            }
            _ => false,
        }
    }

    /// Records a configuration version. Returns whether it is higher than every known one.
    fn record_version(&mut self, now: Duration, version: ConfigurationVersion) -> bool {
        let newest = self.newest_version();
        if version <= newest {
            return false;
        }
        self.versions_learned_at.insert(version, now);
        while self.versions_learned_at.len() > VERSIONS_LIMIT {
            self.versions_learned_at.pop_first();
        }
        true
    }

    /// Returns the highest configuration version known to be in force at any process; 0 for none.
    pub fn newest_version(&self) -> ConfigurationVersion {
        self.versions_learned_at.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Returns how often an update other than a runner load is sent. Logarithmic in the number of members,
    /// so that gossip reaches all but a few of them; anti-entropy reaches the rest.
    fn update_copies(&self) -> u32 {
        2 + (self.live_count as f64 + 1.0).log2().ceil() as u32
    }

    fn gossip(&mut self, out: &mut Vec<Outgoing>) {
        let mut peers = self.local_peers();
        peers.retain(|member| member.state == MemberState::Alive as i32);
        let fanout = self.settings.parameters.fanout;
        let chosen: Vec<String> = peers
            .choose_multiple(&mut self.rng, fanout)
            .map(|member| member.address.clone())
            .collect();
        for address in chosen {
            let gossip = self.take_updates();
            if digests::is_empty(&gossip) {
                return;
            }
            out.push(outgoing(address, Body::Gossip(gossip)));
        }
    }

    pub(crate) fn take_updates(&mut self) -> Gossip {
        self.outbox.take(&self.gossip_state, self.settings.parameters.gossip_size_bytes)
    }

    /// Sends a digest to one peer, and also probes one dead member or unknown seed, so that the
    /// members find each other again after a partition.
    fn run_anti_entropy(&mut self, out: &mut Vec<Outgoing>) {
        let peers = self.local_peers();
        let chosen = peers.choose(&mut self.rng).map(|member| member.address.clone());
        if let Some(address) = chosen.clone() {
            out.push(outgoing(address, Body::Digest(self.digest())));
        }
        let mut unreachable: Vec<String> = self.settings.seed_addresses.clone();
        let is_dead = |member: &&Member| member.state == MemberState::Dead as i32;
        unreachable.extend(
            self.gossip_state.members.values().filter(is_dead).map(|one| one.address.clone()),
        );
        let live: Vec<&str> =
            self.live_members().into_iter().map(|member| member.address.as_str()).collect();
        unreachable.retain(|address| !live.contains(&address.as_str()));
        if let Some(address) = unreachable.choose(&mut self.rng).cloned() {
            let probe = self.make_probe(0, Gossip::default());
            out.push(outgoing(address.clone(), Body::Probe(probe)));
            out.push(outgoing(address, Body::Digest(self.digest())));
        }
    }

    pub(crate) fn digest(&self) -> Digest {
        Digest {
            reply_address: self.settings.address.clone(),
            buckets: digests::buckets(&self.gossip_state),
        }
    }

    fn handle_digest(&self, digest: &Digest, out: &mut Vec<Outgoing>) {
        let limit = self.settings.parameters.digest_reply_size_bytes;
        let gossip = digests::differing_updates(&self.gossip_state, &digest.buckets, limit);
        if !digests::is_empty(&gossip) {
            out.push(outgoing(digest.reply_address.clone(), Body::Gossip(gossip)));
        }
    }

    pub(crate) fn make_probe(&self, sequence: u64, gossip: Gossip) -> Probe {
        let reply_address = self.settings.address.clone();
        Probe { sequence, reply_address, sender: Some(self.own.clone()), gossip: Some(gossip) }
    }

    fn handle_probe(&mut self, now: Duration, probe: Probe, out: &mut Vec<Outgoing>) {
        let is_joining = probe.sender.as_ref().is_some_and(|sender| !self.is_live(sender));
        let sender = probe.sender.clone();
        self.merge_from_sender(now, probe.sender, probe.gossip);
        let mut gossip = self.updates_for(&probe.reply_address);
        gossip.members.extend(sender.and_then(|sender| self.entry_to_refute(&sender)));
        let ack = ProbeAck {
            sequence: probe.sequence,
            sender: Some(self.own.clone()),
            gossip: Some(gossip),
        };
        out.push(outgoing(probe.reply_address.clone(), Body::ProbeAck(ack)));
        if is_joining {
            out.push(outgoing(probe.reply_address, Body::Digest(self.digest())));
        }
    }

    /// Returns the entry that the sender has to refute, if this process considers it suspected,
    /// dead or left.
    fn entry_to_refute(&self, sender: &Member) -> Option<Member> {
        let known = self.gossip_state.members.get(&digest_of(&sender.entry_id))?;
        let must_refute = known.incarnation >= sender.incarnation && known.state > sender.state;
        must_refute.then(|| known.clone())
    }

    fn is_live(&self, member: &Member) -> bool {
        let known = self.gossip_state.members.get(&digest_of(&member.entry_id));
        known.is_some_and(|known| known.state < MemberState::Dead as i32)
    }

    /// Merges the sender's own entry and its updates, and records contact with its data centre.
    pub(crate) fn merge_from_sender(
        &mut self,
        now: Duration,
        sender: Option<Member>,
        gossip: Option<Gossip>,
    ) {
        if let Some(sender) = sender {
            self.bridges.last_contact.insert(sender.data_centre.clone(), now);
            self.merge(now, Gossip { members: vec![sender], ..Gossip::default() });
        }
        self.merge(now, gossip.unwrap_or_default());
    }

    /// Returns the digests of the targets whose current incarnation is flagged as leaving.
    pub fn leaving_targets(&self) -> BTreeSet<u64> {
        let states = self.gossip_state.runner_states.iter();
        states.filter(|(_, state)| is_leaving(state)).map(|(key, _)| *key).collect()
    }

    /// Returns whether the current incarnation of a runner or another target is flagged as leaving.
    pub fn is_target_leaving(&self, name: &str) -> bool {
        self.gossip_state.runner_states.get(&digest_of(name)).is_some_and(is_leaving)
    }
}

pub(crate) fn outgoing(address: String, body: Body) -> Outgoing {
    Outgoing { address, message: PeerMessage { body: Some(body) } }
}
