//! Decides which requests start, wait or are refused.

mod gate;

pub use gate::{Admission, AdmissionRequest, Admitted, Refusal, RefusalReason, Verdict};

#[cfg(test)]
mod tests;
