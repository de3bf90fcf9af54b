//! Sizes of the fleets that traces are generated for.

use super::FleetName;
use crate::trace::{Fleet, FleetDataCentre, FleetStore};
use skylarkpick_config::Serving;

/// Bytes in a gibibyte.
const GIBIBYTE: u64 = 1 << 30;

/// Returns a fleet without data centres, with the default sizes and speeds.
pub(crate) fn empty_fleet() -> Fleet {
    Fleet {
        model: "model".to_string(),
        data_centres: Vec::new(),
        same_region_ms: 1.5,
        other_region_ms: 30.0,
        client_ms: 1.0,
        prefill_tokens_per_second: 20_000.0,
        slots: 16,
        cache_tokens: 131_072,
        token_interval_ms: 20.0,
        context_bytes_per_token: 131_072,
        load_report_interval_ms: 250,
        load_report_age_ms: 500,
        cache_event_age_ms: 300,
        weight_load_ms: 1_000,
        serving: Serving::default(),
    }
}

/// Returns the fleet of this name.
pub(super) fn fleet(name: FleetName) -> Fleet {
    match name {
        FleetName::Bantay => bantay(),
        FleetName::Viti => viti(),
        FleetName::Planned => planned(),
    }
}

fn store(name: &str) -> FleetStore {
    FleetStore {
        name: name.to_string(),
        memory_size_bytes: 128 * GIBIBYTE,
        disk_size_bytes: 1_024 * GIBIBYTE,
        link_bytes_per_second: 12.5e9,
        disk_bytes_per_second: 3.0e9,
    }
}

fn data_centre(
    name: &str,
    region: &str,
    entries: u32,
    runners: u32,
    stores: &[&str],
) -> FleetDataCentre {
    FleetDataCentre {
        name: name.to_string(),
        region: region.to_string(),
        entries,
        runners,
        stores: stores.iter().map(|name| store(name)).collect(),
    }
}

fn bantay() -> Fleet {
    Fleet {
        model: "tala-llm".to_string(),
        data_centres: vec![
            data_centre("mnl-1", "mnl", 3, 3, &["tala-cache"]),
            data_centre("mnl-2", "mnl", 2, 3, &["tala-cache-b"]),
            data_centre("mnl-3", "mnl", 2, 3, &[]),
        ],
        serving: Serving {
            first_token_weight: 1.0,
            recompute_weight: 0.2,
            link_weight: 0.05,
            ..Serving::default()
        },
        ..empty_fleet()
    }
}

fn viti() -> Fleet {
    Fleet {
        model: "planner-lm".to_string(),
        data_centres: vec![
            data_centre("viti-levu-1", "viti-levu", 2, 5, &["rulebook-cache"]),
            data_centre("viti-levu-2", "viti-levu", 2, 5, &["brief-cache"]),
            data_centre("viti-levu-3", "viti-levu", 2, 4, &[]),
            data_centre("viti-levu-4", "viti-levu", 1, 4, &[]),
        ],
        same_region_ms: 0.5,
        client_ms: 3.0,
        serving: Serving {
            first_token_weight: 0.3,
            recompute_weight: 1.0,
            link_weight: 0.5,
            first_token_target_ms: 3_000,
            loads_limit: 3,
            ..Serving::default()
        },
        ..empty_fleet()
    }
}

/// One of five equal data centres: it has a fifth of the 870 runners of the planned fleet, and its
/// workload is a fifth of the planned requests.
fn planned() -> Fleet {
    let names: Vec<String> = (0..16).map(|number| format!("store-{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    Fleet {
        model: "model-1".to_string(),
        data_centres: vec![data_centre("dc-1", "region-1", 72, 174, &names)],
        token_interval_ms: 30.0,
        slots: 64,
        cache_tokens: 1_048_576,
        ..empty_fleet()
    }
}
