//! Traces, their generator, and replay of the routing policy in virtual time.
//!
//! A replay runs the router, the saving policy and the transfer queue of the entry processes in a
//! discrete-event simulation of runners, stores and links. It uses no sockets, threads or clock, so
//! two replays of a trace return the same metrics.

mod engine;
mod generate;
mod metrics;
mod outcome;
mod policy;
mod replay;
mod report;
mod trace;

pub use engine::{AdmissionControl, AdmitAll, EntryAdmission, Verdict};
pub use generate::{FleetName, TraceKind, generate_trace};
pub use metrics::{Floors, Metrics};
pub use outcome::{Metric, Outcome, OutcomeCheck, Reference};
pub use policy::PolicyName;
pub use replay::{ReplayOptions, ReplayReport, replay_trace};
pub use report::{html_report, text_table};
pub use trace::{
    Fault, FaultKind, Fleet, FleetDataCentre, FleetStore, GeneratorSettings, Trace, TraceError,
    TraceRequest, parse_faults, parse_trace, write_trace,
};

#[cfg(test)]
mod tests;
