//! Forwards requests: checks them, sends them to targets with retries, and returns the response.

use super::{
    active_request::ActiveRequest,
    attempt::{Attempt, AttemptOutcome, CompleteResponse, StreamingResponse},
    hand_over::mark_refused,
    request_body::{BodyBudget, Kept, RequestBodyError, time_allowed},
    request_identity::{Caller, request_number},
    response::{
        ClientBody, GatewayError, ResponseDeadline, close_connection, end_with_connection,
        full_body, unsized_body,
    },
    response_stream::{ResponseStream, milliseconds},
};
use crate::{
    connection_pool::ConnectionPool,
    crashes::{AttemptTarget, CrashWatch, Withheld},
    fleet::ServingConfirmer,
    hand_over::{HandOverTerms, OriginWatch, ReachWatch, Refusal},
    log::{age_ms, request_log, transfer_sources},
    node_state::NodeState,
    peers::PeerClient,
    serving_index::{ServingIndex, pick_destination},
    streams::StreamRegistry,
};
use futures::stream;
use http::{Request, Response, StatusCode, request::Parts, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use skylarkpick_http::{BodyEnd, BufferBudget, READ_BUFFER_LIMIT_BYTES, ReadBodyError};
use skylarkpick_interface::{
    CrashCause, DataCentreId, Dialect, EventId, HeadError, RequestHead, ResponseMetadata,
    ServiceName, ServingAccount, ServingRoute, TargetControl, TargetId,
};
use skylarkpick_schedule::{
    PlacementDecision, PlacementPrompt, PlacementRequest, UnplacedReason, part_number,
};
use skylarkpick_telemetry::{
    REQUESTS_ANSWER_START, REQUESTS_ANSWERED, RETRIES_DECIDED, SENDS_ENDED, STREAMS_RESUMED,
    metrics,
};
use std::{
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};
use tokio::time::Instant;

/// Maximum body size until a serving document sets one.
const BODY_LIMIT_BYTES: usize = 4 * 1_048_576;
/// Bytes of response bodies that are buffered at once. With all else that the 360 connections hold
/// that a target accepts, they fit into a machine with 88 MB. A body that finds no room is forwarded
/// while it arrives.
pub(crate) const BUFFERED_TOTAL_LIMIT_BYTES: usize = 8 * 1_048_576;
/// Bytes of each body for which there is always room: half a read buffer, 6 MB for 360 connections.
pub(crate) const SHORT_BODY_BYTES: usize = READ_BUFFER_LIMIT_BYTES / 2;
/// Shared parts of a prompt that are judged. Prompts have a few; the head of a request has room for
/// thousands.
const SHARED_PARTS_LIMIT: usize = 64;
/// Expected wait if there is no estimate.
pub(crate) const UNKNOWN_WAIT: Duration = Duration::from_millis(300);

/// Forwards the requests of a process.
pub(crate) struct Forwarder {
    pub(crate) node_state: Arc<NodeState>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) crashes: Arc<CrashWatch>,
    pub(crate) buffers: BufferBudget,
    pub(crate) bodies: BodyBudget,
    pub(crate) confirmer: ServingConfirmer,
    pub(crate) data_centre: DataCentreId,
    pub(crate) streams: Arc<StreamRegistry>,
    pub(crate) control: Arc<dyn TargetControl>,
    pub(crate) reach: Arc<ReachWatch>,
    pub(crate) peer_client: Arc<PeerClient>,
    /// Requests of other processes that this one serves.
    pub(crate) taken_over: Arc<AtomicUsize>,
}

/// Result of sending a request with retries.
pub(super) enum SendResult {
    Complete(CompleteResponse),
    Streaming(Box<StreamingResponse>),
    /// Another process has responded.
    HandedOver(Response<ClientBody>),
    /// There is no response of a target, for the reason given in the text.
    Failed(GatewayError, String),
}

