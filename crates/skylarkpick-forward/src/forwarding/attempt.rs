//! One attempt to run a request at one target.

use super::{
    active_request::ActiveRequest,
    forwarder::{Forwarder, SHORT_BODY_BYTES},
};
use crate::{
    connection_pool::{Connection, SendError},
    node_state::AssignmentGuard,
};
use bytes::Bytes;
use http::{Request, StatusCode, Uri, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use skylarkpick_http::{BodyEnd, BodyStart, MeteredBody, describe, read_body_start};
use skylarkpick_interface::{
    EventId, LimitSignal, Repeatability, RequestMetadata, ResponseKind, ResponseMetadata,
};
use skylarkpick_schedule::{Assignment, TargetOutcome};
use skylarkpick_telemetry::{REJECTIONS_RECEIVED, metrics};
use std::time::Duration;
use tokio::time::{Instant, error::Elapsed};

/// Size above which a response body is forwarded while it arrives: at once by its content length, or
/// after as many bytes without one. All other bodies are buffered completely before they are
/// forwarded.
const BUFFERED_BODY_LIMIT_BYTES: usize = 1_048_576;
/// Maximum idle time of a connection for a request that may run only once. If the target had closed
/// the connection in the meantime, it would be unknown whether the request ran.
const ONCE_IDLE_LIMIT: Duration = Duration::from_millis(1_000);
/// Maximum idle time of a connection for any other request.
const REPEATABLE_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Longest wait for the body of a rejection, without which its connection is not reused.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// Size limit of the body of a rejection, beyond which its connection is not reused. A rejection
/// carries at most a short text.
const REJECTION_BODY_LIMIT_BYTES: usize = 16_384;

/// Largest status of HTTP. The parser of heads takes any from 100 to 999.
const MAX_STATUS: u16 = 599;

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// No byte of the request left this process.
    NotSent(String),
    /// The same, since the target or the evidence against the request no longer allowed it.
    HeldBack(String),
    /// The target reported that it did not run the request.
    NotRun {
        metadata: ResponseMetadata,
        /// Whether the request may be sent there again: the target named its weights, and those are not
        /// older than the request's.
        may_run_there: bool,
    },
    /// The target responded with a status that promises a client that its request has not run, but did
    /// not say so itself. The request may have run.
    UnstatedRejection(StatusCode),
    /// The request may have run, but there is no valid response.
    NoValidResponse(String),
    /// The response had not started when the weights became too old. The request may have run, since
    /// it may have started while it was withdrawn.
    Withdrawn(String),
    /// The request's deadline passed before there was a response.
    TimedOut,
    /// The response is complete.
    Complete(CompleteResponse),
    /// The response has begun; the rest of its body is still to be read.
    Streaming(Box<StreamingResponse>),
}

impl AttemptOutcome {
    /// Returns the value of the metrics tag.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            AttemptOutcome::NotSent(_) => "not_sent",
            AttemptOutcome::HeldBack(_) => "held_back",
            AttemptOutcome::NotRun { .. } => "not_run",
            AttemptOutcome::UnstatedRejection(_) => "unstated",
            AttemptOutcome::NoValidResponse(_) => "broken",
            AttemptOutcome::Withdrawn(_) => "withdrawn",
            AttemptOutcome::TimedOut => "timed_out",
            AttemptOutcome::Complete(_) => "whole",
            AttemptOutcome::Streaming(_) => "begun",
        }
    }
}

/// Complete response of a target.
pub(crate) struct CompleteResponse {
    pub(crate) head: Parts,
    pub(crate) content: Bytes,
    pub(crate) end: BodyEnd,
}

impl CompleteResponse {
    /// Returns whether the target answered, and marked the end of its answer.
    pub(crate) fn is_whole_answer(&self) -> bool {
        self.head.status.is_success() && self.end == BodyEnd::Proven
    }
}

/// Response of a target whose body is forwarded while it arrives.
pub(crate) struct StreamingResponse {
    pub(crate) head: Parts,
    pub(crate) metadata: ResponseMetadata,
    /// First part of the body. It is read before the response to the client begins, so that an
    /// earlier failure can still be retried.
    pub(crate) first: Option<Bytes>,
    pub(crate) body: MeteredBody,
    pub(crate) connection: Connection,
    pub(crate) guard: AssignmentGuard,
}

/// One attempt to run a request at one target.
pub(crate) struct Attempt<'a> {
    pub(crate) forwarder: &'a Forwarder,
    pub(crate) request: &'a ActiveRequest,
    pub(crate) guard: AssignmentGuard,
    pub(crate) resume_after: Option<EventId>,
}

