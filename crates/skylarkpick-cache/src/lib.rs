//! Prefix keys, the directory of cached prefixes, and the status of saved prefixes.

mod directory;
mod keys;
mod saved;

pub use directory::{
    CacheEventsQuery, RunnerChange, RunnerHolder, RunnerPrefixIndex, StoreCopy, StorePrefixIndex,
};
pub use keys::{BLOCK_SIZE_BYTES, BLOCK_TOKENS, KeyScope, estimate_tokens, prefix_keys};
pub use saved::{ImportRefusal, SaveStatus, StatusUpdate, check_import};
