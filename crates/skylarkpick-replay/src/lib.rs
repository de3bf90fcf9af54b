//! Traces, their generator, and replay of the routing policy in virtual time.
//!
//! Replay drives the router, the saving policy and the transfer queue that entry processes run
//! against small fakes of runners, stores and links. It has no sockets, threads or clock: two
//! replays of a trace give the same figures.

mod engine;
mod generate;
mod measure;
mod outcome;
mod policy;
mod replay;
mod report;
mod trace;

pub use engine::{AdmissionControl, AdmitAll, EntryAdmission, Verdict};
pub use generate::{FleetName, TraceKind, generate_trace};
pub use measure::{Floors, Metrics};
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
