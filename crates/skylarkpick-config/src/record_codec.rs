//! Packs configuration records for their way between entry processes.

use crate::record::ConfigurationRecord;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use std::io::{Read, Write};

/// Largest record that is unpacked, so that a small message cannot fill the memory.
const RECORD_SIZE_LIMIT_BYTES: u64 = 16 * 1_048_576;

/// Why a packed record was not read.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not what a peer packs.
    #[error("a peer's configuration cannot be unpacked: {0}")]
    Corrupt(#[from] std::io::Error),
    /// The record is longer than any platform object.
    #[error("a peer's configuration is longer than {RECORD_SIZE_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The record is not a configuration.
    #[error("a peer's configuration cannot be read: {0}")]
    Invalid(#[from] serde_json::Error),
}

/// Packs a record as deflated JSON.
///
/// # Errors
/// When the record cannot be written as JSON.
///
/// ```
/// use skylarkpick_config::{ConfigurationRecord, encode_record, decode_record};
/// let record = ConfigurationRecord { version: 3, ..ConfigurationRecord::default() };
/// let packed = encode_record(&record)?;
/// assert_eq!(decode_record(&packed).ok(), Some(record));
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn encode_record(record: &ConfigurationRecord) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    serde_json::to_writer(&mut encoder, record).map_err(std::io::Error::from)?;
    encoder.flush()?;
    encoder.finish()
}

/// Unpacks a record.
///
/// # Errors
/// When the bytes are damaged, too long, or no record.
pub fn decode_record(packed: &[u8]) -> Result<ConfigurationRecord, DecodeError> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(RECORD_SIZE_LIMIT_BYTES + 1);
    decoder.read_to_end(&mut text)?;
    if text.len() as u64 > RECORD_SIZE_LIMIT_BYTES {
        return Err(DecodeError::TooLarge);
    }
    Ok(serde_json::from_slice(&text)?)
}

#[cfg(test)]
mod tests;
