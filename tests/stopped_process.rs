//! Runs the binary as an entry process that is stopped and goes on, or ends while requests wait, and
//! counts what targets ran against what clients got.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a helper of a test fails the test")]

mod support;

use rustix::process::Signal;
use skylarkpick_platform_standin::{
    AfterRequest, ArrivalLog, BodyRead, ClientRequest, Conduct, Decide, EchoTarget, ObjectServer,
    RouteSpec, RunLog, RunTarget, configuration, content_digest, rejection_answer, success_answer,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use support::{POLL_INTERVAL, Process, SECOND, STEP_TIMEOUT, register, request, send};
use tokio::{task::JoinSet, time::sleep};

/// Time in which what is still on its way runs.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const BODY_LIMIT_BYTES: u64 = 1_000_000;
const REJECTIONS: [&str; 3] =
    ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"];
/// Routes whose requests may run only once.
const ROUTES: &[RouteSpec] = &[route("write", "non_idempotent"), route("unresumable", "streaming")];

const fn route(name: &'static str, kind: &'static str) -> RouteSpec {
    RouteSpec {
        name,
        kind,
        attempts: 3,
        is_resumable: false,
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(1_900),
    }
}

async fn start_objects() -> Arc<ObjectServer> {
    let objects = ObjectServer::start().await.unwrap();
    let mut content = configuration(3, ROUTES, &["k1".to_string()]);
    content["limits"]["bodyBytes"] = BODY_LIMIT_BYTES.into();
    objects.state.put("config", "main", content);
    Arc::new(objects)
}

/// Fails the test if a request ran twice, or ran although its client was told that it has not. Returns
/// the answers by status.
fn check(
    name: &str,
    results: &[(ClientRequest, Option<u16>)],
    runs: &HashMap<String, usize>,
) -> BTreeMap<Option<u16>, usize> {
    let (mut got, mut ran) = (BTreeMap::new(), 0);
    let mut broken = Vec::new();
    for (request, status) in results {
        *got.entry(*status).or_insert(0) += 1;
        let count = runs.get(&request.attempt_id).copied().unwrap_or(0);
        ran += usize::from(count > 0);
        let is_promised = matches!(status, Some(408 | 421 | 429 | 503));
        if count > 1 || (is_promised && count > 0) {
            broken.push(format!("{} got {status:?}, ran {count} times", request.path));
        }
    }
    println!("{name}: {} sent, {ran} ran, got {got:?}", results.len());
    assert!(broken.is_empty(), "{name}: {broken:?}");
    got
}

/// Draws a number below `limit`.
fn draw(name: &str, what: &str, limit: u64) -> u64 {
    content_digest(format!("{name} {what}").as_bytes()) % limit
}

/// Returns what targets do with an arrival, most of it while the process is stopped.
fn conduct(id: &str, before: usize) -> Conduct {
    if id.starts_with("first") {
        return Conduct {
            reads: BodyRead::Whole,
            runs: true,
            work: Duration::ZERO,
            answer: Some(success_answer("first")),
            then: AfterRequest::Keep(Duration::ZERO),
        };
    }
    let name = format!("{id} {before}");
    let ends = [
        AfterRequest::Keep(Duration::ZERO),
        AfterRequest::Keep(Duration::ZERO),
        AfterRequest::KeepFor(Duration::from_millis(60)),
        AfterRequest::AnswerAgain(Duration::from_millis(draw(&name, "copy", 100))),
        AfterRequest::Close,
        AfterRequest::Reset,
    ];
    let runs = draw(&name, "runs", 3) > 0;
    let reads = [BodyRead::HeadOnly, BodyRead::Bytes(10_000)][draw(&name, "reads", 2) as usize];
    let answer = match runs {
        true => (draw(&name, "answers", 4) > 0).then(|| success_answer("ran")),
        false => Some(rejection_answer(REJECTIONS[draw(&name, "status", 3) as usize])),
    };
    let then = match answer {
        Some(_) => ends[draw(&name, "end", 6) as usize],
        None => ends[4 + draw(&name, "end", 2) as usize],
    };
    let reads = if runs { BodyRead::Whole } else { reads };
    Conduct { reads, runs, work: Duration::from_millis(draw(&name, "work", 250)), answer, then }
}

const TARGETS: usize = 4;
/// Requests that are sent before each stop, and as many during it.
const REQUESTS: usize = 24;
/// Times for which the process is stopped, below and above the requests' deadlines.
const STOPS: [Duration; 6] = [
    Duration::from_millis(150),
    Duration::from_millis(700),
    Duration::from_millis(2_600),
    Duration::from_millis(400),
    Duration::from_millis(700),
    Duration::from_millis(1_200),
];

fn requests(stop: usize, when: &str) -> Vec<ClientRequest> {
    let each = (0..REQUESTS).map(|index| {
        let id = format!("{stop}-{when}-{index}");
        let deadline = [100, 400, 2_000][draw(&id, "deadline", 3) as usize];
        let size = [0, 5, 300_000][draw(&id, "size", 3) as usize];
        let route = ROUTES[draw(&id, "route", 2) as usize].name;
        request(id, route, Duration::from_millis(deadline), size)
    });
    each.collect()
}

// Guards against a second run, or a run after a promise, by a process that goes on after its requests'
// deadlines, when targets have answered, closed, started again or left their addresses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_that_was_stopped_neither_repeats_requests_nor_refuses_those_that_ran() {
    let objects = start_objects().await;
    let log = RunLog::default();
    let decide: Decide = Arc::new(conduct);
    let start = |address, name: &str, started_at_ms| {
        RunTarget::start(address, name, started_at_ms, log.clone(), decide.clone()).unwrap()
    };
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut targets = Vec::new();
    for index in 0..TARGETS {
        let target = start(free, &format!("i-{index}"), 5);
        register(&objects, &format!("i-{index}"), target.address, 5);
        targets.push(target);
    }
    let process = Process::start(&objects, "").await;
    let mut others = Vec::new();
    let mut results = Vec::new();
    for (stop, time) in STOPS.into_iter().enumerate() {
        let mut clients = JoinSet::new();
        for request in requests(stop, "before") {
            clients.spawn(send(process.front(), request));
        }
        let prefix = format!("{stop}-before");
        let arrived = async {
            while log.arrivals().keys().filter(|id| id.starts_with(&prefix)).count() < REQUESTS / 3
            {
                sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, arrived).await.expect("requests reach targets");
        process.signal(Signal::STOP);
        for request in requests(stop, "during") {
            clients.spawn(send(process.front(), request));
        }
        sleep(time / 2).await;
        let index = stop % TARGETS;
        let (name, started_at_ms) = (format!("i-{index}"), 6 + stop as u64);
        let target = targets.remove(index);
        let address = target.address;
        target.end().await;
        let next = if stop.is_multiple_of(2) {
            start(address, &name, started_at_ms)
        } else {
            others.push(start(address, "i-other", started_at_ms));
            start(free, &name, started_at_ms)
        };
        register(&objects, &name, next.address, started_at_ms);
        targets.insert(index, next);
        sleep(time / 2).await;
        process.signal(Signal::CONT);
        results.extend(clients.join_all().await);
    }
    sleep(SETTLE_TIME).await;
    let mut runs = HashMap::new();
    for run in log.runs() {
        *runs.entry(run.attempt_id).or_insert(0) += 1;
    }
    assert!(log.garbled().is_empty(), "{:?}", log.garbled());
    let got = check("stopped", &results, &runs);
    assert!(got.contains_key(&Some(200)) && got.contains_key(&Some(504)), "{got:?}");
}

/// Requests of which some wait in a process.
struct WaitCase {
    name: &'static str,
    brittle: Option<&'static str>,
    processing_time: Duration,
    /// Line of the process's log after which it is told to end.
    ends_after: &'static str,
}

/// Line of the log for a request that waits in the process.
const WAITS: &str = "request waits for capacity";
const SLOTS: usize = 6;
const WAITING_REQUESTS: usize = 60;

// Guards against a run of a request that a process refused as it ended, or a second one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_that_wait_as_their_process_ends_run_once_or_are_refused() {
    let cases = [
        WaitCase {
            name: "rejected by full targets",
            brittle: None,
            processing_time: Duration::from_millis(250),
            ends_after: "target rejected a request",
        },
        WaitCase {
            name: "wait at brittle targets, and are served",
            brittle: Some("1"),
            processing_time: Duration::from_millis(250),
            ends_after: WAITS,
        },
        WaitCase {
            name: "wait at brittle targets for too long",
            brittle: Some("1"),
            processing_time: Duration::from_millis(1_000),
            ends_after: WAITS,
        },
    ];
    for WaitCase { name, brittle, processing_time, ends_after } in cases {
        let objects = start_objects().await;
        let log = ArrivalLog::default();
        let mut targets = Vec::new();
        for index in 0..2 {
            let id = format!("i-{index}");
            let target = EchoTarget::start(&id, "v1", SLOTS, log.clone()).await.unwrap();
            target.set_brittle(brittle);
            register(&objects, &id, target.address, target.started_at_ms);
            targets.push(target);
        }
        let mut process = Process::start(&objects, "").await;
        targets.iter().for_each(|it| it.set_processing_time(processing_time));
        let mut clients = JoinSet::new();
        for index in 0..WAITING_REQUESTS {
            let mut sent = request(format!("w-{index}"), "write", SECOND * 3, 5);
            sent.parts = vec![format!("{index:x}")];
            clients.spawn(send(process.front(), sent));
        }
        let logged = async {
            while !process.log().contains(ends_after) {
                sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, logged).await.expect("requests reach targets");
        process.signal(Signal::TERM);
        let results = clients.join_all().await;
        assert!(process.wait().await, "{name}");
        sleep(SETTLE_TIME).await;
        let mut runs = HashMap::new();
        for arrival in log.arrivals().into_iter().filter(|arrival| arrival.has_run) {
            *runs.entry(arrival.attempt_id).or_insert(0) += 1;
        }
        let got = check(name, &results, &runs);
        assert!(got.contains_key(&Some(200)), "{name}: {got:?}");
    }
}
