//! Sizes of the fleet that a trace is replayed on.

use serde::{Deserialize, Serialize};
use skylarkpick_config::Serving;

/// Sizes and speeds of a fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Model that every runner serves.
    pub model: String,
    /// Data centres in a fixed order.
    pub data_centres: Vec<FleetDataCentre>,
    /// Time one way between data centres of a region.
    pub same_region_ms: f64,
    /// Time one way between regions.
    #[serde(default)]
    pub other_region_ms: f64,
    /// Time one way between a caller and its entry process.
    pub client_ms: f64,
    /// Prompt tokens that a runner computes in a second.
    pub prefill_tokens_per_second: f64,
    /// Runs that a runner holds at once.
    pub slots: u32,
    /// Tokens that a runner's prefix cache holds.
    pub cache_tokens: u64,
    /// Time between two tokens of an answer.
    pub token_interval_ms: f64,
    /// Bytes of cached context for each token.
    pub context_bytes_per_token: u64,
    /// Time between two load reports of a runner.
    pub load_report_interval_ms: u64,
    /// Age of a load report when an entry process gets it.
    pub load_report_age_ms: u64,
    /// Age of a cache event when the directory gets it.
    pub cache_event_age_ms: u64,
    /// Time to load other weights, for up to `serving.loads_limit` loads at once.
    pub weight_load_ms: u64,
    /// How the model is served.
    #[serde(default)]
    pub serving: Serving,
}

/// One data centre of a fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDataCentre {
    /// Name.
    pub name: String,
    /// Region that it lies in.
    pub region: String,
    /// Entry processes.
    pub entries: u32,
    /// Runners.
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
    /// Bytes that fit in memory.
    pub memory_size_bytes: u64,
    /// Bytes that fit on disk.
    pub disk_size_bytes: u64,
    /// Bytes a second over its link.
    pub link_bytes_per_second: f64,
    /// Bytes a second from and to its disk.
    pub disk_bytes_per_second: f64,
}

impl Fleet {
    /// Runners in all.
    pub fn runners(&self) -> usize {
        self.data_centres.iter().map(|centre| centre.runners as usize).sum()
    }

    /// Entry processes in all.
    pub fn entries(&self) -> usize {
        self.data_centres.iter().map(|centre| centre.entries as usize).sum()
    }

    /// Stores in all, in the order of the data centres.
    pub fn stores(&self) -> impl Iterator<Item = &FleetStore> {
        self.data_centres.iter().flat_map(|centre| &centre.stores)
    }

    /// Bytes a second over all links.
    pub fn links_bytes_per_second(&self) -> f64 {
        self.stores().map(|store| store.link_bytes_per_second).sum()
    }
}
