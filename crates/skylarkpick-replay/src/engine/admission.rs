//! Admission control: the queues and limits that a request passes before it is routed.

mod entry;

pub use entry::EntryAdmission;

use crate::trace::TraceRequest;
use std::time::Duration;

/// Admission decision about a request that arrives or waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request is routed now.
    Start,
    /// The request waits until [`AdmissionControl::advance`] returns a verdict for it.
    Wait,
    /// The request is rejected without being run.
    Refuse,
}

/// Queues and limits that a request passes before it is routed.
///
/// All times are measured from the start of the replay.
pub trait AdmissionControl {
    /// Decides whether to start a request that arrives at an entry process. The other methods
    /// identify the request by `number`.
    fn admit(
        &mut self,
        entry: usize,
        number: usize,
        request: &TraceRequest,
        now: Duration,
    ) -> Verdict;

    /// Records that an admitted request has ended.
    fn request_ended(&mut self, number: usize, now: Duration);

    /// Returns the verdicts that are due for waiting requests, in the order to apply them.
    fn advance(&mut self, now: Duration) -> Vec<(usize, Verdict)>;

    /// Returns the runners that have reached the in-flight limit that the entry process of the
    /// request sets them.
    fn full_runners(&self, _number: usize) -> Vec<String> {
        Vec::new()
    }

    /// Records that a run was sent to a runner.
    fn run_started(&mut self, _number: usize, _runner: &str) {}

    /// Records the first token of a run. `waited` is the time from routing to the first token
    /// without the prefill of the run.
    fn first_token(&mut self, _number: usize, _waited: Duration, _now: Duration) {}

    /// Records that a run has ended; `failed` means that the runner did not respond.
    fn run_ended(&mut self, _number: usize, _failed: bool, _now: Duration) {}
}

/// Admission control that starts every request on arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmitAll;

impl AdmissionControl for AdmitAll {
    fn admit(&mut self, _: usize, _: usize, _: &TraceRequest, _: Duration) -> Verdict {
        Verdict::Start
    }

    fn request_ended(&mut self, _: usize, _: Duration) {}

    fn advance(&mut self, _: Duration) -> Vec<(usize, Verdict)> {
        Vec::new()
    }
}
