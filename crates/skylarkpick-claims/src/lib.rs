//! The sharded claim log that makes a request run at most once.
//!
//! A request that must not run twice is claimed under the caller's idempotency key before it is
//! sent, and its outcome is appended to the log afterwards. The log is split into shards by a
//! digest of client account and key. A shard is a sequence of platform objects,
//! `claims/<shard>/<number>`, each created only if it doesn't exist yet, which puts the claims of
//! all processes into one order. [`ShardStateMachine`] makes the decisions for one shard and does
//! no I/O; [`ClaimLog`] runs the shards against a platform.
//!
//! Guarantees, whatever fails:
//! - of all claims of a key, at most one is granted and has its request sent;
//! - a claim that was refused, abandoned or not confirmed in time is never granted later;
//! - a claim without an outcome is never reported as not run.

mod claim;
mod digest;
mod driver;
mod events;
mod index;
mod log;
mod pending;
mod settings;
mod shard_client;
mod state_machine;
mod tail;
mod ticket;

pub use claim::{ClaimId, ClaimOutcome, ClaimRequest, KeyDigest, Ran, StoredOutcome, WaitOutcome};
pub use digest::{digest_key, digest_request, shard_of};
pub use events::{
    Action, Call, CallResult, ClaimReply, FoundObject, Input, ListedNumber, Reply, Time, WaitReply,
    WaiterId,
};
pub use index::{Index, KeyState};
pub use log::ClaimLog;
pub use settings::ClaimSettings;
pub use state_machine::ShardStateMachine;
pub use ticket::{SentTicket, Ticket};
