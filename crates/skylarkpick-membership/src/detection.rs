//! Failure detection as in SWIM: a member that responds neither to a direct probe nor to indirect
//! probes is suspected, and declared dead if it doesn't refute the suspicion in time.

use crate::{
    membership::{Membership, Outgoing, outgoing},
    rendezvous::digest_of,
};
use rand::seq::{IndexedRandom, SliceRandom};
use skylarkpick_protocol::peer::{
    Gossip, Member, MemberState, ProbeAck, ProbeRequest, peer_message::Body,
};
use std::{collections::BTreeMap, time::Duration};

/// Missed ticks after which this process counts as paused.
const PAUSE_TICKS: u32 = 5;

/// State of failure detection.
#[derive(Debug, Default)]
pub(crate) struct Detection {
    /// Own probes without a response yet, by sequence number.
    pending: BTreeMap<u64, PendingProbe>,
    /// Probes sent on behalf of other processes, by sequence number.
    relayed: BTreeMap<u64, RelayedProbe>,
    /// When each suspected member is declared dead.
    suspicion_deadlines: BTreeMap<u64, Duration>,
    /// When each dead or left member is removed.
    removal_times: BTreeMap<u64, Duration>,
    /// Members still to be probed in the current round over all of them.
    probe_queue: Vec<u64>,
    next_sequence: u64,
    next_probe: Duration,
}

#[derive(Debug)]
struct PendingProbe {
    member: u64,
    sent_at: Duration,
    /// Whether indirect probes were requested.
    indirect: bool,
}

#[derive(Debug)]
struct RelayedProbe {
    /// Sequence number of the requester.
    sequence: u64,
    reply_address: String,
    sent_at: Duration,
}

impl Membership {
    /// If this process itself was paused, discards its pending probes and restarts the suspicion
    /// timeouts, so that it doesn't blame other members for responses that it could not receive.
    pub(crate) fn reset_timeouts_after_pause(&mut self, now: Duration) {
        let Some(last) = self.last_tick else { return };
        if now.saturating_sub(last) <= self.settings.parameters.tick_interval * PAUSE_TICKS {
            return;
        }
        self.detection.pending.clear();
        for deadline in self.detection.suspicion_deadlines.values_mut() {
            *deadline = now + self.settings.parameters.suspicion_timeout;
        }
    }

    /// Sends a probe if one is due, and handles those without a response.
    pub(crate) fn probe(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        self.handle_probe_timeouts(now, out);
        if now < self.detection.next_probe {
            return;
        }
        self.detection.next_probe = now + self.settings.parameters.probe_interval;
        let Some(member) = self.next_member() else { return };
        let sequence = self.next_sequence();
        let pending =
            PendingProbe { member: digest_of(&member.entry_id), sent_at: now, indirect: false };
        self.detection.pending.insert(sequence, pending);
        let updates = self.take_updates();
        let probe = self.make_probe(sequence, updates);
        out.push(outgoing(member.address, Body::Probe(probe)));
    }

    fn next_sequence(&mut self) -> u64 {
        self.detection.next_sequence += 1;
        self.detection.next_sequence
    }

    /// Returns the next member to probe, from a shuffled round over all peers of the data centre.
    fn next_member(&mut self) -> Option<Member> {
        let peers = self.local_peers();
        if peers.is_empty() {
            return None;
        }
        loop {
            if self.detection.probe_queue.is_empty() {
                self.detection.probe_queue =
                    peers.iter().map(|member| digest_of(&member.entry_id)).collect();
                self.detection.probe_queue.shuffle(&mut self.rng);
            }
            let key = self.detection.probe_queue.pop()?;
            let found = peers.iter().find(|member| digest_of(&member.entry_id) == key);
            if let Some(member) = found {
                return Some(member.clone());
            }
        }
    }

    /// Requests indirect probes of members that didn't respond to a direct one, and suspects those
    /// that didn't respond to indirect ones either.
    fn handle_probe_timeouts(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        let timeout = self.settings.parameters.probe_timeout;
        let overdue: Vec<u64> = self
            .detection
            .pending
            .iter()
            .filter(|(_, pending)| now.saturating_sub(pending.sent_at) >= timeout)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in overdue {
            let Some(mut pending) = self.detection.pending.remove(&sequence) else { continue };
            if pending.indirect {
                self.suspect(now, pending.member);
                continue;
            }
            self.send_indirect_probes(sequence, pending.member, out);
            pending.indirect = true;
            pending.sent_at = now;
            self.detection.pending.insert(sequence, pending);
        }
        self.detection.relayed.retain(|_, relay| now.saturating_sub(relay.sent_at) < timeout * 2);
    }

