//! What the router is asked and what it answers.

use skylarkpick_interface::{
    Generation, ModelName, PrefixKey, RunnerId, StoreId, StoreTier, WeightVersion,
};
use std::{collections::BTreeMap, time::Instant};

/// What a request needs from a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRequest {
    /// Model to run.
    pub model: ModelName,
    /// Keys of the prompt's full blocks, first block first, under each usable weight version.
    pub prefix_keys: BTreeMap<WeightVersion, Vec<PrefixKey>>,
    /// Prompt length.
    pub prompt_tokens: u64,
    /// Runners that failed this request already.
    pub avoid: Vec<RunnerId>,
}

impl RouteRequest {
    /// Keys under one weight version, or none.
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
    /// Where in the store it lies.
    pub tier: StoreTier,
    /// Tokens in the copy.
    pub tokens: u64,
    /// Last block of the copy.
    pub prefix_key: PrefixKey,
    /// Generation to pin.
    pub generation: Generation,
    /// Bytes that cross the store's link.
    pub size_bytes: u64,
    /// Whether another request already waits for this import to this runner; then no bytes
    /// are to be sent again.
    pub joined: bool,
}

/// How the runner gets the context of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub enum ContextPlan {
    /// The runner is believed to hold it.
    Cached {
        /// Tokens believed to be held, or being computed there now.
        tokens: u64,
    },
    /// Import a saved copy, then compute what it lacks.
    Import(ImportPlan),
    /// Compute it all.
    Recompute,
}

/// Where a request goes and how its context gets there.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Runner chosen.
    pub runner: RunnerId,
    /// Address of the runner.
    pub address: String,
    /// Weights that the runner is expected to use.
    pub weight_version: WeightVersion,
    /// How the context gets there.
    pub context: ContextPlan,
    /// Tokens that the runner is expected to compute.
    pub compute_tokens: u64,
    /// When the choice was made.
    pub chosen_at: Instant,
}

impl Route {
    /// Tokens that the plan spares the runner.
    pub fn spared_tokens(&self) -> u64 {
        match &self.context {
            ContextPlan::Cached { tokens } => *tokens,
            ContextPlan::Import(plan) => plan.tokens,
            ContextPlan::Recompute => 0,
        }
    }
}

/// Says that a runner held more or less of a prompt than believed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheMismatch {
    /// Runner that the belief is about.
    pub runner: RunnerId,
    /// Leading tokens of the prompt believed to be held.
    pub expected_tokens: u64,
    /// Leading tokens of the prompt that were held.
    pub held_tokens: u64,
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoRoute {
    /// No runner of the model is reachable and willing.
    #[error("no runner serves the model")]
    NoRunner,
}
