//! The runners of a service are brittle while long streams of one process take most of their slots. Short
//! requests come at the other processes.

use crate::{
    http::{chunk, response},
    record::Record,
    runner::{Behaviour, Call, Runner},
    setup::{
        ClientRequest, LONG_STREAMS, Platform, Route, Tenant, Verdict, configuration,
        plain_service, send,
    },
};
use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

const RUNNERS: usize = 9;
const SLOTS: usize = 6;
/// Requests that may wait at a runner while it isn't brittle, and until the contact window is over.
const ROOM: usize = 24;
/// Number in `Server-Brittle`.
const BRITTLE: usize = 2;
/// Time from the first word until no request may wait: `contactWindowMs`, and a margin.
const ROOM_TIME: Duration = Duration::from_millis(3_100);
/// Time after which a runner that fell over is back.
const AWAY: Duration = Duration::from_millis(2_500);
/// Long streams, which leave one slot at each runner, and the time between two.
const STREAMS: usize = RUNNERS * (SLOTS - 1);
const STREAM_PAUSE: Duration = Duration::from_millis(10);
const EVENTS: u64 = 130;
const EVENT_DELAY: Duration = Duration::from_millis(100);
/// Short requests: their time at a runner, their number, and the time between two, so that they take 0.6
/// of the slots that are left.
const SHORT_TIME: Duration = Duration::from_millis(60);
const SHORT_REQUESTS: usize = 720;
const SHORT_PAUSE: Duration = Duration::from_micros(11_100);
/// Time from the last stream until the runners are brittle.
const BRITTLE_DELAY: Duration = Duration::from_millis(300);

const ROUTES: &[Route] = &[
    Route {
        name: LONG_STREAMS,
        kind: "streaming",
        service: "feed",
        attempts: 1,
        is_resumable: false,
    },
    Route {
        name: "short",
        kind: "non_idempotent",
        service: "feed",
        attempts: 1,
        is_resumable: false,
    },
];
const TENANTS: &[Tenant] = &[Tenant { name: "acme", keys: &["k1"] }];

/// What runs and waits at a runner.
#[derive(Default)]
struct Room {
    running: usize,
    waiting: usize,
    /// Times of what it turned away.
    rejections: Vec<Duration>,
}

#[derive(Default)]
struct Shared {
    rooms: BTreeMap<String, Room>,
    brittle_since: Option<Duration>,
    rejections: usize,
    falls: usize,
}

/// How a request fares at a runner.
enum Entry {
    Runs,
    Waits,
    TurnedAway { falls: bool },
}

impl Shared {
    fn enter(&mut self, id: &str, now: Duration, has_waited: bool) -> Entry {
        let is_brittle = self.brittle_since.is_some();
        let has_no_room = self.brittle_since.is_some_and(|since| now >= since + ROOM_TIME);
        let room = self.rooms.entry(id.to_string()).or_default();
        if room.running < SLOTS {
            room.running += 1;
            room.waiting -= usize::from(has_waited);
            return Entry::Runs;
        }
        if has_waited {
            return Entry::Waits;
        }
        if !has_no_room && room.waiting < ROOM {
            room.waiting += 1;
            return Entry::Waits;
        }
        room.rejections.retain(|at| now < *at + Duration::from_secs(1));
        room.rejections.push(now);
        let falls = is_brittle && room.rejections.len() > BRITTLE;
        self.rejections += 1;
        if falls {
            self.falls += 1;
            self.rooms.remove(id);
        }
        Entry::TurnedAway { falls }
    }

    fn headers(&self, id: &str) -> String {
        let (running, waiting) = self.rooms.get(id).map_or((0, 0), |it| (it.running, it.waiting));
        let load = format!("x-skylarkpick-server-load: {running},{waiting},{SLOTS}\r\n");
        match self.brittle_since {
            Some(_) => format!("{load}server-brittle: {BRITTLE}\r\n"),
            None => load,
        }
    }
}

