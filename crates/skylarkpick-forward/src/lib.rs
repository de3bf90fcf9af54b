//! The life of requests that are passed on byte for byte, and the process around it.
//!
//! [`Node::spawn`] starts a process on trait objects alone: the platform's records and objects,
//! the dialect of heads, and the calls to targets. Decisions are in `skylarkpick-schedule`.

mod client;
mod connection_pool;
mod desk;
mod fleet;
mod jitter;
mod life;
mod log;
mod node;
mod peers;
mod readiness;
mod serving_index;
#[cfg(test)]
mod test_support;

pub use node::{Node, NodeParts};
