//! A simulated runner with a fixed number of slots, sequential prefill and a limited prefix cache.

use super::event_queue::{ContextId, RunId};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// A prompt that is sent to a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prompt {
    pub(super) run: RunId,
    pub(super) context: ContextId,
    pub(super) prefix_tokens: u64,
    pub(super) question_tokens: u64,
}

/// The prefill of a prompt that a runner has started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prefill {
    pub(super) prompt: Prompt,
    pub(super) cached_tokens: u64,
    pub(super) ends_at: Duration,
}

/// A prefix cache of limited size. It evicts the least recently used prefixes first, each from its
/// end.
#[derive(Debug)]
pub(super) struct PrefixCache {
    tokens_limit: u64,
    tokens: u64,
    uses: u64,
    /// Tokens held and sequence number of the last use, by context.
    held: BTreeMap<ContextId, (u64, u64)>,
    by_last_use: BTreeMap<u64, ContextId>,
}

impl PrefixCache {
    fn open(tokens_limit: u64) -> PrefixCache {
        PrefixCache {
            tokens_limit,
            tokens: 0,
            uses: 0,
            held: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    pub(super) fn held(&self, context: ContextId) -> u64 {
        self.held.get(&context).map_or(0, |(tokens, _)| *tokens)
    }

    /// Inserts a context. Returns every context whose held tokens changed, with the tokens held now.
    pub(super) fn put(&mut self, context: ContextId, tokens: u64) -> Vec<(ContextId, u64)> {
        self.uses += 1;
        let (before, last_use) = self.held.get(&context).copied().unwrap_or((0, 0));
        self.by_last_use.remove(&last_use);
        let now_held = tokens.max(before).min(self.tokens_limit);
        self.held.insert(context, (now_held, self.uses));
        self.by_last_use.insert(self.uses, context);
        self.tokens += now_held - before.min(now_held);
        let mut changed = self.evict();
        if now_held != before {
            changed.push((context, now_held));
        }
        changed
    }

    /// Removes everything. Returns every context that was held, with 0 tokens.
    pub(super) fn clear(&mut self) -> Vec<(ContextId, u64)> {
        self.by_last_use.clear();
        self.tokens = 0;
        std::mem::take(&mut self.held).into_keys().map(|context| (context, 0)).collect()
    }

    /// Evicts down to the limit. Returns every changed context with the tokens still held.
    fn evict(&mut self) -> Vec<(ContextId, u64)> {
        let mut changed = Vec::new();
        while self.tokens > self.tokens_limit {
            let Some((last_use, context)) = self.by_last_use.pop_first() else { break };
            let held = self.held(context);
            let remaining = held.saturating_sub(self.tokens - self.tokens_limit);
            self.tokens -= held - remaining;
            if remaining > 0 {
                self.held.insert(context, (remaining, last_use));
                self.by_last_use.insert(last_use, context);
            } else {
                self.held.remove(&context);
            }
            changed.push((context, remaining));
        }
        changed
    }
}

/// A simulated runner. `epoch` counts its crashes.
#[derive(Debug)]
pub(super) struct SimulatedRunner {
    pub(super) name: String,
    pub(super) data_centre: usize,
    pub(super) weight_version: u64,
    pub(super) loading: bool,
    pub(super) down: bool,
    pub(super) epoch: u32,
    pub(super) cache: PrefixCache,
    slots: usize,
    prefill_tokens_per_second: f64,
    active: BTreeSet<RunId>,
    /// Prompts that wait for a slot.
    slot_queue: VecDeque<Prompt>,
    /// Prompts in a slot that wait for their prefill.
    prefill_queue: VecDeque<Prompt>,
    prefill: Option<Prefill>,
}

impl SimulatedRunner {
    pub(super) fn open(name: String, data_centre: usize, fleet: &crate::trace::Fleet) -> Self {
        SimulatedRunner {
            name,
            data_centre,
            weight_version: 1,
            loading: false,
            down: false,
            epoch: 0,
            cache: PrefixCache::open(fleet.cache_tokens),
            slots: fleet.slots as usize,
            prefill_tokens_per_second: fleet.prefill_tokens_per_second,
            active: BTreeSet::new(),
            slot_queue: VecDeque::new(),
            prefill_queue: VecDeque::new(),
            prefill: None,
        }
    }

    /// Puts a run into a slot, or into the queue for one.
    pub(super) fn accept(&mut self, prompt: Prompt) {
        if self.active.len() < self.slots {
            self.active.insert(prompt.run);
            self.prefill_queue.push_back(prompt);
        } else {
            self.slot_queue.push_back(prompt);
        }
    }

    /// Starts the next prefill, if none is in progress.
    pub(super) fn start_next_prefill(&mut self, now: Duration) -> Option<Prefill> {
        if self.prefill.is_some() {
            return None;
        }
        let prompt = self.prefill_queue.pop_front()?;
        let cached_tokens = self.cache.held(prompt.context).min(prompt.prefix_tokens);
        let uncached_tokens = prompt.prefix_tokens + prompt.question_tokens - cached_tokens;
        let seconds = uncached_tokens as f64 / self.prefill_tokens_per_second;
        let prefill =
            Prefill { prompt, cached_tokens, ends_at: now + Duration::from_secs_f64(seconds) };
        self.prefill = Some(prefill);
        Some(prefill)
    }

    /// Ends the prefill in progress and returns it.
    pub(super) fn finish_prefill(&mut self) -> Option<Prefill> {
        self.prefill.take()
    }

    /// Ends a run and gives its slot to the next one.
    pub(super) fn end(&mut self, run: RunId) {
        self.active.remove(&run);
        if let Some(prompt) = self.slot_queue.pop_front() {
            self.active.insert(prompt.run);
            self.prefill_queue.push_back(prompt);
        }
    }

    /// Drops every run. Returns those without a first token.
    pub(super) fn crash(&mut self) -> Vec<RunId> {
        self.epoch += 1;
        self.active.clear();
        let prefill = self.prefill.take().map(|prefill| prefill.prompt);
        let lost = prefill.into_iter().chain(self.prefill_queue.drain(..));
        let mut lost: Vec<RunId> = lost.map(|prompt| prompt.run).collect();
        lost.extend(self.slot_queue.drain(..).map(|prompt| prompt.run));
        lost
    }

    /// Returns the uncached prompt tokens that wait for prefill.
    pub(super) fn queued_tokens(&self, now: Duration) -> u64 {
        let in_progress = self.prefill.map_or(0.0, |prefill| {
            prefill.ends_at.saturating_sub(now).as_secs_f64() * self.prefill_tokens_per_second
        });
        let uncached_tokens = |prompt: &Prompt| {
            let held = self.cache.held(prompt.context).min(prompt.prefix_tokens);
            prompt.prefix_tokens + prompt.question_tokens - held
        };
        in_progress as u64
            + self.prefill_queue.iter().chain(&self.slot_queue).map(uncached_tokens).sum::<u64>()
    }

    pub(super) fn active_runs(&self) -> u32 {
        self.active.len() as u32
    }

    pub(super) fn queued_runs(&self) -> u32 {
        self.slot_queue.len() as u32
    }
}
