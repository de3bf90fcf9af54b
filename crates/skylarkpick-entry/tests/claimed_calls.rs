//! Calls that must not run twice, through several entry processes, on paused time.

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

/// Two entry processes of two data centres, and one plain service with an instance in each.
struct Site {
    platform: Arc<MemoryPlatform>,
    service: Arc<FakeService>,
    entries: Vec<Entry>,
}

async fn site() -> Site {
    site_with(Limits::default()).await
}

async fn site_with(limits: Limits) -> Site {
    let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    let (connector, service) = (MemoryConnector::open(), FakeService::open());
    let mut centres = json!({});
    for (index, centre) in ["mnl-a", "mnl-b"].into_iter().enumerate() {
        let address = format!("10.0.0.{index}:80");
        connector.put_service(&address, service.clone());
        centres[centre] = json!({"services": {
            format!("{centre}-book"): {"address": address, "service": "book-api"},
        }});
    }
    let record = json!({"version": 1, "history": [], "configuration": {
        "accounts": {"cubesat": {}, "imaging": {}},
        "services": {"book-api": {"not_repeatable": ["POST /bookings"], "deadline_ms": 10_000}},
        "data_centres": centres,
    }});
    platform.put("config/current", None, serde_json::to_vec(&record).unwrap()).await.unwrap();
    let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
    let entries = ["mnl-a", "mnl-b"].into_iter().enumerate().map(|(index, centre)| {
        Entry::spawn(EntryParts {
            settings: Settings { limits: limits.clone(), ..settings(centre) },
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
    Site { platform, service, entries }
}

fn settings(centre: &str) -> Settings {
    let document = json!({
        "entry_id": format!("{centre}-entry"),
        "data_centre": centre,
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

impl Site {
    async fn book(&self, entry: usize, key: &str, pass: u64) -> Result<CallResponse, Failure> {
        self.entries[entry].call(booking("cubesat", Some(key), pass)).await
    }

    fn ran(&self) -> usize {
        self.service.ledger().len()
    }
}

/// How a call ends, in a word: `sent`, `replayed`, or whether the failed request ran.
fn word(outcome: &Result<CallResponse, Failure>) -> &'static str {
    match outcome {
        Ok(CallResponse { replayed: true, .. }) => "replayed",
        Ok(_) => "sent",
        Err(Failure { ran: Ran::NotRun, .. }) => "not run",
        Err(Failure { ran: Ran::Unknown, .. }) => "unknown",
        Err(Failure { ran: Ran::Ran, .. }) => "ran",
    }
}

/// What happens before a call and its repeat through the other process, and how both end.
struct Case {
    name: &'static str,
    before_first: fn(&Site),
    before_repeat: fn(&Site),
    first: &'static str,
    repeat: &'static str,
    runs: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing fails",
        before_first: |_| {},
        before_repeat: |_| {},
        first: "sent",
        repeat: "replayed",
        runs: 1,
    },
    Case {
        name: "the service's answer is lost after its effect",
        before_first: |site| site.service.set_faults(|faults| faults.lost_answers = 1),
        before_repeat: |_| {},
        first: "unknown",
        repeat: "unknown",
        runs: 1,
    },
    Case {
        name: "the service refuses at first",
        before_first: |site| site.service.set_faults(|faults| faults.refuses = true),
        before_repeat: |site| site.service.set_faults(|faults| faults.refuses = false),
        first: "not run",
        repeat: "sent",
        runs: 1,
    },
    Case {
        name: "the service cannot be reached at first",
        before_first: |site| site.service.set_faults(|faults| faults.dead = true),
        before_repeat: |site| site.service.set_faults(|faults| faults.dead = false),
        first: "not run",
        repeat: "sent",
        runs: 1,
    },
    Case {
        name: "the service is slower than the deadline",
        before_first: |site| {
            site.service.set_faults(|faults| faults.delay = Duration::from_secs(12));
        },
        before_repeat: |_| {},
        first: "unknown",
        repeat: "unknown",
        runs: 0,
    },
    Case {
        name: "the platform is away, then back",
        before_first: |site| site.platform.set_faults(|faults| faults.away = true),
        before_repeat: |site| site.platform.set_faults(|faults| faults.away = false),
        first: "not run",
        repeat: "sent",
        runs: 1,
    },
    Case {
        name: "the platform goes away between the call and its repeat",
        before_first: |_| {},
        before_repeat: |site| site.platform.set_faults(|faults| faults.away = true),
        first: "sent",
        repeat: "not run",
        runs: 1,
    },
    Case {
        name: "the answer to the claim is lost after its effect",
        before_first: |site| site.platform.set_faults(|faults| faults.lost_write_answers = 1),
        before_repeat: |_| {},
        first: "sent",
        repeat: "replayed",
        runs: 1,
    },
    Case {
        name: "two faults: the claim's answer is lost, and the service's too",
        before_first: |site| {
            site.platform.set_faults(|faults| faults.lost_write_answers = 1);
            site.service.set_faults(|faults| faults.lost_answers = 1);
        },
        before_repeat: |_| {},
        first: "unknown",
        repeat: "unknown",
        runs: 1,
    },
];

#[tokio::test(start_paused = true)]
async fn a_repeat_through_another_process_never_runs_again() {
    for case in CASES {
        let site = site().await;
        (case.before_first)(&site);
        let first = site.book(0, "key", 7).await;
        assert_eq!(word(&first), case.first, "{}: {first:?}", case.name);
        tokio::time::sleep(Duration::from_secs(2)).await;
        (case.before_repeat)(&site);
        let repeat = site.book(1, "key", 7).await;
        assert_eq!(word(&repeat), case.repeat, "{}: the repeat {repeat:?}", case.name);
        assert_eq!(site.ran(), case.runs, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_repeat_waits_for_the_running_call_and_gets_its_answer() {
    let site = site().await;
    site.service.set_faults(|faults| faults.delay = Duration::from_secs(3));
    let (first, local, remote) =
        tokio::join!(site.book(0, "key", 7), site.book(0, "key", 7), site.book(1, "key", 7),);
    let mut words = [word(&first), word(&local), word(&remote)];
    words.sort_unstable();
    assert_eq!(words, ["replayed", "replayed", "sent"]);
    assert_eq!(first.unwrap().body, remote.unwrap().body);
    assert_eq!(site.ran(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_call_ends_before_its_key_is_forgotten() {
    let limits = Limits { claim_retention_ms: 8_000, ..Limits::default() };
    let site = site_with(limits).await;
    site.service.set_faults(|faults| faults.delay = Duration::from_secs(9));
    let started = tokio::time::Instant::now();
    assert_eq!(word(&site.book(0, "key", 7).await), "unknown");
    assert_eq!(started.elapsed().as_secs(), 4);
    assert_eq!(word(&site.book(1, "key", 7).await), "unknown");
}

#[tokio::test(start_paused = true)]
async fn a_call_goes_on_when_its_caller_goes_and_a_repeat_gets_the_answer() {
    let site = site().await;
    site.service.set_faults(|faults| faults.delay = Duration::from_secs(3));
    let gone = tokio::time::timeout(Duration::from_secs(1), site.book(0, "key", 7)).await;
    assert!(gone.is_err());
    assert_eq!(site.entries[0].in_flight_requests(), 1);
    assert_eq!(word(&site.book(1, "key", 7).await), "replayed");
    assert_eq!(site.ran(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_key_belongs_to_one_request_of_one_account() {
    let site = site().await;
    site.book(0, "key", 7).await.unwrap();
    let other_body = site.book(1, "key", 8).await.unwrap_err();
    assert_eq!((other_body.code, other_body.ran), (FailureCode::Conflict, Ran::NotRun));
    let other_account = site.entries[1].call(booking("imaging", Some("key"), 7)).await;
    assert_eq!(word(&other_account), "sent");
    let too_long = site.book(0, &"k".repeat(300), 7).await.unwrap_err();
    assert_eq!((too_long.code, too_long.ran), (FailureCode::BadRequest, Ran::NotRun));
}

#[tokio::test(start_paused = true)]
async fn without_a_key_the_system_sends_a_call_at_most_once() {
    let site = site().await;
    site.service.set_faults(|faults| faults.lost_answers = 1);
    let outcome = site.entries[0].call(booking("cubesat", None, 7)).await;
    assert_eq!(word(&outcome), "unknown");
    assert_eq!(site.ran(), 1);
}
