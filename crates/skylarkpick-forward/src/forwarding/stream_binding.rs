//! Sends streams only to targets on the software version that began them.

use super::{
    active_request::ActiveRequest,
    forwarder::{Forwarder, SendResult, UNKNOWN_WAIT},
    response::GatewayError,
};
use crate::{log::request_log, serving_index::stream_window, streams::StreamVersion};
use skylarkpick_interface::ControlError;
use skylarkpick_schedule::Assignment;
use std::time::Duration;

/// Timeout for a target's report before a stream goes on there, as for a report before an order.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(300);

impl ActiveRequest {
    /// Restricts the request to what may go on with its stream. Returns false if the route doesn't
    /// lead there, or may not.
    fn bind_to_stream(&mut self, found: &StreamVersion) -> bool {
        let destinations = &self.route.destinations;
        match &found.service {
            Some(service) if destinations.iter().any(|it| it.service == *service) => {
                self.placement_request.service = service.clone();
            }
            None if self.has_only_service() => {}
            _ => return false,
        }
        self.bind_to_version(found.version.clone());
        true
    }
}

impl Forwarder {
    /// Restricts a request of a client that resumes a stream to targets on the software version that
    /// began it. If that can't be found out, the request is rejected: the events of other versions
    /// don't fit those that the client has.
    pub(super) async fn bind_resumed_stream(
        &self,
        request: &mut ActiveRequest,
    ) -> Result<(), SendResult> {
        if !request.is_resumed_by_client() {
            return Ok(());
        }
        let (attempt, service) = (request.head.resumed_attempt.as_ref(), request.service());
        let found = self.streams.find(attempt, service, stream_window(&request.route)).await;
        let why = match found {
            Some(found) if request.bind_to_stream(&found) => return Ok(()),
            Some(_) => {
                "the service that began the stream is not known, or not a destination any more"
            }
            None => "it is not known which software version began the stream",
        };
        let error = GatewayError::RetryLater { wait: UNKNOWN_WAIT };
        Err(SendResult::Failed(error, why.to_string()))
    }

    /// Returns whether the request must run at the registered incarnation of its target: it resumes a
    /// stream, or begins one that others may have to resume at the same software version.
    pub(super) fn needs_incarnation(&self, request: &ActiveRequest) -> bool {
        request.placement_request.software_version.is_some()
            || (request.is_resumable() && self.node_state.may_miss_restarts(request.service()))
    }

    /// Asks a target whether it is the incarnation that is registered: another one may run another
    /// software version, and its registration may not have arrived yet. A target that doesn't report
    /// its start is taken for the registered one.
    pub(super) async fn is_registered_incarnation(
        &self,
        request: &ActiveRequest,
        assignment: &Assignment,
    ) -> bool {
        let why = match self.control.order_state(assignment.address, INCARNATION_TIMEOUT).await {
            Ok(state) => match state.started_at_ms {
                Some(started_at_ms) if started_at_ms != assignment.started_at_ms => {
                    format!("it started at {started_at_ms}")
                }
                _ => return true,
            },
            Err(ControlError::NoResponse(why)) => why,
            Err(error @ ControlError::Paused(_)) => error.to_string(),
            Err(ControlError::TooMany | ControlError::Unreadable(_)) => return true,
        };
        request_log!("target not used for a stream", kv: {
            request = request.head.attempt_id.as_str(),
            target = assignment.target.as_str(),
            started_at_ms = assignment.started_at_ms,
            why = why.as_str(),
        });
        false
    }
}
