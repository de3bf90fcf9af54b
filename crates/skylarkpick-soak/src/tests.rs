//! Tests that fault plans are reproducible, that the proxy injects each link fault, and that the
//! checks report violations and nothing else.

use crate::{
    checks::check_history,
    clients::MAIN_KEY,
    history::{Call, CallKind, ConfiguredKey, Disturbance, DisturbanceScope, History},
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
fn a_seed_always_draws_the_same_fault_plan() {
    let draw = |seed| FaultPlan::draw(seed, Duration::from_secs(30), 4, 4);
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
    assert!(draw(3).faults.iter().all(|(at, _)| *at < Duration::from_secs(30)));
    assert!(FaultPlan::draw(3, Duration::from_secs(30), 0, 4).faults.is_empty());
}

/// Returns a history with one call, which ran on one target and got a response.
fn valid_history(kind: CallKind) -> History {
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
    let response = ClientResponse { status: Some(200), body, is_complete: true };
    let sent_at = now + Duration::from_secs(20);
    let ended_at = sent_at + Duration::from_millis(30);
    History {
        calls: vec![Call {
            process: 0,
            kind,
            request,
            sent_at,
            ended_at,
            response,
            disconnects_early: false,
        }],
        arrivals: vec![Arrival {
            attempt_id: "a".to_string(),
            target: "i-1".to_string(),
            account: Some("acme".to_string()),
            at: sent_at,
            has_run: true,
        }],
        keys: vec![ConfiguredKey { key: MAIN_KEY.to_string(), from: now, until: None }],
        ..History::begin()
    }
}

#[test]
fn reports_each_rule_violation_and_nothing_else() {
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
                "a non-idempotent request runs at most once",
                "a request runs at most as often as its route allows",
            ],
        },
        Case {
            name: "a rejection of a request that ran",
            kind: CallKind::Write,
            change: |history| history.calls[0].response.status = Some(503),
            rules: &["a request that is rejected as not run has not run"],
        },
        Case {
            name: "a rejection of a request that did not run",
            kind: CallKind::Write,
            change: |history| {
                history.calls[0].response.status = Some(503);
                history.arrivals[0].has_run = false;
            },
            rules: &[],
        },
        Case {
            name: "the response of another request",
            kind: CallKind::Read,
            change: |history| history.calls[0].response.body = "b".to_string(),
            rules: &["a response belongs to its request, in order and complete"],
        },
        Case {
            name: "a truncated stream that looks complete",
            kind: CallKind::Events,
            change: |history| history.calls[0].response.body = stream_event("a", 1),
            rules: &["a response belongs to its request, in order and complete"],
        },
        Case {
            name: "a stream that broke",
            kind: CallKind::Events,
            change: |history| {
                history.calls[0].response.body = stream_event("a", 1);
                history.calls[0].response.is_complete = false;
            },
            rules: &[],
        },
        Case {
            name: "a target that began to drain long ago",
            kind: CallKind::Read,
            change: |history| {
                let at = history.calls[0].sent_at - Duration::from_secs(3);
                history.draining.push(("i-1".to_string(), at));
            },
            rules: &["a draining target gets no request after the drain limit"],
        },
        Case {
            name: "a target that began to drain long ago, on a paused process",
            kind: CallKind::Read,
            change: |history| {
                let at = history.calls[0].sent_at - Duration::from_secs(3);
                history.draining.push(("i-1".to_string(), at));
                let scope = DisturbanceScope::Process(0);
                history.disturbances.push(Disturbance { scope, from: at, until: at });
            },
            rules: &[],
        },
        Case {
            name: "a key that was revoked long ago",
            kind: CallKind::Read,
            change: |history| {
                history.keys[0].until = Some(history.calls[0].sent_at - Duration::from_secs(3));
            },
            rules: &["API keys are accepted and rejected as configured"],
        },
        Case {
            name: "a configured key that is rejected",
            kind: CallKind::Read,
            change: |history| {
                history.calls[0].response.status = Some(401);
                history.arrivals.clear();
            },
            rules: &["API keys are accepted and rejected as configured"],
        },
        Case {
            name: "an unknown key that is served",
            kind: CallKind::Read,
            change: |history| history.keys.clear(),
            rules: &["API keys are accepted and rejected as configured"],
        },
        Case {
            name: "a response after the timeout",
            kind: CallKind::Read,
            change: |history| history.calls[0].ended_at += Duration::from_secs(6),
            rules: &["a response arrives within the timeout of its route"],
        },
        Case {
            name: "a failure after the recovery time",
            kind: CallKind::Read,
            change: |history| {
                history.calls[0].response.status = Some(502);
                history.stable_since = Some(history.calls[0].sent_at - Duration::from_secs(1));
            },
            rules: &["every valid request is served after the recovery time"],
        },
        Case {
            name: "a response that is lost during a planned restart",
            kind: CallKind::Read,
            change: |history| {
                history.calls[0].response = ClientResponse::default();
                let from = history.calls[0].sent_at;
                let scope = DisturbanceScope::PlannedRestart(0);
                history.disturbances.push(Disturbance { scope, from, until: from });
            },
            rules: &["planned maintenance loses no response of a request that ran"],
        },
        Case {
            name: "a run without a client request",
            kind: CallKind::Read,
            change: |history| history.arrivals[0].attempt_id = "other".to_string(),
            rules: &["a target runs only requests of clients"],
        },
    ];
    for case in cases {
        let mut history = valid_history(case.kind);
        (case.change)(&mut history);
        let found: Vec<&str> = check_history(&history).iter().map(|finding| finding.rule).collect();
        assert_eq!(found, case.rules, "{}", case.name);
    }
}

/// Starts an echo server.
async fn spawn_echo_server() -> SocketAddr {
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
async fn the_proxy_holds_delays_or_resets_data_by_its_fault() {
    struct Case {
        fault: Option<LinkFault>,
        /// Whether the echo arrives during the fault.
        is_echoed: bool,
        is_reset: bool,
    }
    let held = |fault| Case { fault: Some(fault), is_echoed: false, is_reset: false };
    let cases = [
        Case { fault: None, is_echoed: true, is_reset: false },
        Case {
            fault: Some(LinkFault::Delay(Duration::from_millis(10))),
            is_echoed: true,
            is_reset: false,
        },
        held(LinkFault::Silence),
        held(LinkFault::HoldAnswers),
        held(LinkFault::HoldRequests),
        Case { fault: Some(LinkFault::Reset), is_echoed: false, is_reset: true },
    ];
    for case in cases {
        let proxy = FaultProxy::bind(spawn_echo_server().await).await.unwrap();
        let mut stream = TcpStream::connect(proxy.address).await.unwrap();
        stream.write_all(b"x").await.unwrap();
        let mut byte = [0];
        stream.read_exact(&mut byte).await.unwrap();
        proxy.set_fault(case.fault);
        // The write fails if the reset has arrived already.
        let written = stream.write_all(b"y").await;
        let read = tokio::time::timeout(Duration::from_millis(300), stream.read_exact(&mut byte));
        let read = read.await;
        assert_eq!(matches!(read, Ok(Ok(_))), case.is_echoed, "{:?}", case.fault);
        assert_eq!(matches!(read, Ok(Err(_))), case.is_reset, "{:?}", case.fault);
        if !case.is_echoed && !case.is_reset {
            written.unwrap();
            proxy.set_fault(None);
            stream.read_exact(&mut byte).await.unwrap();
            assert_eq!(byte, *b"y", "{:?}", case.fault);
        }
    }
}
