//! Settings of one process, read from a file of JSON with comments.

use crate::secret::SecretSource;
use serde::{Deserialize, Serialize};
use skylarkpick_interface::{DataCentreId, EntryId};

/// Settings of an entry process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the process; made at random when missing.
    pub entry_id: EntryId,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreId,
    /// Where callers and operators connect, as IP:port.
    pub http_address: String,
    /// Where the platform's object API answers, as IP:port.
    pub platform_address: String,
    /// Where other entry processes connect, as IP:port; empty for a process alone.
    pub peer_address: String,
    /// Entry processes to meet first, as IP:port.
    pub seed_peers: Vec<String>,
    /// Where StatsD metrics go over UDP, as IP:port; empty for none.
    pub metrics_address: String,
    /// Least severe lines that are logged.
    pub log_level: LogLevel,
    /// Certificate of the authority that entry processes trust each other by, in PEM.
    pub authority_certificate: Option<SecretSource>,
    /// Key of that authority in PEM, from which the process issues its own certificate.
    pub authority_key: Option<SecretSource>,
    /// Key of resume tokens, the same in the whole fleet; without one, a stream can be taken up
    /// again only at the process that it began at.
    pub resume_key: Option<SecretSource>,
    /// Limits on input and waiting.
    pub limits: Limits,
}

/// Least severe lines that are logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// No lines.
    Off,
    /// What needs a person.
    Error,
    /// What may need a person soon.
    Warn,
    /// A line or two for each request.
    #[default]
    Info,
    /// What helps to find a fault.
    Debug,
}

/// Limits on input and waiting.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest head of a request.
    pub headers_size_bytes: usize,
    /// Largest body of a request.
    pub body_size_bytes: usize,
    /// Largest message between entry processes.
    pub frame_size_bytes: usize,
    /// Time for a caller to send a whole request.
    pub request_read_timeout_ms: u64,
    /// Time for the platform to answer.
    pub platform_timeout_ms: u64,
    /// Time between two slow reads of the configuration.
    pub configuration_poll_ms: u64,
    /// Time that a broken resumable stream is kept for its caller.
    pub resume_window_ms: u64,
    /// Time for which the idempotency key of a call that must not run twice is remembered.
    pub claim_retention_ms: u64,
    /// Time from a failing readiness check to closing the door, for the balancer to notice.
    pub drain_notice_ms: u64,
    /// Longest time that a shutdown waits for streams.
    pub drain_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            headers_size_bytes: 65_536,
            body_size_bytes: 16_777_216,
            frame_size_bytes: 1_048_576,
            request_read_timeout_ms: 10_000,
            platform_timeout_ms: 2_000,
            configuration_poll_ms: 2_000,
            resume_window_ms: 60_000,
            claim_retention_ms: 3_600_000,
            drain_notice_ms: 3_000,
            drain_timeout_ms: 600_000,
        }
    }
}
