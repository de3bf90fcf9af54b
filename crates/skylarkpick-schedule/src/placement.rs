//! Placement: chooses the target of a forwarded request, its weight version, and the caches from
//! which the context of its prompt is fetched.
//!
//! Under ordinary load, cached context decides. In a burst or after the loss of targets, queue
//! lengths do.

mod answer_time;
mod brittle;
#[cfg(test)]
mod brittle_place_tests;
#[cfg(test)]
mod brittle_tests;
#[cfg(test)]
mod brittle_word_tests;
mod cold;
#[cfg(test)]
mod cold_tests;
mod cost;
mod entry_history;
#[cfg(test)]
mod entry_history_tests;
mod estimate;
mod evacuation;
#[cfg(test)]
mod evacuation_tests;
mod excess;
#[cfg(test)]
mod excess_tests;
mod heard;
#[cfg(test)]
mod limit_tests;
mod limits;
#[cfg(test)]
mod load_tests;
mod memory;
mod outdated;
mod parts;
#[cfg(test)]
mod pause_tests;
mod places;
#[cfg(test)]
mod places_tests;
mod policy;
mod reachability;
mod selection;
mod signals;
#[cfg(test)]
mod spread_tests;
mod target;
mod target_speed;
#[cfg(test)]
mod target_speed_load_tests;
#[cfg(test)]
mod target_speed_tests;
#[cfg(test)]
mod test_fleet;
#[cfg(test)]
mod tests;
mod timing;
mod types;
mod waiting;
mod weights;

pub use heard::LimitChange;
pub use memory::MemorySample;
pub use outdated::{OutdatedPartFinder, OutdatedParts};
pub(crate) use parts::rendezvous_weight;
pub use parts::{CacheKind, CacheView, PartDirectory, PartFingerprint, PartKey};
pub use policy::PlacementPolicy;
pub use selection::Placement;
pub use target::{TargetOutcome, TargetView};
pub use target_speed::{SpeedChange, SpeedLearning, SpeedSummary};
pub use types::{
    Assignment, PlacementDecision, PlacementPrompt, PlacementRequest, PlannedTransfer,
    UnplacedReason,
};
pub use waiting::WaitingRequests;
pub use weights::DesiredWeightsView;
