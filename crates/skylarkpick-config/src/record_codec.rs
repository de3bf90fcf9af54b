//! Compresses configuration records for transfer between entry processes.

use crate::record::ConfigurationRecord;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use std::io::{Read, Write};

/// Size limit of a decompressed record. Protects against decompression bombs.
const RECORD_SIZE_LIMIT_BYTES: u64 = 16 * 1_048_576;

/// Why a record could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes do not decompress.
    #[error("failed to decompress a peer's configuration: {0}")]
    Corrupt(#[from] std::io::Error),
    /// The decompressed record exceeds the size limit, which is above that of platform objects.
    #[error("a peer's configuration is larger than {RECORD_SIZE_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The content is not a configuration record.
    #[error("failed to decode a peer's configuration: {0}")]
    Invalid(#[from] serde_json::Error),
}

/// Encodes a record as DEFLATE-compressed JSON.
///
/// # Errors
/// Returns an error if the record cannot be serialised.
///
/// ```
/// use skylarkpick_config::{ConfigurationRecord, encode_record, decode_record};
/// let record = ConfigurationRecord { version: 3, ..ConfigurationRecord::default() };
/// let encoded = encode_record(&record)?;
/// assert_eq!(decode_record(&encoded).ok(), Some(record));
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn encode_record(record: &ConfigurationRecord) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    serde_json::to_writer(&mut encoder, record).map_err(std::io::Error::from)?;
    encoder.flush()?;
    encoder.finish()
}

/// Decodes a record.
///
/// # Errors
/// Returns an error if the bytes do not decompress, are too long, or are not a record.
pub fn decode_record(encoded: &[u8]) -> Result<ConfigurationRecord, DecodeError> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(encoded).take(RECORD_SIZE_LIMIT_BYTES + 1);
    decoder.read_to_end(&mut text)?;
    if text.len() as u64 > RECORD_SIZE_LIMIT_BYTES {
        return Err(DecodeError::TooLarge);
    }
    Ok(serde_json::from_slice(&text)?)
}

#[cfg(test)]
mod tests;
