//! Tracks the status of a saved prefix, and decides whether a copy may be imported.

use skylarkpick_interface::{Generation, Manifest, ManifestState, PrefixKey, WeightVersion};

/// Status of the newest save of one prefix in one store.
///
/// A save goes through the states writing, sealed, retiring and freed, and never back. A new save
/// of the prefix has a higher generation. Updates that would go back are stale and ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SaveStatus {
    /// Generation of the save.
    pub generation: Generation,
    /// State of the save.
    pub state: ManifestState,
}

/// Result of applying an update to a [`SaveStatus`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusUpdate {
    /// The update was newer than the status and was applied.
    Applied,
    /// The update was not newer than the status and was ignored.
    Stale,
}

impl SaveStatus {
    /// Applies an update if it is newer.
    ///
    /// ```
    /// use skylarkpick_cache::{SaveStatus, StatusUpdate};
    /// use skylarkpick_interface::ManifestState::{Retiring, Sealed};
    /// let mut status = SaveStatus { generation: 2, state: Retiring };
    /// assert_eq!(status.observe(2, Sealed), StatusUpdate::Stale);
    /// assert_eq!(status.observe(1, Sealed), StatusUpdate::Stale);
    /// assert_eq!(status.observe(3, Sealed), StatusUpdate::Applied);
    /// ```
    pub fn observe(&mut self, generation: Generation, state: ManifestState) -> StatusUpdate {
        if (generation, step_of(state)) <= (self.generation, step_of(self.state)) {
            return StatusUpdate::Stale;
        }
        *self = SaveStatus { generation, state };
        StatusUpdate::Applied
    }

    /// Returns whether the copy may be imported.
    pub fn is_importable(&self) -> bool {
        self.state == ManifestState::Sealed
    }
}

fn step_of(state: ManifestState) -> u8 {
    match state {
        ManifestState::Writing => 0,
        ManifestState::Sealed => 1,
        ManifestState::Retiring => 2,
        ManifestState::Freed => 3,
    }
}

/// Why a pinned copy can't be imported.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ImportRefusal {
    /// The copy is incomplete or no longer valid.
    #[error("the copy is not sealed")]
    NotSealed,
    /// The store now holds another save of the prefix.
    #[error("the copy has another generation")]
    OtherGeneration,
    /// The copy belongs to another client account.
    #[error("the copy belongs to another client account")]
    OtherAccount,
    /// The copy was computed with other weights.
    #[error("the copy was computed with other weights")]
    OtherWeights,
    /// The copy is not a prefix of the prompt.
    #[error("the copy is not a prefix of the prompt")]
    OtherBlocks,
}

/// Checks a pinned copy against the request that wants to import it.
///
/// # Errors
/// Returns the first reason not to import the copy.
pub fn check_import(
    manifest: &Manifest,
    generation: Generation,
    account: &str,
    weight_version: WeightVersion,
    keys: &[PrefixKey],
) -> Result<(), ImportRefusal> {
    let prefix = &manifest.prefix;
    let has_own_last_key = prefix.prefix_keys.last() == Some(&prefix.prefix_key);
    if manifest.state != ManifestState::Sealed || manifest.digest.is_empty() {
        Err(ImportRefusal::NotSealed)
    } else if manifest.generation != generation {
        Err(ImportRefusal::OtherGeneration)
    } else if prefix.account != account {
        Err(ImportRefusal::OtherAccount)
    } else if prefix.weight_version != weight_version {
        Err(ImportRefusal::OtherWeights)
    } else if !has_own_last_key || !keys.starts_with(&prefix.prefix_keys) {
        Err(ImportRefusal::OtherBlocks)
    } else {
        Ok(())
    }
}
