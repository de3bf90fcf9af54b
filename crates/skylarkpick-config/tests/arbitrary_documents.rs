//! Fuzz tests of the parsers: no input may cause a panic.

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

/// Parses `text` as every kind of document and checks that each error is positioned within it.
fn check_parsers(text: &str) -> Result<(), TestCaseError> {
    let line_count = text.matches('\n').count() + 1;
    let diagnostics =
        [parse_settings(text).err(), parse_configuration(text).err()].into_iter().flatten();
    for diagnostic in diagnostics.flat_map(|diagnostics| diagnostics.0) {
        let line = diagnostic.line;
        prop_assert!(line.is_none_or(|line| (1..=line_count).contains(&line)), "{diagnostic}");
    }
    detect_document_kind(text);
    Ok(())
}

#[test]
fn arbitrary_text_is_parsed_or_rejected() {
    runner().run(&any::<String>(), |text| check_parsers(&text)).unwrap();
}

#[test]
fn json_fragments_are_parsed_or_rejected() {
    let fragment = prop::sample::select(vec![
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
    let text = prop::collection::vec(fragment, 0..40).prop_map(|fragments| fragments.concat());
    runner().run(&text, |text| check_parsers(&text)).unwrap();
}

#[test]
fn a_corrupted_default_file_is_parsed_or_rejected() {
    let corruption = (0..DEFAULT_FILE.len(), 0_usize..40, any::<String>());
    let corrupted = corruption.prop_map(|(start, length, inserted)| {
        let bytes = DEFAULT_FILE.as_bytes();
        let end = (start + length).min(bytes.len());
        let text = [&bytes[..start], inserted.as_bytes(), &bytes[end..]].concat();
        String::from_utf8_lossy(&text).into_owned()
    });
    runner().run(&corrupted, |text| check_parsers(&text)).unwrap();
}

#[test]
fn arbitrary_and_deeply_nested_bytes_are_rejected_as_a_record() {
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
