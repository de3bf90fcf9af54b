//! Traces: a fleet, the requests sent to it, faults and expected outcomes.

mod fleet;
mod lines;
mod parse;

pub use fleet::{Fleet, FleetDataCentre, FleetStore};
pub use lines::{Fault, FaultKind, GeneratorSettings, TraceRequest};
pub use parse::{TraceError, parse_faults, parse_trace, write_trace};

use crate::outcome::Outcome;

/// A workload that can be replayed, with the outcomes that are expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Name, as shown in reports.
    pub name: String,
    /// Description in one sentence.
    pub description: String,
    /// Sizes and speeds of the fleet.
    pub fleet: Fleet,
    /// Parameters of the generator, if the trace was generated.
    pub generated: Option<GeneratorSettings>,
    /// Requests, in the order of their arrival.
    pub requests: Vec<TraceRequest>,
    /// Faults, in the order of their start.
    pub faults: Vec<Fault>,
    /// Outcomes that are expected to hold.
    pub outcomes: Vec<Outcome>,
}
