//! Forwards a client request to targets, from its head to the end of the response.

mod active_request;
mod attempt;
mod attempt_log;
mod body_buffer;
mod event_splitter;
mod forwarder;
mod hand_over;
mod piecewise_body;
mod request_body;
mod request_identity;
mod response;
mod response_stream;
mod stream_binding;

#[cfg(test)]
mod body_buffer_tests;
#[cfg(test)]
mod request_body_tests;
#[cfg(test)]
mod request_identity_tests;
#[cfg(test)]
mod tests;

pub(crate) use active_request::ActiveRequest;
pub(crate) use forwarder::{BUFFERED_TOTAL_LIMIT_BYTES, Forwarder, UNKNOWN_WAIT};
pub(crate) use request_body::BodyBudget;
pub(crate) use response::{
    ClientBody, IncompleteResponse, ResponseDeadline, may_end_with_connection,
};
pub(crate) use response_stream::milliseconds;
