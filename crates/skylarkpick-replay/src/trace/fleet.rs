//! Sizes and speeds of the fleet that a trace is replayed on.

use serde::{Deserialize, Serialize};
use skylarkpick_config::Serving;

/// Sizes and speeds of a fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Model that every runner serves.
    pub model: String,
    /// Data centres; their order numbers the runners and entry processes.
    pub data_centres: Vec<FleetDataCentre>,
    /// One-way delay between data centres of a region.
    pub same_region_ms: f64,
    /// One-way delay between regions.
    #[serde(default)]
    pub other_region_ms: f64,
    /// One-way delay between a client and its entry process.
    pub client_ms: f64,
    /// Prefill speed of a runner.
    pub prefill_tokens_per_second: f64,
    /// Concurrent runs of a runner.
    pub slots: u32,
    /// Size of the prefix cache of a runner, in tokens.
    pub cache_tokens: u64,
    /// Time between two tokens of a response.
    pub token_interval_ms: f64,
    /// Size of the cached context of one token.
    pub context_bytes_per_token: u64,
    /// Time between two load reports of a runner.
    pub load_report_interval_ms: u64,
    /// Age of a load report when an entry process receives it.
    pub load_report_age_ms: u64,
    /// Age of a cache event when the directory receives it.
    pub cache_event_age_ms: u64,
    /// Time that a runner takes to load weights; up to `serving.loads_limit` runners load at once.
    pub weight_load_ms: u64,
    /// Serving document of the model.
    #[serde(default)]
    pub serving: Serving,
}

/// One data centre of a fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDataCentre {
    /// Name.
    pub name: String,
    /// Region of the data centre.
    pub region: String,
    /// Number of entry processes.
    pub entries: u32,
    /// Number of runners.
    pub runners: u32,
    /// Store VMs.
    #[serde(default)]
    pub stores: Vec<FleetStore>,
}

/// One store VM of a fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetStore {
    /// Name.
    pub name: String,
    /// Size of the memory tier.
    pub memory_size_bytes: u64,
    /// Size of the disk tier.
    pub disk_size_bytes: u64,
    /// Bandwidth of its link.
    pub link_bytes_per_second: f64,
    /// Read speed of its disk.
    pub disk_bytes_per_second: f64,
}

impl Fleet {
    /// Returns the number of runners in all data centres.
    pub fn runners(&self) -> usize {
        self.data_centres.iter().map(|data_centre| data_centre.runners as usize).sum()
    }

    /// Returns the number of entry processes in all data centres.
    pub fn entries(&self) -> usize {
        self.data_centres.iter().map(|data_centre| data_centre.entries as usize).sum()
    }

    /// Returns the stores of all data centres, in the order of the data centres.
    pub fn stores(&self) -> impl Iterator<Item = &FleetStore> {
        self.data_centres.iter().flat_map(|data_centre| &data_centre.stores)
    }

    /// Returns the total bandwidth of all links.
    pub fn links_bytes_per_second(&self) -> f64 {
        self.stores().map(|store| store.link_bytes_per_second).sum()
    }
}
