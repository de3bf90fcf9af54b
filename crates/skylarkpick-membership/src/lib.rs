//! Cluster membership of the entry processes: failure detection by probes, gossip within a data
//! centre, anti-entropy by digests, and bridges between data centres. Besides members, gossip
//! carries configuration versions, runner states, loads and leaving flags.
//!
//! [`Membership`] is a state machine without I/O: it receives messages and the time, and returns
//! messages to send. Its view can be outdated, so other components use it only as a hint: a wrong
//! view costs time but never correctness.

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

pub use gossip_state::{Change, GossipState, UpdateKey};
pub use membership::{Membership, MembershipSettings, Outgoing, RunnerInfo};
pub use protocol_parameters::ProtocolParameters;
pub use rendezvous::{digest_of, highest_weighted};
pub use runners::{RunnerView, decode_load};
pub use status::{LaggingMember, MemberView, VersionStatus};
