//! No text that a person or a machine can write stops the process.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use skylarkpick_config::{
    ConfigurationRecord, detect_document_kind, parse_configuration, parse_settings,
};

const DEFAULT_FILE: &str = include_str!("../../../config/default.jsonc");

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 512,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })
}

/// Diagnostics may be found, and each is placed within the text.
fn read_all(text: &str) -> Result<(), TestCaseError> {
    let line_count = text.matches('\n').count() + 1;
    let faults =
        [parse_settings(text).err(), parse_configuration(text).err()].into_iter().flatten();
    for fault in faults.flat_map(|faults| faults.0) {
        prop_assert!(fault.line.is_none_or(|line| (1..=line_count).contains(&line)), "{fault}");
    }
    detect_document_kind(text);
    Ok(())
}

#[test]
fn arbitrary_text_is_read_or_refused() {
    runner().run(&any::<String>(), |text| read_all(&text)).unwrap();
}

#[test]
fn text_of_json_pieces_is_read_or_refused() {
    let piece = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"limits\"",
        "\"models\"",
        "\"é\"",
        "1e999",
        "-0",
        "null",
        "true",
        "//x\n",
        "/*",
        "\"data_centre\"",
        "\n",
        "18446744073709551616",
        "\"\\ud800\"",
    ]);
    let text = prop::collection::vec(piece, 0..40).prop_map(|pieces| pieces.concat());
    runner().run(&text, |text| read_all(&text)).unwrap();
}

#[test]
fn a_damaged_default_file_is_read_or_refused() {
    let damage = (0..DEFAULT_FILE.len(), 0_usize..40, any::<String>());
    let damaged = damage.prop_map(|(start, length, inserted)| {
        let bytes = DEFAULT_FILE.as_bytes();
        let end = (start + length).min(bytes.len());
        let text = [&bytes[..start], inserted.as_bytes(), &bytes[end..]].concat();
        String::from_utf8_lossy(&text).into_owned()
    });
    runner().run(&damaged, |text| read_all(&text)).unwrap();
}

#[test]
fn arbitrary_stored_bytes_are_a_record_or_an_error() {
    let bytes = prop::collection::vec(any::<u8>(), 0..256);
    runner()
        .run(&bytes, |bytes| {
            prop_assert!(serde_json::from_slice::<ConfigurationRecord>(&bytes).is_err());
            Ok(())
        })
        .unwrap();
    let deep = "[".repeat(100_000);
    assert!(serde_json::from_str::<ConfigurationRecord>(&deep).is_err());
}
