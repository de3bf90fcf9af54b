//! Secrets are read from their configured source and do not appear in output.

use skylarkpick_config::{SecretError, SecretSource};

#[test]
fn parses_a_source_only_from_an_object_with_one_known_field() {
    struct Case {
        text: &'static str,
        source: Option<SecretSource>,
    }
    let cases = [
        Case {
            text: r#"{"path": "/run/ca.pem"}"#,
            source: Some(SecretSource::Path("/run/ca.pem".to_string())),
        },
        Case {
            text: r#"{"environment": "CA_KEY"}"#,
            source: Some(SecretSource::Environment("CA_KEY".to_string())),
        },
        Case { text: r#"{"value": "secret"}"#, source: None },
        Case { text: r#""secret""#, source: None },
    ];
    for case in cases {
        assert_eq!(serde_json::from_str(case.text).ok(), case.source, "{}", case.text);
    }
}

#[test]
fn reads_and_trims_files_and_hides_the_secret_in_debug_output() {
    let path = std::env::temp_dir().join(format!("skylarkpick-secret-{}", std::process::id()));
    std::fs::write(&path, "  top secret\n").unwrap();
    let source = SecretSource::Path(path.display().to_string());
    let secret = source.read().unwrap();
    std::fs::write(&path, "\n").unwrap();
    let empty = source.read();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(secret.expose(), b"top secret");
    assert!(!format!("{secret:?}").contains("top"));
    assert!(matches!(empty, Err(SecretError::Size(_))));
    assert!(matches!(source.read(), Err(SecretError::File { .. })));
}
