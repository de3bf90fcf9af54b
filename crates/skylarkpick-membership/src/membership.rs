//! The state machine: messages and the time in, messages and changes out.

use crate::{
    bridges::Bridges,
    detection::Detection,
    digests,
    gossip_state::{Change, GossipState, NewsKey, is_leaving},
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

/// Versions whose time of discovery is remembered.
const VERSIONS_LIMIT: usize = 64;

/// Who this process is, and whom it meets first.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Name of the process.
    pub entry_id: EntryId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Where peers connect; empty for a process alone.
    pub address: String,
    /// Grows with each start of the process, for example the wall-clock time of the start.
    pub incarnation: u64,
    /// Processes to meet first.
    pub seed_addresses: Vec<String>,
    /// Seed of every random choice.
    pub seed: u64,
    /// Intervals and bounds.
    pub parameters: ProtocolParameters,
}

/// Where a runner is and what it serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerInfo {
    /// Name of the runner.
    pub name: RunnerId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Model that it serves.
    pub model: ModelName,
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Where the message goes.
    pub address: String,
    /// The message.
    pub message: PeerMessage,
}

/// One process's part of the membership.
///
/// ```
/// use skylarkpick_membership::{Membership, MembershipSettings, ProtocolParameters};
/// use std::time::Duration;
/// let parts = |name: &str, seeds: &[&str]| MembershipSettings {
///     entry_id: name.to_string(),
///     data_centre: "mnl-a".to_string(),
///     address: name.to_string(),
///     incarnation: 1,
///     seed_addresses: seeds.iter().map(|seed| seed.to_string()).collect(),
///     seed: 7,
///     parameters: ProtocolParameters::default(),
/// };
/// let mut one = Membership::open(parts("one", &[]));
/// let mut two = Membership::open(parts("two", &["one"]));
/// for outgoing in two.tick(Duration::ZERO) {
///     one.receive(Duration::ZERO, outgoing.message);
/// }
/// assert_eq!(one.live_members().len(), 2);
/// ```
#[derive(Debug)]
pub struct Membership {
    pub(crate) parts: MembershipSettings,
    pub(crate) own_key: u64,
    pub(crate) own: Member,
    pub(crate) gossip_state: GossipState,
    pub(crate) outbox: Outbox,
    pub(crate) detection: Detection,
    pub(crate) bridges: Bridges,
    pub(crate) rng: StdRng,
    pub(crate) changes: Vec<Change>,
    pub(crate) places: BTreeMap<u64, RunnerInfo>,
    /// When an unchanged load of a runner read here is sent again.
    pub(crate) loads_repeat_at: BTreeMap<u64, Duration>,
    /// What the platform's list said of targets, `true` for leaving.
    pub(crate) listed: BTreeMap<u64, bool>,
    pub(crate) versions_known_at: BTreeMap<ConfigurationVersion, Duration>,
    pub(crate) last_tick: Option<Duration>,
    /// Live members of the data centre as of the last tick.
    pub(crate) live_count: usize,
    next_gossip: Duration,
    next_digest: Duration,
    next_centre_load: Duration,
}

impl Membership {
    /// Opens the membership of a process that knows nobody yet.
    pub fn open(parts: MembershipSettings) -> Membership {
        let own = Member {
            entry_id: parts.entry_id.clone(),
            data_centre: parts.data_centre.clone(),
            address: parts.address.clone(),
            incarnation: parts.incarnation,
            state: MemberState::Alive as i32,
        };
        let own_key = digest_of(&own.entry_id);
        let mut membership = Membership {
            rng: StdRng::seed_from_u64(parts.seed ^ own_key),
            parts,
            own_key,
            own: own.clone(),
            gossip_state: GossipState::default(),
            outbox: Outbox::default(),
            detection: Detection::default(),
            bridges: Bridges::default(),
            changes: Vec::new(),
            places: BTreeMap::new(),
            loads_repeat_at: BTreeMap::new(),
            listed: BTreeMap::new(),
            versions_known_at: BTreeMap::new(),
            last_tick: None,
            live_count: 1,
            next_gossip: Duration::ZERO,
            next_digest: Duration::ZERO,
            next_centre_load: Duration::ZERO,
        };
        membership.gossip_state.merge_member(own);
        membership
    }

