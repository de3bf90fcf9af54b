//! Updates that are waiting to be sent, in messages of bounded size.

use crate::gossip_state::{GossipState, UpdateKey};
use prost::Message;
use skylarkpick_protocol::peer::Gossip;
use std::collections::BTreeMap;

/// Updates that are waiting to be sent, each for a number of messages.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    /// Number of messages that each update still has to go into.
    pending: BTreeMap<UpdateKey, u32>,
    /// The same for updates that trigger messages before the next gossip round.
    urgent: BTreeMap<UpdateKey, u32>,
}

impl Outbox {
    /// Queues an update for `copies` messages; an update that is already queued starts over.
    pub(crate) fn put(&mut self, key: UpdateKey, copies: u32) {
        self.pending.insert(key, copies);
    }

    /// Queues an update that must not wait for the next gossip round.
    pub(crate) fn put_urgent(&mut self, key: UpdateKey, copies: u32) {
        self.urgent.insert(key.clone(), copies);
        self.pending.insert(key, copies);
    }

    /// Returns whether an update must not wait for the next gossip round.
    pub(crate) fn is_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Returns one message of as many updates as fit: runner loads last, otherwise those
    /// with the most copies left first, then by kind.
    pub(crate) fn take(&mut self, gossip_state: &GossipState, size_limit_bytes: usize) -> Gossip {
        let mut queue: Vec<(bool, std::cmp::Reverse<u32>, UpdateKey)> = self
            .pending
            .iter()
            .map(|(key, copies_left)| {
                let is_load = matches!(key, UpdateKey::RunnerLoad(_));
                (is_load, std::cmp::Reverse(*copies_left), key.clone())
            })
            .collect();
        queue.sort_unstable();
        let mut gossip = Gossip::default();
        let mut size_bytes = 0;
        for (_, _, key) in queue {
            let mut one = Gossip::default();
            gossip_state.copy_into(&key, &mut one);
            let one_bytes = one.encoded_len();
            if size_bytes + one_bytes > size_limit_bytes {
                break;
            }
            size_bytes += one_bytes;
            gossip_state.copy_into(&key, &mut gossip);
            count_down(&mut self.pending, &key);
            count_down(&mut self.urgent, &key);
        }
        gossip
    }
}

fn count_down(counts: &mut BTreeMap<UpdateKey, u32>, key: &UpdateKey) {
    if let Some(copies_left) = counts.get_mut(key) {
        *copies_left = copies_left.saturating_sub(1);
        if *copies_left == 0 {
            counts.remove(key);
        }
    }
}
