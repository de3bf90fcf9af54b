//! Chooses a runner for a request and the way in which the runner gets the request's context.

mod backlog;
mod candidate;
mod cost;
mod imports;
mod observe;
mod pending;
mod router;
mod rules;
mod types;
mod view;
mod ways;

pub use backlog::Backlog;
pub use candidate::{Candidate, StoreCandidate};
pub use router::Router;
pub use rules::{DEFAULT_RULES, RoutingRules};
pub use types::{CacheMismatch, ContextPlan, ImportPlan, NoRoute, Route, RouteRequest};
pub use view::{Holder, PrefixView, SavedCopy};

#[cfg(test)]
mod tests;
