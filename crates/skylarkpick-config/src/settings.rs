//! Settings of a process, read from a file of JSON with comments.

use crate::secret::SecretSource;
use serde::{Deserialize, Serialize};
use skylarkpick_interface::{DataCentreId, EntryId};

/// Settings of an entry process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the process; generated at random if empty.
    pub entry_id: EntryId,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreId,
    /// Listen address for callers and operators, as IP:port.
    pub http_address: String,
    /// Address of the platform's object API, as IP:port.
    pub platform_address: String,
    /// Listen address for other entry processes, as IP:port; empty for a process without peers.
    pub peer_address: String,
    /// Addresses of entry processes to contact at startup, as IP:port.
    pub seed_peers: Vec<String>,
    /// Address that StatsD metrics are sent to over UDP, as IP:port; empty for none.
    pub metrics_address: String,
    /// Minimum severity of logged lines.
    pub log_level: LogLevel,
    /// PEM certificate of the authority by which entry processes authenticate each other.
    pub authority_certificate: Option<SecretSource>,
    /// PEM private key of that authority, with which the process issues its own certificate.
    pub authority_key: Option<SecretSource>,
    /// Key that authenticates resume tokens, shared by the whole fleet. Without it, a stream can be
    /// resumed only on the process that started it.
    pub resume_key: Option<SecretSource>,
    /// Size limits and timeouts.
    pub limits: Limits,
}

/// Minimum severity of logged lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing is logged.
    Off,
    /// Errors that need an operator.
    Error,
    /// Also conditions that may soon need an operator.
    Warn,
    /// Also one or two lines per request.
    #[default]
    Info,
    /// Also details for troubleshooting.
    Debug,
}

/// Size limits and timeouts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Size limit of the headers of a request.
    pub headers_size_bytes: usize,
    /// Size limit of the body of a request.
    pub body_size_bytes: usize,
    /// Size limit of a message between entry processes.
    pub frame_size_bytes: usize,
    /// Time limit for a caller to send a complete request.
    pub request_read_timeout_ms: u64,
    /// Timeout of platform calls.
    pub platform_timeout_ms: u64,
    /// Interval of the fallback poll of the configuration.
    pub configuration_poll_ms: u64,
    /// Time that the run of a disconnected resumable stream is retained for its caller.
    pub resume_window_ms: u64,
    /// Retention time of the idempotency keys of non-idempotent calls.
    pub claim_retention_ms: u64,
    /// Time from failing the readiness check to closing the listener, so that the load balancer can
    /// remove the process first.
    pub drain_notice_ms: u64,
    /// Maximum time that a shutdown waits for open streams.
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
