//! Documents that people write: what is read, and which faults are found where.

use skylarkpick_config::{
    DOCUMENT_SIZE_LIMIT_BYTES, Diagnostics, DocumentKind, Settings, detect_document_kind,
    parse_configuration, parse_settings,
};

const DEFAULT_FILE: &str = include_str!("../../../config/default.jsonc");

fn lines(faults: Diagnostics) -> String {
    faults.0.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn the_default_file_holds_the_defaults() {
    let settings = parse_settings(DEFAULT_FILE).unwrap();
    let expected = Settings {
        data_centre: "mnl-a".to_string(),
        http_address: "127.0.0.1:8080".to_string(),
        platform_address: "127.0.0.1:9000".to_string(),
        ..Settings::default()
    };
    assert_eq!(settings, expected);
}

#[test]
fn wrong_settings_files_get_every_fault_with_its_position() {
    struct Case {
        name: &'static str,
        text: &'static str,
    }
    let cases = [
        Case { name: "typo", text: include_str!("wrong/typo.jsonc") },
        Case { name: "type", text: include_str!("wrong/type.jsonc") },
        Case { name: "contradiction", text: include_str!("wrong/contradiction.jsonc") },
    ];
    for case in cases {
        let faults = parse_settings(case.text).unwrap_err();
        assert!(faults.0.iter().all(|fault| fault.line.is_some() && fault.column.is_some()));
        insta::assert_snapshot!(case.name, lines(faults));
    }
}

#[test]
fn single_faults_are_placed() {
    struct Case {
        text: &'static str,
        says: &'static str,
    }
    let cases = [
        Case { text: "", says: "document: is empty" },
        Case { text: "[]", says: "1:1: document: is a list" },
        Case { text: "{\"data_centre\"", says: "1:15: document: " },
        Case { text: "{'a': 1}", says: "1:2: document: " },
        Case { text: "{\n \"limits\": 5}", says: "2:12: limits: is a number; expected an object" },
        Case {
            text: "{\"entry_id\": \"a\", \"entry_id\": \"b\"}",
            says: "entry_id: is given twice",
        },
        Case { text: "{}", says: "1:1: data_centre: is missing" },
        Case {
            text: "{\"limits\": {\"drain_notice\": 1}}",
            says: "limits.drain_notice: lacks its unit; did you mean `drain_notice_ms`?",
        },
    ];
    for case in cases {
        let faults = lines(parse_settings(case.text).unwrap_err());
        assert!(faults.contains(case.says), "{}\n{faults}", case.text);
    }
}

#[test]
fn configuration_faults_are_placed_too() {
    let text = r#"{
    "models": {
        "tala-llm": { "weight_version": 0, "serving": "quick" },
        "other": { "weight_versoin": 1, "serving": "none" },
    },
    "serving": { "quick": { "deadline": 500, "link_share_limit": 2 } },
    "services": { "book-api": { "not_repeatable": ["POST/bookings"] } },
    "data_centres": {
        "mnl-a": { "runners": { "r1": { "address": "127.0.0.1:1", "model": "nobody" } } },
    },
}"#;
    insta::assert_snapshot!("configuration", lines(parse_configuration(text).unwrap_err()));
}

#[test]
fn kinds_are_guessed_from_the_fields() {
    struct Case {
        text: &'static str,
        kind: Option<DocumentKind>,
    }
    let cases = [
        Case { text: DEFAULT_FILE, kind: Some(DocumentKind::Settings) },
        Case { text: "{\"models\": {}}", kind: Some(DocumentKind::Configuration) },
        Case { text: "{}", kind: None },
        Case { text: "[", kind: None },
    ];
    for case in cases {
        assert_eq!(detect_document_kind(case.text), case.kind, "{}", case.text);
    }
}

#[test]
fn huge_and_deep_documents_are_refused() {
    let huge = " ".repeat(DOCUMENT_SIZE_LIMIT_BYTES + 1);
    assert!(lines(parse_settings(&huge).unwrap_err()).contains("is longer than"));
    let deep = "[".repeat(100_000);
    assert!(lines(parse_configuration(&deep).unwrap_err()).contains("nesting depth"));
}
