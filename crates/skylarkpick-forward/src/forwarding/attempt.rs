//! One send to one target.

use super::forwarder::{ActiveRequest, Forwarder};
use crate::{
    connection_pool::{Connection, SendError},
    node_state::AssignmentGuard,
};
use bytes::Bytes;
use http::{Request, StatusCode, Uri, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use skylarkpick_interface::{
    EventId, Repeatability, RequestMetadata, ResponseKind, ResponseMetadata,
};
use skylarkpick_schedule::TargetOutcome;
use std::time::Duration;
use tokio::time::Instant;

/// Largest body that is held back until it is whole.
const HELD_BODY_LIMIT_BYTES: usize = 1_048_576;
/// A request that may not be repeated goes only on a connection that was used this recently: one
/// that its target has closed meanwhile would leave open whether the request ran.
const FRESH_CONNECTION_LIMIT: Duration = Duration::from_millis(1_000);
/// Any other request may go on a connection that was unused for this long.
const USABLE_CONNECTION_LIMIT: Duration = Duration::from_secs(4);

/// What became of one send.
pub(crate) enum AttemptOutcome {
    /// No byte of it left this process.
    NotSent(String),
    /// The target said that it did not run the request.
    NotRun(ResponseMetadata),
    /// It may have run, and there is no answer that can be trusted.
    Broken(String),
    /// The time was over before there was an answer.
    TimedOut,
    /// The whole answer.
    Complete(CompleteResponse),
    /// The start of an answer whose rest is still to come.
    Streaming(Box<StreamingResponse>),
}

impl AttemptOutcome {
    /// Word for metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            AttemptOutcome::NotSent(_) => "not_sent",
            AttemptOutcome::NotRun(_) => "not_run",
            AttemptOutcome::Broken(_) => "broken",
            AttemptOutcome::TimedOut => "timed_out",
            AttemptOutcome::Complete(_) => "whole",
            AttemptOutcome::Streaming(_) => "begun",
        }
    }
}

/// A whole answer of a target.
pub(crate) struct CompleteResponse {
    pub(crate) head: Parts,
    pub(crate) content: Bytes,
}

/// An answer that comes in pieces.
pub(crate) struct StreamingResponse {
    pub(crate) head: Parts,
    pub(crate) metadata: ResponseMetadata,
    /// First piece, read so that nothing is promised to the client before there is something.
    pub(crate) first: Option<Bytes>,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) guard: AssignmentGuard,
}

/// What one send is made of.
pub(crate) struct Attempt<'a> {
    pub(crate) forwarder: &'a Forwarder,
    pub(crate) life: &'a ActiveRequest,
    pub(crate) guard: AssignmentGuard,
    pub(crate) resume_after: Option<EventId>,
}

