//! The life of requests that are passed on byte for byte, and the process around it.
//!
//! [`Node::spawn`] starts a process on trait objects alone: the platform's records and objects,
//! the dialect of heads, and the calls to targets. Decisions are in `skylarkpick-schedule`.

mod desk;
mod fleet;
mod front;
mod life;
mod log;
mod node;
mod pause;
mod peers;
mod pool;
mod readiness;
mod serving;
#[cfg(test)]
mod test_support;

pub use node::{Node, NodeParts};
