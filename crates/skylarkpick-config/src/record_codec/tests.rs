//! Encoding and decoding of configuration records.

use super::{DecodeError, RECORD_SIZE_LIMIT_BYTES, decode_record, encode_record};
use crate::{Account, ConfigurationRecord, hash_token};
use flate2::{Compression, write::DeflateEncoder};
use std::io::Write;

fn large_record() -> ConfigurationRecord {
    let mut record = ConfigurationRecord { version: 7, ..ConfigurationRecord::default() };
    for index in 0..560 {
        let token_hashes = vec![hash_token(&format!("token-{index}"))];
        let account = Account { token_hashes, ..Account::default() };
        record.configuration.accounts.insert(format!("account-{index:03}"), account);
    }
    record
}

#[test]
fn encoding_halves_a_large_record_and_decodes_to_the_same() {
    let record = large_record();
    let encoded = encode_record(&record).unwrap();
    let json = serde_json::to_vec(&record).unwrap();
    assert!(encoded.len() * 2 < json.len(), "{} of {}", encoded.len(), json.len());
    assert_eq!(decode_record(&encoded).unwrap(), record);
}

#[test]
fn rejects_corrupt_oversized_and_foreign_content() {
    let deflate = |content: &[u8]| {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(content).unwrap();
        encoder.finish().unwrap()
    };
    struct Case {
        name: &'static str,
        encoded: Vec<u8>,
        is_expected: fn(&DecodeError) -> bool,
    }
    let cases = [
        Case {
            name: "not a DEFLATE stream",
            encoded: vec![0xff; 100],
            is_expected: |error| matches!(error, DecodeError::Corrupt(_)),
        },
        Case {
            name: "truncated",
            encoded: encode_record(&large_record()).unwrap()[..500].to_vec(),
            is_expected: |error| matches!(error, DecodeError::Corrupt(_) | DecodeError::Invalid(_)),
        },
        Case {
            name: "JSON of another type",
            encoded: deflate(b"[1, 2]"),
            is_expected: |error| matches!(error, DecodeError::Invalid(_)),
        },
        Case {
            name: "a small message that decompresses beyond the limit",
            encoded: deflate(&vec![b' '; RECORD_SIZE_LIMIT_BYTES as usize + 1]),
            is_expected: |error| matches!(error, DecodeError::TooLarge),
        },
    ];
    for case in cases {
        let error = decode_record(&case.encoded).unwrap_err();
        assert!((case.is_expected)(&error), "{}: {error}", case.name);
    }
}
