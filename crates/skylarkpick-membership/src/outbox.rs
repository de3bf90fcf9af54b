//! News that waits to be sent on, within a bound of bytes a message.

use crate::gossip_state::{GossipState, NewsKey};
use prost::Message;
use skylarkpick_protocol::peer::Gossip;
use std::collections::BTreeMap;

/// News that waits to be sent on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    /// Copies still to be sent.
    waiting: BTreeMap<NewsKey, u32>,
    /// Copies still to be sent at once, before the next round.
    urgent: BTreeMap<NewsKey, u32>,
}

impl Outbox {
    /// Puts news in for `copies` messages, anew if it waits already.
    pub(crate) fn put(&mut self, key: NewsKey, copies: u32) {
        self.waiting.insert(key, copies);
    }

    /// Puts news in that goes out before the next round.
    pub(crate) fn put_urgent(&mut self, key: NewsKey, copies: u32) {
        self.urgent.insert(key.clone(), copies);
        self.waiting.insert(key, copies);
    }

    /// Whether some news should not wait for the next round.
    pub(crate) fn is_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Takes one copy of as much news as fits, the least often sent first within a kind.
    pub(crate) fn take(&mut self, gossip_state: &GossipState, size_limit_bytes: usize) -> Gossip {
        let mut order: Vec<(bool, std::cmp::Reverse<u32>, NewsKey)> = self
            .waiting
            .iter()
            .map(|(key, left)| {
                let load = matches!(key, NewsKey::RunnerLoad(_));
                (load, std::cmp::Reverse(*left), key.clone())
            })
            .collect();
        order.sort_unstable();
        let mut gossip = Gossip::default();
        let mut size_bytes = 0;
        for (_, _, key) in order {
            let mut one = Gossip::default();
            gossip_state.copy_into(&key, &mut one);
            let one_bytes = one.encoded_len();
            if size_bytes + one_bytes > size_limit_bytes {
                break;
            }
            size_bytes += one_bytes;
            gossip_state.copy_into(&key, &mut gossip);
            count_down(&mut self.waiting, &key);
            count_down(&mut self.urgent, &key);
        }
        gossip
    }
}

fn count_down(counts: &mut BTreeMap<NewsKey, u32>, key: &NewsKey) {
    if let Some(left) = counts.get_mut(key) {
        *left = left.saturating_sub(1);
        if *left == 0 {
            counts.remove(key);
        }
    }
}
