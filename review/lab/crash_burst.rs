//! A part of prompts crashes each runner that begins to answer on it. Requests with it come in bursts
//! of 0.1 s, at all processes.

use crate::{
    http::chunk,
    record::Record,
    runner::{Behaviour, Call, Runner},
    setup::{
        ClientRequest, Fleet, Platform, Route, Tenant, Verdict, configuration, engine_service, send,
    },
};
use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

const RUNNERS: usize = 9;
const BAD_PART: &str = "bad0";
/// Time after which a runner that crashed is back.
const AWAY: Duration = Duration::from_millis(2_500);
/// Requests with the part in the first burst, and in the others.
const FIRST_BURST: usize = 14;
const BURST: usize = 7;
/// Time over which the requests of a burst come.
const BURST_TIME: Duration = Duration::from_millis(100);
/// `contactWindowMs`.
const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);
/// Time between two bursts.
const PAUSE: Duration = Duration::from_millis(4_500);
/// Crashes after which the rule counts, and requests that it allows later than the contact window.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;
const SOUND_STREAMS: usize = 27;
const SOUND_EVENTS: u64 = 30;
const EVENT_DELAY: Duration = Duration::from_millis(100);
/// Time from the beginning of the sound streams to the burst.
const SOUND_LEAD: Duration = Duration::from_millis(700);

const ROUTES: &[Route] =
    &[Route { name: "ask", kind: "streaming", service: "llm", attempts: 1, is_resumable: false }];
const TENANTS: &[Tenant] = &[Tenant { name: "acme", keys: &["k1"] }];

/// What runners saw of the requests with the part, with times since the start of the case.
#[derive(Default)]
struct Log {
    arrivals: Vec<(Duration, String)>,
    crashes: Vec<Duration>,
}

