//! Routing, queues, limits, retries and roll-out plans as pure decisions.

mod router;

pub use router::{Candidate, NoRoute, Route, RouteRequest, Router};
