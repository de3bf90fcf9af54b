//! Tracks the fleet: platform records, cache contents and weight rollouts.

mod applied_records;
mod cache_role;
mod cache_watch;
mod departed_targets;
mod desired_times;
mod entry_health;
mod evacuation_log;
mod evacuation_records;
mod lapsed_runners;
mod load_sampler;
mod lost_evacuations;
mod missing_entries;
mod missing_targets;
mod newest_record;
mod planner;
mod records;
mod retained_fetch;
mod retained_records;
mod serving_confirmer;
mod target_records;
mod topic_state;
mod topic_watch;
mod unaware_relays;
mod weight_recorder;
mod weight_records;
mod weight_times;

#[cfg(test)]
mod departed_tests;
#[cfg(test)]
mod entry_health_tests;
#[cfg(test)]
mod era_list_tests;
#[cfg(test)]
mod era_tests;
#[cfg(test)]
mod evacuation_tests;
#[cfg(test)]
mod missing_entries_tests;
#[cfg(test)]
mod planner_order_tests;
#[cfg(test)]
mod planner_restart_tests;
#[cfg(test)]
mod planner_tests;
#[cfg(test)]
mod serving_confirmer_tests;
#[cfg(test)]
mod several_changes_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod topic_watch_tests;
#[cfg(test)]
mod weight_start_tests;
#[cfg(test)]
mod weight_tests;

pub(crate) use cache_watch::{CacheWatchers, watch_caches};
pub(crate) use load_sampler::{LoadSampler, sample_loads};
pub(crate) use planner::{PlannerParts, run_planner};
pub(crate) use records::FleetRecords;
pub(crate) use retained_fetch::fetch_retained;
pub(crate) use serving_confirmer::ServingConfirmer;
pub(crate) use topic_watch::{FleetWatcher, watch_topic_from_start};
pub(crate) use weight_recorder::record_weights;
