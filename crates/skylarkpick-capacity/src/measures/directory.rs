//! The prefix directory: bytes an entry, time a look-up, bytes a change on its way to peers.

use super::timing::seconds_each;
use crate::{plan::PLANNED_SIZE, slope::Slopes};
use prost::Message;
use skylarkpick_cache::RunnerPrefixIndex;
use skylarkpick_protocol::peer::{DirectoryUpdate, HolderChange, PeerMessage, peer_message::Body};

/// Blocks of a row.
const ROW_BLOCKS: u128 = 32;
/// Changes told in one message.
const CHANGES: usize = 100;

pub(super) fn measure(slopes: &mut Slopes) {
    let rows = (PLANNED_SIZE.prompts / PLANNED_SIZE.data_centres) as u128;
    let mut beliefs = RunnerPrefixIndex::default();
    for row in 0..rows {
        beliefs.note_held_prefix(&format!("runner-{}", row % 174), &keys(row));
    }
    let each = beliefs.size_bytes() as f64 / beliefs.len() as f64;
    let method =
        format!("{} entries of {rows} rows of 32 blocks, free slots included", beliefs.len());
    slopes.record("directory entry memory", each, "bytes", &method);
    let mut row = 0;
    let time = seconds_each(|| {
        row = (row + 7_919) % rows;
        beliefs.holders(&keys(row)).len()
    });
    slopes.record(
        "directory look-up time",
        time,
        "s",
        "a row of 32 blocks, its keys made included",
    );
    let bytes = message_size_bytes() / CHANGES as f64;
    slopes.record("directory change", bytes, "bytes", "a message of 100 added blocks");
}

/// Keys that look like digests.
fn keys(row: u128) -> Vec<u128> {
    let spread = |block: u128| (row * ROW_BLOCKS + block).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c);
    (0..ROW_BLOCKS).map(|block| spread(block).rotate_left(61)).collect()
}

/// Size of a message that tells of `CHANGES` added blocks of one runner.
fn message_size_bytes() -> f64 {
    let added_keys = (0..CHANGES as u128).flat_map(|key| key.to_be_bytes()).collect();
    let change = HolderChange { holder: "runner-17".to_string(), added_keys, ..Default::default() };
    let update = DirectoryUpdate { sequence: 1, changes: vec![change] };
    let message = PeerMessage { body: Some(Body::DirectoryUpdate(update)) };
    message.encoded_len() as f64
}
