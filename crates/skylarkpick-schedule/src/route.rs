//! Routing: chooses a runner for a request and how the runner gets the cached context of the
//! prompt.
//!
//! This is the older of the two deciders; see [`crate::Placement`] for the newer one.

mod backlog;
mod candidate;
mod cost;
mod imports;
mod observe;
mod options;
mod pending;
mod router;
mod rules;
mod types;
mod view;

pub use backlog::Backlog;
pub use candidate::{Candidate, StoreCandidate};
pub use router::Router;
pub use rules::{DEFAULT_RULES, RoutingRules};
pub use types::{CacheMismatch, ContextPlan, ImportPlan, NoRoute, Route, RouteRequest};
pub use view::{Holder, PrefixView, SavedCopy};

#[cfg(test)]
mod tests;
