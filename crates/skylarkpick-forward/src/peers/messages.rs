//! Messages between entry processes.

use serde::{Deserialize, Serialize};
use skylarkpick_interface::{
    FleetRevision, FleetTopic, FleetUpdate, ModelName, TargetId, WeightVersion,
};
use std::net::SocketAddr;

/// What one process asks another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Question {
    /// Records of a topic that are newer than this revision.
    Records {
        /// Topic of the records.
        topic: FleetTopic,
        /// Revision that the asker has.
        since: FleetRevision,
        /// Longest wait for newer ones.
        wait_ms: u64,
    },
    /// What changed in caches since a place in this process's log of changes.
    Caches {
        /// Life of the log that the place belongs to; 0 for none.
        log: u64,
        /// Place after the last change that the asker has.
        since: u64,
        /// Longest wait for a change.
        wait_ms: u64,
    },
}

/// What one process tells others without wanting an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Notice {
    /// A target is ordered to swap its weights and turns requests away until it has.
    Swapping {
        /// The target.
        target: TargetId,
        /// Model of the weights.
        model: ModelName,
        /// Weights that it will serve.
        weight_version: WeightVersion,
    },
}

/// What the other process answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Reply {
    /// Nothing newer, or nothing to say.
    Nothing,
    /// Records of the topic.
    Records(PeerNews),
    /// Changes of caches.
    Caches(CacheNews),
}

/// Records that a process knows, newer than the asker's.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PeerNews {
    /// The records, and the revision up to which the process has read.
    pub(crate) news: FleetUpdate,
    /// Whether they are all records of the topic.
    pub(crate) is_whole: bool,
    /// Time since they were last known to be the newest.
    pub(crate) age_ms: u64,
}

/// Changes of caches since a place in a process's log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct CacheNews {
    /// Life of the log.
    pub(crate) log: u64,
    /// Place to go on from.
    pub(crate) next: u64,
    /// Whether `entries` is all that the caches keep.
    pub(crate) is_whole: bool,
    /// Stores that were heard of just now.
    pub(crate) fresh_stores: Vec<SocketAddr>,
    /// Caches that the entries name by their place here.
    pub(crate) caches: Vec<SocketAddr>,
    /// Changes, oldest first.
    pub(crate) entries: Vec<CacheEntry>,
}

/// One entry of a log of changes, as short as it can be: a large fleet tells thousands a second.
/// Place of the cache among those of the message, fingerprint of the part, and the tokens that it
/// keeps of it now. Without a part, what was known of the cache no longer holds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct CacheEntry(pub(crate) u32, pub(crate) Option<u64>, pub(crate) u64);
