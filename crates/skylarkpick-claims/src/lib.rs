//! The sharded claim log that makes a request run at most once.
//!
//! A request that may not be repeated is claimed under the caller's idempotency key before it is
//! sent, and its outcome is appended afterwards. The log is split into shards by a digest of
//! client account and key; a shard is a row of platform objects, `claims/<shard>/<number>`, each
//! created only if absent. [`ClaimLog`] runs it on a platform; [`ShardMachine`] takes every
//! decision without clock, task or input and output.
//!
//! What holds, whatever fails:
//! - at most one claim of a key is granted whose request is then sent;
//! - a claim that was refused, given up or not confirmed in time is never granted later;
//! - a claim without an outcome is never reported as not run.

mod claim;
mod digest;
mod driver;
mod events;
mod index;
mod log;
mod machine;
mod pending;
mod platform_call;
mod settings;
mod tail;
mod ticket;

pub use claim::{ClaimId, ClaimOutcome, ClaimRequest, KeyDigest, Ran, StoredOutcome, WaitOutcome};
pub use digest::{digest_key, digest_request, shard_of};
pub use events::{
    Answer, Call, ClaimReply, FoundObject, Input, ListedNumber, Next, Reply, Time, WaitReply,
    WaiterId,
};
pub use index::{Index, KeyState};
pub use log::ClaimLog;
pub use machine::ShardMachine;
pub use settings::ClaimSettings;
pub use ticket::{SentTicket, Ticket};
