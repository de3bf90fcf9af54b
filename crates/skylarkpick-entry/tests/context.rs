//! Saved context under faults. A response must be complete and correct whatever happens to its
//! context; the ledgers of the stand-in runners and stores show which blocks were reused.
#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::{ACCOUNT, Fleet, MODEL, OTHER_ACCOUNT, SEED_PEERS, request, runner_settings};
use futures::StreamExt;
use serde_json::json;
use skylarkpick_config::{Patch, PatchOutcome};
use skylarkpick_entry::{CompletionEvent, CompletionRequest, Entry, Failure};
use skylarkpick_interface::{Manifest, ManifestState, Order, OrderKind, Runner, Store};
use skylarkpick_standin::{MemoryPeers, RunRecord, RunnerSettings, StoreSettings, expected_token};
use std::time::Duration;
use tokio::time::sleep;

/// Length of a long prompt in blocks; the runner's cache holds one such prompt.
const BLOCKS: usize = 8;
/// Length of a long prompt in tokens.
const TOKENS: u64 = 2_048;
/// Size of the context of one token.
const BYTES_PER_TOKEN: u64 = 1_000;
/// Size of a saved long prompt.
const SAVED_BYTES: u64 = TOKENS * BYTES_PER_TOKEN;
const ANSWER_TOKENS: u64 = 5;

fn small_runner() -> RunnerSettings {
    RunnerSettings {
        cache_blocks: BLOCKS,
        context_bytes_per_token: BYTES_PER_TOKEN,
        // Prefill of a long prompt takes two seconds, so an import pays off even over a slow link.
        prefill_tokens_per_second: 1_000.0,
        ..runner_settings()
    }
}

/// A store whose link transfers a saved prompt in about a second.
fn slow_store() -> StoreSettings {
    StoreSettings { link_bytes_per_second: SAVED_BYTES as f64, ..StoreSettings::default() }
}

fn prompt(name: &str) -> String {
    let blocks = if name.starts_with(SHORT) { 1 } else { BLOCKS };
    format!("{name} ").chars().cycle().take(blocks * 1_024).collect()
}

/// Prefix of the names of prompts of one block.
const SHORT: &str = "short";

fn short_name(index: usize) -> String {
    format!("{SHORT} {index}")
}

/// Completes a prompt, checks every token of the response and returns its weight version.
async fn complete_as(entry: &Entry, account: &str, id: &str, name: &str) -> Result<u64, Failure> {
    let request = CompletionRequest {
        account: account.to_string(),
        ..request(id, &prompt(name), ANSWER_TOKENS)
    };
    let mut stream = entry.complete(request)?;
    let (mut version, mut next) = (0, 0);
    loop {
        let event = tokio::time::timeout(Duration::from_secs(60), stream.next()).await.unwrap();
        match event {
            Some(CompletionEvent::Started { weight_version, .. }) => version = weight_version,
            Some(CompletionEvent::Token { offset, text }) => {
                assert_eq!(offset, next);
                assert_eq!(text, expected_token(&prompt(name), version, offset), "{id}");
                next += 1;
            }
            Some(CompletionEvent::Finished { .. }) => {
                assert_eq!(next, ANSWER_TOKENS, "{id}");
                return Ok(version);
            }
            Some(CompletionEvent::Failed(failure)) => return Err(failure),
            Some(CompletionEvent::Moved { .. }) => {}
            None => panic!("the stream of {id} ended without a final event"),
        }
    }
}

async fn complete(entry: &Entry, id: &str, name: &str) -> Result<u64, Failure> {
    complete_as(entry, ACCOUNT, id, name).await
}

/// Returns the last run of a request in the ledgers of the runners.
fn last_run(fleet: &Fleet, id: &str) -> RunRecord {
    let mut ledgers = fleet.runners.iter().flat_map(|runner| runner.ledger());
    ledgers.rfind(|record| record.request_id == id).unwrap()
}

async fn sealed(fleet: &Fleet) -> Vec<Manifest> {
    let mut manifests = fleet.stores[0].manifests(None, 1_000).await.unwrap();
    manifests.retain(|manifest| manifest.state == ManifestState::Sealed);
    manifests
}

/// Has a long prompt saved in the store and then evicts it from the runner's cache with short ones.
async fn save_and_evict(fleet: &Fleet, entry: &Entry) {
    complete(entry, "first", "orbit").await.unwrap();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(sealed(fleet).await.len(), 1, "the prompt was not saved");
    // A prompt of one block is too short to be saved.
    for index in 0..BLOCKS {
        complete(entry, &format!("short-{index}"), &short_name(index)).await.unwrap();
    }
    sleep(Duration::from_secs(3)).await;
}

