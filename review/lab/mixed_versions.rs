//! The connection over which a process watches the runners' entries becomes silent, and a runner starts again
//! with other software under its identifier. The streams that the process begins there go on elsewhere when the
//! runner leaves.

use crate::{
    http::chunk,
    record::Record,
    runner::{Behaviour, Call},
    setup::{ClientRequest, Platform, Route, Tenant, Verdict, configuration, plain_service, send},
};
use std::{io::Write, sync::Arc, thread, time::Duration};

/// Time for which all processes have known one software version.
const LEAD: Duration = Duration::from_secs(34);
const STREAMS: usize = 60;
const EVENTS: u64 = 40;
const EVENT_DELAY: Duration = Duration::from_millis(100);
/// Times from the silence until the runner ends, until it is back with other software, from there until
/// streams begin, and from the last of them until it leaves.
const END_DELAY: Duration = Duration::from_millis(100);
const AWAY: Duration = Duration::from_millis(150);
const BEGIN_DELAY: Duration = Duration::from_millis(200);
const LEAVE_DELAY: Duration = Duration::from_millis(50);
/// Time for which it serves then: `drainMs` and a little longer.
const SERVING_TIME: Duration = Duration::from_millis(2_100);
/// Streams with events of two software versions that break the rule.
const ALLOWED: usize = 2;

const ROUTES: &[Route] =
    &[Route { name: "feed", kind: "streaming", service: "feed", attempts: 2, is_resumable: true }];
const TENANTS: &[Tenant] = &[Tenant { name: "acme", keys: &["k1"] }];

fn behave(call: Call<'_>) -> std::io::Result<()> {
    let Call { runner, request, stream, .. } = call;
    let attempt = request.header("x-skylarkpick-attempt-id").unwrap_or_default();
    let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let software = &runner.identity.software;
    runner.record.line(&format!(
        "runner {} (software {software}) runs {attempt} after event {after}",
        runner.identity.id
    ));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}x-skylarkpick-response-signature: s.1\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        runner.headers(request)
    );
    stream.write_all(head.as_bytes())?;
    for event in after + 1..=EVENTS {
        thread::sleep(EVENT_DELAY);
        let text = format!("id: {event}\ndata: written by {software}\n\n");
        stream.write_all(chunk(&text).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Returns the number of whole events in the body of a stream.
fn last_event(body: &str) -> u64 {
    let (whole, _) = body.rsplit_once("\n\n").unwrap_or_default();
    whole.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).max().unwrap_or(0)
}

/// Returns the software versions that wrote events of a body.
fn writers(body: &str) -> Vec<String> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: written by "));
    let mut writers: Vec<String> = lines.map(str::to_string).collect();
    writers.sort();
    writers.dedup();
    writers
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let configuration = configuration(3, ROUTES, &[plain_service("feed")], TENANTS);
    let platform = Platform::open(record, configuration);
    let behaviour: Behaviour = Arc::new(|call| behave(call));
    let mut runners = Vec::new();
    for id in ["i-1", "i-2", "i-3", "i-4"] {
        runners.push(platform.runner(id, "feed", "v1", false, &behaviour)?);
    }
    let fleet = platform.start()?;
    thread::sleep(LEAD);
    let watch = fleet.views[0].next_watch("servers");
    if has_trouble {
        fleet.views[0].silence(watch);
        record.line("the connection of process 0's watch of the runners is silent from now on");
    }
    thread::sleep(END_DELAY);
    let Some(former) = runners.pop() else { return Err("no runner".to_string()) };
    former.crash();
    record.line("runner i-4 ends");
    thread::sleep(AWAY);
    let platform = Platform { store: fleet.store.clone(), record: record.clone() };
    let other = platform.runner_at(former.address, "i-4", "feed", "v2", false, &behaviour)?;
    record.line("runner i-4 is back with software v2, and its entry says so");
    thread::sleep(BEGIN_DELAY);
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let (record, fronts) = (record.clone(), fleet.nodes.fronts.clone());
        streams.push(thread::spawn(move || {
            let begun = ClientRequest {
                attempt: format!("stream-{number}"),
                method: "POST",
                path: format!("/feed/{number}"),
                key: "k1",
                parts: &[],
                resumes: None,
            };
            let first = send(&record, fronts[0], 0, &begun);
            let mut body = first.body.clone();
            let last = last_event(&body);
            if first.status == Some(200) && !first.is_complete && last > 0 {
                let resumed = ClientRequest {
                    attempt: format!("stream-{number}-again"),
                    resumes: Some((begun.attempt.clone(), last)),
                    ..begun
                };
                let second = send(&record, fronts[0], 0, &resumed);
                if second.status == Some(200) {
                    body += "\n\n";
                    body += &second.body;
                }
            }
            let writers = writers(&body);
            if writers.len() > 1 {
                record.line(&format!("stream-{number} has events written by {writers:?}"));
            }
            writers.len() > 1
        }));
        thread::sleep(Duration::from_millis(3));
    }
    thread::sleep(LEAVE_DELAY);
    record.line("runner i-4 leaves: it reports that it drains");
    other.leave(SERVING_TIME);
    record.line("runner i-4 has left");
    let mixed = streams.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    record.line(&format!("{mixed} streams have events of two software versions"));
    Ok(mixed <= ALLOWED)
}
