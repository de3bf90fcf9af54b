//! A randomized soak test: injects faults into a fleet of real processes under load, and checks
//! what clients received and what targets ran.

mod brittle_checks;
#[cfg(test)]
mod brittle_tests;
mod brittle_times;
mod change_checks;
#[cfg(test)]
mod change_tests;
mod checks;
mod clients;
mod crash_checks;
#[cfg(test)]
mod crash_tests;
mod cut_checks;
#[cfg(test)]
mod cut_tests;
mod ended_targets;
mod faulty_answers;
mod history;
mod limit_checks;
mod network;
mod operator;
mod part_checks;
mod plan;
mod process;
mod proxy;
mod repeated_requests;
mod request_checks;
mod return_checks;
mod run;
mod setup;
mod signal_checks;
#[cfg(test)]
mod signal_tests;
mod store_faults;
mod stream_checks;
mod target;
mod target_changes;
mod target_links;
#[cfg(test)]
mod test_history;

pub use checks::Finding;
pub use network::LoopbackNetwork;
pub use run::{SoakReport, SoakSettings, run_seed};

#[cfg(test)]
mod proxy_tests;
#[cfg(test)]
mod tests;
