//! Resume tokens: signed references to an in-flight response stream, held by its caller.
//!
//! A token is the encoded [`ResumeClaims`] followed by a keyed BLAKE3 digest over them, as
//! base64url text. Any process that holds the key can verify it; the processes share no state.

use data_encoding::BASE64URL_NOPAD;
use prost::Message;
use skylarkpick_protocol::resume::ResumeClaims;
use std::time::{Duration, SystemTime};

/// Size of the keyed BLAKE3 digest, which serves as the message authentication code.
const MAC_SIZE_BYTES: usize = 32;
/// Longer tokens are rejected before they are decoded.
const TOKEN_SIZE_LIMIT_BYTES: usize = 4_096;

/// Key that authenticates resume tokens. Entry processes that share it can resume each other's
/// streams.
#[derive(Clone)]
pub struct ResumeKey([u8; 32]);

impl ResumeKey {
    /// Derives the key from a secret that the fleet shares.
    ///
    /// ```
    /// let key = skylarkpick_entry::ResumeKey::from_secret(b"32 or more random bytes of a fleet");
    /// assert_eq!(format!("{key:?}"), "ResumeKey(hidden)");
    /// ```
    pub fn from_secret(secret: &[u8]) -> ResumeKey {
        ResumeKey(blake3::derive_key("skylarkpick resume token key", secret))
    }

    /// Derives a key that only one process holds.
    pub(crate) fn from_seed(seed: u64) -> ResumeKey {
        ResumeKey(blake3::derive_key("skylarkpick resume token seed", &seed.to_be_bytes()))
    }
}

impl std::fmt::Debug for ResumeKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ResumeKey(hidden)")
    }
}

/// Why a token is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum ResumeTokenError {
    /// The text is not a token, was altered, or was made with another key.
    #[error("the resume token was not issued by this fleet, or was altered")]
    NotAuthentic,
    /// The token belongs to another client account.
    #[error("the resume token belongs to another client account")]
    OtherAccount,
    /// The token has expired.
    #[error("the resume token has expired")]
    Expired,
}

/// Encodes the claims and appends their digest.
pub(crate) fn sign_token(key: &ResumeKey, claims: &ResumeClaims) -> String {
    let mut content = claims.encode_to_vec();
    let mac = blake3::keyed_hash(&key.0, &content);
    content.extend_from_slice(mac.as_bytes());
    BASE64URL_NOPAD.encode(&content)
}

/// Verifies a token that `account` presents at `now`, and returns its claims. The digest is checked
/// before the claims are decoded.
pub(crate) fn verify_token(
    key: &ResumeKey,
    text: &str,
    account: &str,
    now: SystemTime,
) -> Result<ResumeClaims, ResumeTokenError> {
    let claims = verified_claims(key, text).ok_or(ResumeTokenError::NotAuthentic)?;
    if claims.account != account {
        return Err(ResumeTokenError::OtherAccount);
    }
    if unix_milliseconds(now) >= claims.expires_at_ms {
        return Err(ResumeTokenError::Expired);
    }
    Ok(claims)
}

fn verified_claims(key: &ResumeKey, text: &str) -> Option<ResumeClaims> {
    if text.len() > TOKEN_SIZE_LIMIT_BYTES {
        return None;
    }
    let content = BASE64URL_NOPAD.decode(text.as_bytes()).ok()?;
    let (claims, mac) = content.split_at_checked(content.len().checked_sub(MAC_SIZE_BYTES)?)?;
    let mac: [u8; MAC_SIZE_BYTES] = mac.try_into().ok()?;
    // `blake3::Hash` compares in constant time.
    if blake3::keyed_hash(&key.0, claims) != blake3::Hash::from_bytes(mac) {
        return None;
    }
    ResumeClaims::decode(claims).ok()
}

/// Milliseconds since the Unix epoch; 0 for an earlier time.
pub(crate) fn unix_milliseconds(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
