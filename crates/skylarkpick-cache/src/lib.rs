//! Prefix keys, the prefix directory and the life of a saved prefix.

mod directory;
mod keys;

pub use directory::Directory;
pub use keys::{BLOCK_SIZE_BYTES, BLOCK_TOKENS, KeyScope, estimate_tokens, prefix_keys};
