//! Forwards a streamed response to the client.
//!
//! A resumable event stream is forwarded in complete events. When its runner fails, another runner
//! continues after the last event that was forwarded, within the same response to the client.

use super::{
    active_request::ActiveRequest,
    attempt::StreamingResponse,
    event_splitter::{Event, EventScanner, EventSplitter},
    forwarder::Forwarder,
    response::IncompleteResponse,
};
use crate::{
    crashes::AttemptTarget,
    log::{age_ms, request_log},
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use skylarkpick_http::{BodyEnd, describe};
use skylarkpick_interface::{EventId, Repeatability, ResponseKind, StreamOrigin};
use skylarkpick_schedule::TargetOutcome;
use skylarkpick_telemetry::{REQUESTS_ENDED, metrics};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Bytes of repeated events after which a target counts as failed: four times a stream of 4,096 events
/// of 64 bytes, which a target that ignores the last event's ID repeats once.
const REPEATED_EVENTS_LIMIT_BYTES: usize = 1_048_576;

/// Forwards a streamed response to the client.
pub(crate) struct ResponseStream {
    forwarder: Arc<Forwarder>,
    request: ActiveRequest,
    current: Option<Box<StreamingResponse>>,
    splitter: EventSplitter,
    /// Run that writes the current response; `None` if the software version of its target is not
    /// certain, so that the stream can't be resumed.
    origin: Option<StreamOrigin>,
    /// Bytes that can be forwarded to the client. If there are none, it is empty.
    ready: Bytes,
    /// Why the stream of the current target can't be continued after the bytes that are ready.
    failure: Option<String>,
    /// Bytes of events that the client already has, since the last new event.
    repeated_bytes: usize,
    /// ID of the last event that was forwarded or is ready.
    last_event: Option<EventId>,
    forwarded_bytes: u64,
    /// Whether the stream is split into events, which is necessary for resuming it.
    splits_events: bool,
    /// Where the bytes for the client stop, if they are events that aren't split.
    scanner: Option<EventScanner>,
    /// Whether the end of the response will show its client that it is complete.
    client_end: BodyEnd,
    end: StreamEnd,
}

/// How the stream to the client ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    ClientLeft,
    Complete,
    Failed,
    TimedOut,
    /// The connection to the target was closed where the response may be complete.
    Unproven,
}

impl StreamEnd {
    /// Returns the value for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            StreamEnd::ClientLeft => "client_left",
            StreamEnd::Complete => "whole",
            StreamEnd::Failed => "broken",
            StreamEnd::TimedOut => "timed_out",
            StreamEnd::Unproven => "unproven",
        }
    }
}

/// Result of a read from the target.
enum ReadResult {
    Data(Bytes),
    End,
    Failed(String),
    TimedOut,
}

impl ResponseStream {
    pub(crate) fn open(
        forwarder: Arc<Forwarder>,
        request: ActiveRequest,
        mut response: Box<StreamingResponse>,
    ) -> ResponseStream {
        // Only a resumable stream needs to be split into events; an error response is none.
        let is_success = response.head.status.is_success();
        let splits_events = request.is_resumable() && is_success;
        let has_events = request.route.shape == ResponseKind::Events && is_success;
        let client_end = response.body.end();
        let first = response.first.take();
        let mut stream = ResponseStream {
            last_event: request.head.resume_after,
            forwarder,
            request,
            current: Some(response),
            origin: None,
            splitter: EventSplitter::default(),
            ready: Bytes::new(),
            failure: None,
            repeated_bytes: 0,
            forwarded_bytes: 0,
            splits_events,
            scanner: (has_events && !splits_events).then(EventScanner::default),
            client_end,
            end: StreamEnd::ClientLeft,
        };
        if splits_events {
            stream.note_run();
        }
        if let Some(first) = first {
            stream.push(first);
        }
        stream
    }

