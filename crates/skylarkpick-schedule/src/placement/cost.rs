//! What a request costs at a target, in milliseconds until its first answer.

use super::{
    parts::{CacheView, PartDirectory, PartFingerprint, rendezvous_weight},
    target::TargetView,
    types::{PlacementPrompt, PlacementRequest},
};
use skylarkpick_interface::{CacheScope, ContextMemory, FetchSource, PromptPart, TargetId};
use std::{net::SocketAddr, time::Duration};

/// Prompt tokens that an engine reads in a millisecond, by the users' sheets.
const PREFILL_TOKENS_PER_MS: f64 = 36.1;
/// What another running request on an engine adds to the first token: its share of the steps.
const ENGINE_RUNNING_MS: f64 = 5.0;
/// What another waiting request adds: its prompt is read first.
const ENGINE_WAITING_MS: f64 = 70.0;
/// Time for which a call holds a place of a plain service, by the users' sheets.
const PLAIN_CALL_MS: f64 = 60.0;
/// What a busier instance of a plain service costs while it still has room.
const PLAIN_REQUEST_MS: f64 = 3.0;
/// What another data centre costs: the way there and back, and the price of its bytes.
const OTHER_DATA_CENTRE_MS: f64 = 6.0;
/// Advantage of the target that a prompt's longest shared part is hashed to.
const HASHED_TARGET_MS: f64 = 8.0;
/// Share of the advantage that the second target has, for when the first is busy.
const SECOND_HASHED_SHARE: f64 = 0.5;
/// The same for a part that no cache is known to keep: processes that know nothing of each other
/// must send it to the same target, or it is read twice.
const HASHED_TARGET_UNKNOWN_MS: f64 = 250.0;
/// The same where this process does not hear of what runners keep: the target that a part is hashed
/// to is the one most likely to keep it.
const HASHED_TARGET_UNHEARD_MS: f64 = 60.0;
/// What each shared token costs that is read although a cache keeps it, beside the time to read it.
/// The users price a thousand such tokens at a sixth of a long prompt's answer.
const READ_AGAIN_MS_PER_TOKEN: f64 = 0.1;
/// Longest transfer that is waited for instead of reading a part again.
const TRANSFER_LIMIT_MS: f64 = 900.0;
/// What each token over the memory of an engine costs: others are preempted and read again.
const OVER_MEMORY_MS_PER_TOKEN: f64 = 1.0 / PREFILL_TOKENS_PER_MS;
/// Transfers between data centres take this many times as long.
const OTHER_DATA_CENTRE_TRANSFER: f64 = 2.0;
/// What it costs that a runner may evict a part before it is fetched; a store does not.
const EVICTION_RISK_MS: f64 = 40.0;
/// Set-up of a transfer at an engine.
const TRANSFER_SET_UP_MS: f64 = 3.3;
/// What it costs, beside the wait, to begin on weights that are about to be replaced.
const OLD_WEIGHTS_MS: f64 = 80.0;

/// Where the context of a prompt comes from at one target.
#[derive(Clone, Debug, Default)]
pub(super) struct ContextPlan {
    pub(super) fetch: Vec<Option<FetchSource>>,
    pub(super) held_tokens: u64,
    /// Whether this process hears of what the target keeps.
    pub(super) is_target_followed: bool,
    /// Shared tokens that are neither held nor fetched.
    pub(super) missing_tokens: u64,
    /// Tokens that are read.
    pub(super) read_tokens: u64,
    /// Time until the prompt is in memory.
    pub(super) ready_ms: f64,
}

/// What a request costs at a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Time until the first answer, with all that is weighed like time.
    pub(super) total_ms: f64,
    /// Wait for a place.
    pub(super) wait_ms: f64,
}

/// Cost of a call at an instance of a plain service.
pub(super) fn plain_cost(target: &TargetView, ask: &PlacementRequest, now: Duration) -> Cost {
    let requests = target.requests(now);
    let slots = f64::from(target.slots());
    let wait_ms = ((requests + 1.0 - slots) / slots).max(0.0) * PLAIN_CALL_MS;
    let distance = distance_ms(target, ask);
    Cost { total_ms: wait_ms + requests * PLAIN_REQUEST_MS + distance, wait_ms }
}

/// A prompt that wants an engine.
#[derive(Clone, Copy)]
pub(super) struct EngineAsk<'a> {
    pub(super) ask: &'a PlacementRequest,
    pub(super) prompt: &'a PlacementPrompt,
    pub(super) ranking: &'a HashRanking,
    pub(super) memory: &'a ContextMemory,
    pub(super) now: Duration,
}

