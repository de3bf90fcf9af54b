//! Log lines that tell whether an attempt counts as run, and why.

use super::attempt::Attempt;
use crate::{
    connection_pool::{Connection, SendError},
    log::request_log,
};
use http::StatusCode;
use skylarkpick_interface::ResponseMetadata;

impl Attempt<'_> {
    /// Logs a connection on which no response came.
    pub(super) fn log_send_error(&self, connection: &Connection, error: &SendError) {
        request_log!("connection failed under a request", kv: {
            request = self.request.head.attempt_id.as_str(),
            target = self.guard.assignment.target.as_str(),
            connection = connection.number(),
            is_reused = connection.is_reused,
            end = error.name(),
            why = error.to_string().as_str(),
        });
    }

    /// Logs what decides whether a request counts as run.
    pub(super) fn log_response(
        &self,
        kind: &'static str,
        connection: &Connection,
        status: StatusCode,
        metadata: &ResponseMetadata,
    ) {
        let request = &self.request.head.attempt_id;
        let id = match &metadata.attempt_id {
            Some(id) if id == request => "own",
            Some(_) => "other",
            None => "none",
        };
        request_log!("target rejected a request", kv: {
            request = request.as_str(),
            target = self.guard.assignment.target.as_str(),
            kind,
            status = status.as_u16(),
            id,
            connection = connection.number(),
            is_reused = connection.is_reused,
        });
    }
}
