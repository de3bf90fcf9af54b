//! The callers' and operators' HTTP before an entry.

mod answer;
mod completions;
mod door;
mod gauges;
mod json;
mod operators;
mod request_log;
mod routes;
mod services;
mod wire;

#[cfg(test)]
mod tests;

pub use door::ApiServer;
