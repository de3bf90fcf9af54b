//! Response streams under faults of runners, callers and processes. Each test compares what the
//! caller receives with the tokens that the run must generate.

#![allow(clippy::unwrap_used)]

mod fleet;

use async_trait::async_trait;
use fleet::{ACCOUNT, Fleet, OTHER_ACCOUNT, SEED_PEERS, request, runner_settings};
use futures::StreamExt;
use skylarkpick_entry::{CompletionEvent, CompletionRequest, CompletionStream, FailureCode, Ran};
use skylarkpick_interface::{
    CacheEventBatch, ExportOrder, ExportReceipt, FinishReason, FrameBody, FrameStream, ImportOrder,
    ImportReceipt, LoadReport, Order, OrderError, RunFrame, RunRequest, Runner, RunnerStatus,
    StartError, TransferError,
};
use skylarkpick_standin::{FakeRunner, MemoryPeers, RunnerFaults, expected_token};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

const KEY: &[u8] = b"a secret of this test, long enough";

/// What a caller received, until the stream ended or `tokens_limit` tokens arrived.
#[derive(Debug, Default)]
struct Received {
    tokens: Vec<String>,
    resume_token: String,
    finished: Option<u64>,
    failure: Option<skylarkpick_entry::Failure>,
}

async fn receive(stream: &mut CompletionStream, tokens_limit: usize) -> Received {
    let mut received = Received::default();
    while received.tokens.len() < tokens_limit {
        match stream.next().await {
            Some(
                CompletionEvent::Started { resume_token, .. }
                | CompletionEvent::Moved { resume_token },
            ) => {
                received.resume_token = resume_token;
            }
            Some(CompletionEvent::Token { text, .. }) => received.tokens.push(text),
            Some(CompletionEvent::Finished { answer_tokens, .. }) => {
                received.finished = Some(answer_tokens)
            }
            Some(CompletionEvent::Failed(failure)) => received.failure = Some(failure),
            None => break,
        }
    }
    received
}

fn expected(prompt: &str, from: u64, to: u64) -> Vec<String> {
    (from..to).map(|offset| expected_token(prompt, 1, offset)).collect()
}

fn resumable(id: &str, prompt: &str, answer_tokens: u64) -> CompletionRequest {
    CompletionRequest { resumable: true, ..request(id, prompt, answer_tokens) }
}

#[tokio::test(start_paused = true)]
async fn runner_faults_do_not_change_the_response() {
    struct Case {
        name: &'static str,
        at: Duration,
        fault: fn(&mut RunnerFaults),
        repair_after: Duration,
    }
    let cases = [
        Case {
            name: "crashes before the first token",
            at: Duration::from_millis(2),
            fault: |faults| faults.dead = true,
            repair_after: Duration::from_secs(60),
        },
        Case {
            name: "crashes after some tokens",
            at: Duration::from_millis(55),
            fault: |faults| faults.dead = true,
            repair_after: Duration::from_secs(60),
        },
        Case {
            name: "drops the stream and recovers",
            at: Duration::from_millis(55),
            fault: |faults| faults.breaks_streams = true,
            repair_after: Duration::ZERO,
        },
        Case {
            name: "mixes in frames of another request",
            at: Duration::ZERO,
            fault: |faults| faults.injects_foreign_frames = true,
            repair_after: Duration::from_secs(60),
        },
        Case {
            name: "freezes for a while",
            at: Duration::from_millis(55),
            fault: |faults| faults.frozen = true,
            repair_after: Duration::from_secs(2),
        },
    ];
    for case in cases {
        let fleet = Fleet::open(runner_settings(), 2, &[]).await;
        let entry = fleet.entry(1, None).await;
        let prompt = "a prompt of four hundred tokens ".repeat(50);
        if case.at.is_zero() {
            fleet.runners.iter().for_each(|runner| runner.set_faults(case.fault));
        }
        let mut stream = entry.complete(request("r1", &prompt, 20)).unwrap();
        let runners = fleet.runners.clone();
        let inject_fault = async move {
            tokio::time::sleep(case.at).await;
            let with_runs = runners.iter().find(|runner| !runner.ledger().is_empty());
            let runner = with_runs.unwrap_or(&runners[0]);
            runner.set_faults(case.fault);
            tokio::time::sleep(case.repair_after).await;
            runner.set_faults(|faults| *faults = RunnerFaults::default());
        };
        let inject_fault = tokio::spawn(inject_fault);
        let received = receive(&mut stream, usize::MAX).await;
        assert_eq!(received.failure, None, "{}", case.name);
        assert_eq!(received.tokens, expected(&prompt, 0, 20), "{}", case.name);
        assert_eq!(received.finished, Some(20), "{}", case.name);
        inject_fault.abort();
    }
}

