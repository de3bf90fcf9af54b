//! Checks of streams, over all calls with which a client takes up the same stream.

use crate::{
    checks::{DRAIN_LIMIT, Finding},
    clients::MAIN_KEY,
    history::{Call, CallKind, History},
};
use skylarkpick_platform_standin::{StreamEvent, stream_event_count, whole_events};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Streams that clients take up from which on the users judge the share that goes on.
const TAKEN_UP_FLOOR: usize = 12;
/// Part of the share of new streams that begin that the share of streams that go on must reach.
const CONTINUED_PART: f64 = 0.5;
/// Targets of its software version that must serve for a stream to count in the share.
const SERVING_FLOOR: usize = 2;
/// Time until a process must know a new target: as for one that drains.
const TARGET_LEARNED_LIMIT: Duration = DRAIN_LIMIT;

/// Whether the response to a call on a stream is what targets wrote for it: consecutive events after
/// the last one that the client named, up to the end if it is complete, or up to the end of any event
/// if the target may have closed the connection there.
pub(crate) fn is_stream_correct(call: &Call, is_cut_by_target: bool) -> bool {
    let (events, rest) = whole_events(&call.response.body);
    let start = call.request.last_event_id.unwrap_or(0);
    let mut previous: Option<&StreamEvent> = None;
    for event in &events {
        let expected = previous.map_or(start, |previous| previous.index) + 1;
        // A target goes on after the event that precedes its first one.
        let is_continued = event.after + 1 == expected
            || previous.is_some_and(|previous| previous.after == event.after);
        let is_own = event.attempt_id == call.request.attempt_id;
        if event.index != expected || !is_own || !is_continued {
            return false;
        }
        previous = Some(event);
    }
    let last = previous.map_or(start, |event| event.index);
    if call.response.is_complete {
        let is_whole = last == stream_event_count(&call.request.path);
        return rest.is_empty() && (is_whole || is_cut_by_target);
    }
    let next = format!("id: {}\ndata: ", last + 1);
    next.starts_with(rest) || (rest.starts_with(&next) && !rest.contains("\n\n"))
}

/// Checks the streams of a history.
pub(crate) fn check_streams(history: &History, findings: &mut Vec<Finding>) {
    let mut streams: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in history.calls.iter().filter(|call| call.kind == CallKind::Events) {
        streams.entry(call.stream_id()).or_default().push(call);
    }
    for calls in streams.values() {
        let events: Vec<StreamEvent> = calls.iter().flat_map(|call| call.events()).collect();
        let versions: BTreeSet<&str> =
            events.iter().map(|event| event.software_version.as_str()).collect();
        let rules = [
            ("all events of a stream are of one software version", versions.len() <= 1),
            (
                "a stream that is taken up goes on after its last event",
                events.iter().map(|event| event.index).eq(1..=events.len() as u64),
            ),
        ];
        let violated = rules.into_iter().filter(|(_, holds)| !holds);
        findings
            .extend(violated.map(|(rule, _)| Finding { rule, evidence: describe(history, calls) }));
    }
    check_continued_share(history, &streams, findings);
}

/// Lists the calls of a stream, each with its events by software version.
fn describe(history: &History, calls: &[&Call]) -> String {
    let calls = calls.iter().map(|call| {
        let mut events: Vec<(String, u64, u64)> = Vec::new();
        for event in call.events() {
            match events.last_mut() {
                Some((version, _, last)) if *version == event.software_version => {
                    *last = event.index;
                }
                _ => events.push((event.software_version, event.index, event.index)),
            }
        }
        let events: Vec<String> = events
            .iter()
            .map(|(version, first, last)| format!("{first} to {last} of {version}"))
            .collect();
        let arrivals: Vec<String> = history
            .arrivals
            .iter()
            .filter(|arrival| arrival.attempt_id == call.request.attempt_id)
            .map(|arrival| {
                let after = arrival.last_event_id.unwrap_or(0);
                let not_run = if arrival.has_run { "" } else { ", not run" };
                format!("{} ({}, after {after}{not_run})", arrival.target, arrival.software_version)
            })
            .collect();
        format!(
            "{} at process {} from {:.3} s, status {:?}, events {events:?}, at targets {arrivals:?}",
            call.request.attempt_id,
            call.process,
            history.seconds(call.sent_at),
            call.response.status,
        )
    });
    calls.collect::<Vec<String>>().join("; ")
}

/// Calls on streams, and how many of them began or went on.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    total: usize,
    begun: usize,
}

impl Share {
    fn of<'a>(calls: impl Iterator<Item = &'a Call>) -> Share {
        // A client that left before its response says nothing about it.
        let answered = calls.filter(|call| call.is_stream_begun() || !call.disconnects_early);
        answered.fold(Share::default(), |share, call| Share {
            total: share.total + 1,
            begun: share.begun + usize::from(call.is_stream_begun()),
        })
    }

    fn ratio(self) -> f64 {
        self.begun as f64 / self.total.max(1) as f64
    }
}

/// Of the streams that clients take up at processes in touch, while two targets of their software
/// version serve, at least half the share of new streams goes on.
fn check_continued_share(
    history: &History,
    streams: &BTreeMap<&str, Vec<&Call>>,
    findings: &mut Vec<Finding>,
) {
    let calls = || streams.values().flatten().copied().filter(|it| it.request.key == MAIN_KEY);
    let new = Share::of(calls().filter(|call| {
        call.request.resumes.is_none()
            && history.is_in_touch(call.process, call.sent_at, call.ended_at)
    }));
    let taken_up = Share::of(calls().filter(|call| {
        let first = call.request.resumes.as_deref().and_then(|id| streams.get(id)?.first());
        let version =
            first.and_then(|first| Some(first.events().first()?.software_version.clone()));
        first.zip(version).is_some_and(|(first, version)| {
            history.is_in_touch(first.process, first.sent_at, call.ended_at)
                && history.is_in_touch(call.process, first.sent_at, call.ended_at)
                && is_served(history, &version, call.sent_at, call.ended_at)
        })
    }));
    if taken_up.total >= TAKEN_UP_FLOOR && taken_up.ratio() < CONTINUED_PART * new.ratio() {
        findings.push(Finding {
            rule: "streams that are taken up go on at least half as often as new ones begin",
            evidence: format!("taken up: {taken_up:?}, new: {new:?}"),
        });
    }
}

/// Whether enough targets of a software version served all the while between two times.
fn is_served(history: &History, version: &str, from: Instant, until: Instant) -> bool {
    let served = history.serving.iter().filter(|it| {
        it.version == version
            && it.from + TARGET_LEARNED_LIMIT <= from
            && it.until.is_none_or(|end| end > until)
    });
    served.count() >= SERVING_FLOOR
}