impl Forwarder {
    /// Handles a request of a client. A dropped response body means that the client has
    /// disconnected.
    pub(crate) async fn handle(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<ClientBody> {
        self.respond(request, None).await
    }

    /// Responds to a request, which another process, which is watched, has handed over with these terms,
    /// if any.
    pub(super) async fn respond(
        self: &Arc<Self>,
        request: Request<Incoming>,
        taken_over: Option<(HandOverTerms, &OriginWatch)>,
    ) -> Response<ClientBody> {
        let arrived = Instant::now();
        let elapsed = taken_over.map_or(Duration::ZERO, |(terms, _)| terms.elapsed());
        let received = arrived.checked_sub(elapsed).unwrap_or(arrived);
        let (head, body) = request.into_parts();
        let mut response = match self.prepare(&head, body, received).await {
            Ok(mut request) => {
                if let Some((terms, origin)) = &taken_over {
                    request.take_over(terms);
                    if request.is_resumable() {
                        origin.begin(&request.head.attempt_id, terms);
                    }
                }
                self.forward(request).await
            }
            Err((attempt_id, error, why)) => {
                count_response("none", error.status(), received);
                request_log!("request rejected", kv: {
                    request = attempt_id.as_str(),
                    status = error.status().as_u16(),
                    why = why.as_str(),
                    serving_version = self.node_state.serving().map_or(0, |it| it.version()),
                    took_ms = milliseconds(received.elapsed()),
                });
                let mut response = error.response(&*self.dialect, &attempt_id, rand::random());
                if taken_over.is_some() {
                    mark_refused(&mut response, &error, false);
                }
                response
            }
        };
        if self.node_state.is_draining() {
            close_connection(response.headers_mut());
        }
        response
    }

    /// Checks a request against the serving document and reads its body.
    async fn prepare(
        &self,
        parts: &Parts,
        body: Incoming,
        received: Instant,
    ) -> Result<ActiveRequest, (String, GatewayError, String)> {
        let head = self.dialect.read_request(parts).map_err(|error| {
            let closes = error == HeadError::NoAttemptId;
            (String::new(), rejected(StatusCode::BAD_REQUEST, closes), error.to_string())
        })?;
        let attempt_id = head.attempt_id.clone();
        let fail = |error: GatewayError, why: &str| (attempt_id.clone(), error, why.to_string());
        let limit = self
            .node_state
            .serving()
            .map_or(BODY_LIMIT_BYTES, |serving| serving.limits().body_size_bytes);
        if body.size_hint().lower() > limit as u64 {
            self.note_refused_body(&head, "too_large", received);
            return Err(fail(too_large(), "the content length exceeds the limit"));
        }
        let authorized = self.authorize(&head, parts).await;
        let (kept, deadline) = match &authorized {
            Ok((_, route, _)) => (Kept::Content, Some(received + time_allowed(&head, route))),
            Err(_) => (Kept::Nothing, None),
        };
        let body = self.read_request_body(parts, body, limit, kept, deadline).await;
        let body = body.map_err(|error| {
            self.note_refused_body(&head, error.reason(), received);
            fail(body_failure(&error), &error.to_string())
        })?;
        let (serving, route, account) = authorized.map_err(|(error, why)| fail(error, &why))?;
        let timeout = time_allowed(&head, &route);
        let service = pick_destination(&route.destinations, rand::random())
            .map(|destination| destination.service.clone())
            .unwrap_or_default();
        let placement_request =
            self.placement_request(&head, &route, account.as_deref(), service, timeout);
        let prompt_parts = head.prompt.as_ref().map_or(&[][..], |prompt| &prompt.parts);
        let shared = prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared = shared.iter().take(SHARED_PARTS_LIMIT);
        let shared_parts = shared.map(|part| CrashCause::Part(part_number(&part.id)));
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
        let caller = match (&account, &head.key) {
            (Some(account), _) => Caller::Account(&account.account),
            (None, Some(key)) => Caller::Key(key),
            (None, None) => Caller::Unknown,
        };
        let number = request_number(&parts.method, &path, caller, &body);
        let turn = self.node_state.fair_turns.open_turn(
            serving.uses_keys(),
            account.as_deref(),
            &placement_request,
            received + route.target_latency,
        );
        let causes = std::iter::once(CrashCause::Request(number)).chain(shared_parts).collect();
        Ok(ActiveRequest {
            received,
            number,
            method: parts.method.clone(),
            path,
            body,
            client_uri: parts.uri.clone(),
            client_headers: parts.headers.clone(),
            route,
            account,
            deadline: received + timeout,
            placement_request,
            causes,
            cause_permit: None,
            sent_after_ms: 0,
            capacity_wait_share: self.node_state.lock().placement.policy().capacity_wait_share,
            serving_version: serving.version(),
            has_waited: false,
            turn,
            is_taken_over: false,
            sends_elsewhere: 0,
            is_counted: false,
            sends: 0,
            runs: 0,
            _in_flight: self.node_state.track_request(),
            head,
        })
    }

    /// Finds the route and the client account. If there is none, the current serving document is
    /// fetched before the request is rejected, since the known one may be outdated.
    async fn authorize(
        &self,
        head: &RequestHead,
        parts: &Parts,
    ) -> Result<
        (Arc<ServingIndex>, Arc<ServingRoute>, Option<Arc<ServingAccount>>),
        (GatewayError, String),
    > {
        let retry_later = || GatewayError::RetryLater { wait: UNKNOWN_WAIT };
        let Some(serving) = self.node_state.serving() else {
            return Err((retry_later(), "no serving document yet".to_string()));
        };
        match find_route(&serving, head, parts) {
            Ok((route, account)) => return Ok((serving, route, account)),
            Err(_) if self.confirmer.confirm().await => {}
            Err(status) => {
                let why = format!("{status}, but the serving document may be outdated");
                return Err((retry_later(), why));
            }
        }
        let serving = self.node_state.serving().unwrap_or(serving);
        let (route, account) = find_route(&serving, head, parts).map_err(|status| {
            (rejected(status, false), "no matching route or account".to_string())
        })?;
        Ok((serving, route, account))
    }

    fn placement_request(
        &self,
        head: &RequestHead,
        route: &ServingRoute,
        account: Option<&ServingAccount>,
        service: ServiceName,
        timeout: Duration,
    ) -> PlacementRequest {
        let isolated = account.filter(|account| account.is_isolated);
        PlacementRequest {
            service,
            data_centre: self.data_centre.clone(),
            prompt: head.prompt.as_ref().map(|prompt| PlacementPrompt {
                model: prompt.model.clone(),
                parts: prompt.parts.clone(),
                prompt_tokens: prompt.prompt_tokens,
                answer_tokens_limit: prompt.answer_tokens_limit,
                isolated_account: isolated.map(|account| account.account.clone()),
            }),
            rank: account.and_then(|account| account.rank).unwrap_or(route.rank),
            is_continuation: false,
            software_version: None,
            avoid: Vec::new(),
            max_wait: timeout.min(route.timeout),
        }
    }

    /// Sends the request to targets until one responds, and returns its response to the client.
    async fn forward(self: &Arc<Self>, mut request: ActiveRequest) -> Response<ClientBody> {
        // Streams go on at the software version that the process which reaches the targets knows.
        if self.reach.is_cut_off(request.service()) {
            let last = not_tried(&request);
            let result = self.hand_over(&mut request, false, last).await;
            return self.respond_with(request, result);
        }
        let is_resumed_by_client = request.is_resumed_by_client();
        if is_resumed_by_client {
            request_log!("client resumes a stream", kv: {
                request = request.head.attempt_id.as_str(),
                resumed_attempt = request.head.resumed_attempt.as_deref().unwrap_or("unknown"),
                after = request.head.resume_after.unwrap_or_default(),
            });
        }
        let result = match self.bind_resumed_stream(&mut request).await {
            Ok(()) => self.send_with_retries(&mut request, None).await,
            Err(result) => result,
        };
        if is_resumed_by_client {
            count_resumed("client", matches!(result, SendResult::Streaming(_)));
        }
        self.respond_with(request, result)
    }

    /// Returns the response with the result of a request.
    fn respond_with(
        self: &Arc<Self>,
        request: ActiveRequest,
        result: SendResult,
    ) -> Response<ClientBody> {
        match result {
            SendResult::Complete(completed) => {
                count_response(&request.route.name, completed.head.status, request.received);
                request_log!("response forwarded", kv: {
                    request = request.head.attempt_id.as_str(),
                    status = completed.head.status.as_u16(),
                    body_end = completed.end.name(),
                    sends = request.sends,
                    took_ms = milliseconds(request.received.elapsed()),
                });
                let body = match completed.end {
                    BodyEnd::Proven => full_body(completed.content),
                    BodyEnd::Unproven => unsized_body(completed.content),
                };
                self.client_response(&completed.head, body, completed.end)
            }
            SendResult::Streaming(streaming) => {
                count_response(&request.route.name, streaming.head.status, request.received);
                request_log!("response started", kv: {
                    request = request.head.attempt_id.as_str(),
                    status = streaming.head.status.as_u16(),
                    body_end = streaming.body.end().name(),
                    sends = request.sends,
                    weight_version = streaming.guard.assignment.weight_version.unwrap_or_default(),
                    newer_weights_age_ms = age_ms(streaming.guard.newer_weights_age()),
                    took_ms = milliseconds(request.received.elapsed()),
                });
                let (head, end) = (streaming.head.clone(), streaming.body.end());
                let deadline = ResponseDeadline(request.deadline);
                let source = ResponseStream::open(self.clone(), request, streaming);
                let frames = stream::unfold(source, |mut source| async move {
                    let bytes = source.next().await?;
                    Some((bytes.map(Frame::data), source))
                });
                let body = BodyExt::boxed_unsync(StreamBody::new(frames));
                let mut response = self.client_response(&head, body, end);
                response.extensions_mut().insert(deadline);
                response
            }
            SendResult::HandedOver(response) => self.handed_over_response(&request, response),
            SendResult::Failed(error, why) => self.failed(&request, &error, &why),
        }
    }

    fn handed_over_response(
        &self,
        request: &ActiveRequest,
        response: Response<ClientBody>,
    ) -> Response<ClientBody> {
        count_response(&request.route.name, response.status(), request.received);
        request_log!("response of another entry process started", kv: {
            request = request.head.attempt_id.as_str(),
            status = response.status().as_u16(),
            took_ms = milliseconds(request.received.elapsed()),
        });
        response
    }

    /// Returns the response to a request that has none of a target.
    fn failed(
        &self,
        request: &ActiveRequest,
        error: &GatewayError,
        why: &str,
    ) -> Response<ClientBody> {
        count_response(&request.route.name, error.status(), request.received);
        request_log!("request failed", kv: {
            request = request.head.attempt_id.as_str(),
            status = error.status().as_u16(),
            why,
            sends = request.sends,
            runs = request.runs,
            serving_version = request.serving_version,
            took_ms = milliseconds(request.received.elapsed()),
        });
        let attempt_id = &request.head.attempt_id;
        let mut response = error.response(&*self.dialect, attempt_id, rand::random());
        if request.is_taken_over {
            mark_refused(&mut response, error, request.sends > request.sends_elsewhere);
        }
        response
    }

    /// Returns a response with the head of a target's response. A body whose end is not proven ends
    /// with the connection to the client too.
    pub(super) fn client_response(
        &self,
        head: &response::Parts,
        body: ClientBody,
        end: BodyEnd,
    ) -> Response<ClientBody> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = self.dialect.response_headers(&head.headers);
        Refusal::remove(response.headers_mut());
        if end == BodyEnd::Unproven {
            end_with_connection(&mut response);
        }
        response
    }

