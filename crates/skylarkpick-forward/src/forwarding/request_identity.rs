//! Identity of a request: what it has in common with its repeats.

use http::Method;
use ring::digest::{Context, SHA256};
use skylarkpick_interface::{AccountId, RequestNumber};

/// First field of all digests, so that no other use of the digest yields the same numbers.
const DOMAIN: &[u8] = b"skylarkpick request";

/// Who sent a request, as far as that is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Caller<'a> {
    Account(&'a AccountId),
    Key(&'a str),
    Unknown,
}

/// Returns the number of a request, which its repeats have at every process. A collision that a caller
/// finds never concerns another one, since the digest covers the caller.
///
/// The attempt's ID, the deadline and the description of the prompt are no part of it.
pub(crate) fn request_number(
    method: &Method,
    path: &str,
    caller: Caller<'_>,
    body: &[u8],
) -> RequestNumber {
    let (kind, name): (&[u8], &str) = match caller {
        Caller::Account(account) => (b"account", account),
        Caller::Key(key) => (b"key", key),
        Caller::Unknown => (b"unknown", ""),
    };
    let mut digest = Context::new(&SHA256);
    for field in [DOMAIN, method.as_str().as_bytes(), path.as_bytes(), kind, name.as_bytes(), body]
    {
        // With its length, so that no two lists of fields are the same bytes.
        digest.update(&(field.len() as u64).to_le_bytes());
        digest.update(field);
    }
    let digest = digest.finish();
    let first = digest.as_ref().first_chunk().copied().unwrap_or_default();
    RequestNumber::from_be_bytes(first)
}