fn behave(call: Call<'_>, log: &Mutex<Log>, has_trouble: bool) -> std::io::Result<()> {
    let Call { runner, request, stream, .. } = call;
    let attempt = request.header("x-skylarkpick-attempt-id").unwrap_or_default();
    let prefix = request.header("x-skylarkpick-prompt-prefix").unwrap_or_default();
    let mut parts = prefix.split(',').map(|part| part.split(':').next().unwrap_or_default());
    let is_bad = parts.any(|part| part == BAD_PART);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}x-skylarkpick-response-signature: s.1\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        runner.headers(request)
    );
    if is_bad {
        let now = runner.record.now();
        runner.record.line(&format!("runner {} gets {attempt}", runner.identity.id));
        log.lock().expect("the lock of the log").arrivals.push((now, attempt.to_string()));
        thread::sleep(Duration::from_millis(30));
        if has_trouble {
            if runner.has_ended() {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            runner.crash();
            let now = runner.record.now();
            runner.record.line(&format!("runner {} crashes", runner.identity.id));
            log.lock().expect("the lock of the log").crashes.push(now);
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
    }
    stream.write_all(head.as_bytes())?;
    for event in 1..=if is_bad { 1 } else { SOUND_EVENTS } {
        thread::sleep(EVENT_DELAY);
        stream.write_all(chunk(&format!("id: {event}\ndata: {attempt}\n\n")).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Starts a runner again whenever it has crashed.
fn supervise(
    platform: Platform,
    id: String,
    first: Arc<Runner>,
    behaviour: Behaviour,
    ends: Arc<AtomicBool>,
) {
    let mut runner = first;
    while !ends.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
        if runner.has_ended() {
            thread::sleep(AWAY);
            match platform.runner(&id, "llm", "v1", true, &behaviour) {
                Ok(next) => runner = next,
                Err(why) => return platform.record.line(&why),
            }
            platform.record.line(&format!("runner {id} is back"));
        }
    }
}

/// Sends requests with the part, spread over the processes.
fn burst(fleet: &Fleet, name: &str, count: usize) {
    let clients: Vec<JoinHandle<_>> = (0..count)
        .map(|number| {
            let (record, fronts) = (fleet.record.clone(), fleet.nodes.fronts.clone());
            let attempt = format!("bad-{name}-{number}");
            let after = BURST_TIME.mul_f64(number as f64 / count as f64);
            thread::spawn(move || {
                thread::sleep(after);
                let process = number % fronts.len();
                let (other, own) = (format!("c{attempt}"), format!("o{attempt}"));
                let parts = ["aa", BAD_PART, &other, &own];
                let (method, path, key) = ("POST", format!("/ask/{attempt}"), "k1");
                let request =
                    ClientRequest { attempt, method, path, key, parts: &parts, resumes: None };
                send(&record, fronts[process], process, &request)
            })
        })
        .collect();
    clients.into_iter().for_each(|client| _ = client.join());
}

/// Starts sound streams, of which each thread returns whether it was broken off.
fn sound_streams(fleet: &Fleet, name: &str) -> Vec<JoinHandle<bool>> {
    let streams = (0..SOUND_STREAMS).map(|number| {
        let (record, fronts) = (fleet.record.clone(), fleet.nodes.fronts.clone());
        let attempt = format!("sound-{name}-{number}");
        thread::spawn(move || {
            let process = number % fronts.len();
            let (other, own) = (format!("c{attempt}"), format!("o{attempt}"));
            let parts = ["aa", &other, &own];
            let (method, path, key) = ("POST", format!("/ask/{attempt}"), "k1");
            let request =
                ClientRequest { attempt, method, path, key, parts: &parts, resumes: None };
            let answer = send(&record, fronts[process], process, &request);
            answer.status == Some(200) && !answer.is_complete
        })
    });
    streams.collect()
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let platform =
        Platform::open(record, configuration(3, ROUTES, &[engine_service("llm")], TENANTS));
    let log: Arc<Mutex<Log>> = Arc::default();
    let behaviour: Behaviour = {
        let log = log.clone();
        Arc::new(move |call| behave(call, &log, has_trouble))
    };
    let ends: Arc<AtomicBool> = Arc::default();
    for number in 1..=RUNNERS {
        let id = format!("i-{number}");
        let runner = platform.runner(&id, "llm", "v1", true, &behaviour)?;
        let platform = Platform { store: platform.store.clone(), record: record.clone() };
        let (behaviour, ends) = (behaviour.clone(), ends.clone());
        thread::spawn(move || supervise(platform, id, runner, behaviour, ends));
    }
    let fleet = platform.start()?;
    for stream in sound_streams(&fleet, "before") {
        if stream.join().unwrap_or(true) {
            return Err("a sound stream breaks before".to_string());
        }
    }
    burst(&fleet, "first", FIRST_BURST);
    let mut broken = 0;
    for name in ["second", "third"] {
        thread::sleep(PAUSE.saturating_sub(SOUND_LEAD));
        let sound = sound_streams(&fleet, name);
        thread::sleep(SOUND_LEAD);
        burst(&fleet, name, BURST);
        broken += sound.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    }
    ends.store(true, Ordering::SeqCst);
    let log = log.lock().expect("the lock of the log");
    let Some(fifth) = log.crashes.get(CRASHES - 1) else {
        record.line(&format!("{} crashes", log.crashes.len()));
        return if has_trouble { Err("too few crashes".into()) } else { Ok(true) };
    };
    let late = log.arrivals.iter().filter(|(at, _)| *at > *fifth + CONTACT_WINDOW);
    let late: Vec<&str> = late.map(|(_, attempt)| &**attempt).collect();
    record.line(&format!(
        "{} crashes, the fifth at {:.3} s; {} requests with the part reached runners later than 3 s \
         after it: {late:?}; {broken} sound streams were broken off by then",
        log.crashes.len(),
        fifth.as_secs_f64(),
        late.len()
    ));
    Ok(late.len() <= ALLOWED)
}
