//! Exchanges the content of runners' caches with the other processes of the data centre.

use super::{messages::LookUpHolders, prefix_index::ContextUpdate};
use crate::{
    peers::{DirectoryShard, PeersView},
    router_actor::RouterActor,
};
use async_trait::async_trait;
use kameo::prelude::ActorRef;
use prost::Message;
use skylarkpick_cache::RunnerChange;
use skylarkpick_interface::{PeerNetwork, PrefixKey, StoreTier};
use skylarkpick_protocol::peer::{
    DirectoryAnswer, DirectoryLookup, DirectoryUpdate, Held, HolderChange, HolderKind, PeerMessage,
    peer_message::Body,
};
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use tokio::sync::watch;

/// Bytes of a key in a message.
const KEY_SIZE_BYTES: usize = 16;

/// Publishes changes of runners' caches to the other processes of the data centre.
#[derive(Clone)]
pub(super) struct DirectoryPublisher {
    pub(super) network: Arc<dyn PeerNetwork>,
    pub(super) view: watch::Receiver<Arc<PeersView>>,
    pub(super) data_centre: String,
    pub(super) entry_id: String,
    pub(super) sequence: Arc<AtomicU64>,
    /// Maximum size of a message between processes.
    pub(super) frame_size_bytes: usize,
}

impl DirectoryPublisher {
    /// Sends a change to every other process of the data centre. A lost message shows as a gap in
    /// the sequence, which the next snapshot repairs.
    pub(super) async fn publish(&self, runner: &str, change: &RunnerChange) {
        let message = self.message(runner, change);
        if message.len() > self.frame_size_bytes {
            return;
        }
        let view = self.view.borrow().clone();
        let peers = view.members_of(&self.data_centre).into_iter();
        for peer in peers.filter(|peer| peer.entry_id != self.entry_id) {
            let (network, address) = (self.network.clone(), peer.address.clone());
            let message = message.clone();
            tokio::spawn(async move {
                let _ = network.send(&address, message).await;
            });
        }
    }

    fn message(&self, runner: &str, change: &RunnerChange) -> Vec<u8> {
        let change = HolderChange {
            kind: HolderKind::Runner.into(),
            holder: runner.to_string(),
            incarnation: change.incarnation,
            sequence: change.last_sequence,
            snapshot: change.snapshot,
            added_keys: write_keys(&change.added),
            evicted_keys: write_keys(&change.evicted),
            after: change.after,
            ..HolderChange::default()
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let update = DirectoryUpdate { sequence, changes: vec![change] };
        PeerMessage { body: Some(Body::DirectoryUpdate(update)) }.encode_to_vec()
    }
}

/// The prefix index, as its peers update and query it.
pub(super) struct IndexDirectory {
    pub(super) router: ActorRef<RouterActor>,
}

#[async_trait]
impl DirectoryShard for IndexDirectory {
    async fn update(&self, update: DirectoryUpdate) {
        let is_of_runner = |change: &HolderChange| change.kind() == HolderKind::Runner;
        for change in update.changes.into_iter().filter(is_of_runner) {
            let runner_change = RunnerChange {
                incarnation: change.incarnation,
                after: change.after,
                last_sequence: change.sequence,
                snapshot: change.snapshot,
                added: read_keys(&change.added_keys),
                evicted: read_keys(&change.evicted_keys),
            };
            // Fails only while the process is exiting.
            let _ = self.router.tell(ContextUpdate::PeerChange(change.holder, runner_change)).await;
        }
    }

    async fn look_up(&self, lookup: DirectoryLookup) -> DirectoryAnswer {
        let keys = read_keys(&lookup.keys);
        let found = self.router.ask(LookUpHolders(keys.clone())).await;
        let (runners, copies) = found.unwrap_or_default();
        let blocks = |blocks: usize| u32::try_from(blocks).unwrap_or(u32::MAX);
        let of_runners = runners.into_iter().map(|holder| Held {
            kind: HolderKind::Runner.into(),
            holder: holder.runner,
            blocks: blocks(holder.blocks),
            generation: 0,
            doubtful: holder.doubtful,
        });
        let of_stores = copies.into_iter().map(|copy| Held {
            kind: match copy.tier {
                StoreTier::Memory => HolderKind::StoreMemory,
                StoreTier::Disk => HolderKind::StoreDisk,
            }
            .into(),
            holder: copy.store,
            blocks: blocks(
                keys.iter().position(|key| *key == copy.prefix_key).map_or(0, |at| at + 1),
            ),
            generation: copy.generation,
            doubtful: false,
        });
        DirectoryAnswer { held: of_runners.chain(of_stores).collect() }
    }

    /// Does nothing, since every process of the data centre has the whole index.
    async fn hand_off(&self) {}
}

fn write_keys(keys: &[PrefixKey]) -> Vec<u8> {
    keys.iter().flat_map(|key| key.to_be_bytes()).collect()
}

fn read_keys(bytes: &[u8]) -> Vec<PrefixKey> {
    let keys = bytes.chunks_exact(KEY_SIZE_BYTES);
    keys.filter_map(|key| key.try_into().ok()).map(PrefixKey::from_be_bytes).collect()
}
