//! Hands requests over to another entry process, and takes them over from others.

use super::{
    active_request::ActiveRequest,
    forwarder::{Forwarder, SendResult},
    piecewise_body::PiecewiseBody,
    response::{ClientBody, GatewayError, IncompleteResponse, ResponseDeadline},
    response_stream::milliseconds,
};
use crate::{
    hand_over::{HandOverTerms, HelperGuard, OriginWatch, Refusal},
    log::request_log,
    node_state::InFlightGuard,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::{
    body::{Body, Frame, Incoming},
    client::conn::http1::Builder,
};
use hyper_util::rt::TokioIo;
use skylarkpick_http::{BodyEnd, READ_BUFFER_LIMIT_BYTES, describe};
use skylarkpick_interface::PeerNetwork;
use skylarkpick_schedule::{HelperAddress, UnplacedReason};
use skylarkpick_telemetry::{REQUESTS_HANDED_OVER, metrics};
use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::task::JoinSet;

/// Processes that a request is offered to, until it is refused.
const OFFERS_LIMIT: usize = 3;
/// Timeout for opening a stream to another process.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Requests of other processes that this one serves at the same time. With its own, they fit into its
/// memory and a quarter of a core.
const TAKEN_OVER_LIMIT: usize = 128;
/// Time after which a client comes back to a process that is cut off, and found nobody who isn't: other
/// processes are asked again meanwhile.
const CUT_OFF_WAIT: Duration = Duration::from_millis(500);

/// How an offer to another process failed.
enum OfferError {
    /// Not all of the request was written, so that it has not run.
    NotSent(String),
    /// The request may have run.
    Broken(String),
}

/// Counts a request of another process until dropped.
pub(crate) struct TakenOverGuard(Arc<AtomicUsize>);

impl Drop for TakenOverGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Forwarder {
    /// Hands a request over whose service this process doesn't reach. A request that was handed over
    /// before is not handed over again, and neither is one whose response has begun. If nobody takes it,
    /// it is refused, or `last` is its result if it may have run.
    pub(super) async fn hand_over(
        &self,
        request: &mut ActiveRequest,
        has_response: bool,
        last: SendResult,
    ) -> SendResult {
        if !has_response
            && let Some(result) =
                self.offer(request, |service, refused| self.reach.helper(service, refused)).await
        {
            return result;
        }
        if request.has_run() {
            return last;
        }
        let why = "no target of the service is reached".to_string();
        SendResult::Failed(GatewayError::CutOff { wait: CUT_OFF_WAIT }, why)
    }

    /// Hands a request over whose targets are brittle, so that only other processes may send it to
    /// them. Otherwise as [`hand_over`](Self::hand_over).
    pub(super) async fn hand_over_for_place(
        &self,
        request: &mut ActiveRequest,
        has_response: bool,
        last: SendResult,
    ) -> SendResult {
        if !has_response
            && let Some(result) = self
                .offer(request, |service, refused| self.reach.place_owner(service, refused))
                .await
        {
            return result;
        }
        self.handle_unplaced(request, UnplacedReason::NoPlace { wait: None }, last)
    }

    /// Offers a request to the processes that `find` returns, until one takes it.
    async fn offer(
        &self,
        request: &mut ActiveRequest,
        find: impl Fn(&str, &[HelperAddress]) -> Option<HelperGuard>,
    ) -> Option<SendResult> {
        if request.is_taken_over || !request.may_send_again() {
            return None;
        }
        let mut refused = Vec::new();
        while refused.len() < OFFERS_LIMIT {
            let helper = find(request.service(), &refused)?;
            let address = helper.address().clone();
            request_log!("request handed over", kv: {
                request = request.head.attempt_id.as_str(),
                service = request.service().as_str(),
                address = address.as_str(),
                sends = request.sends,
                waited_ms = request.received.elapsed().as_millis() as u64,
            });
            let handed_over_ms = self.node_state.wall_ms();
            let exchange = self.exchange(request, &address);
            let exchange = tokio::time::timeout_at(request.deadline, exchange).await;
            let (end, why) = match exchange {
                Err(_) => {
                    count_end("timed_out");
                    let why = "the deadline has passed".to_string();
                    return Some(SendResult::Failed(GatewayError::TimedOut, why));
                }
                Ok(Ok(response)) => match Refusal::read(response.status(), response.headers()) {
                    None => {
                        count_end("answered");
                        let response =
                            self.taken_response(response, helper, request, handed_over_ms);
                        return Some(SendResult::HandedOver(response));
                    }
                    Some(refusal) => ("refused", refusal.name().to_string()),
                },
                Ok(Err(OfferError::NotSent(why))) => ("not_sent", why),
                Ok(Err(OfferError::Broken(why))) => ("broken", why),
            };
            helper.note_refused();
            count_end(end);
            request_log!("hand-over failed", kv: {
                request = request.head.attempt_id.as_str(),
                address = address.as_str(),
                end,
                why = why.as_str(),
            });
            if end == "broken" {
                // The other process may have used all attempts of the request.
                request.runs += 1;
                return Some(SendResult::Failed(GatewayError::NoResponse, why));
            }
            refused.push(address);
        }
        None
    }

    async fn exchange(
        &self,
        request: &ActiveRequest,
        address: &str,
    ) -> Result<Response<Incoming>, OfferError> {
        let not_sent = |error: &dyn std::fmt::Display| OfferError::NotSent(error.to_string());
        let network: &Arc<dyn PeerNetwork> =
            self.peer_client.network().ok_or_else(|| not_sent(&"no peer network yet"))?;
        let stream = network.open_stream(address, OPEN_TIMEOUT).await;
        let stream = stream.map_err(|error| not_sent(&error))?;
        let (mut sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_LIMIT_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        // Ends with this call unless a response has begun, so that it doesn't keep the body of a client that
        // has left. The body of a response ends it otherwise.
        let mut task = JoinSet::new();
        task.spawn(async move {
            // A failure also reaches the caller that waits for the response.
            let _ = connection.await;
        });
        let heartbeat_interval = network.heartbeat_interval();
        let sent = sender.try_send_request(handed_over(request, heartbeat_interval)).await;
        if sent.is_ok() {
            task.detach_all();
        }
        sent.map_err(|mut error| {
            let text = describe(error.error());
            match error.take_message() {
                Some(_) => OfferError::NotSent(text),
                None => OfferError::Broken(text),
            }
        })
    }

    /// Returns the response of another process for the client. What its target says of itself in the
    /// head also holds for the requests that this process sends once it reaches the target again.
    fn taken_response(
        &self,
        response: Response<Incoming>,
        helper: HelperGuard,
        request: &ActiveRequest,
        handed_over_ms: u64,
    ) -> Response<ClientBody> {
        let (head, body) = response.into_parts();
        let metadata = self.dialect.read_response(&head);
        let attempt_id = &request.head.attempt_id;
        if metadata.attempt_id.as_ref() == Some(attempt_id) {
            self.node_state.note_signals_through_helper(attempt_id, &metadata, handed_over_ms);
        }
        let end = BodyEnd::of_response(&request.method, head.status, &head.headers);
        let in_flight = self.node_state.track_request();
        let body = HandedOverBody { body, _helper: helper, _in_flight: in_flight };
        let mut taken = self.client_response(&head, body.boxed_unsync(), end);
        taken.extensions_mut().insert(ResponseDeadline(request.deadline));
        taken
    }

    /// Counts a request of another process.
    pub(crate) fn count_taken_over(&self) -> TakenOverGuard {
        self.taken_over.fetch_add(1, Ordering::SeqCst);
        TakenOverGuard(self.taken_over.clone())
    }

    /// Handles a request that another process hands over, as if its client had come to this one.
    /// Watches that process if the request is a stream that its client may take up elsewhere.
    pub(crate) async fn handle_taken_over(
        self: &Arc<Self>,
        mut request: Request<Incoming>,
        origin: &OriginWatch,
    ) -> Response<ClientBody> {
        let Some(terms) = HandOverTerms::take(request.headers_mut()) else {
            spdlog::warn!("a request was handed over without terms that can be read");
            return self.refuse(Refusal::Outdated);
        };
        if let Some(refusal) = self.refusal(&terms) {
            return self.refuse(refusal);
        }
        count_end("taken");
        self.respond(request, Some((terms, origin))).await
    }

    fn refusal(&self, terms: &HandOverTerms) -> Option<Refusal> {
        if self.node_state.is_draining()
            || self.taken_over.load(Ordering::SeqCst) > TAKEN_OVER_LIMIT
        {
            return Some(Refusal::Busy);
        }
        self.node_state.newest_version.note(terms.serving_version);
        let version = self.node_state.serving().map_or(0, |serving| serving.version());
        (version < terms.serving_version).then_some(Refusal::Outdated)
    }

    fn refuse(&self, refusal: Refusal) -> Response<ClientBody> {
        let error = GatewayError::RetryLater { wait: CUT_OFF_WAIT };
        let mut response = error.response(&*self.dialect, "", rand::random());
        refusal.write(response.headers_mut());
        response
    }
}

impl ActiveRequest {
    /// Applies what the process that handed the request over has done for it.
    pub(super) fn take_over(&mut self, terms: &HandOverTerms) {
        self.is_taken_over = true;
        self.sends = terms.sends;
        self.sends_elsewhere = terms.sends;
        self.runs = terms.runs;
        self.is_counted = terms.is_counted;
    }
}

/// Returns a request of a client as it is handed over.
fn handed_over(
    request: &ActiveRequest,
    heartbeat_interval: Option<Duration>,
) -> Request<PiecewiseBody> {
    let terms = HandOverTerms {
        sends: request.sends,
        runs: request.runs,
        is_counted: request.is_counted,
        heartbeat_interval_ms: heartbeat_interval.map(milliseconds),
        ..HandOverTerms::open(request.received.elapsed(), request.serving_version)
    };
    let mut handed_over = Request::new(PiecewiseBody::open(request.body.clone()));
    *handed_over.method_mut() = request.method.clone();
    *handed_over.uri_mut() = request.client_uri.clone();
    *handed_over.headers_mut() = terms.add_to(&request.client_headers);
    handed_over
}

/// Marks the response to a request that was taken over and that this process can't serve either, so
/// that another one may be asked. One that this process has sent is not offered again: the others don't
/// know of its attempts.
pub(super) fn mark_refused(
    response: &mut Response<ClientBody>,
    error: &GatewayError,
    is_sent_here: bool,
) {
    let refusal = match error {
        GatewayError::CutOff { .. } => Refusal::CutOff,
        GatewayError::NoPlace { .. } => Refusal::NoPlace,
        GatewayError::NoRoom { .. } => Refusal::Busy,
        _ => return,
    };
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && !is_sent_here {
        refusal.write(response.headers_mut());
    }
}

fn count_end(end: &'static str) {
    metrics().count(&REQUESTS_HANDED_OVER, &[("end", end)]);
}

/// Body of the response of another process.
struct HandedOverBody {
    body: Incoming,
    _helper: HelperGuard,
    _in_flight: InFlightGuard,
}

impl Body for HandedOverBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        frame.map(|frame| frame.map(|frame| frame.map_err(|_| IncompleteResponse)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