    /// Resumes a stream at another runner. Returns `None` if no runner continues it.
    pub(crate) async fn resume(
        &self,
        request: &mut ActiveRequest,
        after: Option<EventId>,
    ) -> Option<Box<StreamingResponse>> {
        if !request.may_send_again() {
            return None;
        }
        request.placement_request.is_continuation = true;
        let response = match self.send_with_retries(request, after).await {
            SendResult::Streaming(response) if response.head.status.is_success() => Some(response),
            _ => None,
        };
        count_resumed("entry", response.is_some());
        response
    }

    /// Sends the request to targets until one returns a final response, or no further attempt is
    /// possible.
    async fn send_with_retries(
        &self,
        request: &mut ActiveRequest,
        resume_after: Option<EventId>,
    ) -> SendResult {
        let mut last = not_tried(request);
        // Another process may have used up its attempts, by an older serving document.
        if !request.may_send_again() {
            return last;
        }
        loop {
            if self.reach.is_cut_off(request.service()) {
                return self.hand_over(request, resume_after.is_some(), last).await;
            }
            if let Err(Withheld { wait }) = self.crashes.admit(request).await {
                if request.has_run() {
                    return last;
                }
                let why = "it may end targets".to_string();
                return SendResult::Failed(GatewayError::RetryLater { wait }, why);
            }
            let (placement_request, has_waited) = (&request.placement_request, request.has_waited);
            let decision =
                self.node_state.choose_in_turn(placement_request, has_waited, &mut request.turn);
            let assignment = match decision {
                PlacementDecision::Assigned(assignment) => assignment,
                PlacementDecision::Unplaced(why) if request.may_wait_for(why) => {
                    if !std::mem::replace(&mut request.has_waited, true) {
                        request_log!("request waits for capacity", kv: {
                            request = request.head.attempt_id.as_str(),
                            service = request.placement_request.service.as_str(),
                            rank = request.rank(),
                            expected_wait_ms = milliseconds(why.wait().unwrap_or_default()),
                        });
                    }
                    let until = request.waits_until();
                    let (placement_request, turn) = (&request.placement_request, &mut request.turn);
                    self.node_state.wait_in_turn(placement_request, until, turn).await;
                    continue;
                }
                PlacementDecision::Unplaced(UnplacedReason::NoPlace { wait: None }) => {
                    return self.hand_over_for_place(request, resume_after.is_some(), last).await;
                }
                PlacementDecision::Unplaced(why) => {
                    return self.handle_unplaced(request, why, last);
                }
            };
            if request.sends > 0 && !self.may_retry(request) {
                return last;
            }
            let target = assignment.target.clone();
            if self.needs_incarnation(request)
                && !self.is_registered_incarnation(request, &assignment).await
            {
                request.avoid(&target);
                continue;
            }
            let guard =
                self.node_state.begin(*assignment, request.placement_request.prompt.as_ref());
            request_log!("request sent to target", kv: {
                request = request.head.attempt_id.as_str(),
                target = guard.assignment.target.as_str(),
                held_tokens = guard.assignment.held_tokens,
                missing_tokens = guard.assignment.missing_tokens,
                fetches = guard.assignment.fetch.iter().flatten().count(),
                saves = guard.assignment.save.iter().flatten().count(),
                weight_version = guard.assignment.weight_version.unwrap_or_default(),
                software_version = guard.assignment.software_version.as_deref().unwrap_or("unknown"),
                newer_weights_age_ms = age_ms(guard.assignment.newer_weights_age),
                load_age_ms = age_ms(guard.assignment.load_age),
                transfers = transfer_sources(&guard.assignment.transfers).as_str(),
                prefill_tokens = guard.assignment.prefill_tokens,
                expected_wait_ms = milliseconds(guard.assignment.expected_wait),
                serving_version = request.serving_version,
                after = resume_after.or(request.head.resume_after).unwrap_or_default(),
                waited_ms = milliseconds(request.received.elapsed()),
            });
            if !std::mem::replace(&mut request.is_counted, true) {
                self.node_state.note_first_attempt(request.service());
            }
            request.sends += 1;
            request.sent_after_ms = self.crashes.sent_after_ms(request);
            let place = AttemptTarget::of(&guard.assignment);
            let attempt = Attempt { forwarder: self, request, guard, resume_after };
            let outcome = attempt.run().await;
            match &outcome {
                AttemptOutcome::NoValidResponse(_) => {
                    Box::pin(self.crashes.note_broken(&place, request, None)).await;
                }
                AttemptOutcome::Complete(response) if response.is_whole_answer() => {
                    self.crashes.note_answer(request);
                }
                AttemptOutcome::Complete(response) if response.head.status.is_success() => {
                    self.crashes.note_unmarked_answer(&place, request);
                }
                _ => {}
            }
            metrics().count(&SENDS_ENDED, &[("end", outcome.name())]);
            if let Some(result) = self.handle_outcome(request, target, outcome, &mut last) {
                return result;
            }
            if !request.may_send_again() {
                return last;
            }
        }
    }

