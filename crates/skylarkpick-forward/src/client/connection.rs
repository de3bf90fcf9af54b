//! Serves HTTP on one client connection.

use super::{
    activity::{Activity, ActivityStream, Phase, RequestSocket},
    departure::Departure,
    progress::Progress,
    shared_socket::SharedSocket,
};
use crate::{
    forwarding::{
        ClientBody, Forwarder, IncompleteResponse, ResponseDeadline, may_end_with_connection,
        milliseconds,
    },
    hand_over::OriginWatch,
    log::request_log,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    body::{Body, Frame, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use skylarkpick_interface::PeerStream;
use std::{
    convert::Infallible,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::sync::watch;

/// Smallest buffer size that hyper accepts.
const HEAD_SIZE_FLOOR_BYTES: usize = 8_192;
/// Maximum head size until a serving document sets one.
const HEAD_SIZE_LIMIT_BYTES: usize = 16_384;
/// Timeout for a complete head until a serving document sets one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle timeout of a connection until a serving document sets one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Who sends the requests on a connection.
#[derive(Clone)]
pub(super) enum RequestOrigin {
    Client,
    /// Another entry process, which hands them over.
    Process(Arc<OriginWatch>),
}

/// Serves a request that another entry process hands over. A stream that its client may take up
/// elsewhere ends once that process is silent.
pub(crate) async fn serve_peer(stream: Box<dyn PeerStream>, forwarder: Arc<Forwarder>) {
    let _place = forwarder.count_taken_over();
    // It ends by itself: the stream carries one request.
    let (_never, stopped) = watch::channel(false);
    let watch = OriginWatch::open(stream.link());
    let origin = RequestOrigin::Process(watch.clone());
    let progress = Progress::open();
    tokio::select! {
        () = serve(stream, forwarder, origin, progress, stopped) => {}
        silent = watch.silent() => {
            request_log!("handed-over stream ended: its process is silent", kv: {
                request = silent.attempt_id.as_str(),
                address = silent.address.as_str(),
                silence_ms = milliseconds(silent.silence),
            });
        }
    }
}

/// Serves a connection until it closes, or until `stopped` is set and the last response is sent.
pub(super) async fn serve<S: RequestSocket>(
    stream: S,
    forwarder: Arc<Forwarder>,
    origin: RequestOrigin,
    progress: Arc<Progress>,
    mut stopped: watch::Receiver<bool>,
) {
    let activity = Activity::open(progress.clone());
    let socket = SharedSocket::open(stream);
    let io = TokioIo::new(ActivityStream::open(socket.clone(), activity.clone()));
    let mut departure = Departure::open(socket, activity.clone());
    let limits = forwarder.node_state.serving().map(|serving| *serving.limits());
    let head_size_bytes = limits.map_or(HEAD_SIZE_LIMIT_BYTES, |limits| limits.head_size_bytes);
    let head_timeout = limits.map_or(HEAD_TIMEOUT, |limits| limits.head_timeout);
    let idle_timeout = limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let service = {
        let (activity, progress) = (activity.clone(), progress.clone());
        service_fn(move |mut request| {
            let (forwarder, activity, origin) =
                (forwarder.clone(), activity.clone(), origin.clone());
            activity.note_head();
            request.extensions_mut().insert(progress.clone());
            async move {
                let version = request.version();
                let response = match &origin {
                    RequestOrigin::Client => forwarder.handle(request).await,
                    RequestOrigin::Process(watch) => {
                        forwarder.handle_taken_over(request, watch).await
                    }
                };
                if may_end_with_connection(version, response.version()) {
                    activity.end_with_connection();
                }
                if let Some(deadline) = response.extensions().get::<ResponseDeadline>() {
                    activity.set_response_deadline(deadline.0);
                }
                Ok::<_, Infallible>(response.map(|body| track_activity(body, activity)))
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(head_size_bytes.max(HEAD_SIZE_FLOOR_BYTES))
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    // A graceful shutdown closes a kept connection at once unless it has read a whole head, so it waits
    // for the rest of a head.
    let (mut is_stop_due, mut is_stopping) = (false, false);
    loop {
        let due = activity.deadline(head_timeout, idle_timeout);
        tokio::select! {
            // Requests that have arrived are read before the process stops.
            biased;
            // A connection error needs no handling: it cancelled the connection's request as well.
            _ = connection.as_mut() => return,
            () = &mut departure => return,
            () = activity.wait_outside_head(), if is_stop_due && !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            () = activity.wait_for_response() => {}
            () = progress.connection_ended() => match activity.phase() {
                Phase::Idle => {
                    connection.as_mut().graceful_shutdown();
                    is_stopping = true;
                }
                Phase::Head => return,
                // The request has arrived in the meantime.
                Phase::Busy => {}
            },
            () = tokio::time::sleep_until(due) => {
                if activity.deadline(head_timeout, idle_timeout) > due {
                    continue;
                }
                match activity.phase() {
                    // A response that is past its deadline has not ended itself: its client does not
                    // read it.
                    Phase::Head | Phase::Busy => return,
                    Phase::Idle => {
                        connection.as_mut().graceful_shutdown();
                        is_stopping = true;
                    }
                }
            }
            _ = stopped.wait_for(|stopped| *stopped), if !is_stop_due => is_stop_due = true,
        }
    }
}

/// Response body that marks the connection as idle when it is dropped, and fails only after what comes
/// before has been written.
struct ActivityBody {
    body: ClientBody,
    activity: Arc<Activity>,
    /// Failure of the body that is still to be returned.
    failure: Option<IncompleteResponse>,
}

fn track_activity(body: ClientBody, activity: Arc<Activity>) -> ClientBody {
    ActivityBody { body, activity, failure: None }.boxed_unsync()
}

impl Body for ActivityBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match frame {
            Some(Err(failure)) => {
                // hyper writes what it has buffered, such as the head, only while the body is pending.
                self.failure = Some(failure);
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            None => self.activity.note_body_end(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ActivityBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.activity.note_body_end();
        }
        self.activity.note_response_sent();
    }
}