    fn send_indirect_probes(&mut self, sequence: u64, member: u64, out: &mut Vec<Outgoing>) {
        let Some(target) = self.gossip_state.members.get(&member).cloned() else { return };
        let mut peers = self.local_peers();
        peers.retain(|peer| peer.entry_id != target.entry_id);
        let count = self.settings.parameters.indirect_probes;
        let helpers: Vec<Member> = peers.choose_multiple(&mut self.rng, count).cloned().collect();
        for helper in helpers {
            let request = ProbeRequest {
                sequence,
                reply_address: self.settings.address.clone(),
                target_address: target.address.clone(),
            };
            out.push(outgoing(helper.address, Body::ProbeRequest(request)));
        }
    }

    /// Probes a member on behalf of another process.
    pub(crate) fn handle_probe_request(
        &mut self,
        now: Duration,
        request: ProbeRequest,
        out: &mut Vec<Outgoing>,
    ) {
        let sequence = self.next_sequence();
        let relay = RelayedProbe {
            sequence: request.sequence,
            reply_address: request.reply_address,
            sent_at: now,
        };
        self.detection.relayed.insert(sequence, relay);
        let probe = self.make_probe(sequence, Gossip::default());
        out.push(outgoing(request.target_address, Body::Probe(probe)));
    }

    /// Handles the response to a probe, and forwards it if the probe was sent for another process.
    pub(crate) fn handle_ack(&mut self, now: Duration, ack: ProbeAck, out: &mut Vec<Outgoing>) {
        self.detection.pending.remove(&ack.sequence);
        if let Some(relayed) = self.detection.relayed.remove(&ack.sequence) {
            let forwarded =
                ProbeAck { sequence: relayed.sequence, sender: ack.sender.clone(), gossip: None };
            out.push(outgoing(relayed.reply_address, Body::ProbeAck(forwarded)));
        }
        self.merge_from_sender(now, ack.sender, ack.gossip);
    }

    fn suspect(&mut self, now: Duration, key: u64) {
        let Some(member) = self.gossip_state.members.get(&key) else { return };
        if member.state == MemberState::Alive as i32 {
            let suspect = Member { state: MemberState::Suspect as i32, ..member.clone() };
            self.merge(now, Gossip { members: vec![suspect], ..Gossip::default() });
        }
    }

    /// Starts or cancels the timers of a member whose state changed. Only members of the same data
    /// centre are declared dead here; other data centres detect the failures of their own.
    pub(crate) fn update_member_timers(&mut self, now: Duration, key: u64) {
        let Some(member) = self.gossip_state.members.get(&key) else { return };
        let is_local = member.data_centre == self.settings.data_centre;
        let state = member.state;
        self.detection.suspicion_deadlines.remove(&key);
        self.detection.removal_times.remove(&key);
        if state == MemberState::Suspect as i32 && is_local {
            let deadline = now + self.settings.parameters.suspicion_timeout;
            self.detection.suspicion_deadlines.insert(key, deadline);
        }
        if state >= MemberState::Dead as i32 {
            self.detection.removal_times.insert(key, now + self.settings.parameters.retention);
        }
    }

    /// Declares suspected members dead that did not refute in time, and removes members that have
    /// been dead or left for the retention.
    pub(crate) fn expire_members(&mut self, now: Duration) {
        for key in take_due(&mut self.detection.suspicion_deadlines, now) {
            let Some(member) = self.gossip_state.members.get(&key) else { continue };
            let dead = Member { state: MemberState::Dead as i32, ..member.clone() };
            self.merge(now, Gossip { members: vec![dead], ..Gossip::default() });
        }
        for key in take_due(&mut self.detection.removal_times, now) {
            if key != self.own_key {
                self.gossip_state.members.remove(&key);
                self.gossip_state.in_force.remove(&key);
            }
        }
    }

    /// Returns updates for the process at an address, from the outbox for its data centre.
    pub(crate) fn updates_for(&mut self, address: &str) -> Gossip {
        let data_centre = self
            .gossip_state
            .members
            .values()
            .find(|member| member.address == address)
            .map(|member| member.data_centre.clone());
        match data_centre {
            Some(data_centre) if data_centre != self.settings.data_centre => {
                self.take_updates_for_data_centre(&data_centre)
            }
            _ => self.take_updates(),
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
