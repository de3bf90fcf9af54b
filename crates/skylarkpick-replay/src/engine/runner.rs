//! A small fake of a runner: slots, one prompt computed at a time, a limited prefix cache.

use super::agenda::{ContextId, RunId};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// A prompt that a runner is to compute.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prompt {
    pub(super) run: RunId,
    pub(super) context: ContextId,
    pub(super) prefix_tokens: u64,
    pub(super) question_tokens: u64,
}

/// A prompt that a runner has begun to compute.
#[derive(Clone, Copy, Debug)]
pub(super) struct Begun {
    pub(super) prompt: Prompt,
    pub(super) cached_tokens: u64,
    pub(super) ends_at: Duration,
}

/// A limited prefix cache that gives up the ends of the least recently used prefixes first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    tokens_limit: u64,
    tokens: u64,
    uses: u64,
    held: BTreeMap<ContextId, (u64, u64)>,
    by_use: BTreeMap<u64, ContextId>,
}

impl PrefixCache {
    fn open(tokens_limit: u64) -> PrefixCache {
        PrefixCache {
            tokens_limit,
            tokens: 0,
            uses: 0,
            held: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    pub(super) fn held(&self, context: ContextId) -> u64 {
        self.held.get(&context).map_or(0, |(tokens, _)| *tokens)
    }

    /// Puts a context; gives every context that changed with what is held of it now.
    pub(super) fn put(&mut self, context: ContextId, tokens: u64) -> Vec<(ContextId, u64)> {
        self.uses += 1;
        let (before, last_use) = self.held.get(&context).copied().unwrap_or((0, 0));
        self.by_use.remove(&last_use);
        let now_held = tokens.max(before).min(self.tokens_limit);
        self.held.insert(context, (now_held, self.uses));
        self.by_use.insert(self.uses, context);
        self.tokens += now_held - before.min(now_held);
        let mut changed = self.make_room();
        if now_held != before {
            changed.push((context, now_held));
        }
        changed
    }

    pub(super) fn clear(&mut self) -> Vec<(ContextId, u64)> {
        self.by_use.clear();
        self.tokens = 0;
        std::mem::take(&mut self.held).into_keys().map(|context| (context, 0)).collect()
    }

    fn make_room(&mut self) -> Vec<(ContextId, u64)> {
        let mut changed = Vec::new();
        while self.tokens > self.tokens_limit {
            let Some((last_use, context)) = self.by_use.pop_first() else { break };
            let held = self.held(context);
            let left = held.saturating_sub(self.tokens - self.tokens_limit);
            self.tokens -= held - left;
            if left > 0 {
                self.held.insert(context, (left, last_use));
                self.by_use.insert(last_use, context);
            } else {
                self.held.remove(&context);
            }
            changed.push((context, left));
        }
        changed
    }
}

/// A small fake of a runner.
#[derive(Debug)]
pub(super) struct FakeRunner {
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
    waiting: VecDeque<Prompt>,
    prompts: VecDeque<Prompt>,
    computing: Option<Begun>,
}

impl FakeRunner {
    pub(super) fn open(name: String, data_centre: usize, fleet: &crate::trace::Fleet) -> Self {
        FakeRunner {
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
            waiting: VecDeque::new(),
            prompts: VecDeque::new(),
            computing: None,
        }
    }

    /// Takes a run in.
    pub(super) fn accept(&mut self, prompt: Prompt) {
        if self.active.len() < self.slots {
            self.active.insert(prompt.run);
            self.prompts.push_back(prompt);
        } else {
            self.waiting.push_back(prompt);
        }
    }

    /// Begins with the next prompt, if none is being computed.
    pub(super) fn begin_next(&mut self, now: Duration) -> Option<Begun> {
        if self.computing.is_some() {
            return None;
        }
        let prompt = self.prompts.pop_front()?;
        let cached_tokens = self.cache.held(prompt.context).min(prompt.prefix_tokens);
        let rest = prompt.prefix_tokens + prompt.question_tokens - cached_tokens;
        let seconds = rest as f64 / self.prefill_tokens_per_second;
        let begun =
            Begun { prompt, cached_tokens, ends_at: now + Duration::from_secs_f64(seconds) };
        self.computing = Some(begun);
        Some(begun)
    }

    /// Ends the prompt being computed.
    pub(super) fn computed(&mut self) -> Option<Begun> {
        self.computing.take()
    }

    /// Ends a run and lets the next one in.
    pub(super) fn end(&mut self, run: RunId) {
        self.active.remove(&run);
        if let Some(prompt) = self.waiting.pop_front() {
            self.active.insert(prompt.run);
            self.prompts.push_back(prompt);
        }
    }

    /// Loses every run; gives those that had no first token.
    pub(super) fn crash(&mut self) -> Vec<RunId> {
        self.epoch += 1;
        self.active.clear();
        let computing = self.computing.take().map(|begun| begun.prompt);
        let lost = computing.into_iter().chain(self.prompts.drain(..));
        let mut lost: Vec<RunId> = lost.map(|prompt| prompt.run).collect();
        lost.extend(self.waiting.drain(..).map(|prompt| prompt.run));
        lost
    }

    /// Prompt tokens that wait to be computed.
    pub(super) fn queued_tokens(&self, now: Duration) -> u64 {
        let left = self.computing.map_or(0.0, |begun| {
            begun.ends_at.saturating_sub(now).as_secs_f64() * self.prefill_tokens_per_second
        });
        let rest = |prompt: &Prompt| {
            let held = self.cache.held(prompt.context).min(prompt.prefix_tokens);
            prompt.prefix_tokens + prompt.question_tokens - held
        };
        left as u64 + self.prompts.iter().chain(&self.waiting).map(rest).sum::<u64>()
    }

    pub(super) fn active_runs(&self) -> u32 {
        self.active.len() as u32
    }

    pub(super) fn queued_runs(&self) -> u32 {
        self.waiting.len() as u32
    }
}
