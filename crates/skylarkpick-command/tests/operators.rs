//! The commands `config`, `state` and `token` against an entry process on loopback.

#![allow(clippy::unwrap_used, reason = "a helper of a test fails the test")]

use serde_json::{Value, json};
use skylarkpick_command::{Console, Exit, run_with};
use skylarkpick_config::{CONFIGURATION_KEY, Settings, hash_token};
use skylarkpick_entry::{ApiServer, Entry, EntryParts};
use skylarkpick_interface::{BootClock, NoPeers, ObjectStore};
use skylarkpick_standin::{MemoryConnector, MemoryPlatform, PlatformRates};
use std::{
    io::Write,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Environment variable that cargo sets for every test; its value serves as the operator token.
const TOKEN_VARIABLE: &str = "CARGO_PKG_NAME";

/// A writer that collects output in memory.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Runs a command; returns its exit status, its output and its messages.
fn run(arguments: &[&str]) -> (Exit, String, String) {
    let (results, messages) = (Sink::default(), Sink::default());
    let mut console = Console::with_writers(Box::new(results.clone()), Box::new(messages.clone()));
    let arguments: Vec<String> = arguments.iter().map(|word| word.to_string()).collect();
    let exit = run_with(&arguments, &mut console);
    let text = |sink: &Sink| String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    (exit, text(&results), text(&messages))
}

/// Starts an entry process whose operator token is the value of `TOKEN_VARIABLE`.
async fn spawn_api_server() -> ApiServer {
    let token = std::env::var(TOKEN_VARIABLE).unwrap();
    let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    let accounts = json!({"operator": {"role": "operator", "token_hashes": [hash_token(&token)]}});
    let record = json!({"version": 1, "history": [], "configuration": {"accounts": accounts}});
    let value = serde_json::to_vec(&record).unwrap();
    platform.put(CONFIGURATION_KEY, None, value).await.unwrap();
    let entry = Entry::spawn(EntryParts {
        settings: Settings {
            entry_id: "entry-1".to_string(),
            data_centre: "mnl-a".to_string(),
            http_address: "127.0.0.1:0".to_string(),
            ..Settings::default()
        },
        platform,
        connector: MemoryConnector::open(),
        peers: NoPeers::open(),
        clock: Arc::new(BootClock),
        resume_key: None,
        seed: 1,
    });
    while !entry.is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    ApiServer::bind(entry).await.unwrap()
}

fn patch_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("{name}-{}.jsonc", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn config_and_state_commands_read_and_patch_the_configuration() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let api_server = runtime.block_on(spawn_api_server());
    let address = api_server.address().to_string();
    let file = patch_file("quick", "{\"serving\": {\"quick\": {}}, /* a comment */}");
    let invalid = patch_file("invalid", "{\"serving\": {\"quick\": {\"deadline_ms\": 0}}}");
    let entry_options = ["--entry", &address, "--token-environment", TOKEN_VARIABLE];

    struct Case<'a> {
        arguments: Vec<&'a str>,
        exit: Exit,
        result: &'a str,
        message: &'a str,
    }
    let patch = |base: &'static str, id: &'static str, file| {
        vec!["patch", "--base-version", base, "--patch-id", id, file]
    };
    let cases = [
        Case { arguments: vec!["get"], exit: Exit::Success, result: "\"version\": 1", message: "" },
        Case {
            arguments: patch("1", "p1", &file),
            exit: Exit::Success,
            result: "accepted as version 2",
            message: "patch id \"p1\"",
        },
        Case {
            arguments: patch("1", "p1", &file),
            exit: Exit::Success,
            result: "accepted as version 2",
            message: "",
        },
        Case {
            arguments: patch("1", "p2", &file),
            exit: Exit::Failed,
            result: "",
            message: "(not_run): made against version 1, but the configuration is at version 2",
        },
        Case {
            arguments: patch("2", "p3", &invalid),
            exit: Exit::Failed,
            result: "",
            message: "serving.quick.deadline_ms",
        },
        Case {
            arguments: patch("2", "p4", "no-such-file"),
            exit: Exit::UsageError,
            result: "",
            message: "failed to read",
        },
        Case {
            arguments: vec!["history"],
            exit: Exit::Success,
            result: "       2  operator                  p1",
            message: "",
        },
        Case {
            arguments: vec!["status"],
            exit: Exit::Success,
            result: "version 2 active on 1 of 1 entry processes",
            message: "",
        },
        Case {
            arguments: vec!["get", "surplus"],
            exit: Exit::UsageError,
            result: "",
            message: "unexpected argument \"surplus\"",
        },
    ];
    for case in cases {
        let arguments = [&["config"], case.arguments.as_slice(), &entry_options].concat();
        let (exit, results, messages) = run(&arguments);
        assert_eq!(exit, case.exit, "{arguments:?}\n{results}\n{messages}");
        assert!(results.contains(case.result), "{arguments:?}\n{results}");
        assert!(messages.contains(case.message), "{arguments:?}\n{messages}");
    }

    let (exit, results, _) = run(&["state", &address, "--token-environment", TOKEN_VARIABLE]);
    assert_eq!(exit, Exit::Success);
    let state: Value = serde_json::from_str(&results).unwrap();
    assert_eq!(state["configuration_version"], 2);

    let (exit, _, messages) = run(&["state", &address, "--token-environment", "CARGO_PKG_VERSION"]);
    assert_eq!(exit, Exit::Failed);
    assert!(messages.contains("401"), "{messages}");
    std::fs::remove_file(file).unwrap();
    std::fs::remove_file(invalid).unwrap();
    runtime.block_on(api_server.shutdown());
}

#[test]
fn token_command_prints_the_hash_and_never_a_given_token() {
    let token = std::env::var(TOKEN_VARIABLE).unwrap();
    let (exit, results, messages) = run(&["token", "--environment", TOKEN_VARIABLE]);
    assert_eq!((exit, results.trim_end()), (Exit::Success, hash_token(&token).as_str()));
    assert!(!messages.contains(&token));
    let (_, hash, token) = run(&["token"]);
    assert_eq!(hash.trim_end(), hash_token(token.trim_end()));
    let (_, other_hash, _) = run(&["token"]);
    assert_ne!(hash, other_hash);
}
