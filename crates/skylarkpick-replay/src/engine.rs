//! Discrete event replay of one trace under one policy.

mod admission;
mod agenda;
mod beliefs;
mod faults;
mod links;
mod requests;
mod runner;
mod setup;
mod store;
mod world;

pub use admission::{AdmissionControl, AdmitAll, EntryAdmission, Verdict};
pub(crate) use setup::runner_names;
pub(crate) use world::{Played, RequestRecord, World};
