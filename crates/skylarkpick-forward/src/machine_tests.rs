//! Tests of the memory that a process may take.

use super::machine::{LimitSource, SystemMemory, choose_memory};

const MB: u64 = 1_000_000;

// Guards against a process without a bound because a setting is missing, and against one that takes all
// memory of a machine that it shares.
#[test]
fn each_process_has_a_memory_limit() {
    struct Case {
        name: &'static str,
        named_bytes: Option<u64>,
        group_bytes: Option<u64>,
        machine_bytes: Option<u64>,
        expected: (u64, LimitSource),
    }
    let cases = [
        Case {
            name: "the settings count first",
            named_bytes: Some(160 * MB),
            group_bytes: Some(100 * MB),
            machine_bytes: Some(24_000 * MB),
            expected: (160 * MB, LimitSource::Settings),
        },
        Case {
            name: "a group of the process alone",
            named_bytes: None,
            group_bytes: Some(4_000 * MB),
            machine_bytes: Some(24_000 * MB),
            expected: (4_000 * MB, LimitSource::Group),
        },
        Case {
            name: "a small machine",
            named_bytes: None,
            group_bytes: None,
            machine_bytes: Some(256 * MB),
            expected: (256 * MB, LimitSource::Machine),
        },
        Case {
            name: "a large machine",
            named_bytes: None,
            group_bytes: None,
            machine_bytes: Some(24_000 * MB),
            expected: (1_000 * MB, LimitSource::Machine),
        },
        Case {
            name: "a system that tells nothing",
            named_bytes: None,
            group_bytes: None,
            machine_bytes: None,
            expected: (512 * MB, LimitSource::Default),
        },
    ];
    for Case { name, named_bytes, group_bytes, machine_bytes, expected } in cases {
        let system = SystemMemory { group_bytes, machine_bytes };
        assert_eq!(choose_memory(named_bytes, system), expected, "{name}");
    }
}
