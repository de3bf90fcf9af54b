//! Cases of packing records.

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
fn a_record_comes_back_smaller_on_its_way() {
    let record = large_record();
    let packed = encode_record(&record).unwrap();
    let plain = serde_json::to_vec(&record).unwrap();
    assert!(packed.len() * 2 < plain.len(), "{} of {}", packed.len(), plain.len());
    assert_eq!(decode_record(&packed).unwrap(), record);
}

#[test]
fn what_is_no_record_is_refused() {
    let deflate = |content: &[u8]| {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(content).unwrap();
        encoder.finish().unwrap()
    };
    struct Case {
        name: &'static str,
        packed: Vec<u8>,
        is_expected: fn(&DecodeError) -> bool,
    }
    let cases = [
        Case {
            name: "no deflate stream",
            packed: vec![0xff; 100],
            is_expected: |error| matches!(error, DecodeError::Corrupt(_)),
        },
        Case {
            name: "cut short",
            packed: encode_record(&large_record()).unwrap()[..500].to_vec(),
            is_expected: |error| matches!(error, DecodeError::Corrupt(_) | DecodeError::Invalid(_)),
        },
        Case {
            name: "other JSON",
            packed: deflate(b"[1, 2]"),
            is_expected: |error| matches!(error, DecodeError::Invalid(_)),
        },
        Case {
            name: "a small message that unpacks to too much",
            packed: deflate(&vec![b' '; RECORD_SIZE_LIMIT_BYTES as usize + 1]),
            is_expected: |error| matches!(error, DecodeError::TooLarge),
        },
    ];
    for case in cases {
        let error = decode_record(&case.packed).unwrap_err();
        assert!((case.is_expected)(&error), "{}: {error}", case.name);
    }
}
