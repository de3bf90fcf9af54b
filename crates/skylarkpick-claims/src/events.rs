//! Inputs, platform calls and replies of a shard's state machine.

use crate::claim::{ClaimId, KeyDigest, Ran};
use skylarkpick_interface::{RequestId, StoreRevision};
use skylarkpick_protocol::stored::{ClaimBatch, Claimed, Outcome};
use std::time::Duration;

/// Id of a request that waits for an outcome.
pub type WaiterId = u64;

/// A point in time on the clocks of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Time {
    /// Time since boot.
    pub since_boot: Duration,
    /// Wall-clock time in milliseconds since 1970, used only for stored entries and retention.
    pub wall_ms: u64,
}

/// A request of the process to the shard.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Claim a key.
    Claim {
        /// Id of the claim.
        claim_id: ClaimId,
        /// Key to claim.
        key: KeyDigest,
        /// Content of the claim's log entry.
        claimed: Claimed,
    },
    /// Abandon a claim, granted or not, under which nothing was sent.
    Abandon {
        /// Id of the claim.
        claim_id: ClaimId,
        /// Key of the claim.
        key: KeyDigest,
    },
    /// Record the outcome of a granted claim.
    Finish {
        /// Id of the claim.
        claim_id: ClaimId,
        /// Key of the claim.
        key: KeyDigest,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// Reply to the waiter when the claim of the key has an outcome.
    Wait {
        /// Id of the waiter.
        waiter: WaiterId,
        /// Key to wait for.
        key: KeyDigest,
    },
    /// Drop a waiter.
    StopWaiting {
        /// Id of the waiter.
        waiter: WaiterId,
    },
}

/// A call to the platform; a shard has at most one in flight.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// List the shard's objects after this number, or from the start.
    List {
        /// Last number of the previous listing.
        after: Option<u64>,
    },
    /// Read objects with consecutive numbers.
    Get {
        /// First number.
        number: u64,
        /// Number of objects to read.
        count: u64,
    },
    /// Create an object, if it doesn't exist.
    Put {
        /// Number of the object.
        number: u64,
        /// Content of the object.
        batch: ClaimBatch,
    },
    /// Delete an object whose entries are past their retention.
    Delete {
        /// Number of the object.
        number: u64,
        /// Version that the object must have.
        version: StoreRevision,
    },
}

/// One entry of a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedNumber {
    /// Number of the object.
    pub number: u64,
    /// Whether the listing was truncated at its limit, so that more objects may follow.
    pub more: bool,
}

/// A log object that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundObject {
    /// Version of the object.
    pub version: StoreRevision,
    /// Content; `None` if it cannot be decoded.
    pub batch: Option<ClaimBatch>,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// Numbers found by a listing, in ascending order.
    Listed(Vec<ListedNumber>),
    /// Objects read; `None` for each one that doesn't exist.
    Found(Vec<Option<FoundObject>>),
    /// The object was created.
    Written(StoreRevision),
    /// An object with this number exists already.
    Conflict,
    /// The deletion completed, failed or timed out.
    Deleted,
    /// The call failed; nothing was read or written.
    Failed(String),
    /// No response: the write may have taken effect, or may still do so.
    Unknown(String),
}

/// Reply to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimReply {
    /// This process may send the request.
    Granted,
    /// The request is in progress under an earlier claim.
    Running(RequestId),
    /// The request ran under an earlier claim.
    Ended {
        /// Number of the object that holds the outcome.
        number: u64,
        /// Claim that the outcome belongs to.
        claim_id: ClaimId,
    },
    /// The request may have run under an earlier claim.
    OutcomeUnknown(RequestId),
    /// The key was used for a request with another digest.
    DifferentRequest(RequestId),
    /// The claim was not confirmed in time, for this reason, and will never be granted.
    NotConfirmed(String),
}

/// Reply to a waiter.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitReply {
    /// The request ended in this process, and its outcome may not be in the log yet.
    Outcome(Outcome),
    /// The request ended, and its outcome is in the log.
    Ended {
        /// Whether the request ran.
        ran: Ran,
        /// Number of the object that holds the outcome.
        number: u64,
        /// Claim that the outcome belongs to.
        claim_id: ClaimId,
    },
    /// The log no longer contains a claim of the key.
    Forgotten,
}

/// A reply of the shard to the process.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Reply to a claim.
    Claim(ClaimId, ClaimReply),
    /// Reply to a waiter.
    Wait(WaiterId, WaitReply),
    /// The outcome of a claim is in the log.
    Appended(ClaimId),
}

/// What the caller does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make this call and pass its result to
    /// [`ShardStateMachine::complete_call`](crate::ShardStateMachine::complete_call).
    Call(Call),
    /// Wait for an input, or until this time since boot.
    Wait(Option<Duration>),
}