/// Sets weight version 2 as the desired one and has every runner load it at once.
async fn swap_weights(fleet: &Fleet, entry: &Entry) {
    let patch = Patch {
        patch_id: "swap".to_string(),
        base_version: 1,
        change: json!({"models": {MODEL: {
            "weight_version": 2, "also_served_weight_versions": [1],
        }}}),
    };
    assert_eq!(entry.patch(&patch, "operator").await, PatchOutcome::Accepted(2));
    for runner in &fleet.runners {
        let (model, weight_version) = (MODEL.to_string(), 2);
        let kind = OrderKind::Load { model, weight_version, adapters: Vec::new() };
        // Fails if the planner has already sent the order under a higher fencing number.
        let _ = runner.order(Order { fencing_number: 1, kind }).await;
        while runner.status().await.unwrap().weight_version != 2 {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn imports_a_saved_prompt_after_its_eviction() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    let transferred = fleet.stores[0].link_carried_bytes();
    assert_eq!(transferred, SAVED_BYTES);
    complete(&entry, "third", "orbit").await.unwrap();
    assert_eq!(last_run(&fleet, "third").cached_tokens, TOKENS);
    assert_eq!(fleet.stores[0].link_carried_bytes(), 2 * SAVED_BYTES);
    let state = entry.state().await.context;
    assert_eq!((state.copies_known, state.imports_under_way, state.exports_under_way), (1, 0, 0));
}

#[tokio::test(start_paused = true)]
async fn completes_the_response_when_the_import_fails() {
    struct Case {
        name: &'static str,
        before: fn(&Fleet),
        during: fn(&Fleet),
        cached_tokens: u64,
    }
    let cases = [
        Case { name: "no fault", before: |_| {}, during: |_| {}, cached_tokens: TOKENS },
        Case {
            name: "the store is down before the import, unknown to the entry",
            before: |fleet| fleet.stores[0].set_faults(|faults| faults.dead = true),
            during: |_| {},
            cached_tokens: 0,
        },
        Case {
            name: "the store goes down during the import",
            before: |_| {},
            during: |fleet| fleet.stores[0].set_faults(|faults| faults.dead = true),
            cached_tokens: 0,
        },
        Case {
            name: "the store alters the bytes",
            before: |fleet| fleet.stores[0].set_faults(|faults| faults.corrupts_content = true),
            during: |_| {},
            cached_tokens: 0,
        },
        Case {
            name: "the store restarted and lost its memory",
            before: |fleet| fleet.stores[0].restart(),
            during: |_| {},
            cached_tokens: 0,
        },
    ];
    for case in cases {
        let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
        let entry = fleet.entry(1, None).await;
        save_and_evict(&fleet, &entry).await;
        (case.before)(&fleet);
        let completion = complete(&entry, "third", "orbit");
        let faults = async {
            sleep(Duration::from_millis(500)).await;
            (case.during)(&fleet);
        };
        let (result, ()) = tokio::join!(completion, faults);
        assert_eq!(result, Ok(1), "{}", case.name);
        assert_eq!(last_run(&fleet, "third").cached_tokens, case.cached_tokens, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn retires_a_copy_with_altered_bytes() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    fleet.stores[0].set_faults(|faults| faults.corrupts_content = true);
    complete(&entry, "third", "orbit").await.unwrap();
    assert!(sealed(&fleet).await.iter().all(|copy| copy.generation > 1));
}

#[tokio::test(start_paused = true)]
async fn keeps_a_pinned_copy_until_the_import_has_ended() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    let copy = sealed(&fleet).await.remove(0);
    let store = fleet.stores[0].clone();
    let retire = async {
        sleep(Duration::from_millis(500)).await;
        store.retire(copy.prefix.prefix_key, copy.generation).await.unwrap();
        let states: Vec<_> = store.manifests(None, 10).await.unwrap();
        assert_eq!(states[0].state, ManifestState::Retiring, "the pinned copy was freed");
    };
    let (result, ()) = tokio::join!(complete(&entry, "third", "orbit"), retire);
    assert_eq!(result, Ok(1));
    assert_eq!(last_run(&fleet, "third").cached_tokens, TOKENS);
    let listed = store.manifests(None, 10).await.unwrap();
    assert!(
        listed.iter().all(|manifest| manifest.generation != copy.generation),
        "the unpinned copy was not freed"
    );
}

#[tokio::test(start_paused = true)]
async fn shares_one_import_between_requests_for_the_same_prompt() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    let before = fleet.stores[0].link_carried_bytes();
    let results = futures::future::join_all(["a", "b", "c"].map(|id| {
        let entry = &entry;
        async move { (id, complete(entry, id, "orbit").await) }
    }));
    for (id, result) in results.await {
        assert_eq!(result, Ok(1), "{id}");
        assert_eq!(last_run(&fleet, id).cached_tokens, TOKENS, "{id}");
    }
    assert_eq!(fleet.stores[0].link_carried_bytes() - before, SAVED_BYTES);
}

#[tokio::test(start_paused = true)]
async fn never_reuses_a_copy_of_another_account() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    let before = fleet.stores[0].link_carried_bytes();
    assert_eq!(complete_as(&entry, OTHER_ACCOUNT, "other-account", "orbit").await, Ok(1));
    assert_eq!(last_run(&fleet, "other-account").cached_tokens, 0);
    assert_eq!(fleet.stores[0].link_carried_bytes(), before);
}

#[tokio::test(start_paused = true)]
async fn never_reuses_blocks_of_other_weights() {
    struct Case {
        name: &'static str,
        /// Delay of the swap after the request for the saved prompt; `None` swaps before it.
        swap_delay: Option<Duration>,
    }
    let cases = [
        Case { name: "before the request", swap_delay: None },
        Case { name: "during the import", swap_delay: Some(Duration::from_millis(500)) },
        Case { name: "during the run", swap_delay: Some(Duration::from_millis(1_060)) },
    ];
    for case in cases {
        let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
        let entry = fleet.entry(1, None).await;
        save_and_evict(&fleet, &entry).await;
        let swap = async {
            sleep(case.swap_delay.unwrap_or_default()).await;
            swap_weights(&fleet, &entry).await;
        };
        if case.swap_delay.is_none() {
            swap.await;
        } else {
            let (result, ()) = tokio::join!(complete(&entry, "third", "orbit"), swap);
            // A run that started before the swap may use its blocks; otherwise the request is
            // refused or waits.
            if let Ok(version) = result {
                let run = last_run(&fleet, "third");
                assert!(version == 1 || run.cached_tokens == 0, "{}", case.name);
            }
        }
        sleep(Duration::from_secs(2)).await;
        assert_eq!(complete(&entry, "after", "orbit").await, Ok(2), "{}", case.name);
        assert_eq!(last_run(&fleet, "after").cached_tokens, 0, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn leaves_nothing_to_import_after_a_failed_export() {
    struct Case {
        name: &'static str,
        before: fn(&Fleet),
        during: fn(&Fleet),
        swaps_weights: bool,
    }
    let cases = [
        Case {
            name: "the store is full",
            before: |fleet| fleet.stores[0].set_faults(|faults| faults.full = true),
            during: |_| {},
            swaps_weights: false,
        },
        Case {
            name: "the store is down for a time during the export",
            before: |_| {},
            during: |fleet| fleet.stores[0].set_faults(|faults| faults.dead = true),
            swaps_weights: false,
        },
        Case {
            name: "the runner goes down during the export",
            before: |_| {},
            during: |fleet| fleet.runners[0].set_faults(|faults| faults.dead = true),
            swaps_weights: false,
        },
        Case {
            name: "the weights are swapped during the export",
            before: |_| {},
            during: |_| {},
            swaps_weights: true,
        },
    ];
    for case in cases {
        let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
        let entry = fleet.entry(1, None).await;
        (case.before)(&fleet);
        complete(&entry, "first", "orbit").await.unwrap();
        sleep(Duration::from_millis(300)).await;
        (case.during)(&fleet);
        if case.swaps_weights {
            swap_weights(&fleet, &entry).await;
        }
        sleep(Duration::from_secs(2)).await;
        fleet.stores[0].set_faults(|faults| faults.dead = false);
        fleet.runners[0].set_faults(|faults| faults.dead = false);
        sleep(Duration::from_secs(10)).await;
        assert!(sealed(&fleet).await.is_empty(), "{}", case.name);
        let state = entry.state().await.context;
        assert_eq!((state.copies_known, state.exports_under_way), (0, 0), "{}", case.name);
        let version = if case.swaps_weights { 2 } else { 1 };
        assert_eq!(complete(&entry, "third", "orbit").await, Ok(version), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn evicts_from_a_full_store_and_enforces_the_account_limit() {
    struct Case {
        name: &'static str,
        memory_copies: u64,
        saved_bytes_limit: u64,
        copies: usize,
    }
    let cases = [
        Case {
            name: "the store has space for both prompts",
            memory_copies: 2,
            saved_bytes_limit: 1 << 40,
            copies: 2,
        },
        Case {
            name: "the store has space for one prompt",
            memory_copies: 1,
            saved_bytes_limit: 1 << 40,
            copies: 1,
        },
        Case {
            name: "the account limit allows one prompt",
            memory_copies: 2,
            saved_bytes_limit: SAVED_BYTES + 1,
            copies: 1,
        },
        Case {
            name: "the account limit allows none",
            memory_copies: 2,
            saved_bytes_limit: 1,
            copies: 0,
        },
    ];
    for case in cases {
        let store = StoreSettings {
            memory_size_bytes: case.memory_copies * SAVED_BYTES,
            disk_size_bytes: 0,
            ..slow_store()
        };
        let limit = case.saved_bytes_limit;
        let fleet = Fleet::open_with(small_runner(), 1, &[store], |document| {
            document["accounts"][ACCOUNT] = json!({"saved_bytes_limit": limit});
        })
        .await;
        let entry = fleet.entry(1, None).await;
        for name in ["orbit", "weather"] {
            complete(&entry, &format!("{name}-1"), name).await.unwrap();
            complete(&entry, &format!("{name}-2"), name).await.unwrap();
            sleep(Duration::from_secs(4)).await;
        }
        assert_eq!(sealed(&fleet).await.len(), case.copies, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn uses_copies_saved_before_the_process_started() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let first = fleet.entry(1, None).await;
    save_and_evict(&fleet, &first).await;
    let second = fleet.entry(2, None).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(complete(&second, "third", "orbit").await, Ok(1));
    assert_eq!(last_run(&fleet, "third").cached_tokens, TOKENS);
}

#[tokio::test(start_paused = true)]
async fn recovers_from_lost_cache_events_with_a_snapshot() {
    let fleet = Fleet::open(small_runner(), 1, &[]).await;
    let entry = fleet.entry(1, None).await;
    complete(&entry, "first", "orbit").await.unwrap();
    sleep(Duration::from_secs(1)).await;
    fleet.runners[0].set_faults(|faults| faults.lost_events = 3);
    complete(&entry, "second", "weather").await.unwrap();
    sleep(Duration::from_secs(3)).await;
    let state = entry.state().await.context;
    assert_eq!(state.doubtful_runners, 0);
    assert!(state.blocks_known <= BLOCKS, "{} blocks", state.blocks_known);
    assert_eq!(complete(&entry, "third", "orbit").await, Ok(1));
}

#[tokio::test(start_paused = true)]
async fn shares_cache_content_between_processes_also_after_a_partition() {
    let fleet = Fleet::open(small_runner(), 1, &[]).await;
    let peers = MemoryPeers::open(Duration::from_millis(1));
    let networks = SEED_PEERS.map(|address| peers.join(address, "mnl-a"));
    let [one, other] = networks;
    let first = fleet.entry_with(1, None, one, "mnl-a").await;
    let second = fleet.entry_with(2, None, other, "mnl-a").await;
    sleep(Duration::from_secs(10)).await;
    let known_blocks = async |entry: &Entry| entry.state().await.context.blocks_known;
    complete(&first, "first", "orbit").await.unwrap();
    sleep(Duration::from_secs(3)).await;
    assert!(
        known_blocks(&second).await > 0,
        "a process that sent no request learned nothing of the cache"
    );
    // While partitioned, each process reads the runner itself. Afterwards only the reporter does
    // and publishes what it reads.
    SEED_PEERS.iter().for_each(|address| peers.set_reachable(address, false));
    complete(&first, "second", "weather").await.unwrap();
    sleep(Duration::from_secs(10)).await;
    SEED_PEERS.iter().for_each(|address| peers.set_reachable(address, true));
    sleep(Duration::from_secs(60)).await;
    complete(&first, "third", "tide").await.unwrap();
    sleep(Duration::from_secs(40)).await;
    for entry in [&first, &second] {
        let state = entry.state().await.context;
        assert_eq!(state.doubtful_runners, 0);
        assert!((1..=BLOCKS).contains(&state.blocks_known), "{}", state.blocks_known);
    }
}
