//! Anti-entropy: digests of the state by bucket, which show where the states of two processes
//! differ.

use crate::gossip_state::{GossipState, UpdateKey};
use prost::Message;
use skylarkpick_protocol::peer::{Gossip, Member, MemberState};

/// Buckets that the state is split into.
pub(crate) const BUCKET_COUNT: u64 = 64;

/// Returns the digest of each bucket. Loads are excluded. So are dead and left members, so that the
/// digests of processes agree although they remove such members at different times.
pub(crate) fn buckets(gossip_state: &GossipState) -> Vec<u64> {
    let mut buckets = vec![0; BUCKET_COUNT as usize];
    let mut add = |key: u64, parts: &[u64]| {
        let digest = parts.iter().fold(key, |digest, part| {
            (digest ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
        });
        let bucket: &mut u64 = &mut buckets[(key % BUCKET_COUNT) as usize];
        *bucket = bucket.wrapping_add(digest);
    };
    for (key, member) in live_members(gossip_state) {
        let version = gossip_state.in_force.get(key).copied().unwrap_or_default();
        add(*key, &[1, member.incarnation, member.state as u64, version]);
    }
    for (key, state) in &gossip_state.runner_states {
        let flags = u64::from(state.unreachable);
        let parts = [state.incarnation, state.revision, state.leaving_plus_one, flags];
        add(*key, &parts);
    }
    buckets
}

fn live_members(gossip_state: &GossipState) -> impl Iterator<Item = (&u64, &Member)> {
    gossip_state.members.iter().filter(|(_, member)| member.state < MemberState::Dead as i32)
}

/// Returns the entries in the buckets whose digests differ from `theirs`, at most
/// `size_limit_bytes` of them.
pub(crate) fn differing_updates(
    gossip_state: &GossipState,
    theirs: &[u64],
    size_limit_bytes: usize,
) -> Gossip {
    let ours = buckets(gossip_state);
    let differs = |key: u64| {
        let bucket = (key % BUCKET_COUNT) as usize;
        theirs.get(bucket) != ours.get(bucket)
    };
    let mut gossip = Gossip::default();
    let mut size_bytes = 0;
    let mut differing: Vec<(u64, UpdateKey)> = gossip_state
        .keys_except_loads()
        .into_iter()
        .filter_map(|key| Some((bucket_key(&key)?, key)))
        .filter(|(bucket_key, _)| differs(*bucket_key))
        .map(|(bucket_key, key)| (bucket_key % BUCKET_COUNT, key))
        .collect();
    // Bucket by bucket, so that even a reply cut at its limit makes some buckets equal.
    differing.sort_unstable();
    for (_, key) in differing {
        let mut one = Gossip::default();
        gossip_state.copy_into(&key, &mut one);
        size_bytes += one.encoded_len();
        if size_bytes > size_limit_bytes {
            break;
        }
        gossip_state.copy_into(&key, &mut gossip);
    }
    gossip
}

fn bucket_key(key: &UpdateKey) -> Option<u64> {
    match key {
        UpdateKey::Member(key) | UpdateKey::InForce(key) | UpdateKey::RunnerState(key) => {
            Some(*key)
        }
        UpdateKey::DataCentreLoad(..) | UpdateKey::RunnerLoad(_) => None,
    }
}

/// Returns whether a message has no content.
pub(crate) fn is_empty(gossip: &Gossip) -> bool {
    let Gossip { members, in_force, runner_states, runner_loads, centre_loads } = gossip;
    let no_members = members.is_empty() && in_force.is_empty();
    no_members && runner_states.is_empty() && runner_loads.is_empty() && centre_loads.is_empty()
}
