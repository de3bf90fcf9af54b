//! Request and response bodies of the protocol between entry processes and store VMs.

use serde::{Deserialize, Serialize};
use skylarkpick_interface::{Generation, Manifest, PinId};

/// Body of a write request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WriteBody {
    /// Prefix key, as hexadecimal text.
    pub prefix_key: String,
    /// Generation reserved for the write.
    pub generation: Generation,
    /// Content of the blocks, encoded as hexadecimal text in the protocol of the stand-in store.
    pub content: String,
    /// Size of the blocks that the content represents.
    pub size_bytes: u64,
}

/// Request body that identifies a saved prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PrefixBody {
    /// Prefix key, as hexadecimal text.
    pub prefix_key: String,
    /// Generation of the saved prefix.
    pub generation: Generation,
    /// Digest of the content; only used to seal the prefix.
    #[serde(default)]
    pub digest: String,
}

/// Response to a pin request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PinResponse {
    /// Id of the pin.
    pub pin: PinId,
    /// The pinned manifest.
    pub manifest: Manifest,
}

/// Encodes bytes as hexadecimal text.
///
/// ```
/// assert_eq!(skylarkpick_http::store_messages::to_hexadecimal(&[1, 255]), "01ff");
/// ```
pub fn to_hexadecimal(content: &[u8]) -> String {
    content.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal text. Returns `None` for any other text.
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
