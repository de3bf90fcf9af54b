//! The configuration of a fleet, which operators change while it runs.

use crate::tokens::TokenHash;
use serde::{Deserialize, Serialize};
use skylarkpick_interface::{
    AccountId, AdapterName, DataCentreId, ModelName, RunnerId, ServiceName, StoreId, WeightVersion,
};
use std::collections::BTreeMap;

/// Configuration of a fleet.
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

/// Permissions of a client account.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AccountRole {
    /// May send requests.
    #[default]
    Caller,
    /// May send requests, and read and patch the configuration.
    Operator,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Permissions of the account.
    pub role: AccountRole,
    /// Hashes of the access tokens of the account.
    pub token_hashes: Vec<TokenHash>,
    /// Weight of the account's fair share, relative to other accounts, when the fleet is at
    /// capacity.
    pub weight: f64,
    /// Limit of requests queued or running in the fleet at the same time.
    pub requests_limit: u32,
    /// Limit of estimated tokens, of prompt and response together, admitted per second.
    pub tokens_per_second_limit: f64,
    /// Limit of the bytes of saved prefixes that the account may have in the stores.
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

/// A model and the weight versions that new requests use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Desired weight version, which the runners are updated to.
    pub weight_version: WeightVersion,
    /// Other weight versions that new requests may use during a rollout.
    #[serde(default)]
    pub also_served_weight_versions: Vec<WeightVersion>,
    /// Adapters that requests may select.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Name of the serving configuration.
    pub serving: String,
    /// Bytes of cached context per token.
    #[serde(default = "default_context_bytes_per_token")]
    pub context_bytes_per_token: u64,
}

fn default_context_bytes_per_token() -> u64 {
    131_072
}

/// Routing, retry and rollout parameters of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Serving {
    /// Weight of the time to first token in the routing cost.
    pub first_token_weight: f64,
    /// Weight of the recomputed share of a prompt in the routing cost.
    pub recompute_weight: f64,
    /// Weight of bytes over a store's link in the routing cost.
    pub link_weight: f64,
    /// Target time to first token; the unit of the routing cost.
    pub first_token_target_ms: u64,
    /// Deadline of a request, unless the caller sets a shorter one.
    pub deadline_ms: u64,
    /// Limit of attempts for a repeatable request, including the first.
    pub attempts_limit: u32,
    /// Retry budget: limit of retries per 100 first attempts.
    pub retry_percent_limit: u32,
    /// Whether prefixes are saved to stores.
    pub saving: bool,
    /// Share of the bandwidth of each store's link that transfers may use.
    pub link_share_limit: f64,
    /// Limit of runners that load weights at the same time.
    pub loads_limit: u32,
    /// Minimum share of a model's runners that keep serving during a rollout.
    pub serving_share_floor: f64,
}

impl Model {
    /// Returns the weight versions that new requests may use, the desired one first.
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

/// Configuration of a plain service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceRules {
    /// Non-idempotent calls, which must not run twice, as `METHOD /path`. A path that ends in `*`
    /// matches by prefix.
    pub not_repeatable: Vec<String>,
    /// Deadline of a call, unless the caller sets a shorter one.
    pub deadline_ms: Option<u64>,
}

/// Targets of one data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DataCentre {
    /// Region of the data centre.
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
    /// Address as `IP:port`.
    pub address: String,
    /// Model that it serves.
    pub model: ModelName,
    /// Whether it rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A store VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreTarget {
    /// Address as `IP:port`.
    pub address: String,
    /// Bandwidth of its link.
    pub link_bytes_per_second: f64,
}

/// An instance of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTarget {
    /// Address as `IP:port`.
    pub address: String,
    /// Service that it is an instance of.
    pub service: ServiceName,
}
