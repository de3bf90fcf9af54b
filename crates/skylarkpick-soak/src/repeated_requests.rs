//! Requests that clients send again and again, some of which end targets.

use crate::{
    checks::ROUTE_TIMEOUT,
    clients::{MAIN_KEY, SharedClientState},
    history::CallKind,
    run::Fleet,
};
use skylarkpick_platform_standin::{ClientRequest, CrashingRequest};
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Interval between two requests, of which each goes to the next process.
const SEND_INTERVAL: Duration = Duration::from_millis(150);
/// Path of the polls, which are all equal.
pub(crate) const POLL_PATH: &str = "/read/poll";
/// Body of the requests that end targets.
const CRASHING_BODY: &str = "crash";

/// A request that is sent again with the same method, path, API key and body.
#[derive(Clone, Debug)]
pub(crate) struct RepeatedRequest {
    pub(crate) kind: CallKind,
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) key: String,
    pub(crate) body: &'static str,
}

impl RepeatedRequest {
    /// Returns the next request, as a client attempt of its own.
    fn next(&self, number: u64) -> ClientRequest {
        ClientRequest {
            attempt_id: format!("call-{number}"),
            method: self.method.to_string(),
            path: self.path.clone(),
            key: self.key.clone(),
            deadline: ROUTE_TIMEOUT,
            resumes: None,
            last_event_id: None,
            parts: Vec::new(),
            body: self.body.to_string(),
        }
    }
}

impl Fleet {
    /// Makes a request end targets, and lets clients send it for some time beside sound polls of the
    /// same caller.
    pub(crate) async fn inject_crashing_request(
        &self,
        clients: &Arc<SharedClientState>,
        kind: CallKind,
        method: &'static str,
        span: Duration,
    ) {
        let path = self.add_crashing_request(kind);
        let key = MAIN_KEY.to_string();
        let crashing = RepeatedRequest { kind, method, path, key, body: CRASHING_BODY };
        let poll = RepeatedRequest {
            kind: CallKind::Read,
            method: "GET",
            path: POLL_PATH.to_string(),
            body: "",
            ..crashing.clone()
        };
        self.send_in_turn(clients, &[crashing, poll], SEND_INTERVAL, span).await;
    }

    /// Makes a new request end targets in the place of the one before. Returns its path.
    fn add_crashing_request(&self, kind: CallKind) -> String {
        let mut state = self.lock();
        let path = format!("/{}/crash-{}", kind.route(), state.changes.crashing_paths.len());
        state.changes.crashing_paths.push(path.clone());
        state.crashing_request = Some(CrashingRequest {
            path: path.clone(),
            account: Some("acme".to_string()),
            body: CRASHING_BODY.to_string(),
        });
        for target in &state.targets {
            target.service.set_crashing_request(state.crashing_request.as_ref());
        }
        path
    }

    /// Sends requests for some time, one of each at an interval to the next process, and waits for
    /// the responses.
    pub(crate) async fn send_in_turn(
        &self,
        clients: &Arc<SharedClientState>,
        requests: &[RepeatedRequest],
        interval: Duration,
        span: Duration,
    ) {
        let (fronts, until) = (self.fronts(), Instant::now() + span);
        let mut sends = JoinSet::new();
        for turn in 0.. {
            if Instant::now() >= until {
                break;
            }
            for (offset, request) in requests.iter().enumerate() {
                let process = (turn + offset) % fronts.len();
                let next = request.next(clients.next_number());
                let (kind, clients) = (request.kind, clients.clone());
                let front = fronts[process];
                sends.spawn(async move { clients.send_once(front, process, kind, next).await });
            }
            sleep(interval).await;
            while sends.try_join_next().is_some() {}
        }
        while sends.join_next().await.is_some() {}
    }
}
