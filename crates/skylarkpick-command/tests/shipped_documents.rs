//! Checks the settings and configuration files in `config/` and `examples/`.

use skylarkpick_command::{Console, Exit, run_with};
use skylarkpick_config::{AccountRole, Configuration, parse_configuration, parse_policy};
use skylarkpick_schedule::PlacementPolicy;
use std::path::PathBuf;

fn root() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

#[test]
fn every_shipped_document_is_valid() {
    let mut checked = 0;
    for folder in ["config", "examples/bantay", "examples/local", "examples/viti"] {
        for file in std::fs::read_dir(root().join(folder)).unwrap() {
            let path = file.unwrap().path().display().to_string();
            if !path.ends_with(".jsonc") {
                continue;
            }
            let mut console =
                Console::with_writers(Box::new(std::io::sink()), Box::new(std::io::stderr()));
            let exit = run_with(&["check".to_string(), path.clone()], &mut console);
            assert_eq!(exit, Exit::Success, "{path}");
            checked += 1;
        }
    }
    assert!(checked >= 12, "only {checked} files were found");
}

#[test]
fn the_shipped_policy_lists_every_field_with_its_default() {
    let text = std::fs::read_to_string(root().join("examples/policy/default.jsonc")).unwrap();
    let policy: PlacementPolicy = parse_policy(&text).unwrap();
    assert_eq!(policy, PlacementPolicy::default());
    let listed = text.lines().filter(|line| line.trim_start().starts_with('"')).count();
    assert_eq!(listed, format!("{policy:?}").matches(':').count());
}

#[test]
fn a_wrong_policy_is_rejected_with_the_field_and_the_reason() {
    struct Case {
        text: &'static str,
        expected: &'static str,
    }
    let cases = [
        Case { text: r#"{ "occupancy_limit": 2 }"#, expected: "occupancy_limit" },
        Case { text: r#"{ "saves": true }"#, expected: "saves" },
        Case { text: r#"{ "learns_times": 1 }"#, expected: "true or false" },
    ];
    for case in cases {
        let error = parse_policy::<PlacementPolicy>(case.text).unwrap_err().to_string();
        assert!(error.contains(case.expected), "{}: {error}", case.text);
    }
}

/// Size of a fleet, from its configuration.
#[derive(Debug, Eq, PartialEq)]
struct Sizes {
    data_centres: usize,
    runners: usize,
    stores: Vec<String>,
    instances: usize,
    accounts: usize,
    operators: usize,
    loads_limit: u32,
}

fn sizes(configuration: &Configuration) -> Sizes {
    let data_centres = || configuration.data_centres.values();
    let accounts = configuration.accounts.values();
    Sizes {
        data_centres: configuration.data_centres.len(),
        runners: data_centres().map(|data_centre| data_centre.runners.len()).sum(),
        stores: data_centres().flat_map(|data_centre| data_centre.stores.keys().cloned()).collect(),
        instances: data_centres().map(|data_centre| data_centre.services.len()).sum(),
        accounts: configuration.accounts.len(),
        operators: accounts.filter(|account| account.role == AccountRole::Operator).count(),
        loads_limit: configuration
            .serving
            .values()
            .map(|serving| serving.loads_limit)
            .max()
            .unwrap_or(0),
    }
}

#[test]
fn example_fleets_have_the_expected_sizes() {
    struct Case {
        fleet: &'static str,
        sizes: Sizes,
    }
    let cases = [
        Case {
            fleet: "bantay",
            sizes: Sizes {
                data_centres: 3,
                runners: 9,
                stores: vec!["tala-cache".to_string(), "tala-cache-b".to_string()],
                instances: 3,
                accounts: 10,
                operators: 1,
                loads_limit: 2,
            },
        },
        Case {
            fleet: "viti",
            sizes: Sizes {
                data_centres: 4,
                runners: 18,
                stores: vec!["brief-cache".to_string(), "rulebook-cache".to_string()],
                instances: 4,
                accounts: 10,
                operators: 1,
                loads_limit: 3,
            },
        },
    ];
    for case in cases {
        let path = root().join(format!("examples/{}/configuration.jsonc", case.fleet));
        let configuration = parse_configuration(&std::fs::read_to_string(path).unwrap()).unwrap();
        let mut found = sizes(&configuration);
        found.stores.sort();
        assert_eq!(found, case.sizes, "{}", case.fleet);
    }
}