impl Attempt<'_> {
    /// Sends the request and takes in the answer as far as it is held back.
    pub(crate) async fn run(mut self) -> AttemptOutcome {
        let deadline = self.life.deadline;
        let sent = tokio::time::timeout_at(deadline, self.send()).await;
        let (connection, head, body) = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return self.handle_send_error(error),
            Err(_) => {
                self.guard.outcome = TargetOutcome::Unknown;
                return AttemptOutcome::TimedOut;
            }
        };
        let metadata = self.forwarder.dialect.read_response(&head);
        if let Err(why) = self.check(&head, &metadata) {
            self.guard.outcome = TargetOutcome::Failed;
            return AttemptOutcome::Broken(why);
        }
        self.observe(&metadata);
        if metadata.is_not_run {
            return self.handle_rejection(connection, body, metadata).await;
        }
        if self.life.route.shape == ResponseKind::Events && head.status.is_success() {
            return self.begin_event_stream(connection, head, metadata, body).await;
        }
        self.read_complete(connection, head, metadata, body).await
    }

    async fn send(&mut self) -> Result<(Connection, Parts, Incoming), SendError> {
        let place = &self.guard.place;
        let idle_limit = match self.life.route.repeatability {
            Repeatability::Once => FRESH_CONNECTION_LIMIT,
            Repeatability::Repeatable => USABLE_CONNECTION_LIMIT,
        };
        let mut connection = self.forwarder.pool.connect(place.address, idle_limit).await?;
        let request = self.request()?;
        let response = match connection.send(request).await {
            Err(SendError::NotSent(_)) if connection.is_reused => {
                // The target closed it while it was unused; a new one tells more.
                connection = self.forwarder.pool.connect(place.address, Duration::ZERO).await?;
                connection.send(self.request()?).await?
            }
            response => response?,
        };
        let (head, body) = response.into_parts();
        Ok((connection, head, body))
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, SendError> {
        let (life, place) = (self.life, &self.guard.place);
        let metadata = RequestMetadata {
            deadline: life.deadline.saturating_duration_since(Instant::now()),
            target: place.target.clone(),
            account: life.account.as_ref().map(|account| account.account.clone()),
            rank: Some(life.rank()),
            weight_version: place.weight_version,
            cache_scope: place.cache_scope.clone(),
            fetch: place.fetch.clone(),
            save: place.save.clone(),
            resume_after: self.resume_after.or(life.head.resume_after),
        };
        let mut request = Request::new(Full::new(life.body.clone()));
        *request.method_mut() = life.method.clone();
        *request.uri_mut() = life.path.parse::<Uri>().map_err(not_sent)?;
        *request.headers_mut() = self.forwarder.dialect.write_request(&life.head, &metadata);
        Ok(request)
    }

    /// Whether the answer is one to this request at all.
    fn check(&self, head: &Parts, metadata: &ResponseMetadata) -> Result<(), String> {
        if metadata.attempt_id.as_ref() != Some(&self.life.head.attempt_id) && !metadata.is_not_run
        {
            return Err(format!("the answer is for {:?}", metadata.attempt_id));
        }
        if metadata.attempt_id.as_ref().is_some_and(|id| *id != self.life.head.attempt_id) {
            return Err(format!("the answer is for {:?}", metadata.attempt_id));
        }
        if head.status.is_success() && !metadata.is_signed {
            return Err("the answer is not signed".to_string());
        }
        if head.status.is_informational() {
            return Err(format!("status {}", head.status));
        }
        Ok(())
    }

    fn observe(&self, metadata: &ResponseMetadata) {
        let target = &self.guard.place.target;
        if let Some(load) = metadata.load {
            self.forwarder.node_state.observe_load(target, load);
        }
        if let (Some(version), Some(prompt)) = (metadata.weight_version, &self.life.head.prompt) {
            self.forwarder.node_state.observe_weights(target, &prompt.model, version);
        }
    }

    fn handle_send_error(&mut self, error: SendError) -> AttemptOutcome {
        self.guard.outcome = TargetOutcome::Unreachable;
        match error {
            SendError::NotConnected(why) | SendError::NotSent(why) => {
                self.forwarder.pool.close(&self.guard.place.address);
                AttemptOutcome::NotSent(why)
            }
            SendError::Broken(why) => AttemptOutcome::Broken(why),
        }
    }

    async fn handle_rejection(
        mut self,
        connection: Connection,
        body: Incoming,
        metadata: ResponseMetadata,
    ) -> AttemptOutcome {
        let is_other_target =
            metadata.target.as_ref().is_some_and(|target| *target != self.guard.place.target);
        let is_full = !is_other_target && metadata.weight_version.is_none();
        self.guard.outcome = match (is_other_target, is_full) {
            (true, _) => TargetOutcome::Unreachable,
            (_, true) => TargetOutcome::Rejected,
            _ => TargetOutcome::Unknown,
        };
        // The connection is kept only if the rest of the answer is there already.
        if let Ok(Some(_)) = self.read_body(body, Instant::now() + Duration::from_millis(50)).await
            && !metadata.closes
        {
            self.forwarder.pool.release(connection, metadata.idle_limit);
        }
        AttemptOutcome::NotRun(metadata)
    }

    /// Reads a body to its end; `None` for one that is too large to be held back.
    async fn read_body(&self, body: Incoming, until: Instant) -> Result<Option<Bytes>, String> {
        if body.size_hint().lower() > HELD_BODY_LIMIT_BYTES as u64 {
            return Ok(None);
        }
        let collected = tokio::time::timeout_at(until, body.collect()).await;
        match collected {
            Err(_) => Err("the time is over".to_string()),
            Ok(Err(error)) => Err(error.to_string()),
            Ok(Ok(body)) => Ok(Some(body.to_bytes())),
        }
    }

    async fn read_complete(
        mut self,
        connection: Connection,
        head: Parts,
        metadata: ResponseMetadata,
        body: Incoming,
    ) -> AttemptOutcome {
        if body.size_hint().lower() > HELD_BODY_LIMIT_BYTES as u64 {
            let guard = self.guard;
            let begun = StreamingResponse { head, metadata, first: None, body, connection, guard };
            return AttemptOutcome::Streaming(Box::new(begun));
        }
        match self.read_body(body, self.life.deadline).await {
            Ok(Some(content)) => {
                self.guard.outcome = target_outcome(head.status);
                if !metadata.closes {
                    self.forwarder.pool.release(connection, metadata.idle_limit);
                }
                AttemptOutcome::Complete(CompleteResponse { head, content })
            }
            Ok(None) => AttemptOutcome::Broken("the answer is too large".to_string()),
            Err(_) if Instant::now() >= self.life.deadline => AttemptOutcome::TimedOut,
            Err(why) => {
                self.guard.outcome = TargetOutcome::Failed;
                AttemptOutcome::Broken(why)
            }
        }
    }

    async fn begin_event_stream(
        mut self,
        connection: Connection,
        head: Parts,
        metadata: ResponseMetadata,
        mut body: Incoming,
    ) -> AttemptOutcome {
        let frame = tokio::time::timeout_at(self.life.deadline, body.frame()).await;
        let first = match frame {
            Err(_) => return AttemptOutcome::TimedOut,
            Ok(Some(Ok(frame))) => frame.into_data().ok(),
            Ok(None) => None,
            Ok(Some(Err(error))) => {
                self.guard.outcome = TargetOutcome::Failed;
                return AttemptOutcome::Broken(error.to_string());
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

/// What a whole answer says of its target.
fn target_outcome(status: StatusCode) -> TargetOutcome {
    if status.is_server_error() { TargetOutcome::Failed } else { TargetOutcome::Served }
}

fn not_sent(error: impl std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string())
}
