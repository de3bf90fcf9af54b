//! Traces: a fleet, the requests that meet it, faults and stated outcomes.

mod fleet;
mod lines;
mod parse;

pub use fleet::{Fleet, FleetDataCentre, FleetStore};
pub use lines::{Fault, FaultKind, GeneratorSettings, TraceRequest};
pub use parse::{TraceError, parse_faults, parse_trace, write_trace};

use crate::outcome::Outcome;

/// A whole trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Name, for tables.
    pub name: String,
    /// What it is about, in a sentence.
    pub description: String,
    /// Sizes of the fleet.
    pub fleet: Fleet,
    /// How its requests were made, if a generator made them.
    pub generated: Option<GeneratorSettings>,
    /// Requests in the order of their arrival.
    pub requests: Vec<TraceRequest>,
    /// Faults by their beginning.
    pub faults: Vec<Fault>,
    /// What has to hold.
    pub outcomes: Vec<Outcome>,
}
