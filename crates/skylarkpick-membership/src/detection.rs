//! Failure detection: probes, indirect probes, suspicion and its end.

use crate::{
    membership::{Membership, Outgoing, outgoing},
    rendezvous::digest_of,
};
use rand::seq::{IndexedRandom, SliceRandom};
use skylarkpick_protocol::peer::{
    Gossip, Member, MemberState, ProbeAck, ProbeRequest, peer_message::Body,
};
use std::{collections::BTreeMap, time::Duration};

/// Ticks missed after which this process counts as paused.
const PAUSE_TICKS: u32 = 5;

/// State of failure detection.
#[derive(Debug, Default)]
pub(crate) struct Detection {
    pending: BTreeMap<u64, Pending>,
    relays: BTreeMap<u64, Relay>,
    /// When a suspected member is declared dead.
    deadlines: BTreeMap<u64, Duration>,
    /// When a member that is gone is forgotten.
    forget_at: BTreeMap<u64, Duration>,
    order: Vec<u64>,
    next_sequence: u64,
    next_probe: Duration,
}

#[derive(Debug)]
struct Pending {
    member: u64,
    sent_at: Duration,
    indirect: bool,
}

#[derive(Debug)]
struct Relay {
    sequence: u64,
    reply_address: String,
    sent_at: Duration,
}

impl Membership {
    /// Forgets what was awaited if this process itself did not run in time.
    pub(crate) fn forgive_after_pause(&mut self, now: Duration) {
        let Some(last) = self.last_tick else { return };
        if now.saturating_sub(last) <= self.parts.parameters.tick_interval * PAUSE_TICKS {
            return;
        }
        self.detection.pending.clear();
        for deadline in self.detection.deadlines.values_mut() {
            *deadline = now + self.parts.parameters.suspicion_timeout;
        }
    }

    /// Sends due probes and follows up on those without an answer.
    pub(crate) fn probe(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        self.follow_up(now, out);
        if now < self.detection.next_probe {
            return;
        }
        self.detection.next_probe = now + self.parts.parameters.probe_interval;
        let Some(member) = self.next_member() else { return };
        let sequence = self.next_sequence();
        let pending =
            Pending { member: digest_of(&member.entry_id), sent_at: now, indirect: false };
        self.detection.pending.insert(sequence, pending);
        let news = self.take_news();
        let probe = self.make_probe(sequence, news);
        out.push(outgoing(member.address, Body::Probe(probe)));
    }

    fn next_sequence(&mut self) -> u64 {
        self.detection.next_sequence += 1;
        self.detection.next_sequence
    }

    /// The next member of a shuffled round over all peers of the data centre.
    fn next_member(&mut self) -> Option<Member> {
        let peers = self.peers_of_centre();
        if peers.is_empty() {
            return None;
        }
        loop {
            if self.detection.order.is_empty() {
                self.detection.order =
                    peers.iter().map(|member| digest_of(&member.entry_id)).collect();
                self.detection.order.shuffle(&mut self.rng);
            }
            let key = self.detection.order.pop()?;
            let found = peers.iter().find(|member| digest_of(&member.entry_id) == key);
            if let Some(member) = found {
                return Some(member.clone());
            }
        }
    }

    fn follow_up(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        let timeout = self.parts.parameters.probe_timeout;
        let late: Vec<u64> = self
            .detection
            .pending
            .iter()
            .filter(|(_, pending)| now.saturating_sub(pending.sent_at) >= timeout)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in late {
            let Some(mut pending) = self.detection.pending.remove(&sequence) else { continue };
            if pending.indirect {
                self.suspect(now, pending.member);
                continue;
            }
            self.probe_indirectly(sequence, pending.member, out);
            pending.indirect = true;
            pending.sent_at = now;
            self.detection.pending.insert(sequence, pending);
        }
        self.detection.relays.retain(|_, relay| now.saturating_sub(relay.sent_at) < timeout * 2);
    }

