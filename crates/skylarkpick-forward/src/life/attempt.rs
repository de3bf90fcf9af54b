//! One send to one target.

use super::request::{Lives, RequestLife};
use crate::{
    connection_pool::{Connection, SendError},
    desk::PlaceGuard,
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
pub(crate) enum AttemptEnd {
    /// No byte of it left this process.
    NotSent(String),
    /// The target said that it did not run the request.
    NotRun(ResponseMetadata),
    /// It may have run, and there is no answer that can be trusted.
    Broken(String),
    /// The time was over before there was an answer.
    TimedOut,
    /// The whole answer.
    Whole(WholeAnswer),
    /// The start of an answer whose rest is still to come.
    Begun(Box<BegunAnswer>),
}

impl AttemptEnd {
    /// Word for metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            AttemptEnd::NotSent(_) => "not_sent",
            AttemptEnd::NotRun(_) => "not_run",
            AttemptEnd::Broken(_) => "broken",
            AttemptEnd::TimedOut => "timed_out",
            AttemptEnd::Whole(_) => "whole",
            AttemptEnd::Begun(_) => "begun",
        }
    }
}

/// A whole answer of a target.
pub(crate) struct WholeAnswer {
    pub(crate) head: Parts,
    pub(crate) content: Bytes,
}

/// An answer that comes in pieces.
pub(crate) struct BegunAnswer {
    pub(crate) head: Parts,
    pub(crate) marks: ResponseMetadata,
    /// First piece, read so that nothing is promised to the client before there is something.
    pub(crate) first: Option<Bytes>,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) guard: PlaceGuard,
}

/// What one send is made of.
pub(crate) struct Attempt<'a> {
    pub(crate) lives: &'a Lives,
    pub(crate) life: &'a RequestLife,
    pub(crate) guard: PlaceGuard,
    pub(crate) resume_after: Option<EventId>,
}