    /// Takes a retry from the budget of the request's service, if there is one.
    fn may_retry(&self, request: &ActiveRequest) -> bool {
        let decision = self.node_state.try_take_retry(request.service());
        let outcome = if decision.is_allowed { "allowed" } else { "refused" };
        metrics().count(&RETRIES_DECIDED, &[("outcome", outcome)]);
        request_log!("retry decided", kv: {
            request = request.head.attempt_id.as_str(),
            service = request.service().as_str(),
            is_allowed = decision.is_allowed,
            first_attempts = decision.first_attempts,
            available = decision.available,
            extra_share = decision.extra_share,
        });
        decision.is_allowed
    }

    /// Records the outcome of an attempt. Returns the result of the request if it is final;
    /// otherwise sets `last` to the result that applies if no further attempt is possible.
    fn handle_outcome(
        &self,
        request: &mut ActiveRequest,
        target: TargetId,
        outcome: AttemptOutcome,
        last: &mut SendResult,
    ) -> Option<SendResult> {
        let end = outcome.name();
        match outcome {
            AttemptOutcome::Streaming(response) => {
                request.runs += 1;
                let bound = &request.placement_request.software_version;
                if bound.as_ref().is_none_or(|it| self.streams.is_on_version(&response.guard, it)) {
                    return Some(SendResult::Streaming(response));
                }
                let why = "the target restarted on another software version".to_string();
                log_failed_attempt(request, &target, "broken", &why);
                request.avoid(&target);
                *last = SendResult::Failed(GatewayError::NoResponse, why);
            }
            AttemptOutcome::Complete(response) => {
                request.runs += 1;
                let is_failure = response.head.status.is_server_error();
                if !is_failure || !request.may_send_again() {
                    return Some(SendResult::Complete(response));
                }
                log_failed_attempt(request, &target, "failed", response.head.status.as_str());
                request.avoid(&target);
                *last = SendResult::Complete(response);
            }
            AttemptOutcome::NotSent(why) => {
                log_failed_attempt(request, &target, end, &why);
                // Nothing was sent, so this counts neither as a run nor as a retry.
                request.sends -= 1;
                request.avoid(&target);
                if request.runs == 0 {
                    let wait = UNKNOWN_WAIT;
                    *last = SendResult::Failed(GatewayError::RetryLater { wait }, why);
                }
            }
            AttemptOutcome::HeldBack(why) => {
                log_failed_attempt(request, &target, end, &why);
                // Placement does not choose the target again as long as the reason lasts.
                request.sends -= 1;
            }
            AttemptOutcome::NotRun { metadata, may_run_there } => {
                if !may_run_there {
                    request.avoid(&target);
                }
                self.handle_rejection(request, target, &metadata, last);
            }
            AttemptOutcome::UnstatedRejection(status) => {
                let why = format!("{status}, and the target doesn't say that it has not run");
                note_run_without_response(request, &target, end, why, last);
            }
            AttemptOutcome::NoValidResponse(why) | AttemptOutcome::Withdrawn(why) => {
                note_run_without_response(request, &target, end, why, last);
            }
            AttemptOutcome::TimedOut => {
                let why = "the deadline has passed".to_string();
                return Some(SendResult::Failed(GatewayError::TimedOut, why));
            }
        }
        None
    }

