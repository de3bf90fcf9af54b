//! Resume tokens: what names a stream under way, sealed against change.
//!
//! A token is the encoded [`ResumeClaims`] followed by a keyed BLAKE3 digest over them, as
//! base64url text. Every process that holds the key reads it; no state is shared.

use data_encoding::BASE64URL_NOPAD;
use prost::Message;
use skylarkpick_protocol::resume::ResumeClaims;
use std::time::{Duration, SystemTime};

/// Bytes of the digest.
const MAC_SIZE_BYTES: usize = 32;
/// Longest text that is read as a token.
const TOKEN_SIZE_LIMIT_BYTES: usize = 4_096;

/// The key that seals resume tokens. Entry processes that share it resume each other's streams.
#[derive(Clone)]
pub struct ResumeKey([u8; 32]);

impl ResumeKey {
    /// Derives the key from a secret of the fleet.
    ///
    /// ```
    /// let key = skylarkpick_entry::ResumeKey::from_secret(b"32 or more random bytes of a fleet");
    /// assert_eq!(format!("{key:?}"), "ResumeKey(hidden)");
    /// ```
    pub fn from_secret(secret: &[u8]) -> ResumeKey {
        ResumeKey(blake3::derive_key("skylarkpick resume token key", secret))
    }

    /// Derives a key for one process alone.
    pub(crate) fn from_seed(seed: u64) -> ResumeKey {
        ResumeKey(blake3::derive_key("skylarkpick resume token seed", &seed.to_be_bytes()))
    }
}

impl std::fmt::Debug for ResumeKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ResumeKey(hidden)")
    }
}

/// Why a token is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum ResumeTokenError {
    /// The text is no token, was altered, or was sealed with another key.
    #[error("the resume token is not one of this fleet, or was altered")]
    NotSealed,
    /// The token belongs to another client account.
    #[error("the resume token belongs to another client account")]
    OtherAccount,
    /// The time to resume is over.
    #[error("the resume token has expired")]
    Expired,
}

/// Makes a token.
pub(crate) fn seal_token(key: &ResumeKey, claims: &ResumeClaims) -> String {
    let mut content = claims.encode_to_vec();
    let mac = blake3::keyed_hash(&key.0, &content);
    content.extend_from_slice(mac.as_bytes());
    BASE64URL_NOPAD.encode(&content)
}

/// Reads a token that `account` shows at `now`. The seal is checked before anything is decoded.
pub(crate) fn open_token(
    key: &ResumeKey,
    text: &str,
    account: &str,
    now: SystemTime,
) -> Result<ResumeClaims, ResumeTokenError> {
    let claims = open_seal(key, text).ok_or(ResumeTokenError::NotSealed)?;
    if claims.account != account {
        return Err(ResumeTokenError::OtherAccount);
    }
    if unix_milliseconds(now) >= claims.expires_at_ms {
        return Err(ResumeTokenError::Expired);
    }
    Ok(claims)
}

fn open_seal(key: &ResumeKey, text: &str) -> Option<ResumeClaims> {
    if text.len() > TOKEN_SIZE_LIMIT_BYTES {
        return None;
    }
    let content = BASE64URL_NOPAD.decode(text.as_bytes()).ok()?;
    let (claims, mac) = content.split_at_checked(content.len().checked_sub(MAC_SIZE_BYTES)?)?;
    let mac: [u8; MAC_SIZE_BYTES] = mac.try_into().ok()?;
    // Digests are compared in constant time.
    if blake3::keyed_hash(&key.0, claims) != blake3::Hash::from_bytes(mac) {
        return None;
    }
    ResumeClaims::decode(claims).ok()
}

/// Wall-clock time as tokens carry it.
pub(crate) fn unix_milliseconds(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
