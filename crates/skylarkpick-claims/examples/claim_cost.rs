//! Compares the platform load and latency of claims for several storage designs: the claim log, one
//! object per key, and bucket objects.
//!
//! `cargo run --release -p skylarkpick-claims --example claim_cost`
//!
//! Runs in virtual time against the in-memory platform, which responds after 3 ms. Each request
//! ends 50 ms after its claim with a response of 100 bytes; a tenth of the claims are repeats.

use rand::{Rng, SeedableRng, rngs::StdRng};
use skylarkpick_claims::{
    ClaimLog, ClaimOutcome, ClaimRequest, ClaimSettings, Ran, StoredOutcome, digest_request,
};
use skylarkpick_interface::{ObjectStore, TokioClock, WriteError};
use skylarkpick_standin::{MemoryPlatform, PlatformCalls, PlatformRates};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};
use tokio::{task::JoinSet, time::Instant};

const SECONDS: u64 = 20;
const RESPONSE_TIME: Duration = Duration::from_millis(3);
const REQUEST_TIME: Duration = Duration::from_millis(50);
const RESPONSE_SIZE_BYTES: usize = 100;
const CLAIM_SIZE_BYTES: usize = 140;
const BUCKETS: u64 = 64;

#[derive(Clone, Copy)]
enum Design {
    /// The claim log, with claims arriving at this many processes.
    Log { processes: usize },
    /// One object per key, written once for the claim and once for the outcome.
    ObjectPerKey,
    /// Bucket objects, each read, changed and written conditionally on its version.
    Buckets,
}

struct Latencies(Mutex<Vec<Duration>>);

impl Latencies {
    fn add(&self, started: Instant) {
        if let Ok(mut times) = self.0.lock() {
            times.push(started.elapsed());
        }
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        let Ok(mut times) = self.0.lock() else { return 0.0 };
        times.sort();
        let index = (times.len() as f64 * quantile) as usize;
        times.get(index).map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
    }
}

fn main() -> std::io::Result<()> {
    let designs = [
        ("log, 7 processes", Design::Log { processes: 7 }),
        ("log, one writer per shard", Design::Log { processes: 1 }),
        ("one object per key", Design::ObjectPerKey),
        ("64 bucket objects", Design::Buckets),
    ];
    println!(
        "| design | claims/s | writes/s | reads/s | kB/s written | kB/s read | claim p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (name, design) in designs {
        for rate in [1, 10, 100, 500] {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()?;
            let (calls, latencies) = runtime.block_on(run(design, rate));
            print_row(name, rate, &calls, &latencies);
        }
    }
    Ok(())
}

fn print_row(name: &str, rate: u64, calls: &PlatformCalls, latencies: &Latencies) {
    let per_second = |count: u64| count as f64 / SECONDS as f64;
    println!(
        "| {name} | {rate} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
        per_second(calls.writes),
        per_second(calls.reads),
        per_second(calls.written_bytes) / 1_000.0,
        per_second(calls.read_bytes) / 1_000.0,
        latencies.quantile_ms(0.5),
        latencies.quantile_ms(0.99),
    );
}

async fn run(design: Design, rate: u64) -> (PlatformCalls, Arc<Latencies>) {
    let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    platform.set_faults(|faults| faults.delay = RESPONSE_TIME);
    let clock = Arc::new(TokioClock::start(SystemTime::now()));
    let logs = match design {
        Design::Log { processes } => processes,
        Design::ObjectPerKey | Design::Buckets => 0,
    };
    let logs: Vec<_> = (0..logs)
        .map(|index| {
            let settings = ClaimSettings::new(&format!("entry-{index}"));
            Arc::new(ClaimLog::open(platform.clone(), clock.clone(), settings, index as u64))
        })
        .collect();
    let latencies = Arc::new(Latencies(Mutex::new(Vec::new())));
    let mut random = StdRng::seed_from_u64(rate);
    let mut requests = JoinSet::new();
    for number in 0..rate * SECONDS {
        let gap = Duration::from_secs_f64(random.random_range(0.0..2.0) / rate as f64);
        tokio::time::sleep(gap).await;
        let is_repeat = number > 0 && random.random_range(0..10) == 0;
        let key = if is_repeat { random.random_range(0..number) } else { number };
        let (platform, latencies) = (platform.clone(), latencies.clone());
        match design {
            Design::Log { .. } => {
                let log = logs[random.random_range(0..logs.len())].clone();
                requests.spawn(async move { claim_in_log(&log, key, &latencies).await });
            }
            Design::ObjectPerKey => {
                requests.spawn(async move { claim_object(&*platform, key, &latencies).await });
            }
            Design::Buckets => {
                requests.spawn(async move { claim_in_bucket(&*platform, key, &latencies).await });
            }
        }
    }
    while requests.join_next().await.is_some() {}
    (platform.calls(), latencies)
}

async fn claim_in_log(log: &ClaimLog, key: u64, latencies: &Latencies) {
    let request = ClaimRequest {
        account: "account-of-ordinary-length".to_string(),
        key: format!("{key:032}"),
        request_id: format!("r{key:032x}"),
        request_digest: digest_request(&[&key.to_be_bytes()]),
        time_allowed: Duration::from_secs(30),
    };
    let started = Instant::now();
    let outcome = log.claim(request).await;
    latencies.add(started);
    if let ClaimOutcome::Granted(ticket) = outcome
        && let Some(sent) = ticket.begin()
    {
        tokio::time::sleep(REQUEST_TIME).await;
        let outcome = StoredOutcome {
            status: 200,
            body: Some(vec![b' '; RESPONSE_SIZE_BYTES]),
            ..StoredOutcome::without_response(Ran::Ran)
        };
        sent.finish(outcome).await;
    }
}

async fn claim_object(platform: &dyn ObjectStore, key: u64, latencies: &Latencies) {
    let name = format!("keys/{key}");
    let started = Instant::now();
    let created = platform.put(&name, None, vec![0; CLAIM_SIZE_BYTES]).await;
    latencies.add(started);
    match created {
        Ok(version) => {
            tokio::time::sleep(REQUEST_TIME).await;
            let value = vec![0; CLAIM_SIZE_BYTES + RESPONSE_SIZE_BYTES];
            // Only this request writes the object, so the write cannot conflict.
            let _ = platform.put(&name, Some(version), value).await;
        }
        Err(_) => {
            let _ = platform.get(&name).await;
        }
    }
}

async fn claim_in_bucket(platform: &dyn ObjectStore, key: u64, latencies: &Latencies) {
    let name = format!("buckets/{}", key % BUCKETS);
    let started = Instant::now();
    add_to_bucket(platform, &name, CLAIM_SIZE_BYTES).await;
    latencies.add(started);
    tokio::time::sleep(REQUEST_TIME).await;
    add_to_bucket(platform, &name, RESPONSE_SIZE_BYTES).await;
}

async fn add_to_bucket(platform: &dyn ObjectStore, name: &str, size_bytes: usize) {
    loop {
        let Ok(found) = platform.get(name).await else { return };
        let (version, mut value) =
            found.map_or((None, Vec::new()), |object| (Some(object.version), object.value));
        value.resize(value.len() + size_bytes, 0);
        match platform.put(name, version, value).await {
            Err(WriteError::Conflict { .. }) => {}
            _ => return,
        }
    }
}
