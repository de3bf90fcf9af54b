//! Messages between entry processes.

use serde::{Deserialize, Serialize};
use skylarkpick_interface::{
    CrashReport, EntryId, FleetTopic, FleetUpdate, ModelName, NamedRecord, RequestLimit,
    ServiceName, SoftwareVersion, StoreEra, StreamOrigin, TargetId, WeightVersion,
};
use skylarkpick_schedule::{SoftwareHistory, StreamFingerprint};
use std::{net::SocketAddr, time::Duration};

/// Request of one entry process to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerRequest {
    /// Requests the records of a topic that are newer than a revision.
    Records {
        /// Topic of the records.
        topic: FleetTopic,
        /// Number of the revision that the requester has.
        since: u64,
        /// Era of that revision. `None` from processes that don't know eras: they compare numbers.
        #[serde(default)]
        era: Option<StoreEra>,
        /// Maximum wait for newer records.
        wait_ms: u64,
    },
    /// Requests the cache changes since a position in the responder's change log.
    Caches {
        /// Incarnation of the log that the position belongs to; 0 for none.
        log: u64,
        /// Position after the last change that the requester has.
        since: u64,
        /// Position after the last notice that the requester has from the responder, in the same
        /// incarnation.
        #[serde(default)]
        notices_since: u64,
        /// Maximum wait for a change or a notice.
        wait_ms: u64,
    },
    /// Requests what the responder knows of the software version that began a stream.
    StreamOrigin {
        /// The stream, if its client named it.
        stream: Option<StreamFingerprint>,
        /// Service of the stream.
        service: ServiceName,
        /// Longest time for which a stream of the route may last.
        window: Duration,
    },
    /// Requests the software versions that the responder has seen recently.
    SoftwareHistory,
    /// Asks whether the responder reaches targets of a service.
    Reach {
        /// Name of the service.
        service: ServiceName,
    },
    /// Requests the desired weights that the responder knows, and its serving document if it is newer
    /// than a version. It may know what the platform has lost.
    Retained {
        /// Version of the document that the requester has.
        serving_version: Option<u64>,
    },
}

/// Message of an entry process to all others, which relays may pass on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Notice {
    /// A target is about to be ordered to load other weights; it rejects requests until it serves
    /// them.
    Swapping {
        /// Name of the target.
        target: TargetId,
        /// Model of the weights.
        model: ModelName,
        /// Weight version that it will serve.
        weight_version: WeightVersion,
    },
    /// Loads that engines reported to the sender.
    Loads {
        /// The reported loads.
        loads: Vec<EngineLoadNotice>,
    },
    /// Streams that began at the sender, for the receiver to keep.
    StreamsBegan {
        /// The streams.
        streams: Vec<StreamRecord>,
    },
    /// What targets have said of the requests that they take, or no longer say, in responses to the
    /// sender.
    Limits {
        /// The limits that they name.
        limits: Vec<LimitNotice>,
        /// Whether they are brittle. Processes of the version before ignore it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        brittle: Vec<BrittleNotice>,
        /// What the sender has under way at brittle targets. Processes of the version before ignore it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        uses: Vec<BrittleUseNotice>,
        /// Targets that refuse connections, if they start cold. Processes of the version before ignore
        /// it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        ended: Vec<EndedTargetNotice>,
    },
    /// What the sender tells about ends of targets.
    Crashes {
        /// The ends, and the parts of prompts answered since.
        report: CrashReport,
    },
}

/// A stream and the run that began it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct StreamRecord {
    /// The stream.
    pub(crate) stream: StreamFingerprint,
    /// The run.
    pub(crate) origin: StreamOrigin,
}

/// Limit that a target has named in a response to another process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct LimitNotice {
    /// Name of the target.
    pub(crate) target: TargetId,
    /// Start of the target's incarnation.
    pub(crate) started_at_ms: u64,
    /// Requests that it takes from all processes; `None` if it names no limit any more.
    pub(crate) limit: Option<RequestLimit>,
}

/// Whether a target has said that it is brittle, in a response to another process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct BrittleNotice {
    /// Name of the target.
    pub(crate) target: TargetId,
    /// Start of the target's incarnation.
    pub(crate) started_at_ms: u64,
    /// Whether it is brittle.
    pub(crate) is_brittle: bool,
}

