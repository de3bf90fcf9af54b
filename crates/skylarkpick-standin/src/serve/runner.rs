//! Serves a runner over HTTP.

use super::answer::{Answer, json, outcome, query};
use async_trait::async_trait;
use futures::StreamExt;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use skylarkpick_http::{Handler, Server, ServerLimits, empty_response, json_response, ndjson_body};
use skylarkpick_interface::{FrameStream, RunFrame, Runner, StartError};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Frames that wait for a slow reader.
const FRAMES_AHEAD: usize = 16;

/// Serves a runner on `address`.
///
/// # Errors
/// When the address cannot be taken.
pub async fn serve_runner(address: &str, runner: Arc<dyn Runner>) -> std::io::Result<Server> {
    Server::bind(address, Arc::new(RunnerHandler { runner }), ServerLimits::default()).await
}

struct RunnerHandler {
    runner: Arc<dyn Runner>,
}

impl RunnerHandler {
    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Answer> {
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let path = uri.path().strip_prefix("/v1/").unwrap_or_default();
        let run_id = path.strip_prefix("runs/");
        let runner = &self.runner;
        Ok(match (method, path) {
            (Method::POST, "runs") => frames(runner.start(json(request).await?).await),
            (Method::GET, _) if run_id.is_some() => {
                let account: String = query(&uri, "account").unwrap_or_default();
                let offset = query(&uri, "offset").unwrap_or_default();
                frames(runner.resume(run_id.unwrap_or_default(), &account, offset).await)
            }
            (Method::DELETE, _) if run_id.is_some() => {
                outcome(runner.cancel(run_id.unwrap_or_default()).await)
            }
            (Method::GET, "load") => outcome(runner.load().await),
            (Method::GET, "status") => outcome(runner.status().await),
            (Method::GET, "cache-events") => {
                let after = query(&uri, "after").unwrap_or_default();
                let snapshot = query(&uri, "snapshot").unwrap_or_default();
                outcome(runner.cache_events(after, snapshot).await)
            }
            (Method::POST, "imports") => outcome(runner.import(json(request).await?).await),
            (Method::POST, "exports") => outcome(runner.export(json(request).await?).await),
            (Method::POST, "orders") => outcome(runner.order(json(request).await?).await),
            _ => empty_response(StatusCode::NOT_FOUND),
        })
    }
}

#[async_trait]
impl Handler for RunnerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        self.answer(request).await.unwrap_or_else(|refusal| refusal)
    }
}

/// Answers with the frames of a run, one JSON value a line.
fn frames(started: Result<FrameStream, StartError>) -> Answer {
    let mut frames = match started {
        Ok(frames) => frames,
        Err(error) => return json_response(StatusCode::CONFLICT, &error),
    };
    let (sender, receiver) = mpsc::channel::<RunFrame>(FRAMES_AHEAD);
    tokio::spawn(async move {
        // A broken stream ends without its last frame, which is how the reader knows.
        while let Some(Ok(frame)) = frames.next().await {
            if sender.send(frame).await.is_err() {
                return;
            }
        }
    });
    let mut answer = empty_response(StatusCode::OK);
    *answer.body_mut() = ndjson_body(ReceiverStream::new(receiver));
    answer
}