    fn handle_rejection(
        &self,
        request: &mut ActiveRequest,
        target: TargetId,
        metadata: &ResponseMetadata,
        last: &mut SendResult,
    ) {
        let load = metadata.load.unwrap_or_default();
        let why = format!(
            "weights {:?}, {} running and {} waiting of {}",
            metadata.weight_version, load.running, load.waiting, load.slots
        );
        log_failed_attempt(request, &target, "not_run", &why);
        if request.runs == 0 {
            let why = format!("{target} rejected the request");
            *last = SendResult::Failed(GatewayError::RetryLater { wait: UNKNOWN_WAIT }, why);
        }
    }

    pub(super) fn handle_unplaced(
        &self,
        request: &ActiveRequest,
        why: UnplacedReason,
        last: SendResult,
    ) -> SendResult {
        let is_held_off =
            matches!(why, UnplacedReason::HeldOff { .. } | UnplacedReason::NoPlace { .. });
        if request.runs > 0 || (request.sends > 0 && !is_held_off) {
            return last;
        }
        let wait = why.wait().unwrap_or(UNKNOWN_WAIT);
        let error = match why {
            UnplacedReason::NoPlace { .. } => GatewayError::NoPlace { wait },
            _ => GatewayError::RetryLater { wait },
        };
        SendResult::Failed(error, format!("{why:?}"))
    }
}

