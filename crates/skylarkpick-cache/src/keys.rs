//! Keys of prompt prefixes.
//!
//! A prompt is split into blocks of [`BLOCK_SIZE_BYTES`]. The key of a block is a digest of the
//! scope (client account, model, adapter, weight version), the digest of the previous block, and
//! the block's own bytes. Equal keys therefore imply equal content from the first byte on.

use skylarkpick_interface::{AccountId, AdapterName, ModelName, PrefixKey, WeightVersion};

/// Size of a block of a prompt.
pub const BLOCK_SIZE_BYTES: usize = 1_024;
/// Tokens that a block counts as.
pub const BLOCK_TOKENS: u64 = 256;
/// Average size of a token.
const BYTES_PER_TOKEN: usize = 4;

/// Scope of prefix keys: only prompts with equal scopes may share blocks.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KeyScope {
    /// Client account that owns the text.
    pub account: AccountId,
    /// Model that computes the blocks.
    pub model: ModelName,
    /// Adapter over the model.
    pub adapter: Option<AdapterName>,
    /// Weights that compute the blocks.
    pub weight_version: WeightVersion,
}

/// Estimates the number of tokens of a text from its length.
///
/// ```
/// assert_eq!(skylarkpick_cache::estimate_tokens("eight by"), 2);
/// ```
pub fn estimate_tokens(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the keys of the complete blocks of a prompt, in order.
///
/// ```
/// use skylarkpick_cache::{BLOCK_SIZE_BYTES, KeyScope, prefix_keys};
/// let scope = |account: &str| KeyScope {
///     account: account.to_string(),
///     model: "model".to_string(),
///     adapter: None,
///     weight_version: 1,
/// };
/// let prompt = "x".repeat(2 * BLOCK_SIZE_BYTES + 1);
/// let keys = prefix_keys(&scope("one"), &prompt);
/// assert_eq!(keys.len(), 2);
/// assert_ne!(keys, prefix_keys(&scope("other"), &prompt));
/// ```
pub fn prefix_keys(scope: &KeyScope, prompt: &str) -> Vec<PrefixKey> {
    let mut previous = scope_digest(scope);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_SIZE_BYTES)
        .map(|block| {
            previous = block_digest(&previous, block);
            first_half(&previous)
        })
        .collect()
}

fn scope_digest(scope: &KeyScope) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_derive_key("skylarkpick prefix key scope");
    let adapter = scope.adapter.as_deref();
    for text in [scope.account.as_str(), scope.model.as_str(), adapter.unwrap_or_default()] {
        hasher.update(&(text.len() as u64).to_be_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(&[u8::from(adapter.is_some())]);
    hasher.update(&scope.weight_version.to_be_bytes());
    *hasher.finalize().as_bytes()
}

fn block_digest(previous: &[u8; 32], block: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(previous);
    hasher.update(block);
    *hasher.finalize().as_bytes()
}

fn first_half(digest: &[u8; 32]) -> PrefixKey {
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    PrefixKey::from_be_bytes(half)
}