#[tokio::test(start_paused = true)]
async fn a_disconnected_caller_cancels_its_run_unless_it_may_resume() {
    struct Case {
        name: &'static str,
        resumable: bool,
        wait: Duration,
        finished: Option<FinishReason>,
        retained: usize,
    }
    let cases = [
        Case {
            name: "at once",
            resumable: false,
            wait: Duration::from_millis(50),
            finished: Some(FinishReason::Cancelled),
            retained: 0,
        },
        Case {
            name: "not while it may resume",
            resumable: true,
            wait: Duration::from_millis(4_900),
            finished: None,
            retained: 1,
        },
        Case {
            name: "once it can no longer resume",
            resumable: true,
            wait: Duration::from_millis(5_200),
            finished: Some(FinishReason::Cancelled),
            retained: 0,
        },
    ];
    for case in cases {
        let fleet = Fleet::open(runner_settings(), 1, &[]).await;
        let entry = fleet.entry(1, None).await;
        let request = CompletionRequest { resumable: case.resumable, ..request("r1", "p", 1_000) };
        let mut stream = entry.complete(request).unwrap();
        assert_eq!(receive(&mut stream, 3).await.tokens.len(), 3);
        drop(stream);
        tokio::time::sleep(case.wait).await;
        assert_eq!(fleet.runners[0].ledger()[0].finished, case.finished, "{}", case.name);
        assert_eq!(entry.state().await.runs_retained, case.retained, "{}", case.name);
        assert_eq!(entry.in_flight_requests(), 0, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnects_while_the_runner_is_frozen_cancels_its_run() {
    let fleet = Fleet::open(runner_settings(), 1, &[]).await;
    let entry = fleet.entry(1, None).await;
    let mut stream = entry.complete(request("r1", "prompt", 1_000)).unwrap();
    receive(&mut stream, 3).await;
    fleet.runners[0].set_faults(|faults| faults.frozen = true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(stream);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(entry.in_flight_requests(), 0);
    fleet.runners[0].set_faults(|faults| faults.frozen = false);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(fleet.runners[0].ledger()[0].finished, Some(FinishReason::Cancelled));
}

#[tokio::test(start_paused = true)]
async fn any_process_with_the_key_resumes_without_lost_or_repeated_tokens() {
    struct Case {
        name: &'static str,
        other_process: bool,
        received: usize,
        wait: Duration,
    }
    let cases = [
        Case { name: "same process", other_process: false, received: 5, wait: Duration::ZERO },
        Case { name: "other process", other_process: true, received: 5, wait: Duration::ZERO },
        Case {
            name: "after the run is far ahead of the caller",
            other_process: true,
            received: 1,
            wait: Duration::from_secs(1),
        },
        Case {
            name: "after the run ended",
            other_process: false,
            received: 5,
            wait: Duration::from_secs(4),
        },
    ];
    for case in cases {
        let fleet = Fleet::open(runner_settings(), 2, &[]).await;
        let first = fleet.entry(1, Some(KEY)).await;
        let second = fleet.entry(2, Some(KEY)).await;
        let mut stream = first.complete(resumable("r1", "prompt", 200)).unwrap();
        let received = receive(&mut stream, case.received).await;
        drop(stream);
        tokio::time::sleep(case.wait).await;
        let at = if case.other_process { &second } else { &first };
        let offset = case.received as u64;
        let mut stream = at.resume(ACCOUNT, &received.resume_token, offset).unwrap();
        let rest = receive(&mut stream, usize::MAX).await;
        assert_eq!(rest.tokens, expected("prompt", offset, 200), "{}", case.name);
        assert_eq!(rest.finished, Some(200), "{}: {:?}", case.name, rest.failure);
        let runs: usize = fleet.runners.iter().map(|runner| runner.ledger().len()).sum();
        assert_eq!(runs, 1, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_resumed_stream_is_not_cancelled_by_the_first_callers_resume_window() {
    let fleet = Fleet::open(runner_settings(), 1, &[]).await;
    let entry = fleet.entry(1, Some(KEY)).await;
    let mut stream = entry.complete(resumable("r1", "prompt", 1_000)).unwrap();
    let received = receive(&mut stream, 2).await;
    drop(stream);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut stream = entry.resume(ACCOUNT, &received.resume_token, 2).unwrap();
    let rest = receive(&mut stream, usize::MAX).await;
    assert_eq!(rest.finished, Some(1_000), "{:?}", rest.failure);
    assert_eq!(rest.tokens, expected("prompt", 2, 1_000));
}

#[tokio::test(start_paused = true)]
async fn a_stream_resumed_on_another_process_is_not_cancelled_by_the_first_process() {
    let fleet = Fleet::open(runner_settings(), 1, &[]).await;
    let peers = MemoryPeers::open(Duration::from_millis(1));
    let [one, other] = SEED_PEERS.map(|address| peers.join(address, "mnl-a"));
    let first = fleet.entry_with(1, Some(KEY), one, "mnl-a").await;
    let second = fleet.entry_with(2, Some(KEY), other, "mnl-a").await;
    let mut stream = first.complete(resumable("r1", "prompt", 1_000)).unwrap();
    let received = receive(&mut stream, 2).await;
    drop(stream);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(first.state().await.runs_retained, 1);
    let mut stream = second.resume(ACCOUNT, &received.resume_token, 2).unwrap();
    let rest = receive(&mut stream, usize::MAX).await;
    assert_eq!(rest.finished, Some(1_000), "{:?}", rest.failure);
    assert_eq!(rest.tokens, expected("prompt", 2, 1_000));
    assert_eq!(first.state().await.runs_retained, 0);
}

#[tokio::test(start_paused = true)]
async fn rejects_invalid_foreign_and_expired_resume_tokens() {
    struct Case {
        name: &'static str,
        account: &'static str,
        alter: fn(&str) -> String,
        key: Option<&'static [u8]>,
        wait: Duration,
        offset: u64,
        code: FailureCode,
    }
    let base = Case {
        name: "",
        account: ACCOUNT,
        alter: str::to_string,
        key: Some(KEY),
        wait: Duration::ZERO,
        offset: 2,
        code: FailureCode::Forbidden,
    };
    let cases = [
        Case { name: "another account", account: OTHER_ACCOUNT, ..base },
        Case { name: "altered", alter: |token| token.replacen(&token[10..11], "-", 1), ..base },
        Case { name: "truncated", alter: |token| token[..token.len() - 4].to_string(), ..base },
        Case { name: "empty", alter: |_| String::new(), ..base },
        Case {
            name: "process with another key",
            key: Some(b"another secret, also long enough"),
            ..base
        },
        Case { name: "process without a key", key: None, ..base },
        Case { name: "expired", wait: Duration::from_secs(26), code: FailureCode::Expired, ..base },
        Case {
            name: "position past the end of every response",
            offset: u64::MAX,
            code: FailureCode::BadRequest,
            ..base
        },
    ];
    for case in cases {
        let fleet = Fleet::open(runner_settings(), 1, &[]).await;
        let first = fleet.entry(1, Some(KEY)).await;
        let second = fleet.entry(2, case.key).await;
        let mut stream = first.complete(resumable("r1", "prompt", 100)).unwrap();
        let received = receive(&mut stream, 2).await;
        tokio::time::sleep(case.wait).await;
        let token = (case.alter)(&received.resume_token);
        let failure = second.resume(case.account, &token, case.offset).err();
        let failure = failure.unwrap_or_else(|| panic!("{} was accepted", case.name));
        assert_eq!(failure.code, case.code, "{}", case.name);
        assert_ne!(failure.ran, Ran::NotRun, "{}: the request did run", case.name);
        assert!(!failure.to_string().contains(ACCOUNT), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_response_that_moved_to_another_runner_gets_a_new_resume_token() {
    let fleet = Fleet::open(runner_settings(), 2, &[]).await;
    let entry = fleet.entry(1, Some(KEY)).await;
    let mut stream = entry.complete(resumable("r1", "prompt", 100)).unwrap();
    let before = receive(&mut stream, 3).await;
    let at = fleet.runners.iter().position(|runner| !runner.ledger().is_empty()).unwrap();
    fleet.runners[at].set_faults(|faults| faults.dead = true);
    let after = receive(&mut stream, 10).await;
    assert!(!after.resume_token.is_empty() && after.resume_token != before.resume_token);
    drop(stream);
    let mut old_stream = entry.resume(ACCOUNT, &before.resume_token, 13).unwrap();
    let failure = receive(&mut old_stream, usize::MAX).await.failure.unwrap();
    assert_eq!(failure.ran, Ran::Unknown);
    let mut stream = entry.resume(ACCOUNT, &after.resume_token, 13).unwrap();
    let rest = receive(&mut stream, usize::MAX).await;
    assert_eq!(rest.tokens, expected("prompt", 13, 100), "{:?}", rest.failure);
}

#[tokio::test(start_paused = true)]
async fn a_draining_process_completes_open_and_resumed_streams() {
    let fleet = Fleet::open(runner_settings(), 1, &[]).await;
    let entry = fleet.entry(1, Some(KEY)).await;
    let mut first = entry.complete(resumable("r1", "prompt", 100)).unwrap();
    let received = receive(&mut first, 2).await;
    drop(first);
    let mut resumed = entry.resume(ACCOUNT, &received.resume_token, 2).unwrap();
    let mut stream = entry.complete(request("r2", "prompt", 100)).unwrap();
    entry.drain();
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(!entry.is_ready());
    assert_eq!(entry.in_flight_requests(), 2);
    assert_eq!(receive(&mut stream, usize::MAX).await.finished, Some(100));
    assert_eq!(entry.in_flight_requests(), 1);
    assert_eq!(receive(&mut resumed, usize::MAX).await.finished, Some(100));
    assert_eq!(entry.in_flight_requests(), 0);
}

/// Forwards every call and counts the frames read from runs.
struct CountingRunner {
    inner: FakeRunner,
    frames: Arc<AtomicU64>,
}

#[tokio::test(start_paused = true)]
async fn a_slow_caller_applies_backpressure_to_its_run() {
    let fleet = Fleet::open(runner_settings(), 1, &[]).await;
    let frames = Arc::new(AtomicU64::new(0));
    let counting = CountingRunner { inner: fleet.runners[0].clone(), frames: frames.clone() };
    fleet.wrap_runner(0, Arc::new(counting));
    let entry = fleet.entry(1, None).await;
    let mut stream = entry.complete(request("r1", "prompt", 1_000)).unwrap();
    let mut consumed = 0;
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(stream.buffered_events() <= 64);
        let ahead = frames.load(Ordering::SeqCst) - consumed;
        assert!(ahead <= 66, "{ahead} frames were read ahead of the caller");
        let received = receive(&mut stream, 1).await;
        consumed += received.tokens.len() as u64;
    }
    let rest = receive(&mut stream, usize::MAX).await;
    assert_eq!(rest.tokens.len() as u64 + consumed, 1_000);
    assert_eq!(rest.finished, Some(1_000));
}

#[tokio::test(start_paused = true)]
async fn a_failure_reports_whether_the_request_ran_and_when_to_retry() {
    struct Case {
        name: &'static str,
        fault: fn(&FakeRunner),
        deadline: Duration,
        code: FailureCode,
        ran: Ran,
        immediate: bool,
    }
    let cases = [
        Case {
            name: "every runner is unreachable",
            fault: |runner| runner.set_faults(|faults| faults.dead = true),
            deadline: Duration::from_secs(10),
            code: FailureCode::NoTarget,
            ran: Ran::NotRun,
            immediate: true,
        },
        Case {
            name: "every runner is leaving",
            fault: FakeRunner::leave,
            deadline: Duration::from_secs(10),
            code: FailureCode::NoTarget,
            ran: Ran::NotRun,
            immediate: true,
        },
        Case {
            name: "no runner responds to the start",
            fault: |runner| runner.set_faults(|faults| faults.frozen = true),
            deadline: Duration::from_secs(3),
            code: FailureCode::DeadlineExceeded,
            ran: Ran::Unknown,
            immediate: false,
        },
        Case {
            name: "the response takes too long",
            fault: |_| {},
            deadline: Duration::from_millis(200),
            code: FailureCode::DeadlineExceeded,
            ran: Ran::Unknown,
            immediate: false,
        },
    ];
    for case in cases {
        let fleet = Fleet::open(runner_settings(), 2, &[]).await;
        let entry = fleet.entry(1, None).await;
        fleet.runners.iter().for_each(case.fault);
        let started_at = tokio::time::Instant::now();
        let request =
            CompletionRequest { deadline: Some(case.deadline), ..request("r1", "prompt", 1_000) };
        let mut stream = entry.complete(request).unwrap();
        let failure = receive(&mut stream, usize::MAX).await.failure.unwrap();
        assert_eq!((failure.code, failure.ran), (case.code, case.ran), "{}", case.name);
        assert!(failure.retry && failure.retry_after_ms > Some(0), "{}", case.name);
        assert_eq!(
            started_at.elapsed() < Duration::from_millis(100),
            case.immediate,
            "{}",
            case.name
        );
        let ledgers: usize = fleet.runners.iter().map(|runner| runner.ledger().len()).sum();
        assert!(case.ran != Ran::NotRun || ledgers == 0, "{}: a run was started", case.name);
    }
}

/// Replaces the frames of its first run by a script.
struct ScriptedRunner {
    inner: FakeRunner,
    script: Arc<Mutex<Option<Vec<FrameBody>>>>,
}

/// A run that starts again with other weights: neither its later tokens nor its end reach the
/// caller, and another attempt completes the response.
#[tokio::test(start_paused = true)]
async fn abandons_a_run_that_changes_its_weights_midway() {
    let fleet = Fleet::open(runner_settings(), 2, &[]).await;
    let script = vec![
        FrameBody::Started { weight_version: 1, cached_tokens: 0 },
        FrameBody::Token { offset: 0, text: expected_token("prompt", 1, 0) },
        FrameBody::Started { weight_version: 2, cached_tokens: 0 },
        FrameBody::Token { offset: 1, text: expected_token("prompt", 2, 1) },
        FrameBody::Finished { reason: FinishReason::Stop, answer_tokens: 2 },
    ];
    // The first run plays the script, on whichever runner it starts.
    let script = Arc::new(Mutex::new(Some(script)));
    for (index, runner) in fleet.runners.iter().enumerate() {
        let scripted = ScriptedRunner { inner: runner.clone(), script: script.clone() };
        fleet.wrap_runner(index, Arc::new(scripted));
    }
    let entry = fleet.entry(1, None).await;
    let mut stream = entry.complete(request("r1", "prompt", 10)).unwrap();
    let received = receive(&mut stream, usize::MAX).await;
    assert_eq!(received.tokens, expected("prompt", 0, 10), "{:?}", received.failure);
    let ledgers = fleet.runners.iter().flat_map(FakeRunner::ledger);
    let attempts: Vec<u32> = ledgers.map(|record| record.attempt_id).collect();
    assert_eq!(attempts, [2]);
}

macro_rules! forward_other_calls {
    ($runner:ty, $start:expr) => {
        #[async_trait]
        impl Runner for $runner {
            async fn start(&self, request: RunRequest) -> Result<FrameStream, StartError> {
                $start(self, request).await
            }

            async fn resume(
                &self,
                run_id: &str,
                account: &str,
                offset: u64,
            ) -> Result<FrameStream, StartError> {
                self.inner.resume(run_id, account, offset).await
            }

            async fn cancel(&self, run_id: &str) -> Result<(), StartError> {
                self.inner.cancel(run_id).await
            }

            async fn load(&self) -> Result<LoadReport, StartError> {
                self.inner.load().await
            }

            async fn cache_events(
                &self,
                after: u64,
                snapshot: bool,
            ) -> Result<CacheEventBatch, StartError> {
                self.inner.cache_events(after, snapshot).await
            }

            async fn import(&self, order: ImportOrder) -> Result<ImportReceipt, TransferError> {
                self.inner.import(order).await
            }

            async fn export(&self, order: ExportOrder) -> Result<ExportReceipt, TransferError> {
                self.inner.export(order).await
            }

            async fn order(&self, order: Order) -> Result<(), OrderError> {
                self.inner.order(order).await
            }

            async fn status(&self) -> Result<RunnerStatus, StartError> {
                self.inner.status().await
            }
        }
    };
}

async fn start_counting(
    runner: &CountingRunner,
    request: RunRequest,
) -> Result<FrameStream, StartError> {
    let frames = runner.frames.clone();
    let stream = runner.inner.start(request).await?;
    Ok(stream
        .inspect(move |_| {
            frames.fetch_add(1, Ordering::SeqCst);
        })
        .boxed())
}

async fn start_scripted(
    runner: &ScriptedRunner,
    request: RunRequest,
) -> Result<FrameStream, StartError> {
    let Some(script) = runner.script.lock().unwrap().take() else {
        return runner.inner.start(request).await;
    };
    let frames = script.into_iter().map(move |body| {
        Ok(RunFrame {
            run_id: request.run_id.clone(),
            request_id: request.request_id.clone(),
            attempt_id: request.attempt_id,
            body,
        })
    });
    Ok(futures::stream::iter(frames.collect::<Vec<_>>()).boxed())
}

forward_other_calls!(CountingRunner, start_counting);
forward_other_calls!(ScriptedRunner, start_scripted);
