//! Saved context under faults: an answer is whole and right whatever happens to its context, and
//! what a runner used is judged by the ledgers of runners and stores.
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

/// Blocks of a prompt; the runner's cache holds one such prompt.
const BLOCKS: usize = 8;
/// Tokens of a prompt.
const TOKENS: u64 = 2_048;
/// Bytes of context for each token.
const BYTES_PER_TOKEN: u64 = 1_000;
/// Bytes of a saved prompt.
const SAVED_BYTES: u64 = TOKENS * BYTES_PER_TOKEN;
const ANSWER_TOKENS: u64 = 5;

fn small_runner() -> RunnerSettings {
    RunnerSettings {
        cache_blocks: BLOCKS,
        context_bytes_per_token: BYTES_PER_TOKEN,
        // Computing a prompt takes two seconds, so that an import is worth a slow link.
        prefill_tokens_per_second: 1_000.0,
        ..runner_settings()
    }
}

/// A store whose link carries a saved prompt in about a second.
fn slow_store() -> StoreSettings {
    StoreSettings { link_bytes_per_second: SAVED_BYTES as f64, ..StoreSettings::default() }
}

fn prompt(name: &str) -> String {
    let blocks = if name.starts_with(SHORT) { 1 } else { BLOCKS };
    format!("{name} ").chars().cycle().take(blocks * 1_024).collect()
}

/// Start of the names of prompts of one block.
const SHORT: &str = "short";

fn short(index: usize) -> String {
    format!("{SHORT} {index}")
}

async fn ask_as(entry: &Entry, account: &str, id: &str, name: &str) -> Result<u64, Failure> {
    let asked = CompletionRequest {
        account: account.to_string(),
        ..request(id, &prompt(name), ANSWER_TOKENS)
    };
    let mut stream = entry.complete(asked)?;
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
            None => panic!("{id} has no end"),
        }
    }
}

async fn ask(entry: &Entry, id: &str, name: &str) -> Result<u64, Failure> {
    ask_as(entry, ACCOUNT, id, name).await
}

/// What the runners did for a request, in the end.
fn record(fleet: &Fleet, id: &str) -> RunRecord {
    let mut ledgers = fleet.runners.iter().flat_map(|runner| runner.ledger());
    ledgers.rfind(|record| record.request_id == id).unwrap()
}

async fn sealed(fleet: &Fleet) -> Vec<Manifest> {
    let mut manifests = fleet.stores[0].manifests(None, 1_000).await.unwrap();
    manifests.retain(|manifest| manifest.state == ManifestState::Sealed);
    manifests
}

/// Has a prompt saved in the store and then evicted from the runner.
async fn save_and_evict(fleet: &Fleet, entry: &Entry) {
    ask(entry, "first", "orbit").await.unwrap();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(sealed(fleet).await.len(), 1, "the prompt is saved");
    // Too short to be saved itself.
    for index in 0..BLOCKS {
        ask(entry, &format!("short-{index}"), &short(index)).await.unwrap();
    }
    sleep(Duration::from_secs(3)).await;
}

