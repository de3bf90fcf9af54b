//! The simulated clients: what they sent and what they received.

use crate::process::ProcessControl;
use futures::StreamExt;
use skylarkpick_entry::{
    CallRequest, CompletionEvent, CompletionRequest, CompletionStream, Entry, Failure, Ran,
};
use skylarkpick_interface::{AccountId, WeightVersion};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{sync::watch, time::Instant};

/// What a client sent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SentRequest {
    /// A completion request.
    Completion {
        prompt: String,
        response_tokens: u64,
        /// Weight versions that the configuration of the entry process allowed at that time.
        allowed_weight_versions: Vec<WeightVersion>,
    },
    /// A call of the plain service.
    Call { key: Option<String>, body: Vec<u8> },
}

/// The outcome of a request for its client.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// The client received the complete response.
    Complete,
    /// The client received the response of the plain service.
    Response { status: u16, body: Vec<u8> },
    /// The request failed.
    Failed(Failure),
    /// The entry process ended, or the stream broke.
    ConnectionLost,
    /// The client closed the connection.
    Closed,
}

/// A request as its client observed it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestRecord {
    pub(crate) account: AccountId,
    pub(crate) entry: String,
    pub(crate) sent: SentRequest,
    pub(crate) sent_at: Instant,
    pub(crate) tokens: Vec<String>,
    /// Token with which the client can resume the stream.
    pub(crate) resume_token: Option<String>,
    pub(crate) weight_version: Option<WeightVersion>,
    pub(crate) cached_tokens: u64,
    pub(crate) first_token_at: Option<Instant>,
    pub(crate) outcome: Option<Outcome>,
}

impl RequestRecord {
    pub(crate) fn open(account: &str, entry: &str, sent: SentRequest) -> RequestRecord {
        RequestRecord {
            account: account.to_string(),
            entry: entry.to_string(),
            sent,
            sent_at: Instant::now(),
            tokens: Vec::new(),
            resume_token: None,
            weight_version: None,
            cached_tokens: 0,
            first_token_at: None,
            outcome: None,
        }
    }

    /// Describes the state or the outcome of the request in a line. Scenario files contain this line,
    /// so it has only what is the same in every run.
    pub(crate) fn describe(&self) -> String {
        match &self.outcome {
            None => format!("waiting, {} tokens so far", self.tokens.len()),
            Some(Outcome::Complete) => format!(
                "whole, {} tokens of weight version {}",
                self.tokens.len(),
                self.weight_version.unwrap_or_default(),
            ),
            Some(Outcome::Response { status, body }) => {
                format!("reply {status} {}", String::from_utf8_lossy(body))
            }
            Some(Outcome::Failed(failure)) => describe_failure(failure),
            Some(Outcome::Closed) => format!("closed, {} tokens so far", self.tokens.len()),
            Some(Outcome::ConnectionLost) => {
                format!("connection lost, {} tokens so far", self.tokens.len())
            }
        }
    }
}

fn describe_failure(failure: &Failure) -> String {
    let ran = match failure.ran {
        Ran::NotRun => "not run",
        Ran::Ran => "ran",
        Ran::Unknown => "unknown",
    };
    let code = serde_json::to_string(&failure.code).unwrap_or_default();
    let retry = if failure.retry { ", retry" } else { "" };
    format!("failed {}, {ran}{retry}", code.trim_matches('"'))
}

/// A request to resume a stream.
pub(crate) struct ResumeRequest {
    pub(crate) account: AccountId,
    pub(crate) token: String,
    /// Number of tokens of the response that the client has received.
    pub(crate) offset: u64,
}

/// The clients of a scenario, with a record of each request by its id.
#[derive(Clone)]
pub(crate) struct Clients {
    records: Arc<Mutex<BTreeMap<String, RequestRecord>>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Clients {
    pub(crate) fn open() -> Clients {
        Clients { records: Arc::default(), changed: Arc::new(watch::channel(0).0) }
    }

    pub(crate) fn records(&self) -> MutexGuard<'_, BTreeMap<String, RequestRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record(&self, id: &str) -> Option<RequestRecord> {
        self.records().get(id).cloned()
    }

