//! Takes a request in, sends it to targets, and answers.

use super::{
    attempt::{Attempt, AttemptOutcome, CompleteResponse, StreamingResponse},
    response::{ClientBody, GatewayError, close_connection, full_body},
    response_stream::{Relay, milliseconds},
};
use crate::{
    connection_pool::ConnectionPool,
    fleet::ServingConfirmer,
    log::request_log,
    node_state::{InFlightGuard, NodeState},
    serving_index::{ServingIndex, pick_destination},
};
use bytes::Bytes;
use futures::stream;
use http::{Method, Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use skylarkpick_http::{ReadBodyError, read_body};
use skylarkpick_interface::{
    DataCentreId, Dialect, EventId, HeadError, Repeatability, RequestHead, ResponseKind,
    ResponseMetadata, ServiceName, ServingAccount, ServingRoute, TargetId,
};
use skylarkpick_schedule::{PlacementDecision, PlacementPrompt, PlacementRequest, UnplacedReason};
use skylarkpick_telemetry::{REQUESTS_ANSWER_START, REQUESTS_ANSWERED, SENDS_ENDED, metrics};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Largest body while no serving document names a limit.
const BODY_LIMIT_BYTES: usize = 4 * 1_048_576;
/// Time for a body to arrive; clients on the platform's links need far less.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Sends of one request beyond the runs that its route allows. Sends that were turned away have
/// not run, but each costs the time of a round trip.
const EXTRA_SENDS_LIMIT: u32 = 2;
/// Wait named to a client where nothing is known of the backlog.
const UNKNOWN_WAIT: Duration = Duration::from_millis(300);

/// What the requests of a process are carried out with.
pub(crate) struct Forwarder {
    pub(crate) node_state: Arc<NodeState>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) confirmer: ServingConfirmer,
    pub(crate) data_centre: DataCentreId,
}

/// A request that the rules allow, with what was tried for it.
pub(crate) struct ActiveRequest {
    pub(crate) received: Instant,
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    /// Path and query, as they came.
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<ServingRoute>,
    pub(crate) account: Option<Arc<ServingAccount>>,
    pub(crate) deadline: Instant,
    ask: PlacementRequest,
    serving_version: u64,
    sends: u32,
    runs: u32,
    _count: InFlightGuard,
}

/// How a request ends that has no target to go to any more.
enum SendResult {
    Complete(CompleteResponse),
    Streaming(Box<StreamingResponse>),
    Ended(GatewayError, String),
}

impl ActiveRequest {
    /// Rank at the targets, 0 first.
    pub(crate) fn rank(&self) -> u8 {
        self.account.as_ref().and_then(|account| account.rank).unwrap_or(self.route.rank)
    }

    /// Whether another runner may go on with its stream.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.shape == ResponseKind::Events
            && self.route.repeatability == Repeatability::Repeatable
    }

    /// Keeps the request away from a target that failed it.
    pub(crate) fn avoid(&mut self, target: &TargetId) {
        self.ask.avoid.push(target.clone());
    }

    fn may_run_again(&self) -> bool {
        let may_repeat = self.route.repeatability == Repeatability::Repeatable;
        self.runs == 0 || (may_repeat && self.runs < self.route.attempts_limit)
    }

    fn may_send_again(&self) -> bool {
        self.sends < self.route.attempts_limit + EXTRA_SENDS_LIMIT && self.may_run_again()
    }
}