/// Makes weights 2 the wanted ones and has every runner load them at once.
async fn swap(fleet: &Fleet, entry: &Entry) {
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
        // The planner of the process may have been faster, under a higher number.
        let _ = runner.order(Order { fencing_number: 1, kind }).await;
        while runner.status().await.unwrap().weight_version != 2 {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_prompt_that_returns_after_its_eviction_is_imported() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    let carried = fleet.stores[0].link_carried_bytes();
    assert_eq!(carried, SAVED_BYTES);
    ask(&entry, "third", "orbit").await.unwrap();
    assert_eq!(record(&fleet, "third").cached_tokens, TOKENS);
    assert_eq!(fleet.stores[0].link_carried_bytes(), 2 * SAVED_BYTES);
    let state = entry.state().await.context;
    assert_eq!((state.copies_known, state.imports_under_way, state.exports_under_way), (1, 0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_fault_of_an_import_costs_time_only() {
    struct Case {
        name: &'static str,
        before: fn(&Fleet),
        during: fn(&Fleet),
        cached_tokens: u64,
    }
    let cases = [
        Case { name: "no fault", before: |_| {}, during: |_| {}, cached_tokens: TOKENS },
        Case {
            name: "the store is dead, unknown to the entry",
            before: |fleet| fleet.stores[0].set_faults(|faults| faults.dead = true),
            during: |_| {},
            cached_tokens: 0,
        },
        Case {
            name: "the store dies in the middle",
            before: |_| {},
            during: |fleet| fleet.stores[0].set_faults(|faults| faults.dead = true),
            cached_tokens: 0,
        },
        Case {
            name: "the bytes are altered",
            before: |fleet| fleet.stores[0].set_faults(|faults| faults.alters_content = true),
            during: |_| {},
            cached_tokens: 0,
        },
        Case {
            name: "the store came back without its memory",
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
        let asked = ask(&entry, "third", "orbit");
        let faults = async {
            sleep(Duration::from_millis(500)).await;
            (case.during)(&fleet);
        };
        let (answer, ()) = tokio::join!(asked, faults);
        assert_eq!(answer, Ok(1), "{}", case.name);
        assert_eq!(record(&fleet, "third").cached_tokens, case.cached_tokens, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_copy_with_altered_bytes_is_retired() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    fleet.stores[0].set_faults(|faults| faults.alters_content = true);
    ask(&entry, "third", "orbit").await.unwrap();
    assert!(sealed(&fleet).await.iter().all(|copy| copy.generation > 1));
}

#[tokio::test(start_paused = true)]
async fn a_pin_holds_off_freeing_until_the_runner_has_the_blocks() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    let copy = sealed(&fleet).await.remove(0);
    let store = fleet.stores[0].clone();
    let retires = async {
        sleep(Duration::from_millis(500)).await;
        store.retire(copy.prefix.prefix_key, copy.generation).await.unwrap();
        let states: Vec<_> = store.manifests(None, 10).await.unwrap();
        assert_eq!(states[0].state, ManifestState::Retiring, "the pin holds it");
    };
    let (answer, ()) = tokio::join!(ask(&entry, "third", "orbit"), retires);
    assert_eq!(answer, Ok(1));
    assert_eq!(record(&fleet, "third").cached_tokens, TOKENS);
    let listed = store.manifests(None, 10).await.unwrap();
    assert!(listed.iter().all(|manifest| manifest.generation != copy.generation), "it is freed");
}

#[tokio::test(start_paused = true)]
async fn requests_for_one_prompt_share_one_import() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    let before = fleet.stores[0].link_carried_bytes();
    let answers = futures::future::join_all(["a", "b", "c"].map(|id| {
        let entry = &entry;
        async move { (id, ask(entry, id, "orbit").await) }
    }));
    for (id, answer) in answers.await {
        assert_eq!(answer, Ok(1), "{id}");
        assert_eq!(record(&fleet, id).cached_tokens, TOKENS, "{id}");
    }
    assert_eq!(fleet.stores[0].link_carried_bytes() - before, SAVED_BYTES);
}

#[tokio::test(start_paused = true)]
async fn another_account_never_uses_a_copy_of_the_same_text() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let entry = fleet.entry(1, None).await;
    save_and_evict(&fleet, &entry).await;
    let before = fleet.stores[0].link_carried_bytes();
    assert_eq!(ask_as(&entry, OTHER_ACCOUNT, "foreign", "orbit").await, Ok(1));
    assert_eq!(record(&fleet, "foreign").cached_tokens, 0);
    assert_eq!(fleet.stores[0].link_carried_bytes(), before);
}

#[tokio::test(start_paused = true)]
async fn blocks_of_other_weights_are_never_used() {
    struct Case {
        name: &'static str,
        /// When the weights are swapped, after the request for the saved prompt was sent.
        swapped_after: Option<Duration>,
    }
    let cases = [
        Case { name: "before the request", swapped_after: None },
        Case { name: "during the import", swapped_after: Some(Duration::from_millis(500)) },
        Case { name: "during the run", swapped_after: Some(Duration::from_millis(1_060)) },
    ];
    for case in cases {
        let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
        let entry = fleet.entry(1, None).await;
        save_and_evict(&fleet, &entry).await;
        let swaps = async {
            sleep(case.swapped_after.unwrap_or_default()).await;
            swap(&fleet, &entry).await;
        };
        if case.swapped_after.is_none() {
            swaps.await;
        } else {
            let (answer, ()) = tokio::join!(ask(&entry, "third", "orbit"), swaps);
            // The run of before the swap keeps its own blocks; otherwise it is refused or waits.
            if let Ok(version) = answer {
                let used = record(&fleet, "third");
                assert!(version == 1 || used.cached_tokens == 0, "{}", case.name);
            }
        }
        sleep(Duration::from_secs(2)).await;
        assert_eq!(ask(&entry, "after", "orbit").await, Ok(2), "{}", case.name);
        assert_eq!(record(&fleet, "after").cached_tokens, 0, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn an_export_that_fails_leaves_nothing_to_import() {
    struct Case {
        name: &'static str,
        before: fn(&Fleet),
        during: fn(&Fleet),
        swaps: bool,
    }
    let cases = [
        Case {
            name: "the store is full",
            before: |fleet| fleet.stores[0].set_faults(|faults| faults.full = true),
            during: |_| {},
            swaps: false,
        },
        Case {
            name: "the store dies in the middle and comes back as it was",
            before: |_| {},
            during: |fleet| fleet.stores[0].set_faults(|faults| faults.dead = true),
            swaps: false,
        },
        Case {
            name: "the runner dies in the middle",
            before: |_| {},
            during: |fleet| fleet.runners[0].set_faults(|faults| faults.dead = true),
            swaps: false,
        },
        Case { name: "the weights are swapped", before: |_| {}, during: |_| {}, swaps: true },
    ];
    for case in cases {
        let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
        let entry = fleet.entry(1, None).await;
        (case.before)(&fleet);
        ask(&entry, "first", "orbit").await.unwrap();
        sleep(Duration::from_millis(300)).await;
        (case.during)(&fleet);
        if case.swaps {
            swap(&fleet, &entry).await;
        }
        sleep(Duration::from_secs(2)).await;
        fleet.stores[0].set_faults(|faults| faults.dead = false);
        fleet.runners[0].set_faults(|faults| faults.dead = false);
        sleep(Duration::from_secs(10)).await;
        assert!(sealed(&fleet).await.is_empty(), "{}", case.name);
        let state = entry.state().await.context;
        assert_eq!((state.copies_known, state.exports_under_way), (0, 0), "{}", case.name);
        let version = if case.swaps { 2 } else { 1 };
        assert_eq!(ask(&entry, "third", "orbit").await, Ok(version), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_full_store_gives_way_and_an_account_keeps_to_its_share() {
    struct Case {
        name: &'static str,
        memory_copies: u64,
        saved_bytes_limit: u64,
        copies: usize,
    }
    let cases = [
        Case { name: "room for both", memory_copies: 2, saved_bytes_limit: 1 << 40, copies: 2 },
        Case { name: "room for one", memory_copies: 1, saved_bytes_limit: 1 << 40, copies: 1 },
        Case {
            name: "a share for one",
            memory_copies: 2,
            saved_bytes_limit: SAVED_BYTES + 1,
            copies: 1,
        },
        Case { name: "no share", memory_copies: 2, saved_bytes_limit: 1, copies: 0 },
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
            ask(&entry, &format!("{name}-1"), name).await.unwrap();
            ask(&entry, &format!("{name}-2"), name).await.unwrap();
            sleep(Duration::from_secs(4)).await;
        }
        assert_eq!(sealed(&fleet).await.len(), case.copies, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_learns_what_stores_hold() {
    let fleet = Fleet::open(small_runner(), 1, &[slow_store()]).await;
    let first = fleet.entry(1, None).await;
    save_and_evict(&fleet, &first).await;
    let second = fleet.entry(2, None).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(ask(&second, "third", "orbit").await, Ok(1));
    assert_eq!(record(&fleet, "third").cached_tokens, TOKENS);
}

#[tokio::test(start_paused = true)]
async fn lost_events_are_mended_by_a_snapshot() {
    let fleet = Fleet::open(small_runner(), 1, &[]).await;
    let entry = fleet.entry(1, None).await;
    ask(&entry, "first", "orbit").await.unwrap();
    sleep(Duration::from_secs(1)).await;
    fleet.runners[0].set_faults(|faults| faults.lost_events = 3);
    ask(&entry, "second", "weather").await.unwrap();
    sleep(Duration::from_secs(3)).await;
    let state = entry.state().await.context;
    assert_eq!(state.doubtful_runners, 0);
    assert!(state.blocks_known <= BLOCKS, "{} blocks", state.blocks_known);
    assert_eq!(ask(&entry, "third", "orbit").await, Ok(1));
}

#[tokio::test(start_paused = true)]
async fn what_one_process_reads_of_a_runner_all_know_also_after_a_cut() {
    let fleet = Fleet::open(small_runner(), 1, &[]).await;
    let peers = MemoryPeers::open(Duration::from_millis(1));
    let networks = SEED_PEERS.map(|address| peers.join(address, "mnl-a"));
    let [one, other] = networks;
    let first = fleet.entry_with(1, None, one, "mnl-a").await;
    let second = fleet.entry_with(2, None, other, "mnl-a").await;
    sleep(Duration::from_secs(10)).await;
    let known = async |entry: &Entry| entry.state().await.context.blocks_known;
    ask(&first, "first", "orbit").await.unwrap();
    sleep(Duration::from_secs(3)).await;
    assert!(known(&second).await > 0, "it sent nothing itself");
    // Cut off from each other, each reads the runner itself; healed, one of them tells both.
    SEED_PEERS.iter().for_each(|address| peers.set_reachable(address, false));
    ask(&first, "second", "weather").await.unwrap();
    sleep(Duration::from_secs(10)).await;
    SEED_PEERS.iter().for_each(|address| peers.set_reachable(address, true));
    sleep(Duration::from_secs(60)).await;
    ask(&first, "third", "tide").await.unwrap();
    sleep(Duration::from_secs(40)).await;
    for entry in [&first, &second] {
        let state = entry.state().await.context;
        assert_eq!(state.doubtful_runners, 0);
        assert!((1..=BLOCKS).contains(&state.blocks_known), "{}", state.blocks_known);
    }
}
