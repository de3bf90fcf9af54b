//! Rendezvous hashing, by which processes with the same member list assign the same members without
//! coordination.

/// Returns the digest that stands for a name in messages.
///
/// ```
/// use skylarkpick_membership::digest_of;
/// assert_eq!(digest_of("mnl-a-1"), digest_of("mnl-a-1"));
/// assert_ne!(digest_of("mnl-a-1"), digest_of("mnl-a-2"));
/// ```
pub fn digest_of(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut digest = [0; 8];
    digest.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(digest)
}

/// Returns the `count` candidates with the highest weights for `subject`, the highest first.
///
/// ```
/// use skylarkpick_membership::highest_weighted;
/// let three = highest_weighted(7, [1, 2, 3].into_iter(), 1);
/// let without: Vec<u64> = [1, 2, 3].into_iter().filter(|one| !three.contains(one)).collect();
/// // Removing a candidate only changes the assignments that it had.
/// assert_ne!(highest_weighted(7, without.into_iter(), 1), three);
/// ```
pub fn highest_weighted(
    subject: u64,
    candidates: impl Iterator<Item = u64>,
    count: usize,
) -> Vec<u64> {
    let mut weighted: Vec<(u64, u64)> =
        candidates.map(|candidate| (weight(subject, candidate), candidate)).collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.into_iter().take(count).map(|(_, candidate)| candidate).collect()
}

/// Returns the weight of a candidate: the finalizer of SplitMix64 over both digests.
fn weight(subject: u64, candidate: u64) -> u64 {
    let mut value = subject ^ candidate.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
