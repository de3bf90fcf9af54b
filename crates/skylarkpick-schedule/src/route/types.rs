//! Requests to the router and its decisions.

use skylarkpick_interface::{
    Generation, ModelName, PrefixKey, RunnerId, StoreId, StoreTier, WeightVersion,
};
use std::{collections::BTreeMap, time::Instant};

/// A request that needs a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRequest {
    /// Model to run.
    pub model: ModelName,
    /// Keys of the prompt's complete blocks in order, for each usable weight version.
    pub prefix_keys: BTreeMap<WeightVersion, Vec<PrefixKey>>,
    /// Prompt length.
    pub prompt_tokens: u64,
    /// Runners that already failed this request.
    pub avoid: Vec<RunnerId>,
}

impl RouteRequest {
    /// Returns the keys for a weight version, or an empty slice if it isn't usable.
    pub fn keys(&self, weight_version: WeightVersion) -> &[PrefixKey] {
        self.prefix_keys.get(&weight_version).map_or(&[], Vec::as_slice)
    }
}

/// A saved copy to import before a run starts.
#[derive(Clone, Debug, PartialEq)]
pub struct ImportPlan {
    /// Store that holds the copy.
    pub store: StoreId,
    /// Address of the store.
    pub address: String,
    /// Tier of the store that holds the copy.
    pub tier: StoreTier,
    /// Tokens in the copy.
    pub tokens: u64,
    /// Last block of the copy.
    pub prefix_key: PrefixKey,
    /// Generation to pin.
    pub generation: Generation,
    /// Bytes to transfer over the store's link.
    pub size_bytes: u64,
    /// Whether the same import to this runner is already in progress for another request, so that
    /// no bytes are sent again.
    pub joined: bool,
}

/// How the runner gets the context of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub enum ContextPlan {
    /// The runner is expected to hold it.
    Cached {
        /// Tokens expected to be held, including those that the runner is computing now.
        tokens: u64,
    },
    /// The runner imports a saved copy and computes the rest.
    Import(ImportPlan),
    /// The runner computes the whole prompt.
    Recompute,
}

/// The runner of a request, and how it gets the context.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The chosen runner.
    pub runner: RunnerId,
    /// Address of the runner.
    pub address: String,
    /// Weights that the runner is expected to use.
    pub weight_version: WeightVersion,
    /// How the runner gets the context.
    pub context: ContextPlan,
    /// Tokens that the runner is expected to compute.
    pub compute_tokens: u64,
    /// When the route was chosen.
    pub chosen_at: Instant,
}

impl Route {
    /// Returns the tokens that the runner doesn't have to compute.
    pub fn reused_tokens(&self) -> u64 {
        match &self.context {
            ContextPlan::Cached { tokens } => *tokens,
            ContextPlan::Import(plan) => plan.tokens,
            ContextPlan::Recompute => 0,
        }
    }
}

/// A runner's cache held more or fewer tokens of a prompt than expected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheMismatch {
    /// The runner.
    pub runner: RunnerId,
    /// Leading tokens of the prompt that were expected to be cached.
    pub expected_tokens: u64,
    /// Leading tokens of the prompt that were cached.
    pub held_tokens: u64,
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoRoute {
    /// No runner of the model accepts requests with a usable weight version.
    #[error("no runner serves the model")]
    NoRunner,
}
