//! Digests by bucket, to find what two processes know differently.

use crate::gossip_state::{GossipState, NewsKey};
use prost::Message;
use skylarkpick_protocol::peer::{Gossip, Member, MemberState};

/// Buckets that knowledge is split into.
pub(crate) const BUCKETS: u64 = 64;

/// Digests of the lasting knowledge. Dead and left members count for nothing, so that processes
/// that forget them at different times agree.
pub(crate) fn buckets(gossip_state: &GossipState) -> Vec<u64> {
    let mut buckets = vec![0; BUCKETS as usize];
    let mut add = |key: u64, parts: &[u64]| {
        let digest = parts.iter().fold(key, |digest, part| {
            (digest ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
        });
        let bucket: &mut u64 = &mut buckets[(key % BUCKETS) as usize];
        *bucket = bucket.wrapping_add(digest);
    };
    for (key, member) in live(gossip_state) {
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

fn live(gossip_state: &GossipState) -> impl Iterator<Item = (&u64, &Member)> {
    gossip_state.members.iter().filter(|(_, member)| member.state < MemberState::Dead as i32)
}

/// The news in the buckets whose digests differ from `theirs`, at most `size_limit_bytes`.
pub(crate) fn difference(
    gossip_state: &GossipState,
    theirs: &[u64],
    size_limit_bytes: usize,
) -> Gossip {
    let ours = buckets(gossip_state);
    let differs = |key: u64| {
        let bucket = (key % BUCKETS) as usize;
        theirs.get(bucket) != ours.get(bucket)
    };
    let mut gossip = Gossip::default();
    let mut size_bytes = 0;
    let mut differing: Vec<(u64, NewsKey)> = gossip_state
        .lasting_keys()
        .into_iter()
        .filter_map(|key| Some((subject(&key)?, key)))
        .filter(|(subject, _)| differs(*subject))
        .map(|(subject, key)| (subject % BUCKETS, key))
        .collect();
    // Bucket by bucket, so that a bounded answer leaves some buckets equal.
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

fn subject(key: &NewsKey) -> Option<u64> {
    match key {
        NewsKey::Member(key) | NewsKey::InForce(key) | NewsKey::RunnerState(key) => Some(*key),
        NewsKey::DataCentreLoad(..) | NewsKey::RunnerLoad(_) => None,
    }
}

/// Whether a whole message tells nothing.
pub(crate) fn is_empty(gossip: &Gossip) -> bool {
    let Gossip { members, in_force, runner_states, runner_loads, centre_loads } = gossip;
    let no_members = members.is_empty() && in_force.is_empty();
    no_members && runner_states.is_empty() && runner_loads.is_empty() && centre_loads.is_empty()
}
