//! Bridges: the few processes of each data centre that exchange updates with the other data
//! centres. They are chosen by rendezvous hashing.

use crate::{
    gossip_state::{Change, UpdateKey},
    membership::{Membership, Outgoing, outgoing},
    outbox::Outbox,
    rendezvous::{digest_of, highest_weighted},
};
use rand::seq::IndexedRandom;
use skylarkpick_interface::DataCentreId;
use skylarkpick_protocol::peer::{
    CentreLoad, Gossip, InForce, Member, MemberState, peer_message::Body,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// State of the communication with other data centres.
#[derive(Debug, Default)]
pub(crate) struct Bridges {
    pub(crate) is_bridge: bool,
    /// When the last message of each data centre arrived, directly or through another process.
    pub(crate) last_contact: BTreeMap<DataCentreId, Duration>,
    outboxes: BTreeMap<DataCentreId, Outbox>,
    next_round: Duration,
    next_digest: Duration,
    round: usize,
}

impl Membership {
    /// Returns whether this process is a bridge of its data centre.
    pub fn is_bridge(&self) -> bool {
        self.bridges_of(&self.settings.data_centre).contains(&self.own_key)
    }

    /// Returns the digests of the bridges of a data centre, according to this process's view of its
    /// members.
    pub fn bridges_of(&self, data_centre: &str) -> Vec<u64> {
        let alive = self.alive_members_of(data_centre).into_iter().map(|(key, _)| key);
        highest_weighted(
            digest_of(&format!("bridge/{data_centre}")),
            alive,
            self.settings.parameters.bridges,
        )
    }

    /// Returns whether another data centre is silent: whether no message of it arrived within the
    /// silence timeout.
    pub fn is_silent(&self, now: Duration, data_centre: &str) -> bool {
        let last_contact = self.bridges.last_contact.get(data_centre).copied().unwrap_or_default();
        let timeout = self.settings.parameters.silence_timeout;
        data_centre != self.settings.data_centre && now.saturating_sub(last_contact) > timeout
    }

    pub(crate) fn other_data_centres(&self) -> BTreeSet<DataCentreId> {
        let data_centres =
            self.gossip_state.members.values().map(|member| member.data_centre.clone());
        data_centres.filter(|data_centre| *data_centre != self.settings.data_centre).collect()
    }

    /// If this process is a bridge, queues an update about this data centre for the others.
    pub(crate) fn queue_for_other_data_centres(&mut self, key: &UpdateKey) {
        if !self.bridges.is_bridge || !self.concerns_own_data_centre(key) {
            return;
        }
        for data_centre in self.other_data_centres() {
            let copies = self.settings.parameters.bridge_copies;
            self.bridges.outboxes.entry(data_centre).or_default().put(key.clone(), copies);
        }
    }

    fn concerns_own_data_centre(&self, key: &UpdateKey) -> bool {
        let data_centre = match key {
            UpdateKey::Member(key) | UpdateKey::InForce(key) => {
                self.gossip_state.members.get(key).map(|member| member.data_centre.as_str())
            }
            UpdateKey::RunnerState(key) => {
                self.runners.get(key).map(|runner| runner.data_centre.as_str())
            }
            UpdateKey::DataCentreLoad(data_centre, _) => Some(data_centre.as_str()),
            UpdateKey::RunnerLoad(_) => None,
        };
        data_centre == Some(self.settings.data_centre.as_str())
    }

    /// If this process is a bridge, sends updates to a bridge of each other data centre.
    pub(crate) fn send_as_bridge(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        if !self.bridges.is_bridge || now < self.bridges.next_round {
            return;
        }
        self.bridges.next_round = now + self.settings.parameters.bridge_interval;
        self.bridges.round += 1;
        let sends_digest = now >= self.bridges.next_digest;
        if sends_digest {
            self.bridges.next_digest = now + self.settings.parameters.digest_interval;
        }
        for data_centre in self.other_data_centres() {
            let Some(member) = self.bridge_partner(now, &data_centre) else { continue };
            let mut updates = self.take_updates_for_data_centre(&data_centre);
            self.add_own_version(&mut updates);
            let probe = self.make_probe(0, updates);
            out.push(outgoing(member.address.clone(), Body::Probe(probe)));
            if sends_digest {
                out.push(outgoing(member.address, Body::Digest(self.digest())));
            }
        }
    }

    /// Adds the configuration version in force here. An update is only sent a few times, all of
    /// which a partition may swallow; with this, the first message after the partition carries the
    /// version.
    fn add_own_version(&self, updates: &mut Gossip) {
        let entry = self.own_key;
        if let Some(version) = self.gossip_state.in_force.get(&entry)
            && updates.in_force.iter().all(|in_force| in_force.entry != entry)
        {
            updates.in_force.push(InForce { entry, version: *version });
        }
    }

    /// Returns the next bridge of another data centre, in turn. While that data centre is silent,
    /// every other round goes to a random member there, since all of its bridges may have died
    /// unnoticed.
    fn bridge_partner(&mut self, now: Duration, data_centre: &str) -> Option<Member> {
        let bridges = self.bridges_of(data_centre);
        if bridges.is_empty()
            || (self.is_silent(now, data_centre) && self.bridges.round.is_multiple_of(2))
        {
            let is_candidate = |member: &&Member| {
                member.data_centre == data_centre && member.state != MemberState::Left as i32
            };
            let members: Vec<Member> =
                self.gossip_state.members.values().filter(is_candidate).cloned().collect();
            return members.choose(&mut self.rng).cloned();
        }
        let key = bridges.get(self.bridges.round % bridges.len())?;
        self.gossip_state.members.get(key).cloned()
    }

    pub(crate) fn take_updates_for_data_centre(&mut self, data_centre: &str) -> Gossip {
        let limit = self.settings.parameters.gossip_size_bytes;
        let outbox = self.bridges.outboxes.entry(data_centre.to_string()).or_default();
        outbox.take(&self.gossip_state, limit)
    }

    /// Records contact with a data centre whose load arrived, directly or through another process.
    pub(crate) fn record_contact(&mut self, now: Duration, change: &Change) {
        if let Change::DataCentreLoad(data_centre, _) = change {
            self.bridges.last_contact.insert(data_centre.clone(), now);
        }
    }

    /// If this process is the first bridge, sums up the runner loads of the data centre for each
    /// model. An empty load without a model is added, which shows the other data centres that this
    /// one is alive.
    pub(crate) fn aggregate_data_centre_loads(&mut self, now: Duration) {
        let data_centre = self.settings.data_centre.clone();
        if self.bridges_of(&data_centre).first() != Some(&self.own_key) {
            return;
        }
        let mut totals: BTreeMap<String, CentreLoad> = BTreeMap::new();
        totals.insert(String::new(), CentreLoad::default());
        for (key, runner) in &self.runners {
            if let Some(load) = self.gossip_state.runner_loads.get(key)
                && runner.data_centre == data_centre
            {
                let total = totals.entry(runner.model.clone()).or_default();
                total.runners += 1;
                total.queued_runs += load.queued_runs;
                total.queued_prompt_units += load.queued_prompt_units;
                total.active_runs += load.active_runs;
                total.slots += load.slots;
                total.prefill_units_per_second += load.prefill_units_per_second;
            }
        }
        let first = self.first_sequence();
        let loads = totals.into_iter().map(|(model, total)| {
            let known =
                self.gossip_state.data_centre_loads.get(&(data_centre.clone(), model.clone()));
            let sequence = known.map_or(first, |known| (known.sequence + 1).max(first));
            CentreLoad { data_centre: data_centre.clone(), model, sequence, ..total }
        });
        let centre_loads = loads.collect();
        self.merge(now, Gossip { centre_loads, ..Gossip::default() });
    }
}
