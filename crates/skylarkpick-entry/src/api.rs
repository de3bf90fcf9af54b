//! HTTP API of an entry process, for callers and operators.

mod bodies;
mod completions;
mod gauges;
mod json;
mod operators;
mod request_log;
mod response;
mod routes;
mod server;
mod services;

#[cfg(test)]
mod tests;

pub use server::ApiServer;
