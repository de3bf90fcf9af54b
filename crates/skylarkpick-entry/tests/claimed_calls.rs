//! Calls with an idempotency key through two entry processes, on paused time: a call must not run
//! twice, whichever process its retry reaches.

#![allow(clippy::unwrap_used)]

use serde_json::json;
use skylarkpick_config::{Limits, Settings};
use skylarkpick_entry::{CallRequest, CallResponse, Entry, EntryParts, Failure, FailureCode, Ran};
use skylarkpick_interface::{NoPeers, ObjectStore, TokioClock};
use skylarkpick_standin::{FakeService, MemoryConnector, MemoryPlatform, PlatformRates};
use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

/// Two data centres with an entry process and an instance of a plain service each.
struct Cluster {
    platform: Arc<MemoryPlatform>,
    service: Arc<FakeService>,
    entries: Vec<Entry>,
}

async fn start_cluster() -> Cluster {
    start_cluster_with(Limits::default()).await
}

async fn start_cluster_with(limits: Limits) -> Cluster {
    let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    let (connector, service) = (MemoryConnector::open(), FakeService::open());
    let mut data_centres = json!({});
    for (index, data_centre) in ["mnl-a", "mnl-b"].into_iter().enumerate() {
        let address = format!("10.0.0.{index}:80");
        connector.put_service(&address, service.clone());
        data_centres[data_centre] = json!({"services": {
            format!("{data_centre}-book"): {"address": address, "service": "book-api"},
        }});
    }
    let record = json!({"version": 1, "history": [], "configuration": {
        "accounts": {"cubesat": {}, "imaging": {}},
        "services": {"book-api": {"not_repeatable": ["POST /bookings"], "deadline_ms": 10_000}},
        "data_centres": data_centres,
    }});
    platform.put("config/current", None, serde_json::to_vec(&record).unwrap()).await.unwrap();
    let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
    let entries = ["mnl-a", "mnl-b"].into_iter().enumerate().map(|(index, data_centre)| {
        Entry::spawn(EntryParts {
            settings: Settings { limits: limits.clone(), ..settings(data_centre) },
            platform: platform.clone(),
            connector: connector.clone(),
            peers: NoPeers::open(),
            clock: clock.clone(),
            resume_key: None,
            seed: index as u64,
        })
    });
    let entries: Vec<_> = entries.collect();
    while !entries.iter().all(Entry::is_ready) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Cluster { platform, service, entries }
}

fn settings(data_centre: &str) -> Settings {
    let document = json!({
        "entry_id": format!("{data_centre}-entry"),
        "data_centre": data_centre,
        "http_address": "127.0.0.1:0",
        "platform_address": "127.0.0.1:1",
    });
    serde_json::from_value(document).unwrap()
}

fn booking(account: &str, key: Option<&str>, pass: u64) -> CallRequest {
    CallRequest {
        request_id: format!("request of {account} for {pass}"),
        account: account.to_string(),
        service: "book-api".to_string(),
        method: "POST".to_string(),
        path: "/bookings".to_string(),
        body: format!("{{\"pass\": {pass}}}").into_bytes(),
        idempotency_key: key.map(str::to_string),
        deadline: None,
    }
}

impl Cluster {
    async fn book(&self, entry: usize, key: &str, pass: u64) -> Result<CallResponse, Failure> {
        self.entries[entry].call(booking("cubesat", Some(key), pass)).await
    }

    /// Number of calls that the service has executed.
    fn runs(&self) -> usize {
        self.service.ledger().len()
    }
}

/// Label of the outcome of a call: `sent`, `replayed`, or whether the failed call ran.
fn label(outcome: &Result<CallResponse, Failure>) -> &'static str {
    match outcome {
        Ok(CallResponse { replayed: true, .. }) => "replayed",
        Ok(_) => "sent",
        Err(Failure { ran: Ran::NotRun, .. }) => "not run",
        Err(Failure { ran: Ran::Unknown, .. }) => "unknown",
        Err(Failure { ran: Ran::Ran, .. }) => "ran",
    }
}

