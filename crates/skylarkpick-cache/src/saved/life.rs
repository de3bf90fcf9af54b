//! Which news of a saved prefix count, and when a copy may be imported.

use skylarkpick_interface::{Generation, Manifest, ManifestState, PrefixKey, WeightVersion};

/// What is known of the newest save of one prefix in one store.
///
/// A save goes writing, sealed, retiring, freed and never back; a new save of the prefix has a
/// higher generation. News that would go back are late and dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SaveStatus {
    /// Number of the save.
    pub generation: Generation,
    /// Step in its life.
    pub state: ManifestState,
}

/// What became of a piece of news.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusUpdate {
    /// It is newer than what was known.
    Applied,
    /// It was known, or is about an older generation or an earlier step.
    Stale,
}

impl SaveStatus {
    /// Takes news in.
    ///
    /// ```
    /// use skylarkpick_cache::{StatusUpdate, SaveStatus};
    /// use skylarkpick_interface::ManifestState::{Retiring, Sealed};
    /// let mut life = SaveStatus { generation: 2, state: Retiring };
    /// assert_eq!(life.observe(2, Sealed), StatusUpdate::Stale);
    /// assert_eq!(life.observe(1, Sealed), StatusUpdate::Stale);
    /// assert_eq!(life.observe(3, Sealed), StatusUpdate::Applied);
    /// ```
    pub fn observe(&mut self, generation: Generation, state: ManifestState) -> StatusUpdate {
        if (generation, step(state)) <= (self.generation, step(self.state)) {
            return StatusUpdate::Stale;
        }
        *self = SaveStatus { generation, state };
        StatusUpdate::Applied
    }

    /// Whether the copy may be offered for an import.
    pub fn is_importable(&self) -> bool {
        self.state == ManifestState::Sealed
    }
}

fn step(state: ManifestState) -> u8 {
    match state {
        ManifestState::Writing => 0,
        ManifestState::Sealed => 1,
        ManifestState::Retiring => 2,
        ManifestState::Freed => 3,
    }
}

/// Why a pinned copy must not be imported.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ImportRefusal {
    /// The copy is not whole.
    #[error("the copy is not sealed")]
    NotSealed,
    /// The store holds another save by now.
    #[error("the copy has another generation")]
    OtherGeneration,
    /// The copy belongs to another client account.
    #[error("the copy belongs to another client account")]
    OtherAccount,
    /// The copy was computed with other weights.
    #[error("the copy was computed with other weights")]
    OtherWeights,
    /// The copy is not a start of the prompt.
    #[error("the copy is not a start of the prompt")]
    OtherBlocks,
}

/// Checks a pinned copy at the moment of use, against the request that wants it.
///
/// # Errors
/// With the first reason not to import it.
pub fn check_import(
    manifest: &Manifest,
    generation: Generation,
    account: &str,
    weight_version: WeightVersion,
    keys: &[PrefixKey],
) -> Result<(), ImportRefusal> {
    let prefix = &manifest.prefix;
    let own_last = prefix.prefix_keys.last() == Some(&prefix.prefix_key);
    if manifest.state != ManifestState::Sealed || manifest.digest.is_empty() {
        Err(ImportRefusal::NotSealed)
    } else if manifest.generation != generation {
        Err(ImportRefusal::OtherGeneration)
    } else if prefix.account != account {
        Err(ImportRefusal::OtherAccount)
    } else if prefix.weight_version != weight_version {
        Err(ImportRefusal::OtherWeights)
    } else if !own_last || !keys.starts_with(&prefix.prefix_keys) {
        Err(ImportRefusal::OtherBlocks)
    } else {
        Ok(())
    }
}
