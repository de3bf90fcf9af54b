//! Parsing of settings files and configuration documents, and the errors reported for invalid ones.

use skylarkpick_config::{
    DOCUMENT_SIZE_LIMIT_BYTES, Diagnostics, DocumentKind, Settings, detect_document_kind,
    parse_configuration, parse_settings,
};

const DEFAULT_FILE: &str = include_str!("../../../config/default.jsonc");

fn lines(diagnostics: Diagnostics) -> String {
    diagnostics.0.iter().map(|diagnostic| format!("{diagnostic}\n")).collect()
}

#[test]
fn default_file_contains_the_default_values() {
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
fn reports_every_error_of_a_settings_file_with_its_position() {
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
        let errors = parse_settings(case.text).unwrap_err();
        assert!(errors.0.iter().all(|error| error.line.is_some() && error.column.is_some()));
        insta::assert_snapshot!(case.name, lines(errors));
    }
}

#[test]
fn reports_path_and_position_of_a_single_error() {
    struct Case {
        text: &'static str,
        message: &'static str,
    }
    let cases = [
        Case { text: "", message: "document: is empty" },
        Case { text: "[]", message: "1:1: document: is a list" },
        Case { text: "{\"data_centre\"", message: "1:15: document: " },
        Case { text: "{'a': 1}", message: "1:2: document: " },
        Case {
            text: "{\n \"limits\": 5}",
            message: "2:12: limits: is a number; expected an object",
        },
        Case {
            text: "{\"entry_id\": \"a\", \"entry_id\": \"b\"}",
            message: "entry_id: is set more than once",
        },
        Case { text: "{}", message: "1:1: data_centre: is missing" },
        Case {
            text: "{\"limits\": {\"drain_notice\": 1}}",
            message: "limits.drain_notice: lacks its unit suffix; did you mean `drain_notice_ms`?",
        },
    ];
    for case in cases {
        let errors = lines(parse_settings(case.text).unwrap_err());
        assert!(errors.contains(case.message), "{}\n{errors}", case.text);
    }
}

#[test]
fn reports_every_error_of_a_configuration_with_its_position() {
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
fn detects_the_document_kind_from_the_fields() {
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
fn rejects_oversized_and_deeply_nested_documents() {
    let huge = " ".repeat(DOCUMENT_SIZE_LIMIT_BYTES + 1);
    assert!(lines(parse_settings(&huge).unwrap_err()).contains("is longer than"));
    let deep = "[".repeat(100_000);
    assert!(lines(parse_configuration(&deep).unwrap_err()).contains("nesting depth"));
}