    fn probe_indirectly(&mut self, sequence: u64, member: u64, out: &mut Vec<Outgoing>) {
        let Some(target) = self.gossip_state.members.get(&member).cloned() else { return };
        let mut peers = self.peers_of_centre();
        peers.retain(|peer| peer.entry_id != target.entry_id);
        let count = self.parts.parameters.indirect_probes;
        let helpers: Vec<Member> = peers.choose_multiple(&mut self.rng, count).cloned().collect();
        for helper in helpers {
            let request = ProbeRequest {
                sequence,
                reply_address: self.parts.address.clone(),
                target_address: target.address.clone(),
            };
            out.push(outgoing(helper.address, Body::ProbeRequest(request)));
        }
    }

    pub(crate) fn relay_probe(
        &mut self,
        now: Duration,
        request: ProbeRequest,
        out: &mut Vec<Outgoing>,
    ) {
        let sequence = self.next_sequence();
        let relay = Relay {
            sequence: request.sequence,
            reply_address: request.reply_address,
            sent_at: now,
        };
        self.detection.relays.insert(sequence, relay);
        let probe = self.make_probe(sequence, Gossip::default());
        out.push(outgoing(request.target_address, Body::Probe(probe)));
    }

    pub(crate) fn take_ack(&mut self, now: Duration, ack: ProbeAck, out: &mut Vec<Outgoing>) {
        self.detection.pending.remove(&ack.sequence);
        if let Some(relay) = self.detection.relays.remove(&ack.sequence) {
            let passed_on =
                ProbeAck { sequence: relay.sequence, sender: ack.sender.clone(), gossip: None };
            out.push(outgoing(relay.reply_address, Body::ProbeAck(passed_on)));
        }
        self.hear_from(now, ack.sender, ack.gossip);
    }

    fn suspect(&mut self, now: Duration, key: u64) {
        let Some(member) = self.gossip_state.members.get(&key) else { return };
        if member.state == MemberState::Alive as i32 {
            let suspect = Member { state: MemberState::Suspect as i32, ..member.clone() };
            self.merge(now, Gossip { members: vec![suspect], ..Gossip::default() });
        }
    }

    /// Starts or stops the deadlines of a member whose state changed.
    pub(crate) fn watch_member(&mut self, now: Duration, key: u64) {
        let Some(member) = self.gossip_state.members.get(&key) else { return };
        let same_centre = member.data_centre == self.parts.data_centre;
        let state = member.state;
        self.detection.deadlines.remove(&key);
        self.detection.forget_at.remove(&key);
        if state == MemberState::Suspect as i32 && same_centre {
            let deadline = now + self.parts.parameters.suspicion_timeout;
            self.detection.deadlines.insert(key, deadline);
        }
        if state >= MemberState::Dead as i32 {
            self.detection.forget_at.insert(key, now + self.parts.parameters.retention);
        }
    }

    /// Declares suspects dead that did not refute in time, and forgets the long gone.
    pub(crate) fn expire_suspicions(&mut self, now: Duration) {
        for key in take_due(&mut self.detection.deadlines, now) {
            let Some(member) = self.gossip_state.members.get(&key) else { continue };
            let dead = Member { state: MemberState::Dead as i32, ..member.clone() };
            self.merge(now, Gossip { members: vec![dead], ..Gossip::default() });
        }
        for key in take_due(&mut self.detection.forget_at, now) {
            if key != self.own_key {
                self.gossip_state.members.remove(&key);
                self.gossip_state.in_force.remove(&key);
            }
        }
    }

    /// News for a process that probed this one, by way of its data centre's outbox.
    pub(crate) fn news_for(&mut self, address: &str) -> Gossip {
        let centre = self
            .gossip_state
            .members
            .values()
            .find(|member| member.address == address)
            .map(|member| member.data_centre.clone());
        match centre {
            Some(centre) if centre != self.parts.data_centre => self.take_news_for_centre(&centre),
            _ => self.take_news(),
        }
    }
}

fn take_due(deadlines: &mut BTreeMap<u64, Duration>, now: Duration) -> Vec<u64> {
    let due: Vec<u64> =
        deadlines.iter().filter(|(_, at)| **at <= now).map(|(key, _)| *key).collect();
    for key in &due {
        deadlines.remove(key);
    }
    due
}
