//! One request from its head to the end of its answer.

mod attempt;
mod event_splitter;
mod forwarder;
mod response;
mod response_stream;

#[cfg(test)]
mod tests;

pub(crate) use forwarder::Forwarder;
pub(crate) use response::{ClientBody, IncompleteResponse};
