//! Takes a prompt in, checks it, and sets its attempts going.

use crate::{
    attempts::Attempts,
    entry::Shared,
    failure::{Failure, FailureCode, Ran},
    request::{CompletionEvent, CompletionRequest},
};
use futures::Stream;
use skylarkpick_cache::{KeyScope, estimate_tokens, prefix_keys};
use skylarkpick_config::{Model, Serving};
use skylarkpick_protocol::resume::ResumeClaims;
use skylarkpick_schedule::RouteRequest;
use std::{
    pin::Pin,
    sync::Arc,
    sync::atomic::Ordering,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{sync::mpsc, time::Instant};

/// Events that wait for a slow caller before the run's frames wait too.
pub(crate) const EVENTS_AHEAD: usize = 64;

/// Events of one answer. Dropping it cancels the run, unless the request is resumable.
pub struct CompletionStream {
    events: mpsc::Receiver<CompletionEvent>,
    /// Holds the process up until the last event was taken.
    under_way: Option<Arc<UnderWay>>,
    resumed: Option<ResumeClaims>,
}

impl CompletionStream {
    pub(crate) fn open(events: mpsc::Receiver<CompletionEvent>, under_way: Arc<UnderWay>) -> Self {
        CompletionStream { events, under_way: Some(under_way), resumed: None }
    }

    pub(crate) fn with_claims(self, claims: ResumeClaims) -> Self {
        CompletionStream { resumed: Some(claims), ..self }
    }

    /// What the token said that the stream was taken up with.
    pub(crate) fn resumed(&self) -> Option<&ResumeClaims> {
        self.resumed.as_ref()
    }

    /// Events that were taken from runners and wait for the caller.
    pub fn buffered_events(&self) -> usize {
        self.events.len()
    }
}

impl Stream for CompletionStream {
    type Item = CompletionEvent;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<CompletionEvent>> {
        let polled = self.events.poll_recv(context);
        if matches!(polled, Poll::Ready(None)) {
            self.under_way = None;
        }
        polled
    }
}

/// Counts a request as under way until dropped.
pub(crate) struct UnderWay(Arc<Shared>);

impl UnderWay {
    pub(crate) fn begin(shared: Arc<Shared>) -> UnderWay {
        shared.in_flight_requests.fetch_add(1, Ordering::SeqCst);
        UnderWay(shared)
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.in_flight_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Checks a request and starts its first attempt in the background.
pub(crate) fn begin(
    shared: Arc<Shared>,
    request: CompletionRequest,
) -> Result<CompletionStream, Failure> {
    let in_force = shared.active_configuration.borrow().clone();
    if in_force.version == 0 {
        let failure = Failure::not_run(FailureCode::NotReady, "no configuration yet");
        return Err(failure.retry_after(Duration::from_secs(1)));
    }
    let configuration = &in_force.configuration;
    let model = configuration
        .models
        .get(&request.model)
        .ok_or_else(|| not_found(format!("no model {:?}", request.model)))?;
    check_adapter(model, &request)?;
    let serving = configuration.serving.get(&model.serving).cloned().unwrap_or_default();
    let deadline = Instant::now() + time_allowed(&serving, &request);
    let route_request = Arc::new(route_request(model, &request));
    let (sender, events) = mpsc::channel(EVENTS_AHEAD);
    let under_way = Arc::new(UnderWay::begin(shared.clone()));
    let attempts = Attempts {
        _under_way: under_way.clone(),
        shared,
        request,
        route_request,
        weight_version: None,
        attempts_limit: serving.attempts_limit,
        retry_percent_limit: serving.retry_percent_limit,
        deadline,
        events: sender,
        delivered: Vec::new(),
        ran: Ran::NotRun,
        in_force,
    };
    tokio::spawn(attempts.run());
    Ok(CompletionStream::open(events, under_way))
}

fn not_found(message: String) -> Failure {
    Failure::not_run(FailureCode::NotFound, message)
}

fn check_adapter(model: &Model, request: &CompletionRequest) -> Result<(), Failure> {
    match &request.adapter {
        Some(adapter) if !model.adapters.contains(adapter) => {
            Err(not_found(format!("model {:?} has no adapter {adapter:?}", request.model)))
        }
        _ => Ok(()),
    }
}

fn time_allowed(serving: &Serving, request: &CompletionRequest) -> Duration {
    let longest = Duration::from_millis(serving.deadline_ms);
    request.deadline.map_or(longest, |deadline| deadline.min(longest))
}

fn route_request(model: &Model, request: &CompletionRequest) -> RouteRequest {
    let scope = |weight_version| KeyScope {
        account: request.account.clone(),
        model: request.model.clone(),
        adapter: request.adapter.clone(),
        weight_version,
    };
    let versions = model.usable_weight_versions().into_iter();
    RouteRequest {
        model: request.model.clone(),
        prefix_keys: versions
            .map(|version| (version, prefix_keys(&scope(version), &request.prompt)))
            .collect(),
        prompt_tokens: estimate_tokens(&request.prompt),
        avoid: Vec::new(),
    }
}
