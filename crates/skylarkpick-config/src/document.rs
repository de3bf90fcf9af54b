//! The configuration: everything that operators create and change while the fleet runs.

use crate::tokens::TokenHash;
use serde::{Deserialize, Serialize};
use skylarkpick_interface::{
    AccountId, AdapterName, DataCentreId, ModelName, RunnerId, ServiceName, StoreId, WeightVersion,
};
use std::collections::BTreeMap;

/// The whole configuration of a fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Serving configurations by name.
    pub serving: BTreeMap<String, Serving>,
    /// Rules of plain services by name.
    pub services: BTreeMap<ServiceName, ServiceRules>,
    /// Targets by data centre.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
}

/// What the holder of an account's token may do.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AccountRole {
    /// Send requests.
    #[default]
    Caller,
    /// Send requests, read and patch the configuration.
    Operator,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// What the account may do.
    pub role: AccountRole,
    /// Hashes of the tokens that act for the account.
    pub token_hashes: Vec<TokenHash>,
    /// Share of a full fleet in proportion to other accounts.
    pub weight: f64,
    /// Requests that may be queued or running at once in the fleet.
    pub requests_limit: u32,
    /// Estimated tokens, prompt and answer together, that may be started in a second.
    pub tokens_per_second_limit: f64,
    /// Bytes of saved prefixes that the account may hold in the stores.
    pub saved_bytes_limit: u64,
}

impl Default for Account {
    fn default() -> Account {
        Account {
            role: AccountRole::Caller,
            token_hashes: Vec::new(),
            weight: 1.0,
            requests_limit: 1_000,
            tokens_per_second_limit: 1_000_000.0,
            saved_bytes_limit: 1 << 40,
        }
    }
}

/// A model and the weights that new requests get.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Weights that the runners are brought to.
    pub weight_version: WeightVersion,
    /// Other weights that new requests may still get, while a roll-out goes on.
    #[serde(default)]
    pub also_served_weight_versions: Vec<WeightVersion>,
    /// Adapters that requests may name.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Name of the serving configuration.
    pub serving: String,
    /// Bytes of cached context for each token.
    #[serde(default = "default_context_bytes_per_token")]
    pub context_bytes_per_token: u64,
}

fn default_context_bytes_per_token() -> u64 {
    131_072
}

/// How a model is served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Serving {
    /// Weight of the time to first token in the routing cost.
    pub first_token_weight: f64,
    /// Weight of the recomputed share of a prompt in the routing cost.
    pub recompute_weight: f64,
    /// Weight of bytes over a store's link in the routing cost.
    pub link_weight: f64,
    /// Time to first token that the routing cost is measured in.
    pub first_token_target_ms: u64,
    /// Time after which an unfinished request is given up, unless the caller names less.
    pub deadline_ms: u64,
    /// Attempts for a repeatable request, the first included.
    pub attempts_limit: u32,
    /// Retries that may be added to each hundred first attempts.
    pub retry_percent_limit: u32,
    /// Whether prefixes are saved to stores.
    pub saving: bool,
    /// Share of each store's link that transfers may take.
    pub link_share_limit: f64,
    /// Weights that runners may load at the same moment.
    pub loads_limit: u32,
    /// Share of a model's runners that must go on serving during a roll-out.
    pub serving_share_floor: f64,
}

impl Model {
    /// Weights that new requests may get, the wanted ones first.
    pub fn usable_weight_versions(&self) -> Vec<WeightVersion> {
        let mut versions = vec![self.weight_version];
        for version in &self.also_served_weight_versions {
            if !versions.contains(version) {
                versions.push(*version);
            }
        }
        versions
    }
}

impl Default for Serving {
    fn default() -> Serving {
        Serving {
            first_token_weight: 1.0,
            recompute_weight: 0.3,
            link_weight: 0.1,
            first_token_target_ms: 870,
            deadline_ms: 60_000,
            attempts_limit: 3,
            retry_percent_limit: 20,
            saving: true,
            link_share_limit: 0.8,
            loads_limit: 2,
            serving_share_floor: 0.6,
        }
    }
}

/// Rules of a plain service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceRules {
    /// Calls that must not run twice, as `METHOD /path`; a path ending in `*` covers all below.
    pub not_repeatable: Vec<String>,
    /// Time after which an unfinished call is given up, unless the caller names less.
    pub deadline_ms: Option<u64>,
}

/// Targets of one data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DataCentre {
    /// Region that the data centre lies in.
    pub region: String,
    /// Runners by name.
    pub runners: BTreeMap<RunnerId, RunnerTarget>,
    /// Store VMs by name.
    pub stores: BTreeMap<StoreId, StoreTarget>,
    /// Instances of plain services by name.
    pub services: BTreeMap<String, ServiceTarget>,
}

/// A runner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerTarget {
    /// IP number and port.
    pub address: String,
    /// Model that it serves.
    pub model: ModelName,
    /// Whether it refuses an order under an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A store VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreTarget {
    /// IP number and port.
    pub address: String,
    /// Bytes a second that its link carries.
    pub link_bytes_per_second: f64,
}

/// An instance of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTarget {
    /// IP number and port.
    pub address: String,
    /// Service that it is an instance of.
    pub service: ServiceName,
}
