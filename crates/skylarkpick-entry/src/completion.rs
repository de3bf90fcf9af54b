//! Validates a completion request and spawns its task.

use crate::{
    completion_task::CompletionTask,
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

/// Events buffered for a slow caller; when the buffer is full, the run's frames are not read.
pub(crate) const EVENT_BUFFER_LIMIT: usize = 64;

/// Event stream of one completion. Dropping it cancels the run, unless the request is resumable.
pub struct CompletionStream {
    events: mpsc::Receiver<CompletionEvent>,
    /// Counts the request as in flight until the last event was received.
    in_flight: Option<Arc<InFlightGuard>>,
    resumed: Option<ResumeClaims>,
}

impl CompletionStream {
    pub(crate) fn open(
        events: mpsc::Receiver<CompletionEvent>,
        in_flight: Arc<InFlightGuard>,
    ) -> Self {
        CompletionStream { events, in_flight: Some(in_flight), resumed: None }
    }

    pub(crate) fn with_claims(self, claims: ResumeClaims) -> Self {
        CompletionStream { resumed: Some(claims), ..self }
    }

    /// Returns the claims of the resume token, if the stream was opened with one.
    pub(crate) fn resumed(&self) -> Option<&ResumeClaims> {
        self.resumed.as_ref()
    }

    /// Returns the number of events that were received from runners and not yet read.
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
            self.in_flight = None;
        }
        polled
    }
}

/// Counts a request as in flight until dropped.
pub(crate) struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    pub(crate) fn start(shared: Arc<Shared>) -> InFlightGuard {
        shared.in_flight_requests.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(shared)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Validates a request and starts its task.
pub(crate) fn start(
    shared: Arc<Shared>,
    request: CompletionRequest,
) -> Result<CompletionStream, Failure> {
    let active = shared.active_configuration.borrow().clone();
    if active.version == 0 {
        let failure = Failure::not_run(FailureCode::NotReady, "no configuration yet");
        return Err(failure.retry_after(Duration::from_secs(1)));
    }
    let configuration = &active.configuration;
    let model = configuration
        .models
        .get(&request.model)
        .ok_or_else(|| not_found(format!("no model {:?}", request.model)))?;
    check_adapter(model, &request)?;
    let serving = configuration.serving.get(&model.serving).cloned().unwrap_or_default();
    let deadline = Instant::now() + time_allowed(&serving, &request);
    let route_request = Arc::new(route_request(model, &request));
    let (sender, events) = mpsc::channel(EVENT_BUFFER_LIMIT);
    let in_flight = Arc::new(InFlightGuard::start(shared.clone()));
    let task = CompletionTask {
        _in_flight: in_flight.clone(),
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
        active_configuration: active,
    };
    tokio::spawn(task.run());
    Ok(CompletionStream::open(events, in_flight))
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
    let limit = Duration::from_millis(serving.deadline_ms);
    request.deadline.map_or(limit, |deadline| deadline.min(limit))
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
