//! Messages between entry processes.

use serde::{Deserialize, Serialize};
use skylarkpick_interface::{FleetNews, FleetRevision, FleetTopic};
use std::net::SocketAddr;

/// What one process asks another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Question {
    /// All records of a topic, if they are newer than this revision.
    Records {
        /// Topic of the records.
        topic: FleetTopic,
        /// Revision that the asker has.
        since: FleetRevision,
    },
    /// What changed in stores since a place in this process's log of changes.
    Stores {
        /// Life of the log that the place belongs to; 0 for none.
        log: u64,
        /// Place after the last change that the asker has.
        since: u64,
        /// Longest wait for a change.
        wait_ms: u64,
    },
}

/// What the other process answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Reply {
    /// Nothing newer, or nothing to say.
    Nothing,
    /// All records of the topic.
    Records(FleetNews),
    /// Changes of stores.
    Stores(StoreChanges),
}

/// Changes of stores since a place in a process's log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct StoreChanges {
    /// Life of the log.
    pub(crate) log: u64,
    /// Place to go on from.
    pub(crate) next: u64,
    /// Whether `changes` is all that the stores keep.
    pub(crate) is_whole: bool,
    /// Stores that were heard of just now, with their life.
    pub(crate) heard: Vec<(SocketAddr, u64)>,
    /// Store, scope, part and the tokens kept now, oldest first.
    pub(crate) changes: Vec<(SocketAddr, String, String, u64)>,
}
