//! What stands before routing.

mod entry;

pub use entry::EntryAdmission;

use crate::trace::TraceRequest;
use std::time::Duration;

/// What becomes of a request that arrives or waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is routed now.
    Start,
    /// It waits until [`AdmissionControl::release`] names it.
    Wait,
    /// It is refused and not run.
    Refuse,
}

/// Queues and limits before routing, driven with the time since the start of the replay.
pub trait AdmissionControl {
    /// Decides about a request that arrives at an entry process; `number` names it from now on.
    fn offer(
        &mut self,
        entry: usize,
        number: usize,
        request: &TraceRequest,
        now: Duration,
    ) -> Verdict;

    /// Notes that a request that was started has ended.
    fn ended(&mut self, number: usize, now: Duration);

    /// Verdicts that are due about requests that waited, in this order.
    fn release(&mut self, now: Duration) -> Vec<(usize, Verdict)>;

    /// Runners that should get nothing more now from the request's entry process.
    fn full(&self, _number: usize) -> Vec<String> {
        Vec::new()
    }

    /// Notes that a run was sent to a runner.
    fn run_began(&mut self, _number: usize, _runner: &str) {}

    /// Notes that a run has its first token, having waited so long beside its own computation.
    fn first_token(&mut self, _number: usize, _waited: Duration, _now: Duration) {}

    /// Notes that a run has ended; `failed` when the runner did not answer.
    fn run_ended(&mut self, _number: usize, _failed: bool, _now: Duration) {}
}

/// Starts every request as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmitAll;

impl AdmissionControl for AdmitAll {
    fn offer(&mut self, _: usize, _: usize, _: &TraceRequest, _: Duration) -> Verdict {
        Verdict::Start
    }

    fn ended(&mut self, _: usize, _: Duration) {}

    fn release(&mut self, _: Duration) -> Vec<(usize, Verdict)> {
        Vec::new()
    }
}