impl Forwarder {
    /// Answers one request. Dropping the answer's body means that the client went away.
    pub(crate) async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<ClientBody> {
        let received = Instant::now();
        let (head, body) = request.into_parts();
        let mut response = match self.prepare(&head, body, received).await {
            Ok(life) => self.forward(life).await,
            Err((attempt_id, ending, why)) => {
                count_response("none", ending.status(), received);
                request_log!("refused", kv: {
                    request = attempt_id.as_str(),
                    status = ending.status().as_u16(),
                    why = why.as_str(),
                    serving_version = self.node_state.serving().map_or(0, |it| it.version()),
                });
                ending.response(&*self.dialect, &attempt_id, rand::random())
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
        let fail = |ending: GatewayError, why: &str| (attempt_id.clone(), ending, why.to_string());
        let limit = self
            .node_state
            .serving()
            .map_or(BODY_LIMIT_BYTES, |serving| serving.limits().body_size_bytes);
        if body.size_hint().lower() > limit as u64 {
            return Err(fail(too_large(), "the body is announced as too large"));
        }
        let body = read_body(body, limit, BODY_TIMEOUT).await.map_err(|error| {
            let status = match error {
                ReadBodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
                ReadBodyError::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
                ReadBodyError::Broken(_) => StatusCode::BAD_REQUEST,
            };
            fail(rejected(status, true), &error.to_string())
        })?;
        let (serving, route, account) =
            self.authorize(&head, parts).await.map_err(|(ending, why)| fail(ending, &why))?;
        let longest = route.timeout;
        let allowed = head.deadline.map_or(longest, |deadline| deadline.min(longest));
        let service = pick_destination(&route.destinations, rand::random())
            .map(|destination| destination.service.clone())
            .unwrap_or_default();
        let ask = self.ask(&head, &route, account.as_deref(), service, allowed);
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
        Ok(ActiveRequest {
            received,
            method: parts.method.clone(),
            path,
            body,
            route,
            account,
            deadline: received + allowed,
            ask,
            serving_version: serving.version(),
            sends: 0,
            runs: 0,
            _count: self.node_state.track_request(),
            head,
        })
    }

    /// Finds the route and the client account. What the document does not know is looked up in the
    /// platform before it is refused for good, since the document may be old.
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
                let why = format!("{status}, but the serving document may be old");
                return Err((retry_later(), why));
            }
        }
        let serving = self.node_state.serving().unwrap_or(serving);
        let (route, account) = find_route(&serving, head, parts)
            .map_err(|status| (rejected(status, false), "not in the document".to_string()))?;
        Ok((serving, route, account))
    }

    fn ask(
        &self,
        head: &RequestHead,
        route: &ServingRoute,
        account: Option<&ServingAccount>,
        service: ServiceName,
        allowed: Duration,
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
            avoid: Vec::new(),
            max_wait: allowed.min(route.timeout),
        }
    }

    /// Sends the request to targets until one answers, and passes the answer on.
    async fn forward(self: &Arc<Self>, mut life: ActiveRequest) -> Response<ClientBody> {
        self.node_state.note_first_attempt(&life.ask.service);
        match self.send_with_retries(&mut life, None).await {
            SendResult::Complete(answer) => {
                count_response(&life.route.name, answer.head.status, life.received);
                request_log!("answered", kv: {
                    request = life.head.attempt_id.as_str(),
                    status = answer.head.status.as_u16(),
                    sends = life.sends,
                    took_ms = milliseconds(life.received.elapsed()),
                });
                let mut response = Response::new(full_body(answer.content));
                *response.status_mut() = answer.head.status;
                *response.headers_mut() = self.dialect.response_headers(&answer.head.headers);
                response
            }
            SendResult::Streaming(begun) => {
                count_response(&life.route.name, begun.head.status, life.received);
                request_log!("answer begun", kv: {
                    request = life.head.attempt_id.as_str(),
                    status = begun.head.status.as_u16(),
                    sends = life.sends,
                    took_ms = milliseconds(life.received.elapsed()),
                });
                let (status, headers) = (begun.head.status, begun.head.headers.clone());
                let relay = Relay::open(self.clone(), life, begun);
                let pieces = stream::unfold(relay, |mut relay| async move {
                    let piece = relay.next().await?;
                    Some((piece.map(Frame::data), relay))
                });
                let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(pieces)));
                *response.status_mut() = status;
                *response.headers_mut() = self.dialect.response_headers(&headers);
                response
            }
            SendResult::Ended(ending, why) => {
                count_response(&life.route.name, ending.status(), life.received);
                request_log!("not answered", kv: {
                    request = life.head.attempt_id.as_str(),
                    status = ending.status().as_u16(),
                    why = why.as_str(),
                    sends = life.sends,
                    runs = life.runs,
                    serving_version = life.serving_version,
                    took_ms = milliseconds(life.received.elapsed()),
                });
                ending.response(&*self.dialect, &life.head.attempt_id, rand::random())
            }
        }
    }

    /// Goes on with a stream at another runner.
    pub(crate) async fn resume(
        &self,
        life: &mut ActiveRequest,
        after: Option<EventId>,
    ) -> Option<Box<StreamingResponse>> {
        life.runs = life.runs.max(1);
        if !life.may_send_again() {
            return None;
        }
        match self.send_with_retries(life, after).await {
            SendResult::Streaming(begun) if begun.head.status.is_success() => Some(begun),
            _ => None,
        }
    }

    async fn send_with_retries(
        &self,
        life: &mut ActiveRequest,
        resume_after: Option<EventId>,
    ) -> SendResult {
        let mut last = SendResult::Ended(
            GatewayError::RetryLater { wait: UNKNOWN_WAIT },
            "no target was tried".to_string(),
        );
        loop {
            let place = match self.node_state.choose(&life.ask) {
                PlacementDecision::Assigned(place) => place,
                PlacementDecision::Unplaced(why) => return self.unplaced(life, why, last),
            };
            if life.sends > 0 && !self.node_state.take_retry(&life.ask.service) {
                request_log!("retry budget used up", kv: {
                    request = life.head.attempt_id.as_str(),
                    service = life.ask.service.as_str(),
                });
                return last;
            }
            request_log!("sent", kv: {
                request = life.head.attempt_id.as_str(),
                target = place.target.as_str(),
                held_tokens = place.held_tokens,
                missing_tokens = place.missing_tokens,
                fetches = place.fetch.iter().flatten().count(),
                saves = place.save.iter().flatten().count(),
                weight_version = place.weight_version.unwrap_or_default(),
                // -1 for a target that has told no load yet.
                load_age_ms = place.load_age.map_or(-1, |age| age.as_millis() as i64),
                expected_wait_ms = milliseconds(place.expected_wait),
                serving_version = life.serving_version,
            });
            let target = place.target.clone();
            let guard = self.node_state.begin(*place, life.ask.prompt.as_ref());
            life.sends += 1;
            let attempt = Attempt { forwarder: self, life, guard, resume_after };
            let end = attempt.run().await;
            metrics().count(&SENDS_ENDED, &[("end", end.name())]);
            if let Some(result) = self.handle_outcome(life, target, end, &mut last) {
                return result;
            }
            if !life.may_send_again() {
                return last;
            }
        }
    }

    /// Takes in how a send ended; gives the result where it is the last word.
    fn handle_outcome(
        &self,
        life: &mut ActiveRequest,
        target: TargetId,
        end: AttemptOutcome,
        last: &mut SendResult,
    ) -> Option<SendResult> {
        match end {
            AttemptOutcome::Streaming(begun) => return Some(SendResult::Streaming(begun)),
            AttemptOutcome::Complete(answer) => {
                life.runs += 1;
                let is_failure = answer.head.status.is_server_error();
                if !is_failure || !life.may_send_again() {
                    return Some(SendResult::Complete(answer));
                }
                log_failed_send(life, &target, "failed", answer.head.status.as_str());
                life.avoid(&target);
                *last = SendResult::Complete(answer);
            }
            AttemptOutcome::NotSent(why) => {
                log_failed_send(life, &target, "not_sent", &why);
                // Nothing was sent: neither a run nor a retry.
                life.sends -= 1;
                life.avoid(&target);
                if life.runs == 0 {
                    let wait = UNKNOWN_WAIT;
                    *last = SendResult::Ended(GatewayError::RetryLater { wait }, why);
                }
            }
            AttemptOutcome::NotRun(metadata) => self.not_run(life, target, &metadata, last),
            AttemptOutcome::Broken(why) => {
                log_failed_send(life, &target, "broken", &why);
                life.runs += 1;
                life.avoid(&target);
                *last = SendResult::Ended(GatewayError::NoResponse, why);
            }
            AttemptOutcome::TimedOut => {
                let why = "the time is over".to_string();
                return Some(SendResult::Ended(GatewayError::TimedOut, why));
            }
        }
        None
    }

    fn not_run(
        &self,
        life: &mut ActiveRequest,
        target: TargetId,
        metadata: &ResponseMetadata,
        last: &mut SendResult,
    ) {
        let has_other_weights = metadata.weight_version.is_some();
        let load = metadata.load.unwrap_or_default();
        let why = format!(
            "weights {:?}, {} running and {} waiting of {}",
            metadata.weight_version, load.running, load.waiting, load.slots
        );
        log_failed_send(life, &target, "not_run", &why);
        if !has_other_weights {
            life.avoid(&target);
        }
        if life.runs == 0 {
            let why = format!("{target} turned it away");
            *last = SendResult::Ended(GatewayError::RetryLater { wait: UNKNOWN_WAIT }, why);
        }
    }

    fn unplaced(&self, life: &ActiveRequest, why: UnplacedReason, last: SendResult) -> SendResult {
        if life.sends > 0 || life.runs > 0 {
            return last;
        }
        let wait = match why {
            UnplacedReason::Full { wait } => wait,
            _ => UNKNOWN_WAIT,
        };
        SendResult::Ended(GatewayError::RetryLater { wait }, format!("{why:?}"))
    }
}

fn count_response(route: &str, status: StatusCode, received: Instant) {
    let tags = [("path", route), ("status", status.as_str())];
    metrics().count(&REQUESTS_ANSWERED, &tags);
    metrics().time(&REQUESTS_ANSWER_START, received.elapsed(), &tags[..1]);
}

/// Writes how a send ended that is not the last word on its request.
fn log_failed_send(life: &ActiveRequest, target: &str, end: &'static str, why: &str) {
    request_log!("send failed", kv: {
        request = life.head.attempt_id.as_str(),
        target,
        end,
        why,
        sends = life.sends,
        took_ms = milliseconds(life.received.elapsed()),
    });
}

fn rejected(status: StatusCode, closes: bool) -> GatewayError {
    GatewayError::Rejected { status, closes }
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
