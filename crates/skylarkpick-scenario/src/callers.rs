//! Callers of a scenario: what they sent and what they got.

use crate::process::Life;
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

/// What a caller sent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Sent {
    /// A prompt.
    Completion {
        prompt: String,
        answer_tokens: u64,
        /// Weights that the configuration at the entry allowed when it was sent.
        allowed_weight_versions: Vec<WeightVersion>,
    },
    /// A call to the plain service.
    Call { key: Option<String>, body: Vec<u8> },
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ended {
    /// With the last token of the answer.
    Whole,
    /// With the answer of the plain service.
    Reply { status: u16, body: Vec<u8> },
    /// With a failure.
    Failed(Failure),
    /// With the death of the entry process.
    ConnectionLost,
    /// By the caller itself, which closed its connection.
    Closed,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Record {
    pub(crate) account: AccountId,
    pub(crate) entry: String,
    pub(crate) sent: Sent,
    pub(crate) sent_at: Instant,
    pub(crate) tokens: Vec<String>,
    /// Token with which the stream can be taken up again.
    pub(crate) resume_token: Option<String>,
    pub(crate) weight_version: Option<WeightVersion>,
    pub(crate) cached_tokens: u64,
    pub(crate) first_token_at: Option<Instant>,
    pub(crate) ended: Option<Ended>,
}

impl Record {
    pub(crate) fn open(account: &str, entry: &str, sent: Sent) -> Record {
        Record {
            account: account.to_string(),
            entry: entry.to_string(),
            sent,
            sent_at: Instant::now(),
            tokens: Vec::new(),
            resume_token: None,
            weight_version: None,
            cached_tokens: 0,
            first_token_at: None,
            ended: None,
        }
    }

    /// The record in one line, the same on every run.
    pub(crate) fn describe(&self) -> String {
        match &self.ended {
            None => format!("waiting, {} tokens so far", self.tokens.len()),
            Some(Ended::Whole) => format!(
                "whole, {} tokens of weight version {}",
                self.tokens.len(),
                self.weight_version.unwrap_or_default(),
            ),
            Some(Ended::Reply { status, body }) => {
                format!("reply {status} {}", String::from_utf8_lossy(body))
            }
            Some(Ended::Failed(failure)) => describe_failure(failure),
            Some(Ended::Closed) => format!("closed, {} tokens so far", self.tokens.len()),
            Some(Ended::ConnectionLost) => {
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

/// What a caller shows to take a stream up again.
pub(crate) struct Taking {
    pub(crate) account: AccountId,
    pub(crate) token: String,
    /// Tokens of the answer that the caller has.
    pub(crate) offset: u64,
}

/// Every request of a scenario by its id.
#[derive(Clone)]
pub(crate) struct Callers {
    records: Arc<Mutex<BTreeMap<String, Record>>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Callers {
    pub(crate) fn open() -> Callers {
        Callers { records: Arc::default(), changed: Arc::new(watch::channel(0).0) }
    }

    pub(crate) fn records(&self) -> MutexGuard<'_, BTreeMap<String, Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record(&self, id: &str) -> Option<Record> {
        self.records().get(id).cloned()
    }

    /// Waits until a request has ended.
    pub(crate) async fn wait_ended(&self, id: &str) {
        let mut changed = self.changed.subscribe();
        while self.record(id).is_some_and(|record| record.ended.is_none()) {
            // The sender lives as long as these callers.
            let _ = changed.changed().await;
        }
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut Record)) {
        if let Some(record) = self.records().get_mut(id) {
            change(record);
        }
        self.changed.send_modify(|count| *count += 1);
    }

    fn end(&self, id: &str, ended: Ended) {
        self.update(id, |record| {
            record.ended.get_or_insert(ended);
        });
    }

    /// Sends a prompt through an entry process and follows its answer in the background.
    pub(crate) fn send(&self, entry: Entry, life: Life, request: CompletionRequest) {
        let id = request.request_id.clone();
        self.follow_in_background(id, life, move || entry.complete(request));
    }

    /// Takes a stream up again through an entry process, under a new id.
    pub(crate) fn take_up(&self, entry: Entry, life: Life, id: &str, taking: Taking) {
        self.follow_in_background(id.to_string(), life, move || {
            entry.resume(&taking.account, &taking.token, taking.offset)
        });
    }

    /// Closes a caller's connection.
    pub(crate) fn close(&self, id: &str) {
        self.end(id, Ended::Closed);
    }

    fn follow_in_background(
        &self,
        id: String,
        life: Life,
        begin: impl FnOnce() -> Result<CompletionStream, Failure> + Send + 'static,
    ) {
        let callers = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = life.wait_dead() => callers.end(&id, Ended::ConnectionLost),
                () = callers.wait_ended(&id) => {}
                () = callers.follow(&life, &id, begin) => {}
            }
        });
    }

    async fn follow(
        &self,
        life: &Life,
        id: &str,
        begin: impl FnOnce() -> Result<CompletionStream, Failure>,
    ) {
        life.pass().await;
        let mut events = match begin() {
            Ok(events) => events,
            Err(failure) => return self.end(id, Ended::Failed(failure)),
        };
        while let Some(event) = events.next().await {
            // A paused process sends nothing to its callers either.
            life.pass().await;
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
                CompletionEvent::Finished { .. } => return self.end(id, Ended::Whole),
                CompletionEvent::Failed(failure) => return self.end(id, Ended::Failed(failure)),
            }
        }
        self.end(id, Ended::ConnectionLost);
    }

    /// Makes a call through an entry process in the background.
    pub(crate) fn call(&self, entry: Entry, life: Life, request: CallRequest) {
        let (callers, id) = (self.clone(), request.request_id.clone());
        tokio::spawn(async move {
            let call = async {
                life.pass().await;
                let outcome = entry.call(request).await;
                life.pass().await;
                outcome
            };
            let ended = tokio::select! {
                biased;
                () = life.wait_dead() => Ended::ConnectionLost,
                outcome = call => match outcome {
                    Ok(reply) => Ended::Reply { status: reply.status, body: reply.body },
                    Err(failure) => Ended::Failed(failure),
                },
            };
            callers.end(&id, ended);
        });
    }
}
