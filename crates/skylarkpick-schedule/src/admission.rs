//! Admission control: decides which requests start, wait or are refused.

mod control;

pub use control::{
    Admission, AdmissionDecision, AdmissionRequest, QueueDecision, Refusal, RefusalReason,
};

#[cfg(test)]
mod tests;