/// Records an attempt that may have run but has no response that may be forwarded.
fn note_run_without_response(
    request: &mut ActiveRequest,
    target: &TargetId,
    end: &'static str,
    why: String,
    last: &mut SendResult,
) {
    log_failed_attempt(request, target, end, &why);
    request.runs += 1;
    request.avoid(target);
    *last = SendResult::Failed(GatewayError::NoResponse, why);
}

/// Returns the result of a request that this process has not sent yet. Another one, which handed it
/// over, may have.
fn not_tried(request: &ActiveRequest) -> SendResult {
    let why = "no target was tried".to_string();
    if request.has_run() {
        return SendResult::Failed(GatewayError::NoResponse, why);
    }
    SendResult::Failed(GatewayError::RetryLater { wait: UNKNOWN_WAIT }, why)
}

/// Counts a stream that was taken up again by `by`.
fn count_resumed(by: &str, is_continued: bool) {
    let end = if is_continued { "continued" } else { "not_continued" };
    metrics().count(&STREAMS_RESUMED, &[("by", by), ("end", end)]);
}

fn count_response(route: &str, status: StatusCode, received: Instant) {
    let tags = [("path", route), ("status", status.as_str())];
    metrics().count(&REQUESTS_ANSWERED, &tags);
    metrics().time(&REQUESTS_ANSWER_START, received.elapsed(), &tags[..1]);
}