/// Faults before a call and before its retry through the other process, with the outcome of both.
struct Case {
    name: &'static str,
    before_first: fn(&Cluster),
    before_retry: fn(&Cluster),
    first: &'static str,
    retry: &'static str,
    /// Executions at the service.
    runs: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        before_first: |_| {},
        before_retry: |_| {},
        first: "sent",
        retry: "replayed",
        runs: 1,
    },
    Case {
        name: "the service executes the call and its response is lost",
        before_first: |cluster| cluster.service.set_faults(|faults| faults.lost_responses = 1),
        before_retry: |_| {},
        first: "unknown",
        retry: "unknown",
        runs: 1,
    },
    Case {
        name: "the service refuses the first call",
        before_first: |cluster| cluster.service.set_faults(|faults| faults.refuses = true),
        before_retry: |cluster| cluster.service.set_faults(|faults| faults.refuses = false),
        first: "not run",
        retry: "sent",
        runs: 1,
    },
    Case {
        name: "the service is unreachable for the first call",
        before_first: |cluster| cluster.service.set_faults(|faults| faults.dead = true),
        before_retry: |cluster| cluster.service.set_faults(|faults| faults.dead = false),
        first: "not run",
        retry: "sent",
        runs: 1,
    },
    Case {
        name: "the service is slower than the deadline",
        before_first: |cluster| {
            cluster.service.set_faults(|faults| faults.delay = Duration::from_secs(12));
        },
        before_retry: |_| {},
        first: "unknown",
        retry: "unknown",
        runs: 0,
    },
    Case {
        name: "the platform is unavailable for the first call",
        before_first: |cluster| cluster.platform.set_faults(|faults| faults.unavailable = true),
        before_retry: |cluster| cluster.platform.set_faults(|faults| faults.unavailable = false),
        first: "not run",
        retry: "sent",
        runs: 1,
    },
    Case {
        name: "the platform is unavailable for the retry",
        before_first: |_| {},
        before_retry: |cluster| cluster.platform.set_faults(|faults| faults.unavailable = true),
        first: "sent",
        retry: "not run",
        runs: 1,
    },
    Case {
        name: "the claim is written and the platform's response is lost",
        before_first: |cluster| {
            cluster.platform.set_faults(|faults| faults.lost_write_responses = 1)
        },
        before_retry: |_| {},
        first: "sent",
        retry: "replayed",
        runs: 1,
    },
    Case {
        name: "the responses to the claim and to the call are lost",
        before_first: |cluster| {
            cluster.platform.set_faults(|faults| faults.lost_write_responses = 1);
            cluster.service.set_faults(|faults| faults.lost_responses = 1);
        },
        before_retry: |_| {},
        first: "unknown",
        retry: "unknown",
        runs: 1,
    },
];

#[tokio::test(start_paused = true)]
async fn never_runs_a_call_twice_when_retried_through_another_process() {
    for case in CASES {
        let cluster = start_cluster().await;
        (case.before_first)(&cluster);
        let first = cluster.book(0, "key", 7).await;
        assert_eq!(label(&first), case.first, "{}: {first:?}", case.name);
        tokio::time::sleep(Duration::from_secs(2)).await;
        (case.before_retry)(&cluster);
        let retry = cluster.book(1, "key", 7).await;
        assert_eq!(label(&retry), case.retry, "{}: the retry {retry:?}", case.name);
        assert_eq!(cluster.runs(), case.runs, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_retries_wait_for_the_running_call_and_replay_its_response() {
    let cluster = start_cluster().await;
    cluster.service.set_faults(|faults| faults.delay = Duration::from_secs(3));
    let (first, local, remote) = tokio::join!(
        cluster.book(0, "key", 7),
        cluster.book(0, "key", 7),
        cluster.book(1, "key", 7),
    );
    let mut labels = [label(&first), label(&local), label(&remote)];
    labels.sort_unstable();
    assert_eq!(labels, ["replayed", "replayed", "sent"]);
    assert_eq!(first.unwrap().body, remote.unwrap().body);
    assert_eq!(cluster.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn ends_a_call_before_its_claim_expires() {
    let limits = Limits { claim_retention_ms: 8_000, ..Limits::default() };
    let cluster = start_cluster_with(limits).await;
    cluster.service.set_faults(|faults| faults.delay = Duration::from_secs(9));
    let started = tokio::time::Instant::now();
    assert_eq!(label(&cluster.book(0, "key", 7).await), "unknown");
    assert_eq!(started.elapsed().as_secs(), 4);
    assert_eq!(label(&cluster.book(1, "key", 7).await), "unknown");
}

#[tokio::test(start_paused = true)]
async fn completes_a_call_after_its_caller_has_disconnected() {
    let cluster = start_cluster().await;
    cluster.service.set_faults(|faults| faults.delay = Duration::from_secs(3));
    let abandoned = tokio::time::timeout(Duration::from_secs(1), cluster.book(0, "key", 7)).await;
    assert!(abandoned.is_err());
    assert_eq!(cluster.entries[0].in_flight_requests(), 1);
    assert_eq!(label(&cluster.book(1, "key", 7).await), "replayed");
    assert_eq!(cluster.runs(), 1);
}

#[tokio::test(start_paused = true)]
async fn scopes_a_key_to_one_request_of_one_account() {
    let cluster = start_cluster().await;
    cluster.book(0, "key", 7).await.unwrap();
    let other_body = cluster.book(1, "key", 8).await.unwrap_err();
    assert_eq!((other_body.code, other_body.ran), (FailureCode::Conflict, Ran::NotRun));
    let other_account = cluster.entries[1].call(booking("imaging", Some("key"), 7)).await;
    assert_eq!(label(&other_account), "sent");
    let too_long = cluster.book(0, &"k".repeat(300), 7).await.unwrap_err();
    assert_eq!((too_long.code, too_long.ran), (FailureCode::BadRequest, Ran::NotRun));
}

#[tokio::test(start_paused = true)]
async fn sends_a_call_without_a_key_at_most_once() {
    let cluster = start_cluster().await;
    cluster.service.set_faults(|faults| faults.lost_responses = 1);
    let outcome = cluster.entries[0].call(booking("cubesat", None, 7)).await;
    assert_eq!(label(&outcome), "unknown");
    assert_eq!(cluster.runs(), 1);
}