/// Cost of a prompt at an engine.
pub(super) fn engine_cost(
    target: &TargetView,
    asked: &EngineAsk<'_>,
    plan: &ContextPlan,
    has_newer_weights: bool,
) -> Cost {
    let EngineAsk { ask, prompt, ranking, memory, now } = *asked;
    let requests = target.requests(now);
    let slots = f64::from(target.slots());
    let over_slots = (requests + 1.0 - slots).max(0.0);
    let own_queue_ms = target.own_prefill_tokens as f64 / PREFILL_TOKENS_PER_MS;
    let queue_ms = own_queue_ms + target.others_waiting(now) * ENGINE_WAITING_MS;
    // Others' requests are taken to be as large as the own ones, or as this one.
    let others = (requests - f64::from(target.own_requests)).max(0.0);
    let own_share = match target.own_requests {
        0 => own_tokens(prompt),
        count => target.own_tokens / u64::from(count),
    };
    let needed = target.own_tokens as f64 + others * own_share as f64 + own_tokens(prompt) as f64;
    let over_memory = (needed - memory.capacity_tokens as f64).max(0.0);
    let wait_ms = over_slots * PLAIN_CALL_MS + over_memory * OVER_MEMORY_MS_PER_TOKEN;
    let hashed = hashed_advantage(target, ranking, plan);
    let read_again = plan.missing_tokens as f64 * READ_AGAIN_MS_PER_TOKEN;
    let old = if has_newer_weights { OLD_WEIGHTS_MS } else { 0.0 };
    let total_ms = wait_ms
        + queue_ms
        + requests * ENGINE_RUNNING_MS
        + plan.ready_ms
        + old
        + read_again
        + distance_ms(target, ask)
        - hashed;
    Cost { total_ms, wait_ms: wait_ms + queue_ms }
}

/// Memory that a request takes beside the parts that it shares with others.
pub(super) fn own_tokens(prompt: &PlacementPrompt) -> u64 {
    let shared: u64 = shared_parts(prompt).iter().map(|part| part.tokens).sum();
    prompt.prompt_tokens.saturating_sub(shared) + prompt.answer_tokens_limit
}

/// Parts that other requests may share: all but the last.
pub(super) fn shared_parts(prompt: &PlacementPrompt) -> &[PromptPart] {
    let count = prompt.parts.len().saturating_sub(1);
    &prompt.parts[..count]
}

fn distance_ms(target: &TargetView, ask: &PlacementRequest) -> f64 {
    if target.registration.data_centre == ask.data_centre { 0.0 } else { OTHER_DATA_CENTRE_MS }
}

/// Advantage of being a target that the prompt is hashed to.
fn hashed_advantage(target: &TargetView, ranking: &HashRanking, plan: &ContextPlan) -> f64 {
    let full = match plan {
        _ if plan.missing_tokens > 0 => HASHED_TARGET_UNKNOWN_MS,
        _ if !plan.is_target_followed => HASHED_TARGET_UNHEARD_MS,
        _ => HASHED_TARGET_MS,
    };
    full * ranking.share(&target.registration.id)
}

/// The targets that a prompt's longest shared part is hashed to, the same in every process.
#[derive(Clone, Debug, Default)]
pub(super) struct HashRanking {
    first: Option<TargetId>,
    second: Option<TargetId>,
}

impl HashRanking {
    /// Ranks targets for a prompt. All targets of the service are ranked, so that one that rests
    /// for a moment does not move the others.
    pub(super) fn open<'a>(
        prompt: &PlacementPrompt,
        targets: impl Iterator<Item = &'a TargetView>,
    ) -> HashRanking {
        let Some(part) = shared_parts(prompt).last() else { return HashRanking::default() };
        let (mut first, mut second) = (None, None);
        for target in targets {
            let id = &target.registration.id;
            let entry = Some((rendezvous_weight(&part.id, id), id));
            if entry > first {
                (first, second) = (entry, first);
            } else if entry > second {
                second = entry;
            }
        }
        let name = |entry: Option<(u64, &TargetId)>| entry.map(|(_, id)| id.clone());
        HashRanking { first: name(first), second: name(second) }
    }

    /// Share of the advantage that a target has.
    fn share(&self, target: &TargetId) -> f64 {
        if self.first.as_ref() == Some(target) {
            1.0
        } else if self.second.as_ref() == Some(target) {
            SECOND_HASHED_SHARE
        } else {
            0.0
        }
    }
}

