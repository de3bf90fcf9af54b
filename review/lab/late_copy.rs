//! A runner's second copy of a rejection arrives late, on the connection on which the same client attempt
//! was sent to it again.

use crate::{
    http::{chunk, response},
    record::Record,
    runner::{Behaviour, Call, MODEL},
    setup::{
        ClientRequest, Platform, Route, Tenant, Verdict, configuration, engine_service, wait_until,
    },
};
use std::{
    collections::BTreeMap,
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Answers of the runner before each copy, so that copies stay below 3 in 100.
const ANSWERS_PER_COPY: usize = 60;
const SWAPS: u64 = 3;
/// Time until the first event of a stream, and between two.
const EVENT_DELAY: Duration = Duration::from_millis(15);
const EVENTS: u64 = 3;

const ROUTES: &[Route] =
    &[Route { name: "ask", kind: "streaming", service: "llm", attempts: 1, is_resumable: false }];
const TENANTS: &[Tenant] = &[Tenant { name: "acme", keys: &["k1"] }];

/// What the runner did.
#[derive(Default)]
struct Log {
    answers: usize,
    copies: usize,
    /// Runs of each attempt.
    runs: BTreeMap<String, usize>,
    /// Copy that is due on a connection.
    due: BTreeMap<usize, String>,
}

fn behave(call: Call<'_>, log: &Mutex<Log>, has_trouble: bool) -> std::io::Result<()> {
    let Call { runner, request, stream, connection, .. } = call;
    let attempt = request.header("x-skylarkpick-attempt-id").unwrap_or_default();
    let expected = request.header("x-skylarkpick-expected-version");
    let due = log.lock().expect("the lock of the log").due.remove(&connection);
    if let Some(copy) = due {
        thread::sleep(Duration::from_millis(2));
        runner.record.line(&format!("runner sends its rejection of {attempt} a second time"));
        stream.write_all(copy.as_bytes())?;
    }
    let (weights, is_loading) = {
        let state = runner.lock();
        (state.weights, state.is_loading)
    };
    let headers = runner.headers(request);
    let is_other_version = expected.is_some_and(|it| it != weights.to_string());
    let mut locked = log.lock().expect("the lock of the log");
    locked.answers += 1;
    if is_loading || is_other_version {
        let status = if is_loading { "503 Service Unavailable" } else { "421 Misdirected Request" };
        let headers = headers + "x-skylarkpick-not-executed: 1\r\n";
        let rejection = response(status, &headers, "");
        let (answers, copies) = (locked.answers, locked.copies);
        if has_trouble && is_other_version && answers >= ANSWERS_PER_COPY * (copies + 1) {
            locked.copies += 1;
            locked.due.insert(connection, rejection.clone());
        }
        drop(locked);
        runner.record.line(&format!(
            "runner at version {weights} answers {attempt} for version {}: {status}, not run",
            expected.unwrap_or("none"),
        ));
        return stream.write_all(rejection.as_bytes());
    }
    *locked.runs.entry(attempt.to_string()).or_default() += 1;
    drop(locked);
    runner.record.line(&format!("runner runs {attempt} at version {weights}"));
    for event in 1..=EVENTS {
        thread::sleep(EVENT_DELAY);
        if event == 1 {
            let head = format!(
                "HTTP/1.1 200 OK\r\n{headers}x-skylarkpick-response-signature: s.1\r\n\
                 content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
        }
        stream.write_all(chunk(&format!("id: {event}\ndata: {attempt}\n\n")).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let configuration = configuration(3, ROUTES, &[engine_service("llm")], TENANTS);
    let platform = Platform::open(record, configuration);
    let log: Arc<Mutex<Log>> = Arc::default();
    let behaviour: Behaviour = {
        let log = log.clone();
        Arc::new(move |call| behave(call, &log, has_trouble))
    };
    let runner = platform.runner("i-1", "llm", "v1", true, &behaviour)?;
    let fleet = platform.start()?;
    let parts = ["aa", "bb", "cc"];
    let mut number = 0;
    let mut ask = || {
        number += 1;
        let attempt = format!("attempt-{number}");
        let path = format!("/ask/{number}");
        let (method, key, parts) = ("POST", "k1", &parts[..]);
        let request = ClientRequest { attempt, method, path, key, parts, resumes: None };
        let answer = fleet.send(0, &request);
        (request.attempt, answer)
    };
    let mut is_broken = false;
    for swap in 1..=SWAPS {
        while log.lock().expect("the lock of the log").answers < ANSWERS_PER_COPY * swap as usize {
            ask();
        }
        let version = swap + 1;
        record.line(&format!("operator names version {version}"));
        let named = format!(r#"{{"model":"{MODEL}","version":{version}}}"#);
        fleet.store.put("versions", MODEL, crate::json::Json::of(&named));
        wait_until("new weights", Duration::from_secs(15), || runner.lock().weights == version)?;
        let (attempt, answer) = ask();
        // What the runner took may begin a little later.
        thread::sleep(Duration::from_millis(500));
        let runs = log.lock().expect("the lock of the log").runs.get(&attempt).copied();
        let runs = runs.unwrap_or(0);
        record.line(&format!("{attempt} ran {runs} times; its client got {}", answer.name()));
        if runs > 1 {
            record.line("TWICE is broken: it is not idempotent");
            is_broken = true;
        }
        if runs > 0 && matches!(answer.status, Some(408 | 421 | 429 | 503)) {
            record.line("REFUSED is broken: it has run");
            is_broken = true;
        }
        // Until its entry tells the new weights, as at the runner's next heartbeat.
        thread::sleep(Duration::from_millis(1_500));
    }
    let log = log.lock().expect("the lock of the log");
    record.line(&format!("{} answers of the runner, {} sent twice", log.answers, log.copies));
    Ok(!is_broken)
}