    /// Records the run that writes the current response.
    fn note_run(&mut self) {
        let Some(current) = &self.current else { return };
        let request = &self.request;
        let (attempt, service) = (request.stream_attempt(), request.service());
        let is_only_service = request.has_only_service();
        let streams = &self.forwarder.streams;
        self.origin = streams.note_run(attempt, service, is_only_service, &current.guard);
    }

    /// Returns the next bytes for the client, or `None` at the end of the response.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, IncompleteResponse>> {
        loop {
            if !self.ready.is_empty() {
                let bytes = std::mem::take(&mut self.ready);
                self.forwarded_bytes += bytes.len() as u64;
                if let Some(scanner) = &mut self.scanner {
                    scanner.read(&bytes);
                }
                return Some(Ok(bytes));
            }
            self.current.as_ref()?;
            if let Some(why) = self.failure.take() {
                if !self.resume(&why).await {
                    return Some(Err(self.abort(StreamEnd::Failed)));
                }
                continue;
            }
            match self.read().await {
                ReadResult::Data(bytes) => self.push(bytes),
                ReadResult::End => match self.cut_reason() {
                    None => {
                        self.finish().await;
                        return None;
                    }
                    Some(why) => {
                        if !self.resume(why).await {
                            return Some(Err(self.abort(StreamEnd::Failed)));
                        }
                    }
                },
                ReadResult::Failed(why) => {
                    if !self.resume(&why).await {
                        return Some(Err(self.abort(StreamEnd::Failed)));
                    }
                }
                ReadResult::TimedOut => return Some(Err(self.abort(StreamEnd::TimedOut))),
            }
        }
    }

    async fn read(&mut self) -> ReadResult {
        let Some(current) = self.current.as_mut() else { return ReadResult::End };
        match tokio::time::timeout_at(self.request.deadline, current.body.frame()).await {
            Err(_) => ReadResult::TimedOut,
            Ok(None) => ReadResult::End,
            Ok(Some(Err(error))) => ReadResult::Failed(describe(&error)),
            Ok(Some(Ok(frame))) => ReadResult::Data(frame.into_data().unwrap_or_default()),
        }
    }

    /// Makes bytes of the current target ready: all of them, or the complete events that the client
    /// doesn't have yet.
    fn push(&mut self, bytes: Bytes) {
        if !self.splits_events {
            self.ready = bytes;
            return;
        }
        self.splitter.push(&bytes);
        let mut ready = BytesMut::new();
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => self.take_event(&event, &mut ready),
                Ok(None) => break,
                Err(error) => {
                    self.failure = Some(error.to_string());
                    break;
                }
            }
        }
        if self.repeated_bytes > REPEATED_EVENTS_LIMIT_BYTES {
            self.failure = Some("the target repeats events without end".to_string());
        }
        self.ready = ready.freeze();
    }

    fn take_event(&mut self, event: &Event, ready: &mut BytesMut) {
        if event.id.is_some_and(|id| self.last_event.is_some_and(|last| id <= last)) {
            self.repeated_bytes += event.bytes.len();
            return;
        }
        self.repeated_bytes = 0;
        self.last_event = event.id.or(self.last_event);
        ready.extend_from_slice(&event.bytes);
    }

    /// Returns whether the end of the current response ends the response to the client, or else why
    /// not.
    fn cut_reason(&self) -> Option<&'static str> {
        let is_within_event = !self.splitter.is_empty()
            || self.scanner.as_ref().is_some_and(EventScanner::is_within_event);
        if is_within_event {
            return Some("the stream ended within an event");
        }
        let end = self.current.as_ref().map(|current| current.body.end());
        let is_overstated = self.client_end == BodyEnd::Proven && end == Some(BodyEnd::Unproven);
        is_overstated.then_some("the end of the resumed stream is not proven")
    }

    async fn finish(&mut self) {
        self.end = StreamEnd::Complete;
        let Some(mut current) = self.current.take() else { return };
        current.guard.outcome = TargetOutcome::Served;
        if current.body.end() == BodyEnd::Unproven {
            self.end = StreamEnd::Unproven;
            // The end of a target looks the same.
            let place = AttemptTarget::of(&current.guard.assignment);
            let since_first_piece = current.guard.since_first_response();
            let crashes = &self.forwarder.crashes;
            Box::pin(crashes.note_broken(&place, &self.request, since_first_piece)).await;
            if current.head.status.is_success() {
                crashes.note_unmarked_answer(&place, &self.request);
            }
            return;
        }
        if current.head.status.is_success() {
            self.forwarder.crashes.note_answer(&self.request);
        }
        if !current.metadata.closes {
            self.forwarder.pool.release(current.connection, current.metadata.idle_limit);
        }
    }

    /// Abandons the response.
    fn abort(&mut self, end: StreamEnd) -> IncompleteResponse {
        self.end = end;
        self.current = None;
        IncompleteResponse
    }

    /// Resumes the stream at another runner after the last complete event. Returns whether it
    /// succeeded.
    async fn resume(&mut self, why: &str) -> bool {
        let Some(mut failed) = self.current.take() else { return false };
        failed.guard.outcome = TargetOutcome::Failed;
        self.forwarder.node_state.note_broken_connection(&failed.guard.assignment);
        let since_first_piece = failed.guard.since_first_response();
        let assignment = &failed.guard.assignment;
        let place = AttemptTarget::of(assignment);
        let (target, software_version) =
            (assignment.target.clone(), assignment.software_version.clone());
        drop(failed);
        self.splitter = EventSplitter::default();
        self.repeated_bytes = 0;
        let may_repeat = self.request.route.repeatability == Repeatability::Repeatable;
        request_log!("stream failed", kv: {
            request = self.request.head.attempt_id.as_str(),
            target = target.as_str(),
            software_version = software_version.as_deref().unwrap_or("unknown"),
            why,
            number = self.request.logged_number().as_str(),
            parts = self.request.logged_parts().as_str(),
            since_first_piece_ms = age_ms(since_first_piece),
            last_event = self.last_event.unwrap_or_default(),
            resumable = may_repeat && self.splits_events,
        });
        let crashes = &self.forwarder.crashes;
        Box::pin(crashes.note_broken(&place, &self.request, since_first_piece)).await;
        if !may_repeat || !self.splits_events {
            return false;
        }
        let version = self.origin.take().and_then(|it| self.forwarder.streams.version_of(&it));
        let Some(version) = version else {
            request_log!("stream not resumed: the target may have restarted on another version", kv: {
                request = self.request.head.attempt_id.as_str(), target = target.as_str(),
            });
            return false;
        };
        self.request.bind_to_version(version);
        self.request.avoid(&target);
        let forwarder = self.forwarder.clone();
        match forwarder.resume(&mut self.request, self.last_event).await {
            Some(mut response) => {
                let assignment = &response.guard.assignment;
                request_log!("stream resumed", kv: {
                    request = self.request.head.attempt_id.as_str(),
                    target = assignment.target.as_str(),
                    software_version = assignment.software_version.as_deref().unwrap_or("unknown"),
                    after = self.last_event.unwrap_or_default(),
                });
                let first = response.first.take();
                self.current = Some(response);
                self.note_run();
                if let Some(first) = first {
                    self.push(first);
                }
                true
            }
            None => false,
        }
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        metrics().count(&REQUESTS_ENDED, &[("end", self.end.name())]);
        let took_ms = milliseconds(self.request.received.elapsed());
        request_log!("response ended", kv: {
            request = self.request.head.attempt_id.as_str(),
            end = self.end.name(),
            last_event = self.last_event.unwrap_or_default(),
            within_event = self.scanner.as_ref().is_some_and(EventScanner::is_within_event),
            bytes = self.forwarded_bytes,
            took_ms,
            late = Instant::now() > self.request.received + self.request.route.timeout,
        });
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
