//! Cuts between data centres, and between a data centre and the platform.

use skylarkpick_standin::MemoryPeers;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tokio::sync::watch;

/// Cuts between data centres, and between a data centre and the platform.
pub(crate) struct Network {
    pub(crate) peers: Arc<MemoryPeers>,
    cuts: watch::Sender<BTreeSet<(String, String)>>,
    centres: BTreeMap<String, String>,
}

impl Network {
    /// Opens a network in which `centres` gives the data centre of each address.
    pub(crate) fn open(peers: Arc<MemoryPeers>, centres: BTreeMap<String, String>) -> Network {
        Network { peers, cuts: watch::channel(BTreeSet::new()).0, centres }
    }

    /// Data centre of an address.
    pub(crate) fn centre_of(&self, address: &str) -> String {
        self.centres.get(address).cloned().unwrap_or_default()
    }

    pub(crate) fn cut(&self, one: &str, other: &str) {
        self.peers.partition(one, other);
        self.cuts.send_modify(|cuts| {
            cuts.insert(pair(one, other));
        });
    }

    pub(crate) fn heal(&self, one: &str, other: &str) {
        self.peers.heal(one, other);
        self.cuts.send_modify(|cuts| {
            cuts.remove(&pair(one, other));
        });
    }

    pub(crate) fn is_cut(&self, one: &str, other: &str) -> bool {
        self.cuts.borrow().contains(&pair(one, other))
    }

    /// Returns once the two are cut off from each other.
    pub(crate) async fn wait_cut(&self, one: &str, other: &str) {
        let mut cuts = self.cuts.subscribe();
        let key = pair(one, other);
        // The sender lives as long as this network.
        let _ = cuts.wait_for(|cuts| cuts.contains(&key)).await;
    }
}

fn pair(one: &str, other: &str) -> (String, String) {
    if one <= other {
        (one.to_string(), other.to_string())
    } else {
        (other.to_string(), one.to_string())
    }
}
