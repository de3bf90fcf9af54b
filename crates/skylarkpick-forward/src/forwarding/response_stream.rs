//! Passes an answer that comes in pieces on to the client.
//!
//! A stream that may be resumed is passed on in whole events. When its runner breaks off, another
//! one goes on after the last event that was passed on, within the same answer.

use super::{
    attempt::StreamingResponse,
    event_splitter::EventSplitter,
    forwarder::{ActiveRequest, Forwarder},
    response::IncompleteResponse,
};
use crate::log::request_log;
use bytes::Bytes;
use http_body_util::BodyExt;
use skylarkpick_interface::{EventId, Repeatability};
use skylarkpick_schedule::TargetOutcome;
use skylarkpick_telemetry::{REQUESTS_ENDED, metrics};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Passes an answer that comes in pieces on to the client.
pub(crate) struct Relay {
    forwarder: Arc<Forwarder>,
    life: ActiveRequest,
    current: Option<Box<StreamingResponse>>,
    splitter: EventSplitter,
    ready: VecDeque<Bytes>,
    last_event: Option<EventId>,
    forwarded_bytes: u64,
    splits_events: bool,
    end: StreamEnd,
}

/// How the relay ended, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    Left,
    Complete,
    Broken,
    TimedOut,
}

impl StreamEnd {
    /// Word for the log.
    fn name(self) -> &'static str {
        match self {
            StreamEnd::Left => "client_left",
            StreamEnd::Complete => "whole",
            StreamEnd::Broken => "broken",
            StreamEnd::TimedOut => "timed_out",
        }
    }
}

enum Piece {
    Data(Bytes),
    End,
    Broken(String),
    TimedOut,
}

impl Relay {
    pub(crate) fn open(
        forwarder: Arc<Forwarder>,
        life: ActiveRequest,
        mut begun: Box<StreamingResponse>,
    ) -> Relay {
        // Only a stream that can go on elsewhere is worth cutting into events.
        let splits_events = life.is_resumable();
        let first = begun.first.take();
        let mut relay = Relay {
            last_event: life.head.resume_after,
            forwarder,
            life,
            current: Some(begun),
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            forwarded_bytes: 0,
            splits_events,
            end: StreamEnd::Left,
        };
        if let Some(first) = first {
            relay.take(first);
        }
        relay
    }

    /// The next piece for the client, or `None` at the end.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, IncompleteResponse>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                self.forwarded_bytes += bytes.len() as u64;
                return Some(Ok(bytes));
            }
            self.current.as_ref()?;
            match self.read().await {
                Piece::Data(bytes) => self.take(bytes),
                Piece::End if self.splitter.is_empty() => {
                    self.finish();
                    return None;
                }
                Piece::End => {
                    if !self.resume("the stream ended within an event").await {
                        return Some(Err(self.abort(StreamEnd::Broken)));
                    }
                }
                Piece::Broken(why) => {
                    if !self.resume(&why).await {
                        return Some(Err(self.abort(StreamEnd::Broken)));
                    }
                }
                Piece::TimedOut => return Some(Err(self.abort(StreamEnd::TimedOut))),
            }
        }
    }

    async fn read(&mut self) -> Piece {
        let Some(current) = self.current.as_mut() else { return Piece::End };
        match tokio::time::timeout_at(self.life.deadline, current.body.frame()).await {
            Err(_) => Piece::TimedOut,
            Ok(None) => Piece::End,
            Ok(Some(Err(error))) => Piece::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => Piece::Data(frame.into_data().unwrap_or_default()),
        }
    }

    fn take(&mut self, bytes: Bytes) {
        if !self.splits_events {
            self.ready.push_back(bytes);
            return;
        }
        if !self.splitter.push(&bytes) {
            // An event without an end cannot be cut; its bytes are passed on as they come.
            spdlog::warn!("an event is too large to be resumed after");
            self.splits_events = false;
        }
        while let Some(event) = self.splitter.next_event() {
            let is_known = match (event.id, self.last_event) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_known {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.ready.push_back(event.bytes);
        }
    }

    fn finish(&mut self) {
        self.end = StreamEnd::Complete;
        if let Some(mut current) = self.current.take() {
            current.guard.outcome = TargetOutcome::Served;
            if !current.metadata.closes {
                self.forwarder.pool.release(current.connection, current.metadata.idle_limit);
            }
        }
    }

    fn abort(&mut self, end: StreamEnd) -> IncompleteResponse {
        self.end = end;
        self.current = None;
        IncompleteResponse
    }

    /// Lets another runner go on after the last whole event.
    async fn resume(&mut self, why: &str) -> bool {
        let Some(mut broken) = self.current.take() else { return false };
        broken.guard.outcome = TargetOutcome::Failed;
        let target = broken.guard.place.target.clone();
        drop(broken);
        self.splitter = EventSplitter::default();
        let may_repeat = self.life.route.repeatability == Repeatability::Repeatable;
        request_log!("stream broke", kv: {
            request = self.life.head.attempt_id.as_str(),
            target = target.as_str(),
            why,
            last_event = self.last_event.unwrap_or_default(),
            resumable = may_repeat && self.splits_events,
        });
        if !may_repeat || !self.splits_events {
            return false;
        }
        self.life.avoid(&target);
        let forwarder = self.forwarder.clone();
        match forwarder.resume(&mut self.life, self.last_event).await {
            Some(mut begun) => {
                let first = begun.first.take();
                self.current = Some(begun);
                if let Some(first) = first {
                    self.take(first);
                }
                true
            }
            None => false,
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        metrics().count(&REQUESTS_ENDED, &[("end", self.end.name())]);
        let took_ms = milliseconds(self.life.received.elapsed());
        request_log!("answer ended", kv: {
            request = self.life.head.attempt_id.as_str(),
            end = self.end.name(),
            last_event = self.last_event.unwrap_or_default(),
            bytes = self.forwarded_bytes,
            took_ms,
            late = Instant::now() > self.life.received + self.life.route.timeout,
        });
    }
}

/// Whole milliseconds of a time.
pub(crate) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
