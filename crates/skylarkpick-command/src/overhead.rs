//! Measures the latency that an entry process adds to the time to first token.

mod client;
mod fleet;
mod measure;
mod report;

pub(crate) use measure::{OverheadPlan, run};