/// Which caches keep the shared parts of one prompt, looked up once for all targets.
pub(super) struct PartKeepers<'a> {
    /// For each shared part, the caches that keep it whole.
    parts: Vec<Vec<Keeper<'a>>>,
}

struct Keeper<'a> {
    address: SocketAddr,
    cache: &'a CacheView,
    /// Whether it may be fetched from.
    is_source: bool,
}

impl<'a> PartKeepers<'a> {
    /// Looks up the keepers of a prompt's shared parts under a scope.
    pub(super) fn open(
        directory: &'a PartDirectory,
        prompt: &PlacementPrompt,
        scope: &CacheScope,
        is_reachable: &dyn Fn(&str) -> bool,
        now: Duration,
    ) -> PartKeepers<'a> {
        let keepers = |part: &PromptPart| {
            let keepers = directory.holders(PartFingerprint::of(scope, &part.id));
            let whole = keepers.filter(|(_, _, tokens)| *tokens >= part.tokens);
            whole
                .map(|(address, cache, _)| Keeper {
                    address: *address,
                    cache,
                    is_source: cache.is_fresh(now) && is_reachable(&cache.data_centre),
                })
                .collect()
        };
        PartKeepers { parts: shared_parts(prompt).iter().map(keepers).collect() }
    }

    fn is_kept_at(&self, index: usize, address: &SocketAddr) -> bool {
        self.parts[index].iter().any(|keeper| keeper.address == *address)
    }

    /// The cache that a part comes from soonest, with the time that it takes.
    fn best_source(
        &self,
        index: usize,
        target: &TargetView,
        tokens: u64,
        memory: &ContextMemory,
    ) -> Option<(SocketAddr, f64)> {
        let others = self.parts[index]
            .iter()
            .filter(|keeper| keeper.is_source && keeper.address != target.registration.address);
        others
            .map(|keeper| (keeper.address, transfer_ms(keeper.cache, target, tokens, memory)))
            .filter(|(_, time_ms)| *time_ms < TRANSFER_LIMIT_MS)
            .min_by(|left, right| left.1.total_cmp(&right.1))
    }
}

/// Plans where the context of a prompt comes from at one target.
pub(super) fn plan_context(
    keepers: &PartKeepers<'_>,
    target: &TargetView,
    is_target_followed: bool,
    prompt: &PlacementPrompt,
    memory: &ContextMemory,
) -> ContextPlan {
    let mut plan = ContextPlan {
        fetch: vec![None; prompt.parts.len()],
        is_target_followed,
        ..ContextPlan::default()
    };
    let mut read_tokens = prompt.prompt_tokens;
    let mut transfer_ms = 0.0;
    // A part is of use only if all parts before it are there.
    let mut is_covered = true;
    for (index, part) in shared_parts(prompt).iter().enumerate() {
        let source = keepers.best_source(index, target, part.tokens, memory);
        if is_covered {
            // Named also for a part that is held: it may be evicted before the request starts.
            plan.fetch[index] = source.map(|(address, _)| FetchSource { address });
        }
        if is_covered && keepers.is_kept_at(index, &target.registration.address) {
            plan.held_tokens += part.tokens;
            read_tokens = read_tokens.saturating_sub(part.tokens);
            continue;
        }
        match source.filter(|_| is_covered) {
            Some((_, time_ms)) => {
                transfer_ms += time_ms;
                read_tokens = read_tokens.saturating_sub(part.tokens);
            }
            None => {
                is_covered = false;
                plan.missing_tokens += part.tokens;
            }
        }
    }
    plan.read_tokens = read_tokens;
    plan.ready_ms = transfer_ms + read_tokens as f64 / PREFILL_TOKENS_PER_MS;
    plan
}

fn transfer_ms(cache: &CacheView, target: &TargetView, tokens: u64, memory: &ContextMemory) -> f64 {
    let speed = cache.memory.link_megabits_per_second.min(memory.link_megabits_per_second);
    let bits = (tokens * memory.token_size_bytes * 8) as f64;
    let moved_ms = bits / (speed * 1_000.0);
    let distance = if cache.data_centre == target.registration.data_centre {
        1.0
    } else {
        OTHER_DATA_CENTRE_TRANSFER
    };
    let risk = if cache.is_store() { 0.0 } else { EVICTION_RISK_MS };
    risk + TRANSFER_SET_UP_MS
        + cache.memory.first_byte_delay.as_secs_f64() * 1_000.0
        + moved_ms * distance
}
