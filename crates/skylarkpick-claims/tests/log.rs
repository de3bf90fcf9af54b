//! Tests of [`ClaimLog`] against the in-memory platform in virtual time: platform faults, races,
//! outcomes, retention and pauses.

use skylarkpick_claims::{
    ClaimLog, ClaimOutcome, ClaimRequest, ClaimSettings, Ran, StoredOutcome, Ticket, WaitOutcome,
    digest_request,
};
use skylarkpick_interface::{ObjectStore, TokioClock};
use skylarkpick_standin::{MemoryPlatform, PlatformFaults, PlatformRates};
use std::{
    ops::Deref,
    sync::Arc,
    time::{Duration, SystemTime},
};

const RETENTION: Duration = Duration::from_secs(600);

/// A platform, and the clock that all processes of a test share.
struct Site {
    platform: Arc<MemoryPlatform>,
    clock: Arc<TokioClock>,
}

impl Deref for Site {
    type Target = MemoryPlatform;

    fn deref(&self) -> &MemoryPlatform {
        &self.platform
    }
}

fn platform() -> Site {
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
    Site {
        platform: MemoryPlatform::open(Duration::ZERO, PlatformRates::default()),
        clock: Arc::new(TokioClock::start(start)),
    }
}

fn open(site: &Site, name: &str) -> ClaimLog {
    let settings = ClaimSettings { retention: RETENTION, shards: 2, ..ClaimSettings::new(name) };
    ClaimLog::open(site.platform.clone(), site.clock.clone(), settings, 1)
}

fn request(key: &str, body: &str) -> ClaimRequest {
    ClaimRequest {
        account: "cubesat".to_string(),
        key: key.to_string(),
        request_id: format!("request of {key}"),
        request_digest: digest_request(&[body.as_bytes()]),
        time_allowed: Duration::from_secs(20),
    }
}

fn booked() -> StoredOutcome {
    StoredOutcome {
        ran: Ran::Ran,
        status: 200,
        content_type: "application/json".to_string(),
        body: Some(b"{\"number\":1}".to_vec()),
    }
}

async fn claim(log: &ClaimLog, key: &str) -> ClaimOutcome {
    log.claim(request(key, "{}")).await
}

async fn granted(log: &ClaimLog, key: &str) -> Ticket {
    match claim(log, key).await {
        ClaimOutcome::Granted(ticket) => ticket,
        other => panic!("{key}: {other:?}"),
    }
}

