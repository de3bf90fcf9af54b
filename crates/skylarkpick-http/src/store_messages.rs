//! Bodies of the protocol between entry processes and store VMs.

use serde::{Deserialize, Serialize};
use skylarkpick_interface::{Generation, Manifest, PinId};

/// Body of a write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WriteBody {
    /// Prefix key, as hexadecimal text.
    pub prefix_key: String,
    /// Generation that was reserved.
    pub generation: Generation,
    /// The blocks, as hexadecimal text in this stand-in's protocol.
    pub content: String,
    /// Bytes that the blocks stand for.
    pub size_bytes: u64,
}

/// Body that names a saved prefix, with its digest where a seal needs it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PrefixBody {
    /// Prefix key, as hexadecimal text.
    pub prefix_key: String,
    /// Generation of the saved prefix.
    pub generation: Generation,
    /// Digest, for a seal.
    #[serde(default)]
    pub digest: String,
}

/// Answer to a pin.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PinResponse {
    /// Name of the pin.
    pub pin: PinId,
    /// The pinned manifest.
    pub manifest: Manifest,
}

/// Writes bytes as hexadecimal text.
///
/// ```
/// assert_eq!(skylarkpick_http::store_messages::to_hexadecimal(&[1, 255]), "01ff");
/// ```
pub fn to_hexadecimal(content: &[u8]) -> String {
    content.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads hexadecimal text, or gives `None` if it is not.
///
/// ```
/// assert_eq!(skylarkpick_http::store_messages::from_hexadecimal("01ff"), Some(vec![1, 255]));
/// ```
pub fn from_hexadecimal(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}
