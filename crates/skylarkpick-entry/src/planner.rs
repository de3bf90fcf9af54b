//! The roll-out planner of a data centre: brings its runners to the wanted weights.
//!
//! Every entry process runs one; the one that holds the data centre's lease acts. It decides anew
//! from the configuration in force at each look, so patches in the middle of a roll-out need no
//! special care.

mod handle;
mod loads;
mod look;
mod order;
#[cfg(test)]
mod tests;

pub(crate) use handle::Planner;
pub use handle::{LeaseState, PlannerState};