async fn wait(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

/// Returns the name of an outcome's variant.
fn variant_name(outcome: &ClaimOutcome) -> String {
    let text = format!("{outcome:?}");
    text.split(|letter: char| !letter.is_alphanumeric()).next().unwrap_or_default().to_string()
}

/// A platform fault during a claim, and the expected variants of [`ClaimOutcome`].
struct Case {
    name: &'static str,
    fault: fn(&mut PlatformFaults),
    first: &'static str,
    /// Outcome of a repeat in another process after the fault.
    repeat: &'static str,
}

const CASES: &[Case] = &[
    Case { name: "no fault", fault: |_| {}, first: "Granted", repeat: "Running" },
    Case {
        name: "the write takes effect without a response",
        fault: |faults| faults.lost_write_responses = 1,
        first: "Granted",
        repeat: "Running",
    },
    Case {
        name: "the write is lost before it takes effect",
        fault: |faults| faults.lost_writes = 1,
        first: "Granted",
        repeat: "Running",
    },
    Case {
        name: "the platform is unavailable",
        fault: |faults| faults.unavailable = true,
        first: "PlatformUnavailable",
        repeat: "Granted",
    },
    Case {
        name: "the platform is slower than the call timeout",
        fault: |faults| faults.delay = Duration::from_millis(1_500),
        first: "PlatformUnavailable",
        repeat: "Granted",
    },
];

#[tokio::test(start_paused = true)]
async fn claim_and_repeat_have_the_right_outcome_under_each_fault() {
    for case in CASES {
        let platform = platform();
        let (first, second) = (open(&platform, "entry-1"), open(&platform, "entry-2"));
        platform.set_faults(case.fault);
        let outcome = claim(&first, "pass").await;
        assert_eq!(variant_name(&outcome), case.first, "{}", case.name);
        platform.set_faults(|faults| *faults = PlatformFaults::default());
        wait(5).await;
        let repeated = claim(&second, "pass").await;
        assert_eq!(variant_name(&repeated), case.repeat, "{}: the repeat", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn key_is_free_again_after_a_refused_claim_took_effect() {
    let platform = platform();
    let (first, second) = (open(&platform, "entry-1"), open(&platform, "entry-2"));
    granted(&first, "warm").await.begin().unwrap().finish(booked()).await;
    wait(1).await;
    platform.set_faults(|faults| faults.lost_write_responses = 1);
    // The write takes effect without a response, and the platform becomes unavailable before the
    // claim can be read back.
    let outage = async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        platform.set_faults(|faults| faults.unavailable = true);
    };
    let (outcome, ()) = tokio::join!(claim(&first, "pass-1"), outage);
    assert_eq!(variant_name(&outcome), "PlatformUnavailable");
    let text = platform
        .objects()
        .values()
        .any(|object| object.value.windows(6).any(|window| window == b"pass-1"));
    assert!(text, "the claim did not take effect");
    platform.set_faults(|faults| *faults = PlatformFaults::default());
    wait(5).await;
    assert_eq!(variant_name(&claim(&second, "pass-1").await), "Granted");
}

#[tokio::test(start_paused = true)]
async fn grants_one_claim_when_many_processes_race_for_a_key() {
    let platform = platform();
    platform.set_faults(|faults| faults.delay = Duration::from_millis(3));
    let logs: Vec<_> = (0..7).map(|index| open(&platform, &format!("entry-{index}"))).collect();
    for round in 0..20 {
        let key = format!("pass-{round}");
        let claims = logs.iter().map(|log| claim(log, &key));
        let outcomes = futures::future::join_all(claims).await;
        let mut tickets: Vec<_> = outcomes
            .into_iter()
            .filter_map(|outcome| match outcome {
                ClaimOutcome::Granted(ticket) => Some(ticket),
                ClaimOutcome::Running(_) => None,
                other => panic!("{other:?}"),
            })
            .collect();
        assert_eq!(tickets.len(), 1, "{key}");
        let waits = logs.iter().map(|log| log.wait("cubesat", &key, Duration::from_secs(5)));
        let sent = tickets.pop().unwrap().begin().unwrap();
        let (waited, ()) = tokio::join!(futures::future::join_all(waits), sent.finish(booked()));
        assert!(waited.iter().all(|outcome| *outcome == WaitOutcome::Finished(booked())));
    }
}

#[tokio::test(start_paused = true)]
async fn repeat_gets_the_outcome_of_the_first_request() {
    let platform = platform();
    let (first, second) = (open(&platform, "entry-1"), open(&platform, "entry-2"));
    // Abandoned before anything was sent: the key is free again.
    drop(granted(&first, "unsent").await);
    wait(1).await;
    drop(granted(&second, "unsent").await);
    // Sent, and the target reported that the request did not start.
    let sent = granted(&first, "refused").await.begin().unwrap();
    sent.finish(StoredOutcome::without_response(Ran::NotRun)).await;
    assert_eq!(variant_name(&claim(&second, "refused").await), "Granted");
    // Sent, without a known outcome.
    drop(granted(&first, "lost").await.begin().unwrap());
    wait(1).await;
    assert_eq!(variant_name(&claim(&second, "lost").await), "OutcomeUnknown");
    // Another request under the same key.
    let sent = granted(&first, "other").await.begin().unwrap();
    let different = second.claim(request("other", "{\"pass\": 2}")).await;
    assert_eq!(variant_name(&different), "DifferentRequest");
    sent.finish(booked()).await;
    let different = second.claim(request("other", "{\"pass\": 2}")).await;
    assert_eq!(variant_name(&different), "DifferentRequest");
}

#[tokio::test(start_paused = true)]
async fn claim_of_a_crashed_process_is_never_reported_as_not_run() {
    let platform = platform();
    let (first, second) = (open(&platform, "entry-1"), open(&platform, "entry-2"));
    let ticket = granted(&first, "pass").await;
    drop(first);
    // Dropping the log simulates a crash, after which the ticket cannot abandon the claim.
    drop(ticket);
    assert_eq!(variant_name(&claim(&second, "pass").await), "Running");
    let waited = second.wait("cubesat", "pass", Duration::from_secs(5)).await;
    assert_eq!(waited, WaitOutcome::OutcomeUnknown);
    wait(60).await;
    assert_eq!(variant_name(&claim(&second, "pass").await), "OutcomeUnknown");
    let third = open(&platform, "entry-3");
    assert_eq!(variant_name(&claim(&third, "pass").await), "OutcomeUnknown");
}

#[tokio::test(start_paused = true)]
async fn removes_keys_and_deletes_objects_after_the_retention() {
    let platform = platform();
    let log = open(&platform, "entry-1");
    for round in 0..40 {
        granted(&log, &format!("pass-{round}")).await.begin().unwrap().finish(booked()).await;
    }
    let before = platform.objects().len();
    tokio::time::sleep(RETENTION - Duration::from_secs(10)).await;
    assert_eq!(variant_name(&claim(&log, "pass-7").await), "Finished");
    tokio::time::sleep(RETENTION).await;
    let after = platform.objects();
    assert!(before >= 40 && after.len() == 2, "{before} objects, then {}", after.len());
    // The newest object of each shard stays, and a new process appends after it.
    let newest: Vec<_> = after.keys().cloned().collect();
    let other = open(&platform, "entry-2");
    granted(&other, "pass-7").await.begin().unwrap().finish(booked()).await;
    assert!(platform.objects().keys().all(|key| newest.iter().any(|old| old <= key)));
    assert_eq!(variant_name(&claim(&log, "pass-7").await), "Finished");
}

#[tokio::test(start_paused = true)]
async fn ticket_expires_during_a_long_pause() {
    let platform = platform();
    let log = open(&platform, "entry-1");
    let ticket = granted(&log, "pass").await;
    tokio::time::sleep(RETENTION / 2).await;
    assert!(ticket.begin().is_none());
}

#[tokio::test(start_paused = true)]
async fn refuses_claims_if_an_object_cannot_be_decoded() {
    let platform = platform();
    for shard in 0..2 {
        let key = format!("claims/{shard:04}/{:016}", 0);
        platform.put(&key, None, vec![0xff; 40]).await.unwrap();
    }
    let log = open(&platform, "entry-1");
    let ClaimOutcome::PlatformUnavailable { reason, .. } = claim(&log, "pass").await else {
        panic!()
    };
    assert!(reason.contains("cannot be read"), "{reason}");
}
