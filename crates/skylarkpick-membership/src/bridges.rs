//! Bridges: the few processes of a data centre that talk to the other data centres.

use crate::{
    gossip_state::{Change, NewsKey},
    membership::{Membership, Outgoing, outgoing},
    outbox::Outbox,
    rendezvous::{digest_of, highest},
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

/// State of the talk between data centres.
#[derive(Debug, Default)]
pub(crate) struct Bridges {
    pub(crate) is_bridge: bool,
    /// When a word of each data centre last came in.
    pub(crate) heard: BTreeMap<DataCentreId, Duration>,
    outboxes: BTreeMap<DataCentreId, Outbox>,
    next_round: Duration,
    next_digest: Duration,
    round: usize,
}

impl Membership {
    /// Whether this process is a bridge of its data centre.
    pub fn is_bridge(&self) -> bool {
        self.bridges_of(&self.parts.data_centre).contains(&self.own_key)
    }

    /// The bridges of a data centre, as far as this process knows its members.
    pub fn bridges_of(&self, centre: &str) -> Vec<u64> {
        let alive = self.alive_in(centre).into_iter().map(|(key, _)| key);
        highest(digest_of(&format!("bridge/{centre}")), alive, self.parts.parameters.bridges)
    }

    /// Whether a data centre said nothing for so long that it counts as cut off.
    pub fn is_silent(&self, now: Duration, centre: &str) -> bool {
        let heard = self.bridges.heard.get(centre).copied().unwrap_or_default();
        let timeout = self.parts.parameters.silence_timeout;
        centre != self.parts.data_centre && now.saturating_sub(heard) > timeout
    }

    pub(crate) fn other_centres(&self) -> BTreeSet<DataCentreId> {
        let centres = self.gossip_state.members.values().map(|member| member.data_centre.clone());
        centres.filter(|centre| *centre != self.parts.data_centre).collect()
    }

    /// Keeps news of this data centre for the others, if this process is a bridge.
    pub(crate) fn pass_to_centres(&mut self, key: &NewsKey) {
        if !self.bridges.is_bridge || !self.is_of_own_centre(key) {
            return;
        }
        for centre in self.other_centres() {
            let copies = self.parts.parameters.bridge_copies;
            self.bridges.outboxes.entry(centre).or_default().put(key.clone(), copies);
        }
    }

    fn is_of_own_centre(&self, key: &NewsKey) -> bool {
        let centre = match key {
            NewsKey::Member(key) | NewsKey::InForce(key) => {
                self.gossip_state.members.get(key).map(|member| member.data_centre.as_str())
            }
            NewsKey::RunnerState(key) => {
                self.places.get(key).map(|place| place.data_centre.as_str())
            }
            NewsKey::DataCentreLoad(centre, _) => Some(centre.as_str()),
            NewsKey::RunnerLoad(_) => None,
        };
        centre == Some(self.parts.data_centre.as_str())
    }

    /// As a bridge, sends news to a bridge of each other data centre.
    pub(crate) fn speak_as_bridge(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        if !self.bridges.is_bridge || now < self.bridges.next_round {
            return;
        }
        self.bridges.next_round = now + self.parts.parameters.bridge_interval;
        self.bridges.round += 1;
        let compares = now >= self.bridges.next_digest;
        if compares {
            self.bridges.next_digest = now + self.parts.parameters.digest_interval;
        }
        for centre in self.other_centres() {
            let Some(member) = self.partner(now, &centre) else { continue };
            let mut news = self.take_news_for_centre(&centre);
            self.add_own_version(&mut news);
            let probe = self.make_probe(0, news);
            out.push(outgoing(member.address.clone(), Body::Probe(probe)));
            if compares {
                out.push(outgoing(member.address, Body::Digest(self.digest())));
            }
        }
    }

    /// Adds the version in force here. News is sent a few times only, and all of them may fall
    /// into a cut; this makes the first message after it tell of what was missed.
    fn add_own_version(&self, news: &mut Gossip) {
        let entry = self.own_key;
        if let Some(version) = self.gossip_state.in_force.get(&entry)
            && news.in_force.iter().all(|told| told.entry != entry)
        {
            news.in_force.push(InForce { entry, version: *version });
        }
    }

    /// The bridge of another data centre whose turn it is; anybody there while it is silent, for
    /// its bridges may all be gone without a word.
    fn partner(&mut self, now: Duration, centre: &str) -> Option<Member> {
        let bridges = self.bridges_of(centre);
        if bridges.is_empty()
            || (self.is_silent(now, centre) && self.bridges.round.is_multiple_of(2))
        {
            let stays = |member: &&Member| {
                member.data_centre == centre && member.state != MemberState::Left as i32
            };
            let members: Vec<Member> =
                self.gossip_state.members.values().filter(stays).cloned().collect();
            return members.choose(&mut self.rng).cloned();
        }
        let key = bridges.get(self.bridges.round % bridges.len())?;
        self.gossip_state.members.get(key).cloned()
    }

    pub(crate) fn take_news_for_centre(&mut self, centre: &str) -> Gossip {
        let limit = self.parts.parameters.gossip_size_bytes;
        let outbox = self.bridges.outboxes.entry(centre.to_string()).or_default();
        outbox.take(&self.gossip_state, limit)
    }

    /// Notes that a data centre was heard of, through whomever.
    pub(crate) fn note_heard(&mut self, now: Duration, change: &Change) {
        if let Change::DataCentreLoad(centre, _) = change {
            self.bridges.heard.insert(centre.clone(), now);
        }
    }

    /// As the first bridge, sums up the loads of the data centre, one sum a model and an empty
    /// one as a sign of life.
    pub(crate) fn sum_up_centre(&mut self, now: Duration) {
        let centre = self.parts.data_centre.clone();
        if self.bridges_of(&centre).first() != Some(&self.own_key) {
            return;
        }
        let mut sums: BTreeMap<String, CentreLoad> = BTreeMap::new();
        sums.insert(String::new(), CentreLoad::default());
        for (key, place) in &self.places {
            if let Some(load) = self.gossip_state.runner_loads.get(key)
                && place.data_centre == centre
            {
                let sum = sums.entry(place.model.clone()).or_default();
                sum.runners += 1;
                sum.queued_runs += load.queued_runs;
                sum.queued_prompt_units += load.queued_prompt_units;
                sum.active_runs += load.active_runs;
                sum.slots += load.slots;
                sum.prefill_units_per_second += load.prefill_units_per_second;
            }
        }
        let first = self.first_sequence();
        let loads = sums.into_iter().map(|(model, sum)| {
            let known = self.gossip_state.centre_loads.get(&(centre.clone(), model.clone()));
            let sequence = known.map_or(first, |known| (known.sequence + 1).max(first));
            CentreLoad { data_centre: centre.clone(), model, sequence, ..sum }
        });
        let centre_loads = loads.collect();
        self.merge(now, Gossip { centre_loads, ..Gossip::default() });
    }
}