impl Attempt<'_> {
    /// Sends the request and reads the response: completely, or its beginning if it is streamed.
    pub(crate) async fn run(mut self) -> AttemptOutcome {
        let (connection, head, body) = match self.before_start(self.send()).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return self.handle_send_error(error),
            Err(outcome) => return outcome,
        };
        let metadata = self.forwarder.dialect.read_response(&head);
        self.note_signals(&metadata);
        if let Err(why) = self.validate(&head, &metadata, connection.is_reused) {
            self.log_response("invalid", &connection, head.status, &metadata);
            self.guard.outcome = TargetOutcome::Failed;
            return AttemptOutcome::NoValidResponse(why);
        }
        self.observe(&metadata);
        if metadata.is_not_run || promises_not_run(head.status) {
            let kind = if metadata.is_not_run { "not_run" } else { "unstated" };
            metrics().count(&REJECTIONS_RECEIVED, &[("kind", kind)]);
            self.log_response(kind, &connection, head.status, &metadata);
        }
        if metadata.is_not_run {
            return self.handle_rejection(connection, head.status, body, metadata).await;
        }
        if promises_not_run(head.status) {
            self.guard.outcome = target_outcome(head.status);
            return AttemptOutcome::UnstatedRejection(head.status);
        }
        if self.request.route.shape == ResponseKind::Events && head.status.is_success() {
            return self.begin_event_stream(connection, head, metadata, body).await;
        }
        self.read_complete(connection, head, metadata, body).await
    }

    /// Takes a step before the run's start. Returns an outcome if the run must no longer start. Its
    /// connection is closed then, on which the target drops a request that still waits.
    async fn before_start<T>(&self, step: impl Future<Output = T>) -> Result<T, AttemptOutcome> {
        tokio::select! {
            biased;
            result = step => Ok(result),
            () = tokio::time::sleep_until(self.request.deadline) => Err(AttemptOutcome::TimedOut),
            () = self.guard.wait_for_expiry() => {
                Err(AttemptOutcome::Withdrawn("its weights became too old".to_string()))
            }
            () = self.forwarder.crashes.wait_until_withheld(self.request) => {
                Err(AttemptOutcome::Withdrawn("it ends targets".to_string()))
            }
        }
    }

    async fn send(&self) -> Result<(Connection, Parts, MeteredBody), SendError> {
        let idle_limit = match self.request.route.repeatability {
            Repeatability::Once => ONCE_IDLE_LIMIT,
            Repeatability::Repeatable => REPEATABLE_IDLE_LIMIT,
        };
        let mut connection = self.connect(idle_limit).await?;
        let http_request = self.http_request()?;
        let response = match connection.send(http_request).await {
            Err(error @ SendError::NotSent(_)) if connection.is_reused => {
                self.log_send_error(&connection, &error);
                self.forwarder.node_state.note_broken_connection(&self.guard.assignment);
                // The target closed the idle connection; try a new one.
                connection = self.connect(Duration::ZERO).await?;
                connection.send(self.http_request()?).await
            }
            response => response,
        };
        let response = response.inspect_err(|error| self.log_send_error(&connection, error))?;
        let (head, body) = response.into_parts();
        Ok((connection, head, body))
    }

    /// Returns a connection to the target, unless since it was chosen it has asked for a pause, the
    /// request was blamed, or the share in its limit has no room.
    async fn connect(&self, idle_limit: Duration) -> Result<Connection, SendError> {
        let (pool, address) = (&self.forwarder.pool, self.guard.assignment.address);
        let began = self.forwarder.node_state.now();
        let attempt_id = &self.request.head.attempt_id;
        let connected = pool.connect(address, attempt_id, idle_limit).await;
        self.note_reach(&connected, began).await;
        let connection = connected?;
        if connection.follows_broken {
            self.forwarder.node_state.note_broken_connection(&self.guard.assignment);
        }
        let error = if self.forwarder.node_state.pause_rest(&address).is_some() {
            SendError::Paused
        } else if self.forwarder.crashes.is_withheld(self.request) {
            SendError::Withheld
        } else if !self.forwarder.node_state.take_share(&self.guard.assignment) {
            SendError::Limited
        } else {
            return Ok(connection);
        };
        // The time for which a reused connection may be idle has begun before.
        if !connection.is_reused {
            pool.release(connection, None);
        }
        Err(error)
    }

    /// Records whether the target takes new connections.
    async fn note_reach(&self, connected: &Result<Connection, SendError>, began: Duration) {
        let (reach, service) = (&self.forwarder.reach, self.request.service());
        match connected {
            Ok(connection) if !connection.is_reused => reach.note_connected(service),
            Err(SendError::NotConnected { failure, .. }) => {
                self.forwarder.node_state.note_not_connected(&self.guard.assignment, *failure);
                let target = &self.guard.assignment.target;
                reach.note_failed(service, target, *failure, began).await;
            }
            _ => {}
        }
    }

    fn http_request(&self) -> Result<Request<Full<Bytes>>, SendError> {
        let (request, assignment) = (self.request, &self.guard.assignment);
        let metadata = RequestMetadata {
            deadline: request.deadline.saturating_duration_since(Instant::now()),
            target: assignment.target.clone(),
            account: request.account.as_ref().map(|account| account.account.clone()),
            rank: Some(request.rank()),
            weight_version: assignment.weight_version,
            cache_scope: assignment.cache_scope.clone(),
            fetch: assignment.fetch.clone(),
            save: assignment.save.clone(),
            resume_after: self.resume_after.or(request.head.resume_after),
        };
        let mut http_request = Request::new(Full::new(request.body.clone()));
        *http_request.method_mut() = request.method.clone();
        *http_request.uri_mut() = request.path.parse::<Uri>().map_err(not_sent)?;
        *http_request.headers_mut() =
            self.forwarder.dialect.write_request(&request.head, &metadata);
        Ok(http_request)
    }

    /// Checks that the response has a status of HTTP, belongs to this request and is signed by the target.
    fn validate(
        &self,
        head: &Parts,
        metadata: &ResponseMetadata,
        is_reused: bool,
    ) -> Result<(), String> {
        if head.status.as_u16() > MAX_STATUS {
            return Err(format!("{} is no status of HTTP", head.status.as_u16()));
        }
        // A target that rejects a request before it has read its ID may not name it. On a connection
        // that is in use again, such a response may as well be a late copy of an earlier one.
        let may_lack_id = metadata.is_not_run && !is_reused;
        let belongs = match &metadata.attempt_id {
            Some(id) => *id == self.request.head.attempt_id,
            None => may_lack_id,
        };
        if !belongs {
            return Err(format!("the response is for {:?}", metadata.attempt_id));
        }
        if head.status.is_success() && !metadata.is_signed {
            return Err("the response is not signed".to_string());
        }
        if head.status.is_informational() {
            return Err(format!("unexpected status {}", head.status));
        }
        Ok(())
    }

    /// Applies what the target asks for. That holds also if the response belongs to another request.
    fn note_signals(&self, metadata: &ResponseMetadata) {
        let assignment = &self.guard.assignment;
        if metadata.target.as_ref().is_none_or(|responder| *responder == assignment.target) {
            let request = &self.request.head.attempt_id;
            let node_state = &self.forwarder.node_state;
            node_state.note_signals(assignment, request, &metadata.signals);
            let is_own = metadata.attempt_id.as_ref() == Some(request);
            if is_own && metadata.signals.limit == LimitSignal::None {
                node_state.note_no_limit(assignment, self.guard.sent_at());
            }
            if is_own && let Some(remaining) = metadata.signals.cold_remaining {
                node_state.note_cold_report(assignment, remaining, self.guard.sent_at());
            }
            if is_own && metadata.signals.brittle.is_none() {
                node_state.note_not_brittle(assignment, self.guard.sent_at());
            }
        }
    }

    fn observe(&self, metadata: &ResponseMetadata) {
        let Assignment { target, started_at_ms, .. } = &self.guard.assignment;
        if let Some(load) = metadata.load {
            self.forwarder.node_state.observe_load(target, load);
        }
        if let (Some(version), Some(prompt)) = (metadata.weight_version, &self.request.head.prompt)
        {
            self.forwarder.node_state.observe_weights(
                target,
                *started_at_ms,
                &prompt.model,
                version,
            );
        }
    }

    fn handle_send_error(&mut self, error: SendError) -> AttemptOutcome {
        self.guard.outcome = match error {
            SendError::OwnFailure(_) => TargetOutcome::NotSent,
            _ if error.is_held_back() => TargetOutcome::NotSent,
            _ => TargetOutcome::Unreachable,
        };
        match error {
            SendError::Paused | SendError::Withheld | SendError::Limited => {
                AttemptOutcome::HeldBack(error.to_string())
            }
            SendError::OwnFailure(why) => AttemptOutcome::NotSent(why),
            SendError::NotConnected { why, .. } | SendError::NotSent(why) => {
                self.forwarder.pool.close(&self.guard.assignment.address);
                AttemptOutcome::NotSent(why)
            }
            SendError::Broken(why) => AttemptOutcome::NoValidResponse(why),
        }
    }

    async fn handle_rejection(
        mut self,
        connection: Connection,
        status: StatusCode,
        mut body: MeteredBody,
        metadata: ResponseMetadata,
    ) -> AttemptOutcome {
        let is_other_target =
            metadata.target.as_ref().is_some_and(|target| *target != self.guard.assignment.target);
        // A target names its weights in all responses, not only if it rejects a request for them.
        let had_no_room = status == StatusCode::SERVICE_UNAVAILABLE
            && self.forwarder.node_state.is_brittle(&self.guard.assignment.target);
        let may_run_there = metadata.weight_version.is_some()
            && metadata.weight_version >= self.guard.assignment.weight_version
            && !had_no_room;
        self.guard.outcome = match (is_other_target, may_run_there) {
            (true, _) => TargetOutcome::Unreachable,
            (_, true) => TargetOutcome::Unknown,
            _ => TargetOutcome::Rejected,
        };
        if self.guard.outcome == TargetOutcome::Rejected {
            let request = &self.request.head.attempt_id;
            let node_state = &self.forwarder.node_state;
            node_state.note_rejection(&self.guard.assignment, request, metadata.load);
        }
        // The connection is reused only if the rest of the response arrives almost immediately.
        let until = Instant::now() + REJECTION_BODY_TIMEOUT;
        if let Ok(Ok(start)) = self.read_start(&mut body, REJECTION_BODY_LIMIT_BYTES, until).await
            && start.is_complete
            && body.end() == BodyEnd::Proven
            && !metadata.closes
        {
            self.forwarder.pool.release(connection, metadata.idle_limit);
        }
        AttemptOutcome::NotRun { metadata, may_run_there }
    }

    /// Reads a body to its end or until it is too large to be buffered.
    async fn read_start(
        &self,
        body: &mut MeteredBody,
        size_limit_bytes: usize,
        until: Instant,
    ) -> Result<Result<BodyStart, hyper::Error>, Elapsed> {
        let mut share = self.forwarder.buffers.share_after(SHORT_BODY_BYTES);
        let reading = read_body_start(body, size_limit_bytes, &mut share);
        let start = tokio::time::timeout_at(until, reading).await?;
        Ok(start.map(|it| BodyStart { content: share.hold(it.content), ..it }))
    }

    async fn read_complete(
        mut self,
        connection: Connection,
        head: Parts,
        metadata: ResponseMetadata,
        mut body: MeteredBody,
    ) -> AttemptOutcome {
        let first = if body.size_hint().lower() > BUFFERED_BODY_LIMIT_BYTES as u64 {
            None
        } else {
            let deadline = self.request.deadline;
            match self.read_start(&mut body, BUFFERED_BODY_LIMIT_BYTES, deadline).await {
                Ok(Ok(BodyStart { content, is_complete: true })) => {
                    self.guard.outcome = target_outcome(head.status);
                    let end = body.end();
                    if !metadata.closes && end == BodyEnd::Proven {
                        self.forwarder.pool.release(connection, metadata.idle_limit);
                    }
                    return AttemptOutcome::Complete(CompleteResponse { head, content, end });
                }
                Ok(Ok(start)) => Some(start.content),
                Ok(Err(error)) => {
                    self.forwarder.node_state.note_broken_connection(&self.guard.assignment);
                    self.guard.outcome = TargetOutcome::Failed;
                    return AttemptOutcome::NoValidResponse(describe(&error));
                }
                Err(_) => return AttemptOutcome::TimedOut,
            }
        };
        let guard = self.guard;
        let response = StreamingResponse { head, metadata, first, body, connection, guard };
        AttemptOutcome::Streaming(Box::new(response))
    }

    async fn begin_event_stream(
        mut self,
        connection: Connection,
        head: Parts,
        metadata: ResponseMetadata,
        mut body: MeteredBody,
    ) -> AttemptOutcome {
        let first = match self.before_start(body.frame()).await {
            Err(outcome) => return outcome,
            Ok(Some(Ok(frame))) => frame.into_data().ok(),
            Ok(None) if body.end() == BodyEnd::Unproven && self.begins_repeatable_stream() => {
                self.guard.outcome = TargetOutcome::Failed;
                let why = "the connection was closed before the first event".to_string();
                return AttemptOutcome::NoValidResponse(why);
            }
            Ok(None) => None,
            Ok(Some(Err(error))) => {
                self.forwarder.node_state.note_broken_connection(&self.guard.assignment);
                self.guard.outcome = TargetOutcome::Failed;
                return AttemptOutcome::NoValidResponse(describe(&error));
            }
        };
        self.guard.note_first_response();
        let guard = self.guard;
        AttemptOutcome::Streaming(Box::new(StreamingResponse {
            head,
            metadata,
            first,
            body,
            connection,
            guard,
        }))
    }
}

impl Attempt<'_> {
    /// Returns whether the response has to hold the first event of a stream that may be begun again.
    fn begins_repeatable_stream(&self) -> bool {
        let is_begun = self.resume_after.or(self.request.head.resume_after).is_some();
        self.request.is_resumable() && !is_begun
    }
}

/// Returns whether a response with this status promises its client that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns what a complete response means for the health of its target.
fn target_outcome(status: StatusCode) -> TargetOutcome {
    if status.is_server_error() { TargetOutcome::Failed } else { TargetOutcome::Served }
}

fn not_sent(error: impl std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string())
}