impl Attempt<'_> {
    /// Sends the request and takes in the answer as far as it is held back.
    pub(crate) async fn run(mut self) -> AttemptEnd {
        let deadline = self.life.deadline;
        let sent = tokio::time::timeout_at(deadline, self.send()).await;
        let (connection, head, body) = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return self.not_answered(error),
            Err(_) => {
                self.guard.outcome = TargetOutcome::Unknown;
                return AttemptEnd::TimedOut;
            }
        };
        let marks = self.lives.dialect.read_response(&head);
        if let Err(why) = self.check(&head, &marks) {
            self.guard.outcome = TargetOutcome::Failed;
            return AttemptEnd::Broken(why);
        }
        self.observe(&marks);
        if marks.is_not_run {
            return self.turned_away(connection, body, marks).await;
        }
        if self.life.route.shape == ResponseKind::Events && head.status.is_success() {
            return self.begin_events(connection, head, marks, body).await;
        }
        self.read_whole(connection, head, marks, body).await
    }

    async fn send(&mut self) -> Result<(Connection, Parts, Incoming), SendError> {
        let place = &self.guard.place;
        let idle_limit = match self.life.route.repeatability {
            Repeatability::Once => FRESH_CONNECTION_LIMIT,
            Repeatability::Repeatable => USABLE_CONNECTION_LIMIT,
        };
        let mut connection = self.lives.pool.connect(place.address, idle_limit).await?;
        let request = self.request()?;
        let response = match connection.send(request).await {
            Err(SendError::NotSent(_)) if connection.is_reused => {
                // The target closed it while it was unused; a new one tells more.
                connection = self.lives.pool.connect(place.address, Duration::ZERO).await?;
                connection.send(self.request()?).await?
            }
            response => response?,
        };
        let (head, body) = response.into_parts();
        Ok((connection, head, body))
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, SendError> {
        let (life, place) = (self.life, &self.guard.place);
        let marks = RequestMetadata {
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
        *request.headers_mut() = self.lives.dialect.write_request(&life.head, &marks);
        Ok(request)
    }

    /// Whether the answer is one to this request at all.
    fn check(&self, head: &Parts, marks: &ResponseMetadata) -> Result<(), String> {
        if marks.attempt_id.as_ref() != Some(&self.life.head.attempt_id) && !marks.is_not_run {
            return Err(format!("the answer is for {:?}", marks.attempt_id));
        }
        if marks.attempt_id.as_ref().is_some_and(|id| *id != self.life.head.attempt_id) {
            return Err(format!("the answer is for {:?}", marks.attempt_id));
        }
        if head.status.is_success() && !marks.is_signed {
            return Err("the answer is not signed".to_string());
        }
        if head.status.is_informational() {
            return Err(format!("status {}", head.status));
        }
        Ok(())
    }

    fn observe(&self, marks: &ResponseMetadata) {
        let target = &self.guard.place.target;
        if let Some(load) = marks.load {
            self.lives.desk.observe_load(target, load);
        }
        if let (Some(version), Some(prompt)) = (marks.weight_version, &self.life.head.prompt) {
            self.lives.desk.observe_weights(target, &prompt.model, version);
        }
    }

    fn not_answered(&mut self, error: SendError) -> AttemptEnd {
        self.guard.outcome = TargetOutcome::Unreachable;
        match error {
            SendError::NotConnected(why) | SendError::NotSent(why) => {
                self.lives.pool.close(&self.guard.place.address);
                AttemptEnd::NotSent(why)
            }
            SendError::Broken(why) => AttemptEnd::Broken(why),
        }
    }

    async fn turned_away(
        mut self,
        connection: Connection,
        body: Incoming,
        marks: ResponseMetadata,
    ) -> AttemptEnd {
        let is_other_target =
            marks.target.as_ref().is_some_and(|target| *target != self.guard.place.target);
        let is_full = !is_other_target && marks.weight_version.is_none();
        self.guard.outcome = match (is_other_target, is_full) {
            (true, _) => TargetOutcome::Unreachable,
            (_, true) => TargetOutcome::TurnedAway,
            _ => TargetOutcome::Unknown,
        };
        // The connection is kept only if the rest of the answer is there already.
        if let Ok(Some(_)) = self.read_body(body, Instant::now() + Duration::from_millis(50)).await
            && !marks.closes
        {
            self.lives.pool.release(connection, marks.idle_limit);
        }
        AttemptEnd::NotRun(marks)
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

    async fn read_whole(
        mut self,
        connection: Connection,
        head: Parts,
        marks: ResponseMetadata,
        body: Incoming,
    ) -> AttemptEnd {
        if body.size_hint().lower() > HELD_BODY_LIMIT_BYTES as u64 {
            let guard = self.guard;
            let begun = BegunAnswer { head, marks, first: None, body, connection, guard };
            return AttemptEnd::Begun(Box::new(begun));
        }
        match self.read_body(body, self.life.deadline).await {
            Ok(Some(content)) => {
                self.guard.outcome = outcome_of(head.status);
                if !marks.closes {
                    self.lives.pool.release(connection, marks.idle_limit);
                }
                AttemptEnd::Whole(WholeAnswer { head, content })
            }
            Ok(None) => AttemptEnd::Broken("the answer is too large".to_string()),
            Err(_) if Instant::now() >= self.life.deadline => AttemptEnd::TimedOut,
            Err(why) => {
                self.guard.outcome = TargetOutcome::Failed;
                AttemptEnd::Broken(why)
            }
        }
    }

    async fn begin_events(
        mut self,
        connection: Connection,
        head: Parts,
        marks: ResponseMetadata,
        mut body: Incoming,
    ) -> AttemptEnd {
        let frame = tokio::time::timeout_at(self.life.deadline, body.frame()).await;
        let first = match frame {
            Err(_) => return AttemptEnd::TimedOut,
            Ok(Some(Ok(frame))) => frame.into_data().ok(),
            Ok(None) => None,
            Ok(Some(Err(error))) => {
                self.guard.outcome = TargetOutcome::Failed;
                return AttemptEnd::Broken(error.to_string());
            }
        };
        self.guard.note_first_answer();
        let guard = self.guard;
        AttemptEnd::Begun(Box::new(BegunAnswer { head, marks, first, body, connection, guard }))
    }
}

/// What a whole answer says of its target.
fn outcome_of(status: StatusCode) -> TargetOutcome {
    if status.is_server_error() { TargetOutcome::Failed } else { TargetOutcome::Served }
}

fn not_sent(error: impl std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string())
}
