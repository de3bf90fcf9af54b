//! Revisions of the platform's records across returns of its store from an older copy.

use serde::{Deserialize, Serialize};

/// Number of times that the platform's store has come back from an older copy of its records. What
/// it acknowledged after the copy was made is lost, and it issues the revisions since then again.
pub type StoreEra = u64;

/// Revision of the platform's records. Revisions of a later era come after all earlier ones, whatever
/// their numbers.
///
/// ```
/// use skylarkpick_interface::StoreRevision;
/// let before = StoreRevision { era: 1, number: 90 };
/// let after = StoreRevision { era: 2, number: 50 };
/// assert!(before < after);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreRevision {
    /// Era in which the store issued the number. 0 for a store that names none, and in messages of
    /// processes that don't know eras.
    #[serde(default)]
    pub era: StoreEra,
    /// Number that the store issued; increases with each change within an era.
    #[serde(rename = "revision")]
    pub number: u64,
}

impl std::fmt::Display for StoreRevision {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{}.{}", self.era, self.number)
    }
}
