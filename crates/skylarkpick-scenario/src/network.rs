//! Network partitions between data centres, and between a data centre and the platform.

use skylarkpick_standin::MemoryPeers;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tokio::sync::watch;

/// Network partitions between data centres, and between a data centre and the platform.
pub(crate) struct Network {
    pub(crate) peers: Arc<MemoryPeers>,
    partitions: watch::Sender<BTreeSet<(String, String)>>,
    data_centres: BTreeMap<String, String>,
}

impl Network {
    /// Opens a network without partitions. `data_centres` has the data centre of each address.
    pub(crate) fn open(peers: Arc<MemoryPeers>, data_centres: BTreeMap<String, String>) -> Network {
        Network { peers, partitions: watch::channel(BTreeSet::new()).0, data_centres }
    }

    /// Returns the data centre of an address.
    pub(crate) fn data_centre_of(&self, address: &str) -> String {
        self.data_centres.get(address).cloned().unwrap_or_default()
    }

    pub(crate) fn partition(&self, one: &str, other: &str) {
        self.peers.partition(one, other);
        self.partitions.send_modify(|partitions| {
            partitions.insert(pair(one, other));
        });
    }

    pub(crate) fn heal(&self, one: &str, other: &str) {
        self.peers.heal(one, other);
        self.partitions.send_modify(|partitions| {
            partitions.remove(&pair(one, other));
        });
    }

    pub(crate) fn is_partitioned(&self, one: &str, other: &str) -> bool {
        self.partitions.borrow().contains(&pair(one, other))
    }

    /// Returns once the two are partitioned.
    pub(crate) async fn wait_until_partitioned(&self, one: &str, other: &str) {
        let mut partitions = self.partitions.subscribe();
        let key = pair(one, other);
        // The wait cannot fail: `self` owns the sender.
        let _ = partitions.wait_for(|partitions| partitions.contains(&key)).await;
    }
}

/// Returns the same pair for both orders of the two names.
fn pair(one: &str, other: &str) -> (String, String) {
    if one <= other {
        (one.to_string(), other.to_string())
    } else {
        (other.to_string(), one.to_string())
    }
}
