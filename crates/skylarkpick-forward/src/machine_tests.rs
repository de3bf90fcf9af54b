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
        address_space_bytes: Option<u64>,
        expected: (u64, LimitSource),
    }
    let cases = [
        Case {
            name: "the settings count first",
            named_bytes: Some(160 * MB),
            group_bytes: Some(100 * MB),
            machine_bytes: Some(24_000 * MB),
            address_space_bytes: None,
            expected: (160 * MB, LimitSource::Settings),
        },
        Case {
            name: "a group of the process alone",
            named_bytes: None,
            group_bytes: Some(4_000 * MB),
            machine_bytes: Some(24_000 * MB),
            address_space_bytes: None,
            expected: (4_000 * MB, LimitSource::Group),
        },
        Case {
            name: "a small machine",
            named_bytes: None,
            group_bytes: None,
            machine_bytes: Some(256 * MB),
            address_space_bytes: None,
            expected: (256 * MB, LimitSource::Machine),
        },
        Case {
            name: "a large machine",
            named_bytes: None,
            group_bytes: None,
            machine_bytes: Some(24_000 * MB),
            address_space_bytes: None,
            expected: (1_000 * MB, LimitSource::Machine),
        },
        Case {
            name: "a system that tells nothing",
            named_bytes: None,
            group_bytes: None,
            machine_bytes: None,
            address_space_bytes: None,
            expected: (512 * MB, LimitSource::Default),
        },
        Case {
            name: "an address space that is smaller than the machine",
            named_bytes: None,
            group_bytes: None,
            machine_bytes: Some(24_000 * MB),
            address_space_bytes: Some(300 * MB),
            expected: (300 * MB, LimitSource::AddressSpace),
        },
        Case {
            name: "an address space that is larger than the group's memory",
            named_bytes: None,
            group_bytes: Some(400 * MB),
            machine_bytes: Some(24_000 * MB),
            address_space_bytes: Some(1_000 * MB),
            expected: (400 * MB, LimitSource::Group),
        },
        Case {
            name: "an address space on a system that tells nothing else",
            named_bytes: None,
            group_bytes: None,
            machine_bytes: None,
            address_space_bytes: Some(100 * MB),
            expected: (100 * MB, LimitSource::AddressSpace),
        },
    ];
    for Case { name, named_bytes, group_bytes, machine_bytes, address_space_bytes, expected } in
        cases
    {
        let system = SystemMemory { group_bytes, machine_bytes, address_space_bytes };
        assert_eq!(choose_memory(named_bytes, system), expected, "{name}");
    }
}
