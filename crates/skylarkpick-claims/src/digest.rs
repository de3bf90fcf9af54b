//! Digests of keys and requests.

use crate::claim::KeyDigest;

/// Returns the digest of a client account and its idempotency key. Each part is hashed with its
/// length, so that no two pairs have the same input.
///
/// ```
/// use skylarkpick_claims::digest_key;
/// assert_ne!(digest_key("cubesat", "1"), digest_key("imaging", "1"));
/// assert_ne!(digest_key("a", "bc"), digest_key("ab", "c"));
/// ```
pub fn digest_key(account: &str, key: &str) -> KeyDigest {
    digest(&[account.as_bytes(), key.as_bytes()])
}

/// Returns the digest of a request, which detects that a key is reused for a different request.
///
/// ```
/// use skylarkpick_claims::digest_request;
/// let first = digest_request(&[b"POST", b"/bookings", b"{}"]);
/// assert_ne!(first, digest_request(&[b"POST", b"/bookings", b"{ }"]));
/// ```
pub fn digest_request(parts: &[&[u8]]) -> [u8; 32] {
    digest(parts)
}

/// Returns the shard of a key, a number below `shards`.
pub fn shard_of(key: &KeyDigest, shards: u32) -> u32 {
    let [a, b, c, d, ..] = *key;
    u32::from_be_bytes([a, b, c, d]) % shards.max(1)
}

fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}
