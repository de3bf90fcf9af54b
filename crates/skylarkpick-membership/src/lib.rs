//! Heartbeats, gossip, load deltas and leaving flags as pure state machines.
//!
//! A [`Membership`] takes messages and the time in and gives messages out; it holds no socket,
//! clock or task. What it knows is a hint: a wrong belief costs time, never correctness.

mod bridges;
mod detection;
mod digests;
mod gossip_state;
mod membership;
mod outbox;
mod protocol_parameters;
mod rendezvous;
mod roles;
mod runners;
mod status;

pub use gossip_state::{Change, GossipState, NewsKey};
pub use membership::{Membership, MembershipSettings, Outgoing, RunnerInfo};
pub use protocol_parameters::ProtocolParameters;
pub use rendezvous::{digest_of, highest};
pub use runners::{RunnerLoadView, load_report};
pub use status::{LaggingMember, MemberView, VersionStatus};
