//! What stands before routing.

use crate::trace::TraceRequest;
use std::time::Instant;

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is routed now.
    Start,
    /// It waits until [`Admission::release`] names it.
    Wait,
    /// It is refused and not run.
    Refuse,
}

/// Queues and limits before routing, driven with the time of the replay.
pub trait Admission {
    /// Decides about a request that arrives; `number` names it from now on.
    fn offer(&mut self, number: usize, request: &TraceRequest, now: Instant) -> Verdict;

    /// Notes that a request that was started has ended.
    fn ended(&mut self, number: usize, now: Instant);

    /// Requests that waited and are routed now, in this order.
    fn release(&mut self, now: Instant) -> Vec<usize>;
}

/// Starts every request as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmitAll;

impl Admission for AdmitAll {
    fn offer(&mut self, _: usize, _: &TraceRequest, _: Instant) -> Verdict {
        Verdict::Start
    }

    fn ended(&mut self, _: usize, _: Instant) {}

    fn release(&mut self, _: Instant) -> Vec<usize> {
        Vec::new()
    }
}
