//! Prefix directory: memory per entry, time per lookup, and message bytes per change.

use super::timing::mean_seconds;
use crate::{plan::PLANNED_SIZE, slope::Slopes};
use prost::Message;
use skylarkpick_cache::RunnerPrefixIndex;
use skylarkpick_protocol::peer::{DirectoryUpdate, HolderChange, PeerMessage, peer_message::Body};

/// Length of a prompt, in blocks.
const PROMPT_BLOCKS: u128 = 32;
/// Block changes in one message.
const CHANGES_PER_MESSAGE: usize = 100;

pub(super) fn measure(slopes: &mut Slopes) {
    let prompts = (PLANNED_SIZE.prompts / PLANNED_SIZE.data_centres) as u128;
    let mut index = RunnerPrefixIndex::default();
    for prompt in 0..prompts {
        index.note_held_prefix(&format!("runner-{}", prompt % 174), &keys(prompt));
    }
    let each = index.size_bytes() as f64 / index.len() as f64;
    let method =
        format!("{} entries of {prompts} rows of 32 blocks, free slots included", index.len());
    slopes.record("directory entry memory", each, "bytes", &method);
    let mut prompt = 0;
    let time = mean_seconds(|| {
        prompt = (prompt + 7_919) % prompts;
        index.holders(&keys(prompt)).len()
    });
    slopes.record(
        "directory look-up time",
        time,
        "s",
        "a row of 32 blocks, its keys made included",
    );
    let bytes = message_size_bytes() / CHANGES_PER_MESSAGE as f64;
    slopes.record("directory change", bytes, "bytes", "a message of 100 added blocks");
}

/// Returns block keys that are spread over the key space as digests are.
fn keys(prompt: u128) -> Vec<u128> {
    let spread =
        |block: u128| (prompt * PROMPT_BLOCKS + block).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c);
    (0..PROMPT_BLOCKS).map(|block| spread(block).rotate_left(61)).collect()
}

/// Returns the size of a message that reports `CHANGES_PER_MESSAGE` added blocks of one runner.
fn message_size_bytes() -> f64 {
    let added_keys = (0..CHANGES_PER_MESSAGE as u128).flat_map(|key| key.to_be_bytes()).collect();
    let change = HolderChange { holder: "runner-17".to_string(), added_keys, ..Default::default() };
    let update = DirectoryUpdate { sequence: 1, changes: vec![change] };
    let message = PeerMessage { body: Some(Body::DirectoryUpdate(update)) };
    message.encoded_len() as f64
}