    /// Waits until a request has an outcome.
    pub(crate) async fn wait_for_outcome(&self, id: &str) {
        let mut changed = self.changed.subscribe();
        while self.record(id).is_some_and(|record| record.outcome.is_none()) {
            // The wait cannot fail: `self` owns the sender.
            let _ = changed.changed().await;
        }
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = self.records().get_mut(id) {
            change(record);
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Sets the outcome of a request, unless it has one already.
    fn end(&self, id: &str, outcome: Outcome) {
        self.update(id, |record| {
            record.outcome.get_or_insert(outcome);
        });
    }

    /// Sends a completion request to an entry process and receives the response in the background.
    pub(crate) fn send(&self, entry: Entry, control: ProcessControl, request: CompletionRequest) {
        let id = request.request_id.clone();
        self.receive_in_background(id, control, move || entry.complete(request));
    }

    /// Resumes a stream through an entry process, with a new request id.
    pub(crate) fn resume(
        &self,
        entry: Entry,
        control: ProcessControl,
        id: &str,
        resume: ResumeRequest,
    ) {
        self.receive_in_background(id.to_string(), control, move || {
            entry.resume(&resume.account, &resume.token, resume.offset)
        });
    }

    /// Closes the connection of a client.
    pub(crate) fn close(&self, id: &str) {
        self.end(id, Outcome::Closed);
    }

    fn receive_in_background(
        &self,
        id: String,
        control: ProcessControl,
        start: impl FnOnce() -> Result<CompletionStream, Failure> + Send + 'static,
    ) {
        let clients = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = control.wait_until_dead() => clients.end(&id, Outcome::ConnectionLost),
                () = clients.wait_for_outcome(&id) => {}
                () = clients.receive_events(&control, &id, start) => {}
            }
        });
    }

    /// Records the events of a response until it ends.
    async fn receive_events(
        &self,
        control: &ProcessControl,
        id: &str,
        start: impl FnOnce() -> Result<CompletionStream, Failure>,
    ) {
        control.wait_until_running().await;
        let mut events = match start() {
            Ok(events) => events,
            Err(failure) => return self.end(id, Outcome::Failed(failure)),
        };
        while let Some(event) = events.next().await {
            // A paused process sends nothing to its clients either.
            control.wait_until_running().await;
            match event {
                CompletionEvent::Started {
                    weight_version, cached_tokens, resume_token, ..
                } => {
                    self.update(id, |record| {
                        record.resume_token = Some(resume_token);
                        record.weight_version = Some(weight_version);
                        record.cached_tokens = cached_tokens;
                    });
                }
                CompletionEvent::Moved { .. } => {}
                CompletionEvent::Token { text, .. } => self.update(id, |record| {
                    record.first_token_at.get_or_insert_with(Instant::now);
                    record.tokens.push(text);
                }),
                CompletionEvent::Finished { .. } => return self.end(id, Outcome::Complete),
                CompletionEvent::Failed(failure) => return self.end(id, Outcome::Failed(failure)),
            }
        }
        self.end(id, Outcome::ConnectionLost);
    }

    /// Calls the plain service through an entry process in the background.
    pub(crate) fn call(&self, entry: Entry, control: ProcessControl, request: CallRequest) {
        let (clients, id) = (self.clone(), request.request_id.clone());
        tokio::spawn(async move {
            let call = async {
                control.wait_until_running().await;
                let result = entry.call(request).await;
                control.wait_until_running().await;
                result
            };
            let outcome = tokio::select! {
                biased;
                () = control.wait_until_dead() => Outcome::ConnectionLost,
                result = call => match result {
                    Ok(reply) => Outcome::Response { status: reply.status, body: reply.body },
                    Err(failure) => Outcome::Failed(failure),
                },
            };
            clients.end(&id, outcome);
        });
    }
}
