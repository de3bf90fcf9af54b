//! Reverse proxy that forwards requests byte for byte to targets, and the process that runs it.
//!
//! [`Node::spawn`] starts a process on trait objects only: the platform's records and objects, the
//! codec of request and response heads, and the control calls to targets. Placement, retry budgets
//! and rollout plans come from `skylarkpick-schedule`.

mod brittle;
#[cfg(test)]
mod brittle_tests;
mod brittle_use;
mod client;
mod cold;
#[cfg(test)]
mod cold_tests;
mod connection_pool;
#[cfg(test)]
mod connection_pool_tests;
mod crashes;
mod evacuations;
#[cfg(test)]
mod evacuations_tests;
mod fair_turns;
#[cfg(test)]
mod fair_turns_tests;
mod fleet;
mod forwarding;
mod hand_over;
mod jitter;
mod log;
#[cfg(test)]
mod log_tests;
mod machine;
#[cfg(test)]
mod machine_tests;
mod newest_version;
mod node;
mod node_state;
#[cfg(test)]
mod node_state_tests;
mod pauses;
#[cfg(test)]
mod pauses_tests;
mod peers;
mod readiness;
#[cfg(test)]
mod retry_budget_tests;
mod serving_index;
mod streams;
mod target_speeds;
#[cfg(test)]
mod test_support;

pub use node::{Node, NodeParts};
