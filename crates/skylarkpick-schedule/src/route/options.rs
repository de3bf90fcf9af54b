//! The options of one runner to get the context of a prompt, and the cheapest of them.

use super::{
    candidate::Candidate,
    cost::{CostWeights, ServingOption, cost},
    router::Router,
    types::{ContextPlan, ImportPlan, RouteRequest},
    view::{PrefixView, SavedCopy},
};
use skylarkpick_cache::BLOCK_TOKENS;
use skylarkpick_interface::WeightVersion;
use std::{collections::BTreeMap, time::Instant};

/// Known copies of a prompt's context under one weight version.
#[derive(Debug, Default)]
pub(super) struct KnownCopies {
    /// Leading tokens that each runner, by its index, holds or is computing.
    pub(super) held: BTreeMap<usize, u64>,
    /// Saved copies with the indices of their stores.
    saved: Vec<(usize, SavedCopy)>,
}

/// Inputs of a decision other than the router's state.
pub(super) struct DecisionInputs<'a> {
    pub(super) request: &'a RouteRequest,
    pub(super) copies: BTreeMap<WeightVersion, KnownCopies>,
    pub(super) weights: CostWeights,
    pub(super) now: Instant,
}

/// An option at one runner, with its cost.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) runner: usize,
    pub(super) cost: f64,
    pub(super) option: ServingOption,
}

impl Choice {
    pub(super) fn plan(&self) -> ContextPlan {
        match &self.option.import {
            Some(import) => ContextPlan::Import(import.clone()),
            None if self.option.reused_tokens > 0 => {
                ContextPlan::Cached { tokens: self.option.reused_tokens }
            }
            None => ContextPlan::Recompute,
        }
    }
}

impl Router {
    /// Looks up the known copies of a prompt's context under each usable weight version.
    pub(super) fn find_copies(
        &self,
        request: &RouteRequest,
        view: &dyn PrefixView,
    ) -> BTreeMap<WeightVersion, KnownCopies> {
        let find =
            |version: &WeightVersion| (*version, self.find_copies_of(request.keys(*version), view));
        request.prefix_keys.keys().map(find).collect()
    }

    fn find_copies_of(&self, keys: &[u128], view: &dyn PrefixView) -> KnownCopies {
        let mut known = KnownCopies::default();
        if keys.is_empty() {
            return known;
        }
        if self.rules.uses_holders {
            for holder in view.holders(keys) {
                if let Some(index) = self.runner_index(&holder.runner) {
                    known.held.insert(index, holder.tokens);
                }
            }
        }
        if self.rules.uses_holders && self.rules.expects_pending {
            for (index, blocks) in self.pending.matching(keys) {
                let held = known.held.entry(index).or_default();
                *held = (*held).max(blocks as u64 * BLOCK_TOKENS);
            }
        }
        if self.rules.uses_stores {
            let copies = view.saved_copies(keys).into_iter();
            known.saved = copies
                .filter_map(|copy| Some((self.store_index(&copy.store)?, copy)))
                .filter(|(index, _)| !self.stores[*index].unusable)
                .collect();
        }
        known
    }

    /// Returns the cheapest option of one runner to serve the prompt, or `None` if the runner has
    /// no usable weights.
    pub(super) fn cheapest_option(&self, index: usize, inputs: &DecisionInputs) -> Option<Choice> {
        let candidate = &self.runners[index];
        let known = inputs.copies.get(&candidate.weight_version?)?;
        let held = known.held.get(&index).copied().unwrap_or(0);
        let mut best = self.evaluate(index, inputs, cached_option(held));
        for (store, copy) in &known.saved {
            if copy.tokens > held {
                let option = self.import_option(index, *store, copy, inputs.now);
                let choice = self.evaluate(index, inputs, option);
                if choice.cost < best.cost {
                    best = choice;
                }
            }
        }
        Some(best)
    }

    fn evaluate(&self, index: usize, inputs: &DecisionInputs, option: ServingOption) -> Choice {
        let candidate = &self.runners[index];
        let cost = cost(
            &inputs.weights,
            &self.rules,
            candidate,
            inputs.request.prompt_tokens,
            &option,
            self.distance_seconds(&candidate.data_centre),
            inputs.now,
        );
        Choice { runner: index, cost, option }
    }

    fn import_option(
        &self,
        index: usize,
        store: usize,
        copy: &SavedCopy,
        now: Instant,
    ) -> ServingOption {
        let store = &self.stores[store];
        let active_import = self.imports.get(index, copy.prefix_key);
        let transfer_seconds = match active_import {
            Some(import) => import.ends_at.saturating_duration_since(now).as_secs_f64(),
            None => {
                self.store_delay_seconds(&self.runners[index], &store.data_centre)
                    + store.transfer_seconds(copy.size_bytes, copy.tier, now)
            }
        };
        ServingOption {
            reused_tokens: copy.tokens,
            transfer_seconds,
            link_bytes_per_second: store.link_bytes_per_second,
            import: Some(ImportPlan {
                store: store.name.clone(),
                address: store.address.clone(),
                tier: copy.tier,
                tokens: copy.tokens,
                prefix_key: copy.prefix_key,
                generation: copy.generation,
                size_bytes: copy.size_bytes,
                joined: active_import.is_some(),
            }),
        }
    }

    fn store_delay_seconds(&self, runner: &Candidate, store_data_centre: &str) -> f64 {
        self.delay_between(&runner.data_centre, store_data_centre).as_secs_f64()
    }
}

/// Returns the option to use the tokens that the runner holds, without an import.
fn cached_option(held: u64) -> ServingOption {
    ServingOption {
        reused_tokens: held,
        import: None,
        transfer_seconds: 0.0,
        link_bytes_per_second: 1.0,
    }
}
