//! The plan repeats, the proxy does what its faults say, and the judge finds what does not hold.

use crate::{
    callers::MAIN_KEY,
    history::{Call, CallKind, Disturbance, Disturbed, HeldKey, History},
    judge::judge,
    plan::{FaultPlan, LinkFault},
    proxy::FaultProxy,
};
use skylarkpick_platform_standin::{Arrival, ClientRequest, ClientResponse, stream_event};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};

#[test]
fn a_seed_draws_the_same_faults_again() {
    let draw = |seed| FaultPlan::draw(seed, Duration::from_secs(30), 4, 4);
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
    assert!(draw(3).faults.iter().all(|(at, _)| *at < Duration::from_secs(30)));
    assert!(FaultPlan::draw(3, Duration::from_secs(30), 0, 4).faults.is_empty());
}

/// A history in which one call ran at one target and was answered.
fn clean(kind: CallKind) -> History {
    let now = Instant::now();
    let body = match kind {
        CallKind::Events => (1..=8).map(|index| stream_event("a", index)).collect(),
        CallKind::Read | CallKind::Write => "a".to_string(),
    };
    let request = ClientRequest {
        attempt_id: "a".to_string(),
        path: format!("/{}/1", kind.route()),
        key: MAIN_KEY.to_string(),
        deadline: Duration::from_secs(5),
    };
    let answer = ClientResponse { status: Some(200), body, is_complete: true };
    let sent = now + Duration::from_secs(20);
    let ended = sent + Duration::from_millis(30);
    History {
        calls: vec![Call { process: 0, kind, request, sent, ended, answer, has_left: false }],
        arrivals: vec![Arrival {
            attempt_id: "a".to_string(),
            target: "i-1".to_string(),
            account: Some("acme".to_string()),
            at: sent,
            has_run: true,
        }],
        keys: vec![HeldKey { key: MAIN_KEY.to_string(), from: now, until: None }],
        ..History::begin()
    }
}

