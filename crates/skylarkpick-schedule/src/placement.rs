//! Where a request that is passed on goes: which target, with which weights, and where the
//! context of its prompt comes from.
//!
//! Answers both the ordinary load, where context decides, and the load of a burst or of lost
//! targets, where the backlog does.

mod centres;
mod cost;
mod outdated;
mod parts;
mod place;
mod target;
#[cfg(test)]
mod tests;
mod types;
mod weights;

pub use outdated::{OutdatedPartFinder, OutdatedParts};
pub use parts::{CacheKind, CacheView, PartDirectory, PartFingerprint, PartKey};
pub use place::Placement;
pub use target::{TargetOutcome, TargetView};
pub use types::{Assignment, PlacementDecision, PlacementPrompt, PlacementRequest, UnplacedReason};
pub use weights::DesiredWeightsView;
