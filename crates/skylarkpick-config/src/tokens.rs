//! Hashes of access tokens. The configuration contains only hashes, never a token.

/// Hexadecimal digest of a token.
pub type TokenHash = String;

/// Hashes a token for storage or comparison.
///
/// ```
/// let hash = skylarkpick_config::hash_token("a token");
/// assert_eq!(hash.len(), 64);
/// ```
pub fn hash_token(token: &str) -> TokenHash {
    blake3::derive_key("skylarkpick access token", token.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
