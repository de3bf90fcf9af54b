//! Decides which requests start, wait or are refused.

mod gate;

pub use gate::{Admission, AdmissionDecision, AdmissionRequest, Refusal, RefusalReason, Verdict};

#[cfg(test)]
mod tests;
