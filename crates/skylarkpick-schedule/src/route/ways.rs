//! The ways in which one runner could get a prompt's context, and the cheapest of them.

use super::{
    candidate::Candidate,
    cost::{CostWeights, Way, cost},
    router::Router,
    types::{ContextPlan, ImportPlan, RouteRequest},
    view::{PrefixView, SavedCopy},
};
use skylarkpick_cache::BLOCK_TOKENS;
use skylarkpick_interface::WeightVersion;
use std::{collections::BTreeMap, time::Instant};

/// What is known of a prompt under one weight version.
#[derive(Debug, Default)]
pub(super) struct KnownPrompt {
    /// Leading tokens that a runner (by its place) holds or will hold soon.
    pub(super) held: BTreeMap<usize, u64>,
    /// Saved copies with the places of their stores.
    saved: Vec<(usize, SavedCopy)>,
}

/// What a decision looks at beside the router's state.
pub(super) struct Question<'a> {
    pub(super) request: &'a RouteRequest,
    pub(super) known: BTreeMap<WeightVersion, KnownPrompt>,
    pub(super) weights: CostWeights,
    pub(super) now: Instant,
}

/// The cheapest way at one runner.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) runner: usize,
    pub(super) cost: f64,
    pub(super) way: Way,
}

impl Choice {
    pub(super) fn plan(&self) -> ContextPlan {
        match &self.way.import {
            Some(import) => ContextPlan::Import(import.clone()),
            None if self.way.spared_tokens > 0 => {
                ContextPlan::Cached { tokens: self.way.spared_tokens }
            }
            None => ContextPlan::Recompute,
        }
    }
}

impl Router {
    pub(super) fn know_prompt(
        &self,
        request: &RouteRequest,
        view: &dyn PrefixView,
    ) -> BTreeMap<WeightVersion, KnownPrompt> {
        let know =
            |version: &WeightVersion| (*version, self.know_row(request.keys(*version), view));
        request.prefix_keys.keys().map(know).collect()
    }

    fn know_row(&self, keys: &[u128], view: &dyn PrefixView) -> KnownPrompt {
        let mut known = KnownPrompt::default();
        if keys.is_empty() {
            return known;
        }
        if self.rules.uses_holders {
            for holder in view.holders(keys) {
                if let Some(place) = self.runner_place(&holder.runner) {
                    known.held.insert(place, holder.tokens);
                }
            }
        }
        if self.rules.uses_holders && self.rules.expects_pending {
            for (place, blocks) in self.pending.of(keys) {
                let held = known.held.entry(place).or_default();
                *held = (*held).max(blocks as u64 * BLOCK_TOKENS);
            }
        }
        if self.rules.uses_stores {
            let copies = view.saved_copies(keys).into_iter();
            known.saved = copies
                .filter_map(|copy| Some((self.store_place(&copy.store)?, copy)))
                .filter(|(place, _)| !self.stores[*place].unusable)
                .collect();
        }
        known
    }

    /// The cheapest way for one runner to serve the prompt.
    pub(super) fn best_way(&self, place: usize, question: &Question) -> Option<Choice> {
        let candidate = &self.runners[place];
        let known = question.known.get(&candidate.weight_version?)?;
        let held = known.held.get(&place).copied().unwrap_or(0);
        let mut best = self.price(place, question, resident_way(held));
        for (store, copy) in &known.saved {
            if copy.tokens > held {
                let way = self.import_way(place, *store, copy, question.now);
                let choice = self.price(place, question, way);
                if choice.cost < best.cost {
                    best = choice;
                }
            }
        }
        Some(best)
    }

    fn price(&self, place: usize, question: &Question, way: Way) -> Choice {
        let candidate = &self.runners[place];
        let cost = cost(
            &question.weights,
            &self.rules,
            candidate,
            question.request.prompt_tokens,
            &way,
            self.distance_seconds(&candidate.data_centre),
            question.now,
        );
        Choice { runner: place, cost, way }
    }

    fn import_way(&self, place: usize, store: usize, copy: &SavedCopy, now: Instant) -> Way {
        let store = &self.stores[store];
        let under_way = self.imports.get(place, copy.prefix_key);
        let transfer_seconds = match under_way {
            Some(import) => import.ends_at.saturating_duration_since(now).as_secs_f64(),
            None => {
                self.way_between(&self.runners[place], &store.data_centre)
                    + store.transfer_seconds(copy.size_bytes, copy.tier, now)
            }
        };
        Way {
            spared_tokens: copy.tokens,
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
                joined: under_way.is_some(),
            }),
        }
    }

    fn way_between(&self, runner: &Candidate, store_data_centre: &str) -> f64 {
        self.delay_between(&runner.data_centre, store_data_centre).as_secs_f64()
    }
}

fn resident_way(held: u64) -> Way {
    Way { spared_tokens: held, import: None, transfer_seconds: 0.0, link_bytes_per_second: 1.0 }
}
