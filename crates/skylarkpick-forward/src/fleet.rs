//! Follows the platform's records and what caches tell.

mod caches;
mod confirm;
mod entries;
mod follow;
mod lapses;
mod plan;
mod reading;
mod record;

#[cfg(test)]
mod tests;

pub(crate) use caches::{CacheFollowers, follow_caches};
pub(crate) use confirm::ServingConfirmer;
pub(crate) use follow::{FleetFollower, follow_topic};
pub(crate) use plan::{PlannerParts, run_planner};
pub(crate) use record::Recorder;
