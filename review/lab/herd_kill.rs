//! All processes are killed at the same moment and start again. Clients take up again the streams that
//! broke off, at processes that have run for long enough to be in touch.

use crate::{
    http::chunk,
    record::Record,
    runner::{Behaviour, Call},
    setup::{
        ClientRequest, LONG_STREAMS, Platform, Route, Tenant, Verdict, configuration,
        plain_service, send,
    },
};
use std::{io::Write, sync::Arc, thread, time::Duration};

/// Time for which the fleet has run before.
const LEAD: Duration = Duration::from_secs(8);
const STREAMS: usize = 42;
const EVENTS: u64 = 100;
const EVENT_DELAY: Duration = Duration::from_millis(100);
/// Time from the beginning of the streams to the kill.
const KILL_DELAY: Duration = Duration::from_millis(1_500);
/// Time until the processes start again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Times after the break of a stream at which its client comes back, each time at another process. Only
/// the last is counted: the processes run for the contact window of 3 s by then.
const RETURNS: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(1_500), Duration::from_millis(5_000)];
/// Streams that are taken up again from which on the rule counts, and the part of the share of new streams
/// that has to go on.
const COUNTED_STREAMS: usize = 12;
const SHARE: f64 = 0.5;

const ROUTES: &[Route] = &[Route {
    name: LONG_STREAMS,
    kind: "streaming",
    service: "feed",
    attempts: 2,
    is_resumable: true,
}];
const TENANTS: &[Tenant] = &[Tenant { name: "acme", keys: &["k1"] }];

fn behave(call: Call<'_>) -> std::io::Result<()> {
    let Call { runner, request, stream, .. } = call;
    let attempt = request.header("x-skylarkpick-attempt-id").unwrap_or_default();
    let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    runner
        .record
        .line(&format!("runner {} runs {attempt} after event {after}", runner.identity.id));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}x-skylarkpick-response-signature: s.1\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        runner.headers(request)
    );
    stream.write_all(head.as_bytes())?;
    for event in after + 1..=EVENTS {
        thread::sleep(EVENT_DELAY);
        stream.write_all(chunk(&format!("id: {event}\ndata: {attempt}\n\n")).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Returns the number of the last whole event in the body of a stream.
fn last_event(body: &str) -> u64 {
    let (whole, _) = body.rsplit_once("\n\n").unwrap_or_default();
    whole.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).max().unwrap_or(0)
}

fn request(
    attempt: String,
    number: usize,
    resumes: Option<(String, u64)>,
) -> ClientRequest<'static> {
    let (method, path, key) = ("POST", format!("/{LONG_STREAMS}/{number}"), "k1");
    ClientRequest { attempt, method, path, key, parts: &[], resumes }
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let platform =
        Platform::open(record, configuration(3, ROUTES, &[plain_service("feed")], TENANTS));
    let behaviour: Behaviour = Arc::new(|call| behave(call));
    let mut runners = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        runners.push(platform.runner(id, "feed", "v1", false, &behaviour)?);
    }
    let fleet = platform.start()?;
    thread::sleep(LEAD);
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let (record, fronts) = (record.clone(), fleet.nodes.fronts.clone());
        streams.push(thread::spawn(move || {
            let process = number % fronts.len();
            let begun = format!("stream-{number}");
            let first =
                send(&record, fronts[process], process, &request(begun.clone(), number, None));
            if first.is_complete {
                return None;
            }
            let broke_at = record.now();
            let resumes = Some((begun.clone(), last_event(&first.body)));
            for (index, after) in RETURNS.into_iter().enumerate() {
                thread::sleep((broke_at + after).saturating_sub(record.now()));
                let process = (process + index + 1) % fronts.len();
                let attempt = format!("{begun}-again-{}", index + 1);
                let resumed = request(attempt, number, resumes.clone());
                let answer = send(&record, fronts[process], process, &resumed);
                let goes_on = answer.status == Some(200) && last_event(&answer.body) == EVENTS;
                if index + 1 == RETURNS.len() || goes_on {
                    return Some((index + 1 == RETURNS.len(), goes_on));
                }
            }
            None
        }));
        thread::sleep(Duration::from_millis(3));
    }
    thread::sleep(KILL_DELAY);
    let mut new_streams = Vec::new();
    if has_trouble {
        record.line("all processes are killed");
        fleet.nodes.kill_all();
        let killed_at = record.now();
        thread::sleep(RESTART_DELAY);
        fleet.nodes.start_all()?;
        record.line("all processes start again");
        fleet.nodes.wait_until_ready()?;
        record.line("all processes are ready");
        let last = RETURNS[RETURNS.len() - 1];
        thread::sleep((killed_at + last).saturating_sub(record.now()));
        for number in 0..STREAMS {
            let (record, fronts) = (record.clone(), fleet.nodes.fronts.clone());
            new_streams.push(thread::spawn(move || {
                let (process, attempt) = (number % fronts.len(), format!("new-{number}"));
                send(&record, fronts[process], process, &request(attempt, number, None)).is_complete
            }));
            thread::sleep(Duration::from_millis(3));
        }
    }
    let returns: Vec<(bool, bool)> =
        streams.into_iter().filter_map(|it| it.join().ok().flatten()).collect();
    let counted: Vec<bool> = returns.iter().filter(|it| it.0).map(|it| it.1).collect();
    let went_on = counted.iter().filter(|it| **it).count();
    let new = new_streams.into_iter().filter_map(|it| it.join().ok());
    let began = new.filter(|is_complete| *is_complete).count();
    record.line(&format!(
        "{} streams taken up again at processes in touch, {went_on} go on; {began} of {STREAMS} new \
         streams in the same seconds",
        counted.len()
    ));
    if counted.len() < COUNTED_STREAMS {
        return if has_trouble { Err("too few streams come back".into()) } else { Ok(true) };
    }
    let share = went_on as f64 / counted.len() as f64;
    Ok(share >= SHARE * began as f64 / STREAMS as f64)
}
