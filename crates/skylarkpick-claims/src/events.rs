//! What goes into a shard's machine and what comes out of it.

use crate::claim::{ClaimId, KeyDigest, Ran};
use skylarkpick_interface::{ObjectVersion, RequestId};
use skylarkpick_protocol::stored::{ClaimBatch, Claimed, Outcome};
use std::time::Duration;

/// Names somebody who waits for an outcome.
pub type WaiterId = u64;

/// The moment at which something happens, on this process's clocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Time {
    /// Time since boot.
    pub since_boot: Duration,
    /// Wall-clock time in milliseconds since 1970, for records and retention only.
    pub wall_ms: u64,
}

/// What the process wants of the shard.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Claim a key.
    Claim {
        /// Name of the claim.
        claim_id: ClaimId,
        /// Key to claim.
        key: KeyDigest,
        /// Content of the claim.
        claimed: Claimed,
    },
    /// Nothing was sent under this claim, and nothing will be.
    GiveUp {
        /// Name of the claim.
        claim_id: ClaimId,
        /// Key that it claimed.
        key: KeyDigest,
    },
    /// The request of a granted claim ended.
    Finish {
        /// Name of the claim.
        claim_id: ClaimId,
        /// Key that it claimed.
        key: KeyDigest,
        /// What came of the request.
        outcome: Outcome,
    },
    /// Tell the waiter when the key's claim ends.
    Wait {
        /// Who waits.
        waiter: WaiterId,
        /// Key whose claim runs.
        key: KeyDigest,
    },
    /// The waiter has gone.
    StopWaiting {
        /// Who waited.
        waiter: WaiterId,
    },
}

/// A call to the platform; a shard makes one at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// List the shard's objects after this number, or from the start.
    List {
        /// Last number already listed.
        after: Option<u64>,
    },
    /// Read objects with consecutive numbers.
    Get {
        /// First number.
        number: u64,
        /// Objects to read.
        count: u64,
    },
    /// Create an object if it is absent.
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
        /// Version that it must be at.
        version: ObjectVersion,
    },
}

/// One line of a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedNumber {
    /// Number of the object.
    pub number: u64,
    /// Whether the listing may go on after it.
    pub more: bool,
}

/// An object that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundObject {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Content, or `None` where it cannot be decoded.
    pub batch: Option<ClaimBatch>,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Numbers found by a listing, in order; the last line says whether there may be more.
    Listed(Vec<ListedNumber>),
    /// Objects read, `None` for each that is missing.
    Found(Vec<Option<FoundObject>>),
    /// The object was created.
    Written(ObjectVersion),
    /// An object with this number exists already.
    Conflict,
    /// The deletion was answered, one way or the other.
    Deleted,
    /// Nothing was read or written.
    Failed(String),
    /// No answer: the write may have taken effect, or may still do so.
    Unknown(String),
}

/// What a claimant is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimReply {
    /// The request is this process's to send.
    Granted,
    /// An earlier claim's request runs.
    Running(RequestId),
    /// An earlier claim's request ran; the outcome is in the object with this number.
    Ended {
        /// Number of the object.
        number: u64,
        /// Claim that the outcome belongs to.
        claim_id: ClaimId,
    },
    /// An earlier claim's request may have run.
    OutcomeUnknown(RequestId),
    /// The key belongs to another request.
    DifferentRequest(RequestId),
    /// Not confirmed in time: never granted.
    Away(String),
}

/// What somebody who waits is told.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitReply {
    /// The request ended in this process.
    Outcome(Outcome),
    /// The request ended; the outcome is in the object with this number.
    Ended {
        /// Whether it ran.
        ran: Ran,
        /// Number of the object.
        number: u64,
        /// Claim that the outcome belongs to.
        claim_id: ClaimId,
    },
    /// The key is no longer known.
    Forgotten,
}

/// What the process is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Answers a claim.
    Claim(ClaimId, ClaimReply),
    /// Answers somebody who waits.
    Wait(WaiterId, WaitReply),
    /// The outcome of a claim is in the log.
    Appended(ClaimId),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Make this call and hand its answer back.
    Call(Call),
    /// Nothing until an input comes or this time since boot is reached.
    Wait(Option<Duration>),
}