    /// Advances to `now` and gives what is to be sent. Wants to be called every
    /// [`ProtocolParameters::tick_interval`].
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        if self.parts.address.is_empty() {
            return Vec::new();
        }
        let mut out = Vec::new();
        self.forgive_after_pause(now);
        self.last_tick = Some(now);
        self.live_count = self.alive_in(&self.parts.data_centre).len();
        self.bridges.is_bridge = self.is_bridge();
        self.probe(now, &mut out);
        self.expire_suspicions(now);
        if now >= self.next_centre_load {
            self.next_centre_load = now + self.parts.parameters.gossip_interval * 5;
            self.sum_up_centre(now);
        }
        self.speak_as_bridge(now, &mut out);
        if self.outbox.is_urgent() || now >= self.next_gossip {
            self.next_gossip = now + self.parts.parameters.gossip_interval;
            self.gossip(&mut out);
        }
        if now >= self.next_digest {
            // Nobody sends rounds to a process that is alone or has left, so it asks more often.
            let left = self.own.state == MemberState::Left as i32;
            let asks = left || self.live_count <= 1;
            let parameters = &self.parts.parameters;
            let interval =
                if asks { parameters.probe_interval } else { parameters.digest_interval };
            self.next_digest = now + interval;
            self.compare(&mut out);
        }
        out
    }

    /// Takes a message of a peer in and gives what is to be sent.
    pub fn receive(&mut self, now: Duration, message: PeerMessage) -> Vec<Outgoing> {
        let mut out = Vec::new();
        match message.body {
            Some(Body::Gossip(gossip)) => self.merge(now, gossip),
            Some(Body::Probe(probe)) => self.answer_probe(now, probe, &mut out),
            Some(Body::ProbeRequest(request)) => self.relay_probe(now, request, &mut out),
            Some(Body::ProbeAck(ack)) => self.take_ack(now, ack, &mut out),
            Some(Body::Digest(digest)) => self.answer_digest(&digest, &mut out),
            _ => {}
        }
        out
    }

    /// What changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Everything that this process knows.
    pub fn gossip_state(&self) -> &GossipState {
        &self.gossip_state
    }

    /// This process, as its peers are told.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Says which version this process has in force.
    pub fn set_in_force(&mut self, now: Duration, version: ConfigurationVersion) {
        let in_force = vec![InForce { entry: self.own_key, version }];
        self.merge(now, Gossip { in_force, ..Gossip::default() });
    }

    /// Takes over where the runners are.
    pub fn set_runners(&mut self, places: impl IntoIterator<Item = RunnerInfo>) {
        self.places = places.into_iter().map(|place| (digest_of(&place.name), place)).collect();
        let known = |key: &u64| self.places.contains_key(key);
        self.gossip_state.runner_loads.retain(|key, _| known(key));
        self.loads_repeat_at.retain(|key, _| known(key));
    }

    /// Leaves: peers stop counting on this process at once. Gives what is to be sent.
    pub fn leave(&mut self, now: Duration) -> Vec<Outgoing> {
        self.own.state = MemberState::Left as i32;
        let members = vec![self.own.clone()];
        self.merge(now, Gossip { members, ..Gossip::default() });
        let mut out = Vec::new();
        if !self.parts.address.is_empty() {
            self.gossip(&mut out);
            self.next_gossip = now;
            self.next_digest = now;
        }
        out
    }

    /// Merges news in, defends this process against wrong words, and passes on what is new.
    pub(crate) fn merge(&mut self, now: Duration, gossip: Gossip) {
        let changes = self.gossip_state.merge(gossip);
        for change in changes {
            self.note_heard(now, &change);
            self.pass_on(now, &change);
            self.changes.push(change);
        }
        self.refute(now);
    }

    /// Contradicts whoever counts this process out, under a higher incarnation.
    fn refute(&mut self, now: Duration) {
        let Some(known) = self.gossip_state.members.get(&self.own_key) else { return };
        if *known == self.own || known.incarnation < self.own.incarnation {
            return;
        }
        self.own.incarnation = known.incarnation + 1;
        let refutation = self.gossip_state.merge_member(self.own.clone());
        if let Some(change) = refutation {
            self.pass_on(now, &change);
        }
    }

    fn pass_on(&mut self, now: Duration, change: &Change) {
        let copies = self.lasting_copies();
        let key = match change {
            Change::Member(key) => {
                self.watch_member(now, *key);
                NewsKey::Member(*key)
            }
            Change::InForce(key) => NewsKey::InForce(*key),
            Change::RunnerState(key) | Change::RunnerLeaving(key) => NewsKey::RunnerState(*key),
            Change::RunnerLoad(key) => {
                self.outbox.put(NewsKey::RunnerLoad(*key), self.parts.parameters.load_copies);
                return;
            }
            Change::DataCentreLoad(centre, model) => {
                NewsKey::DataCentreLoad(centre.clone(), model.clone())
            }
        };
        if self.is_urgent(now, change) {
            self.outbox.put_urgent(key.clone(), copies);
        } else {
            self.outbox.put(key.clone(), copies);
        }
        self.pass_to_centres(&key);
    }

    fn is_urgent(&mut self, now: Duration, change: &Change) -> bool {
        match change {
            Change::Member(_) | Change::RunnerLeaving(_) | Change::RunnerState(_) => true,
            Change::InForce(key) => {
                let version = self.gossip_state.in_force.get(key).copied().unwrap_or_default();
                self.note_version(now, version)
            }
            _ => false,
        }
    }

    /// Whether the version is higher than every one known so far.
    fn note_version(&mut self, now: Duration, version: ConfigurationVersion) -> bool {
        let newest = self.newest_version();
        if version <= newest {
            return false;
        }
        self.versions_known_at.insert(version, now);
        while self.versions_known_at.len() > VERSIONS_LIMIT {
            self.versions_known_at.pop_first();
        }
        true
    }

    /// The highest version known to be in force somewhere; 0 for none.
    pub fn newest_version(&self) -> ConfigurationVersion {
        self.versions_known_at.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Copies of lasting news: a logarithm of the members, so that all but few hear of it.
    fn lasting_copies(&self) -> u32 {
        2 + (self.live_count as f64 + 1.0).log2().ceil() as u32
    }

    fn gossip(&mut self, out: &mut Vec<Outgoing>) {
        let mut peers = self.peers_of_centre();
        peers.retain(|member| member.state == MemberState::Alive as i32);
        let fanout = self.parts.parameters.fanout;
        let chosen: Vec<String> = peers
            .choose_multiple(&mut self.rng, fanout)
            .map(|member| member.address.clone())
            .collect();
        for address in chosen {
            let gossip = self.take_news();
            if digests::is_empty(&gossip) {
                return;
            }
            out.push(outgoing(address, Body::Gossip(gossip)));
        }
    }

    pub(crate) fn take_news(&mut self) -> Gossip {
        self.outbox.take(&self.gossip_state, self.parts.parameters.gossip_size_bytes)
    }

    /// Compares knowledge with one peer, and calls on one lost process or seed.
    fn compare(&mut self, out: &mut Vec<Outgoing>) {
        let peers = self.peers_of_centre();
        let chosen = peers.choose(&mut self.rng).map(|member| member.address.clone());
        if let Some(address) = chosen.clone() {
            out.push(outgoing(address, Body::Digest(self.digest())));
        }
        let mut lost: Vec<String> = self.parts.seed_addresses.clone();
        let gone = |member: &&Member| member.state == MemberState::Dead as i32;
        lost.extend(self.gossip_state.members.values().filter(gone).map(|one| one.address.clone()));
        let known: Vec<&str> =
            self.live_members().into_iter().map(|member| member.address.as_str()).collect();
        lost.retain(|address| !known.contains(&address.as_str()));
        if let Some(address) = lost.choose(&mut self.rng).cloned() {
            let probe = self.make_probe(0, Gossip::default());
            out.push(outgoing(address.clone(), Body::Probe(probe)));
            out.push(outgoing(address, Body::Digest(self.digest())));
        }
    }

    pub(crate) fn digest(&self) -> Digest {
        Digest {
            reply_address: self.parts.address.clone(),
            buckets: digests::buckets(&self.gossip_state),
        }
    }

    fn answer_digest(&self, digest: &Digest, out: &mut Vec<Outgoing>) {
        let limit = self.parts.parameters.answer_size_bytes;
        let gossip = digests::difference(&self.gossip_state, &digest.buckets, limit);
        if !digests::is_empty(&gossip) {
            out.push(outgoing(digest.reply_address.clone(), Body::Gossip(gossip)));
        }
    }

    pub(crate) fn make_probe(&self, sequence: u64, gossip: Gossip) -> Probe {
        let reply_address = self.parts.address.clone();
        Probe { sequence, reply_address, sender: Some(self.own.clone()), gossip: Some(gossip) }
    }

    fn answer_probe(&mut self, now: Duration, probe: Probe, out: &mut Vec<Outgoing>) {
        let stranger = probe.sender.as_ref().is_some_and(|sender| !self.lives(sender));
        let sender = probe.sender.clone();
        self.hear_from(now, probe.sender, probe.gossip);
        let mut gossip = self.news_for(&probe.reply_address);
        gossip.members.extend(sender.and_then(|sender| self.correction(&sender)));
        let ack = ProbeAck {
            sequence: probe.sequence,
            sender: Some(self.own.clone()),
            gossip: Some(gossip),
        };
        out.push(outgoing(probe.reply_address.clone(), Body::ProbeAck(ack)));
        if stranger {
            out.push(outgoing(probe.reply_address, Body::Digest(self.digest())));
        }
    }

    /// What the sender has to refute, if it is counted out here.
    fn correction(&self, sender: &Member) -> Option<Member> {
        let known = self.gossip_state.members.get(&digest_of(&sender.entry_id))?;
        let counted_out = known.incarnation >= sender.incarnation && known.state > sender.state;
        counted_out.then(|| known.clone())
    }

    fn lives(&self, member: &Member) -> bool {
        let known = self.gossip_state.members.get(&digest_of(&member.entry_id));
        known.is_some_and(|known| known.state < MemberState::Dead as i32)
    }

    /// Takes in that a process spoke for itself, with its news.
    pub(crate) fn hear_from(
        &mut self,
        now: Duration,
        sender: Option<Member>,
        gossip: Option<Gossip>,
    ) {
        if let Some(sender) = sender {
            self.bridges.heard.insert(sender.data_centre.clone(), now);
            self.merge(now, Gossip { members: vec![sender], ..Gossip::default() });
        }
        self.merge(now, gossip.unwrap_or_default());
    }

    /// Digests of the targets that leave, by anybody's word.
    pub fn leaving_targets(&self) -> BTreeSet<u64> {
        let states = self.gossip_state.runner_states.iter();
        states.filter(|(_, state)| is_leaving(state)).map(|(key, _)| *key).collect()
    }

    /// Whether a runner or another target leaves, by anybody's word.
    pub fn is_target_leaving(&self, name: &str) -> bool {
        self.gossip_state.runner_states.get(&digest_of(name)).is_some_and(is_leaving)
    }
}

pub(crate) fn outgoing(address: String, body: Body) -> Outgoing {
    Outgoing { address, message: PeerMessage { body: Some(body) } }
}