fn behave(call: Call<'_>, shared: &Mutex<Shared>) -> io::Result<()> {
    let Call { runner, request, stream, .. } = call;
    let attempt = request.header("x-skylarkpick-attempt-id").unwrap_or_default();
    let id = &runner.identity.id;
    let mut has_waited = false;
    let headers = loop {
        let entry = {
            let mut shared = shared.lock().expect("the lock of the rooms");
            let entry = shared.enter(id, runner.record.now(), has_waited);
            (entry, runner.headers(request) + &shared.headers(id))
        };
        match entry {
            (Entry::Runs, headers) => break headers,
            (Entry::Waits, _) => {
                has_waited = true;
                thread::sleep(Duration::from_millis(5));
                if runner.has_ended() {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
            (Entry::TurnedAway { falls }, headers) => {
                runner.record.line(&format!("runner {id} turns {attempt} away"));
                let headers = headers + "x-skylarkpick-not-executed: 1\r\n";
                let text = response("503 Service Unavailable", &headers, "");
                stream.write_all(text.as_bytes())?;
                if falls {
                    runner.record.line(&format!("runner {id} falls over"));
                    runner.crash();
                }
                return Ok(());
            }
        }
    };
    let sent = match request.path().starts_with("/short/") {
        true => {
            thread::sleep(SHORT_TIME);
            let headers = headers + "x-skylarkpick-response-signature: s.1\r\n";
            stream.write_all(response("200 OK", &headers, attempt).as_bytes())
        }
        false => write_stream(runner, attempt, &headers, stream),
    };
    let mut shared = shared.lock().expect("the lock of the rooms");
    if let Some(room) = shared.rooms.get_mut(id).filter(|_| !runner.has_ended()) {
        room.running -= 1;
    }
    sent
}

fn write_stream(
    runner: &Runner,
    attempt: &str,
    headers: &str,
    stream: &mut TcpStream,
) -> io::Result<()> {
    runner.record.line(&format!("runner {} runs {attempt}", runner.identity.id));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}x-skylarkpick-response-signature: s.1\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in 1..=EVENTS {
        thread::sleep(EVENT_DELAY);
        if runner.has_ended() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        stream.write_all(chunk(&format!("id: {event}\ndata: {attempt}\n\n")).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Starts a runner again whenever it has fallen over.
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
            match platform.runner(&id, "feed", "v1", false, &behaviour) {
                Ok(next) => runner = next,
                Err(why) => return platform.record.line(&why),
            }
            platform.record.line(&format!("runner {id} is back"));
        }
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let platform =
        Platform::open(record, configuration(3, ROUTES, &[plain_service("feed")], TENANTS));
    let shared: Arc<Mutex<Shared>> = Arc::default();
    let behaviour: Behaviour = {
        let shared = shared.clone();
        Arc::new(move |call| behave(call, &shared))
    };
    let ends: Arc<AtomicBool> = Arc::default();
    for number in 1..=RUNNERS {
        let id = format!("i-{number}");
        let runner = platform.runner(&id, "feed", "v1", false, &behaviour)?;
        let platform = Platform { store: platform.store.clone(), record: record.clone() };
        let (behaviour, ends) = (behaviour.clone(), ends.clone());
        thread::spawn(move || supervise(platform, id, runner, behaviour, ends));
    }
    let fleet = platform.start()?;
    let ask = |process: usize, route: &str, attempt: String| -> JoinHandle<(bool, bool)> {
        let (record, fronts) = (record.clone(), fleet.nodes.fronts.clone());
        let path = format!("/{route}/{attempt}");
        thread::spawn(move || {
            let (method, key) = ("POST", "k1");
            let request = ClientRequest { attempt, method, path, key, parts: &[], resumes: None };
            let answer = send(&record, fronts[process], process, &request);
            let has_begun = answer.status == Some(200);
            (has_begun && answer.is_complete, has_begun && !answer.is_complete)
        })
    };
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(ask(0, LONG_STREAMS, format!("stream-{number}")));
        thread::sleep(STREAM_PAUSE);
    }
    thread::sleep(BRITTLE_DELAY);
    if has_trouble {
        shared.lock().expect("the lock of the rooms").brittle_since = Some(record.now());
        record.line("the runners are brittle");
    }
    let mut short = Vec::new();
    for number in 0..SHORT_REQUESTS {
        let process = 1 + number % (fleet.nodes.fronts.len() - 1);
        short.push(ask(process, "short", format!("short-{number}")));
        thread::sleep(SHORT_PAUSE);
    }
    let whole_short = short.into_iter().filter_map(|it| it.join().ok()).filter(|it| it.0).count();
    let ended: Vec<(bool, bool)> = streams.into_iter().filter_map(|it| it.join().ok()).collect();
    let count = |is: fn(&(bool, bool)) -> bool| ended.iter().filter(|it| is(it)).count();
    ends.store(true, Ordering::SeqCst);
    let shared = shared.lock().expect("the lock of the rooms");
    record.line(&format!(
        "{} falls of {RUNNERS} runners, {} requests turned away; of {STREAMS} streams {} are whole and {} \
         broken off; {whole_short} of {SHORT_REQUESTS} short requests served",
        shared.falls,
        shared.rejections,
        count(|it| it.0),
        count(|it| it.1),
    ));
    Ok(shared.falls as f64 <= 2.0 + RUNNERS as f64 / 10.0)
}
