//! Decides which requests start, wait or are refused.

mod gate;

pub use gate::{
    Admission, AdmissionDecision, AdmissionRequest, QueueDecision, Refusal, RefusalReason,
};

#[cfg(test)]
mod tests;
