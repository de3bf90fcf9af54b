//! A request of a client while it is forwarded.

use crate::{crashes::CausePermit, fair_turns::FairTurn, node_state::InFlightGuard};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use skylarkpick_interface::{
    ClientAttemptId, CrashCause, PartNumber, Repeatability, RequestHead, RequestNumber,
    ResponseKind, ServiceName, ServingAccount, ServingRoute, SoftwareVersion, TargetId,
};
use skylarkpick_schedule::{PlacementRequest, UnplacedReason};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Maximum number of attempts of a request beyond the runs that its route allows. Rejected attempts
/// are not runs, but each of them costs a round trip.
const EXTRA_ATTEMPTS_LIMIT: u32 = 2;
/// Longest expected wait that is compared with the time left: estimates of longer waits are rough,
/// and capacity may become free earlier.
const CAPACITY_WAIT_STEP: Duration = Duration::from_millis(50);
/// Part of the list of a prompt's parts that is logged.
const LOGGED_PARTS_CHARACTERS: usize = 120;

/// Accepted request and the state of its attempts.
pub(crate) struct ActiveRequest {
    pub(crate) received: Instant,
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    /// Path and query, unchanged.
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// URI and headers as the client sent them.
    pub(super) client_uri: Uri,
    pub(super) client_headers: HeaderMap,
    pub(crate) route: Arc<ServingRoute>,
    pub(crate) account: Option<Arc<ServingAccount>>,
    pub(crate) deadline: Instant,
    pub(super) placement_request: PlacementRequest,
    /// Number that its repeats have too.
    pub(crate) number: RequestNumber,
    /// What may be the reason if it ends targets: itself, and the parts of its prompt in order, without
    /// the one that is its own.
    pub(crate) causes: Vec<CrashCause>,
    /// Right to send it, if it may end targets.
    pub(crate) cause_permit: Option<CausePermit>,
    /// Wall-clock time in Unix milliseconds before which its last attempt was not sent.
    pub(crate) sent_after_ms: u64,
    /// Share of the latency objective for which the request may wait for capacity.
    pub(super) capacity_wait_share: f64,
    /// Whether the request has waited for capacity.
    pub(super) has_waited: bool,
    /// Its turn among the requests that wait for capacity.
    pub(super) turn: FairTurn,
    /// Version of the serving document that the request was checked against.
    pub(super) serving_version: u64,
    /// Whether another process has handed the request over.
    pub(super) is_taken_over: bool,
    /// Attempts of the process that did, which may have reached a target.
    pub(super) sends_elsewhere: u32,
    /// Whether it has been counted as a first attempt in the retry budget.
    pub(super) is_counted: bool,
    /// Attempts that may have reached a target.
    pub(super) sends: u32,
    /// Attempts that may have run.
    pub(super) runs: u32,
    pub(super) _in_flight: InFlightGuard,
}

impl ActiveRequest {
    /// Returns the priority rank at the targets; 0 is the most urgent.
    pub(crate) fn rank(&self) -> u8 {
        self.account.as_ref().and_then(|account| account.rank).unwrap_or(self.route.rank)
    }

    /// Returns whether another runner may continue the response stream.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.shape == ResponseKind::Events
            && self.route.repeatability == Repeatability::Repeatable
    }

    /// Returns whether the client came back for the rest of a stream that may be resumed.
    pub(super) fn is_resumed_by_client(&self) -> bool {
        self.is_resumable() && self.head.resume_after.is_some()
    }

    /// Returns the attempt that brought the first event of the response stream.
    pub(crate) fn stream_attempt(&self) -> &ClientAttemptId {
        let resumed = self.head.resumed_attempt.as_ref();
        resumed.filter(|_| self.head.resume_after.is_some()).unwrap_or(&self.head.attempt_id)
    }

    /// Returns the service that the request goes to.
    pub(crate) fn service(&self) -> &ServiceName {
        &self.placement_request.service
    }

    /// Returns whether requests of the route go to no other service.
    pub(crate) fn has_only_service(&self) -> bool {
        self.route.destinations.len() == 1
    }

    /// Returns whether an attempt may have run.
    pub(crate) fn has_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether an attempt may have reached a target.
    pub(crate) fn is_sent(&self) -> bool {
        self.sends > 0
    }

    /// Returns the parts of the prompt in order, without the one that is the request's own.
    pub(crate) fn shared_parts(&self) -> impl Iterator<Item = PartNumber> + '_ {
        self.causes.iter().filter_map(|cause| match cause {
            CrashCause::Part(part) => Some(*part),
            CrashCause::Request(_) => None,
        })
    }

    /// Restricts further attempts to targets on a software version.
    pub(crate) fn bind_to_version(&mut self, version: SoftwareVersion) {
        self.placement_request.software_version = Some(version);
    }

    /// Excludes a target from further attempts.
    pub(crate) fn avoid(&mut self, target: &TargetId) {
        self.placement_request.avoid.push(target.clone());
    }

    /// Returns its number as logs have it.
    pub(crate) fn logged_number(&self) -> String {
        format!("{:016x}", self.number)
    }

    /// Returns the start of the list of the prompt's parts, without the one that is the request's own.
    pub(crate) fn logged_parts(&self) -> String {
        let parts = self.head.prompt.as_ref().map_or(&[][..], |prompt| &prompt.parts);
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let ids: Vec<&str> = shared.iter().map(|part| part.id.as_str()).collect();
        ids.join(",").chars().take(LOGGED_PARTS_CHARACTERS).collect()
    }

    /// Returns the time up to which the request may wait for a target with capacity. A later start
    /// would miss the latency objective.
    pub(super) fn waits_until(&self) -> Instant {
        self.received + self.route.target_latency.mul_f64(self.capacity_wait_share)
    }

    /// Returns whether the request can wait until it may be placed.
    pub(super) fn may_wait_for(&self, why: UnplacedReason) -> bool {
        if self.turn.is_shed() {
            return false;
        }
        let wait = match why {
            UnplacedReason::Full { wait } if self.placement_request.prompt.is_some() => {
                wait.min(CAPACITY_WAIT_STEP)
            }
            // Once it waits, those that came after it don't count.
            UnplacedReason::NoPlace { wait: Some(_) } if self.has_waited => Duration::ZERO,
            UnplacedReason::NoPlace { wait: Some(wait) } => wait,
            _ => return false,
        };
        Instant::now() + wait < self.waits_until()
    }

    fn may_run_again(&self) -> bool {
        let may_repeat = self.route.repeatability == Repeatability::Repeatable;
        self.runs == 0 || (may_repeat && self.runs < self.route.attempts_limit)
    }

    pub(super) fn may_send_again(&self) -> bool {
        self.sends < self.route.attempts_limit + EXTRA_ATTEMPTS_LIMIT && self.may_run_again()
    }
}