#[test]
fn the_judge_finds_what_does_not_hold_and_nothing_else() {
    struct Case {
        name: &'static str,
        kind: CallKind,
        change: fn(&mut History),
        rules: &'static [&'static str],
    }
    let cases = [
        Case { name: "a call", kind: CallKind::Read, change: |_| {}, rules: &[] },
        Case { name: "a stream", kind: CallKind::Events, change: |_| {}, rules: &[] },
        Case {
            name: "a write that ran twice",
            kind: CallKind::Write,
            change: |history| history.arrivals.push(history.arrivals[0].clone()),
            rules: &[
                "a request that may not be repeated runs once at most",
                "a request has no more runs than its route allows",
            ],
        },
        Case {
            name: "a refusal of what ran",
            kind: CallKind::Write,
            change: |history| history.calls[0].answer.status = Some(503),
            rules: &["what is refused as not run has not run"],
        },
        Case {
            name: "a refusal of what did not run",
            kind: CallKind::Write,
            change: |history| {
                history.calls[0].answer.status = Some(503);
                history.arrivals[0].has_run = false;
            },
            rules: &[],
        },
        Case {
            name: "another's answer",
            kind: CallKind::Read,
            change: |history| history.calls[0].answer.body = "b".to_string(),
            rules: &["an answer is that of its request, in order and whole"],
        },
        Case {
            name: "a stream without its end that looks whole",
            kind: CallKind::Events,
            change: |history| history.calls[0].answer.body = stream_event("a", 1),
            rules: &["an answer is that of its request, in order and whole"],
        },
        Case {
            name: "a stream that broke off",
            kind: CallKind::Events,
            change: |history| {
                history.calls[0].answer.body = stream_event("a", 1);
                history.calls[0].answer.is_complete = false;
            },
            rules: &[],
        },
        Case {
            name: "a target that left long ago",
            kind: CallKind::Read,
            change: |history| {
                let at = history.calls[0].sent - Duration::from_secs(3);
                history.leaving.push(("i-1".to_string(), at));
            },
            rules: &["a target that leaves gets no request after its time"],
        },
        Case {
            name: "the same at a process that was paused",
            kind: CallKind::Read,
            change: |history| {
                let at = history.calls[0].sent - Duration::from_secs(3);
                history.leaving.push(("i-1".to_string(), at));
                let what = Disturbed::Process(0);
                history.disturbances.push(Disturbance { what, from: at, until: at });
            },
            rules: &[],
        },
        Case {
            name: "a key that was revoked long ago",
            kind: CallKind::Read,
            change: |history| {
                history.keys[0].until = Some(history.calls[0].sent - Duration::from_secs(3));
            },
            rules: &["keys are accepted and refused as the configuration says"],
        },
        Case {
            name: "a key that is held and refused",
            kind: CallKind::Read,
            change: |history| {
                history.calls[0].answer.status = Some(401);
                history.arrivals.clear();
            },
            rules: &["keys are accepted and refused as the configuration says"],
        },
        Case {
            name: "a key that was never held and is served",
            kind: CallKind::Read,
            change: |history| history.keys.clear(),
            rules: &["keys are accepted and refused as the configuration says"],
        },
        Case {
            name: "an answer after its time",
            kind: CallKind::Read,
            change: |history| history.calls[0].ended += Duration::from_secs(6),
            rules: &["an answer comes within its route's time"],
        },
        Case {
            name: "a failure on a calm day",
            kind: CallKind::Read,
            change: |history| {
                history.calls[0].answer.status = Some(502);
                history.calm_since = Some(history.calls[0].sent - Duration::from_secs(1));
            },
            rules: &["on a calm day every proper request is served"],
        },
        Case {
            name: "an answer that is lost beside planned work",
            kind: CallKind::Read,
            change: |history| {
                history.calls[0].answer = ClientResponse::default();
                let from = history.calls[0].sent;
                let what = Disturbed::Planned(0);
                history.disturbances.push(Disturbance { what, from, until: from });
            },
            rules: &["planned work loses no request that has run"],
        },
        Case {
            name: "a run that nobody asked for",
            kind: CallKind::Read,
            change: |history| history.arrivals[0].attempt_id = "other".to_string(),
            rules: &["a target runs only what a client asked"],
        },
    ];
    for case in cases {
        let mut history = clean(case.kind);
        (case.change)(&mut history);
        let found: Vec<&str> = judge(&history).iter().map(|finding| finding.rule).collect();
        assert_eq!(found, case.rules, "{}", case.name);
    }
}

/// A server that sends back what it gets.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

#[tokio::test]
async fn links_hold_delay_and_reset_as_their_fault_says() {
    struct Case {
        fault: Option<LinkFault>,
        /// Whether the echo is back while the fault lasts.
        is_back: bool,
        is_reset: bool,
    }
    let held = |fault| Case { fault: Some(fault), is_back: false, is_reset: false };
    let cases = [
        Case { fault: None, is_back: true, is_reset: false },
        Case {
            fault: Some(LinkFault::Delay(Duration::from_millis(10))),
            is_back: true,
            is_reset: false,
        },
        held(LinkFault::Silence),
        held(LinkFault::HoldAnswers),
        held(LinkFault::HoldRequests),
        Case { fault: Some(LinkFault::Reset), is_back: false, is_reset: true },
    ];
    for case in cases {
        let proxy = FaultProxy::bind(echo().await).await.unwrap();
        let mut stream = TcpStream::connect(proxy.address).await.unwrap();
        stream.write_all(b"x").await.unwrap();
        let mut byte = [0];
        stream.read_exact(&mut byte).await.unwrap();
        proxy.set_fault(case.fault);
        // A reset may be there before the write.
        let written = stream.write_all(b"y").await;
        let read = tokio::time::timeout(Duration::from_millis(300), stream.read_exact(&mut byte));
        let read = read.await;
        assert_eq!(matches!(read, Ok(Ok(_))), case.is_back, "{:?}", case.fault);
        assert_eq!(matches!(read, Ok(Err(_))), case.is_reset, "{:?}", case.fault);
        if !case.is_back && !case.is_reset {
            written.unwrap();
            proxy.set_fault(None);
            stream.read_exact(&mut byte).await.unwrap();
            assert_eq!(byte, *b"y", "{:?}", case.fault);
        }
    }
}
