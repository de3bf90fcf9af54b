//! The rollout planner of a data centre: orders its runners to load the desired weight version.
//!
//! Every entry process runs a planner, and only the holder of the data centre's lease sends orders.
//! Each reconciliation pass plans from the active configuration alone, so a patch in the middle of
//! a rollout needs no special handling.

mod handle;
mod load_slots;
mod order;
mod reconciler;
#[cfg(test)]
mod tests;

pub(crate) use handle::Planner;
pub use handle::{LeaseState, PlannerState};
