//! Settings of one process, read from a file of JSON with comments.

use crate::{
    fault::{Fault, Faults},
    key_source::KeySource,
};
use serde::{Deserialize, Serialize};
use skylarkpick_interface::{DataCentreId, EntryId};

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process; made at random when missing.
    #[serde(default)]
    pub entry_id: EntryId,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreId,
    /// Where callers and operators connect, as IP:port.
    pub http_address: String,
    /// Where the platform's object API answers, as IP:port.
    pub platform_address: String,
    /// Where other entry processes connect, as IP:port; empty for a process alone.
    #[serde(default)]
    pub peer_address: String,
    /// Entry processes to meet first, as IP:port.
    #[serde(default)]
    pub seed_peers: Vec<String>,
    /// Key of resume tokens, the same in the whole fleet; without one, a stream can be taken up
    /// again only at the process that it began at.
    #[serde(default)]
    pub resume_key: Option<KeySource>,
    /// Limits on input and waiting.
    #[serde(default)]
    pub limits: Limits,
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
            drain_notice_ms: 3_000,
            drain_timeout_ms: 600_000,
        }
    }
}

/// Reads settings from text.
///
/// # Errors
/// Gives every fault found, with its position.
///
/// ```
/// let text = r#"{
///     // The data centre of this VM.
///     "data_centre": "mnl-a",
///     "http_address": "127.0.0.1:0",
///     "platform_address": "127.0.0.1:9000",
/// }"#;
/// let settings = skylarkpick_config::parse_settings(text)?;
/// assert_eq!(settings.data_centre, "mnl-a");
/// # Ok::<(), skylarkpick_config::Faults>(())
/// ```
pub fn parse_settings(text: &str) -> Result<Settings, Faults> {
    let value =
        jsonc_parser::parse_to_serde_value::<Option<serde_json::Value>>(text, &Default::default())
            .map_err(|error| {
                Faults(vec![Fault::at("document", error.to_string(), "JSON with comments")])
            })?
            .ok_or_else(|| Faults(vec![Fault::at("document", "is empty", "an object")]))?;
    Ok(serde_json::from_value(value)?)
}
