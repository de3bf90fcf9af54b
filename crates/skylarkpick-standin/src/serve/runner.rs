//! HTTP server of a fake runner.

use super::message::{HttpResponse, json_outcome, parse_json, query_field};
use async_trait::async_trait;
use futures::StreamExt;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use skylarkpick_http::{Handler, Server, ServerLimits, empty_response, json_response, ndjson_body};
use skylarkpick_interface::{FrameStream, RunFrame, Runner, StartError};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Frames of a run that are buffered for a slow client.
const FRAME_BUFFER_LIMIT: usize = 16;

/// Serves a runner over HTTP on `address`.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve_runner(address: &str, runner: Arc<dyn Runner>) -> std::io::Result<Server> {
    Server::bind(address, Arc::new(RunnerHandler { runner }), ServerLimits::default()).await
}

struct RunnerHandler {
    runner: Arc<dyn Runner>,
}

impl RunnerHandler {
    async fn respond(&self, request: Request<Incoming>) -> Result<HttpResponse, HttpResponse> {
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let path = uri.path().strip_prefix("/v1/").unwrap_or_default();
        let run_id = path.strip_prefix("runs/");
        let runner = &self.runner;
        Ok(match (method, path) {
            (Method::POST, "runs") => stream_frames(runner.start(parse_json(request).await?).await),
            (Method::GET, _) if run_id.is_some() => {
                let account: String = query_field(&uri, "account").unwrap_or_default();
                let offset = query_field(&uri, "offset").unwrap_or_default();
                stream_frames(runner.resume(run_id.unwrap_or_default(), &account, offset).await)
            }
            (Method::DELETE, _) if run_id.is_some() => {
                json_outcome(runner.cancel(run_id.unwrap_or_default()).await)
            }
            (Method::GET, "load") => json_outcome(runner.load().await),
            (Method::GET, "status") => json_outcome(runner.status().await),
            (Method::GET, "cache-events") => {
                let after = query_field(&uri, "after").unwrap_or_default();
                let snapshot = query_field(&uri, "snapshot").unwrap_or_default();
                json_outcome(runner.cache_events(after, snapshot).await)
            }
            (Method::POST, "imports") => {
                json_outcome(runner.import(parse_json(request).await?).await)
            }
            (Method::POST, "exports") => {
                json_outcome(runner.export(parse_json(request).await?).await)
            }
            (Method::POST, "orders") => {
                json_outcome(runner.order(parse_json(request).await?).await)
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        })
    }
}

#[async_trait]
impl Handler for RunnerHandler {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        self.respond(request).await.unwrap_or_else(|error_response| error_response)
    }
}

/// Responds with the frames of a run as newline-delimited JSON.
fn stream_frames(started: Result<FrameStream, StartError>) -> HttpResponse {
    let mut frames = match started {
        Ok(frames) => frames,
        Err(error) => return json_response(StatusCode::CONFLICT, &error),
    };
    let (sender, receiver) = mpsc::channel::<RunFrame>(FRAME_BUFFER_LIMIT);
    tokio::spawn(async move {
        // The client recognises a broken stream by its missing end frame.
        while let Some(Ok(frame)) = frames.next().await {
            if sender.send(frame).await.is_err() {
                return;
            }
        }
    });
    let mut response = empty_response(StatusCode::OK);
    *response.body_mut() = ndjson_body(ReceiverStream::new(receiver));
    response
}
