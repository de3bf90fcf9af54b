//! Discrete-event simulation of one trace under one routing policy.

mod admission;
mod directory;
mod event_queue;
mod faults;
mod requests;
mod runner;
mod setup;
mod simulation;
mod store;
mod transfers;

pub use admission::{AdmissionControl, AdmitAll, EntryAdmission, Verdict};
pub(crate) use setup::runner_names;
pub(crate) use simulation::{RequestRecord, Simulation, SimulationResult};
