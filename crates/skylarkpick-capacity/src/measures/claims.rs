//! Platform calls, bytes and time per claim, by the number of processes that write to the claim log.

use crate::slope::Slopes;
use skylarkpick_claims::{
    ClaimLog, ClaimOutcome, ClaimRequest, ClaimSettings, Ran, StoredOutcome, digest_request,
};
use skylarkpick_interface::{Clock, TokioClock};
use skylarkpick_standin::{MemoryPlatform, PlatformCalls, PlatformRates};
use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};
use tokio::task::JoinSet;

/// Response time of the platform.
const PLATFORM_DELAY: Duration = Duration::from_millis(3);
/// Run time of a claimed call.
const CALL_TIME: Duration = Duration::from_millis(50);
/// Virtual time for which claims arrive.
const CLAIM_SECONDS: u64 = 10;

pub(super) fn measure(slopes: &mut Slopes) {
    for (processes, rate) in [(1, 280), (7, 50), (24, 50)] {
        let started = Instant::now();
        let Some(calls) = measure_calls(processes, rate) else { return };
        let claims = (rate * CLAIM_SECONDS) as f64;
        let time = started.elapsed().as_secs_f64() / claims;
        let method = format!("{processes} writers, {rate} claims/s, answers after 3 ms");
        let each = |count: u64| count as f64 / claims;
        let name = |what: &str| format!("claim {what}, {processes} writers, {rate}/s");
        slopes.record(&name("writes"), each(calls.writes), "calls", &method);
        slopes.record(&name("reads"), each(calls.reads), "calls", &method);
        let bytes = each(calls.written_bytes + calls.read_bytes);
        slopes.record(&name("bytes"), bytes, "bytes", &method);
        slopes.record(
            &name("time"),
            time,
            "s",
            &format!("{method}; the stand-in's share included"),
        );
    }
}

/// Returns the platform calls of `CLAIM_SECONDS` seconds of claims at `rate` a second, spread over
/// the processes.
fn measure_calls(processes: u64, rate: u64) -> Option<PlatformCalls> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .ok()?;
    Some(runtime.block_on(run_claims(processes, rate)))
}

async fn run_claims(processes: u64, rate: u64) -> PlatformCalls {
    let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    platform.set_faults(|faults| faults.delay = PLATFORM_DELAY);
    let clock: Arc<dyn Clock> = Arc::new(TokioClock::start(SystemTime::now()));
    let logs: Vec<Arc<ClaimLog>> = (0..processes)
        .map(|index| {
            let settings = ClaimSettings::new(&format!("entry-{index}"));
            Arc::new(ClaimLog::open(platform.clone(), clock.clone(), settings, index))
        })
        .collect();
    let mut claims = JoinSet::new();
    for number in 0..rate * CLAIM_SECONDS {
        tokio::time::sleep(Duration::from_micros(1_000_000 / rate)).await;
        // A step of 5 is coprime to each number of processes, so every process is used equally.
        let log = logs[(number * 5 % processes) as usize].clone();
        claims.spawn(async move { claim(&log, number).await });
    }
    while claims.join_next().await.is_some() {}
    platform.calls()
}

async fn claim(log: &ClaimLog, number: u64) {
    let request = ClaimRequest {
        account: "account-of-ordinary-length".to_string(),
        key: format!("{number:032}"),
        request_id: format!("r{number:032x}"),
        request_digest: digest_request(&[&number.to_be_bytes()]),
        time_allowed: Duration::from_secs(30),
    };
    if let ClaimOutcome::Granted(ticket) = log.claim(request).await
        && let Some(sent) = ticket.begin()
    {
        tokio::time::sleep(CALL_TIME).await;
        let body = Some(vec![b' '; 100]);
        sent.finish(StoredOutcome {
            status: 200,
            body,
            ..StoredOutcome::without_response(Ran::Ran)
        })
        .await;
    }
}