/// What another process has under way at a brittle target beyond its places, or that the target turned one
/// of its requests away.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct BrittleUseNotice {
    /// Name of the target.
    pub(crate) target: TargetId,
    /// Start of the target's incarnation.
    pub(crate) started_at_ms: u64,
    /// Name of the process.
    pub(crate) entry: EntryId,
    /// Its requests under way there if they are more than its places, 0 if they no longer are. `None` if
    /// nothing is said of them.
    #[serde(default)]
    pub(crate) under_way: Option<u32>,
    /// Whether the target has just turned a request away.
    #[serde(default)]
    pub(crate) is_rejected: bool,
}

/// Target that refused a connection of another process, so that it has ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct EndedTargetNotice {
    /// Name of the target.
    pub(crate) target: TargetId,
    /// Start of the target's incarnation.
    pub(crate) started_at_ms: u64,
}

/// Load that an engine reported to another process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct EngineLoadNotice {
    /// Name of the engine's target.
    pub(crate) target: TargetId,
    /// Requests that wait for memory or a slot.
    pub(crate) waiting: u32,
    /// Tokens in memory that belong to running requests.
    pub(crate) used_tokens: u64,
}

/// Response to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerResponse {
    /// The responder has no records of the topic, or can't decode the request.
    Nothing,
    /// Records of a topic.
    Records(PeerRecords),
    /// Cache changes.
    Caches(CacheUpdate),
    /// The run that began a stream.
    StreamBegan(StreamOrigin),
    /// The service has had only this software version for as long as a stream may last.
    OnlySoftwareVersion(SoftwareVersion),
    /// The service may have had several software versions.
    SeveralSoftwareVersions,
    /// Software versions that the responder has seen recently.
    SoftwareHistory(SoftwareHistory),
    /// The serving document, if it is newer, and the desired weights.
    Retained(Vec<NamedRecord>),
    /// Whether the responder reaches targets of the service, and takes requests for it.
    Reach {
        /// Whether it does.
        is_reached: bool,
    },
}

/// Records of a topic that are newer than those of the requester.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PeerRecords {
    /// Records, and the revision up to which the responder has read the topic.
    #[serde(rename = "news")]
    pub(crate) update: FleetUpdate,
    /// Whether the update contains all records of the topic.
    #[serde(rename = "is_whole")]
    pub(crate) is_complete: bool,
    /// Time since the responder last knew its records to be current.
    pub(crate) age_ms: u64,
    /// Time since the responder began the latest call whose response it has applied. The response may
    /// have been delayed, so later changes may be missing.
    #[serde(default)]
    pub(crate) complete_age_ms: Option<u64>,
}

/// Cache changes since a position in the responder's change log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct CacheUpdate {
    /// Incarnation of the log.
    pub(crate) log: u64,
    /// Position from which the next request continues.
    pub(crate) next: u64,
    /// Whether `entries` lists the complete contents of all caches.
    #[serde(rename = "is_whole")]
    pub(crate) is_complete: bool,
    /// Stores that have responded to the responder recently.
    pub(crate) fresh_stores: Vec<SocketAddr>,
    /// Addresses of caches; entries refer to them by index.
    pub(crate) caches: Vec<SocketAddr>,
    /// Changes, oldest first.
    pub(crate) entries: Vec<CacheEntry>,
    /// Notices that the responder passes on, oldest first.
    #[serde(default)]
    pub(crate) notices: Vec<RelayedNotice>,
    /// Position from which the next request continues to fetch notices.
    #[serde(default)]
    pub(crate) notices_next: u64,
}

/// A notice that a relay passes on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RelayedNotice {
    /// Time since the relay received it.
    pub(crate) age_ms: u64,
    /// The notice.
    pub(crate) notice: Notice,
}

/// Change of a cache: index of the cache in the message, fingerprint of the prompt part, and number
/// of its tokens that are cached now. Without a part, the cache was reset: what was recorded of it
/// is no longer valid.
///
/// The fields have no names to keep messages short: a large fleet sends thousands of entries per
/// second.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct CacheEntry(pub(crate) u32, pub(crate) Option<u64>, pub(crate) u64);