/// Logs an attempt that failed but doesn't decide the result of its request.
fn log_failed_attempt(request: &ActiveRequest, target: &str, end: &'static str, why: &str) {
    request_log!("attempt failed", kv: {
        request = request.head.attempt_id.as_str(),
        target,
        end,
        why,
        number = request.logged_number().as_str(),
        parts = request.logged_parts().as_str(),
        sends = request.sends,
        took_ms = milliseconds(request.received.elapsed()),
    });
}

fn rejected(status: StatusCode, closes: bool) -> GatewayError {
    GatewayError::Rejected { status, closes }
}

/// Returns the response to a request whose body was not read. It has not run.
fn body_failure(error: &RequestBodyError) -> GatewayError {
    let status = match error {
        RequestBodyError::NoRoom(_) => return GatewayError::NoRoom { wait: UNKNOWN_WAIT },
        RequestBodyError::Unread(ReadBodyError::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE,
        RequestBodyError::Unread(ReadBodyError::TooSlow(_)) => StatusCode::REQUEST_TIMEOUT,
        RequestBodyError::Unread(ReadBodyError::Broken(_)) => StatusCode::BAD_REQUEST,
    };
    rejected(status, true)
}

fn too_large() -> GatewayError {
    rejected(StatusCode::PAYLOAD_TOO_LARGE, true)
}

fn find_route(
    serving: &ServingIndex,
    head: &RequestHead,
    parts: &Parts,
) -> Result<(Arc<ServingRoute>, Option<Arc<ServingAccount>>), StatusCode> {
    let route = serving.route(&head.host, &parts.uri).ok_or(StatusCode::NOT_FOUND)?;
    if !serving.uses_keys() {
        return Ok((route, None));
    }
    let account = head.key.as_deref().and_then(|key| serving.account(key));
    if account.is_none() && !route.is_anonymous {
        return Err(StatusCode::UNAUTHORIZED);
    }
    Ok((route, account))
}
