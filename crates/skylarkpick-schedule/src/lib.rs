//! Routing, saving, queues, limits, retries and roll-out plans as pure decisions.

mod route;
mod saving;

pub use route::{
    Backlog, BeliefCorrection, Candidate, ContextPlan, DEFAULT_RULES, Holder, ImportPlan, NoRoute,
    PrefixView, Route, RouteRequest, Router, RoutingRules, SavedCopy, StoreCandidate,
};
pub use saving::{SaveDecision, SavedEntry, SavingPolicy, SavingSettings, StoreRoom};
