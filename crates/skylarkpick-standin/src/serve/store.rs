//! HTTP server of a fake store VM.

use super::message::{HttpResponse, json_outcome, parse_json};
use async_trait::async_trait;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use skylarkpick_http::{
    Handler, Server, ServerLimits, empty_response, json_response,
    store_messages::{PinResponse, PrefixBody, WriteBody, from_hexadecimal, to_hexadecimal},
};
use skylarkpick_interface::{PrefixKey, Store, parse_prefix_key};
use std::sync::Arc;

/// Serves a store over HTTP on `address`.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve_store(address: &str, store: Arc<dyn Store>) -> std::io::Result<Server> {
    Server::bind(address, Arc::new(StoreHandler { store }), ServerLimits::default()).await
}

struct StoreHandler {
    store: Arc<dyn Store>,
}

fn parse_key(text: &str) -> Result<PrefixKey, HttpResponse> {
    parse_prefix_key(text).ok_or_else(|| bad_request("the prefix key is not 32 digits"))
}

fn bad_request(message: &str) -> HttpResponse {
    json_response(StatusCode::BAD_REQUEST, &message)
}

impl StoreHandler {
    async fn respond(&self, request: Request<Incoming>) -> Result<HttpResponse, HttpResponse> {
        let path = request.uri().path().to_string();
        let store = &self.store;
        Ok(match path.strip_prefix("/v1/").unwrap_or_default() {
            "reserve" => json_outcome(store.reserve(parse_json(request).await?).await),
            "write" => self.write(parse_json(request).await?).await?,
            "seal" => {
                let body: PrefixBody = parse_json(request).await?;
                let key = parse_key(&body.prefix_key)?;
                json_outcome(store.seal(key, body.generation, &body.digest).await)
            }
            "pin" => {
                let body: PrefixBody = parse_json(request).await?;
                let pinned = store.pin(parse_key(&body.prefix_key)?, body.generation).await;
                json_outcome(pinned.map(|(pin, manifest)| PinResponse { pin, manifest }))
            }
            "read" => {
                let body: PrefixBody = parse_json(request).await?;
                let content = store.read(parse_key(&body.prefix_key)?, body.generation).await;
                json_outcome(content.map(|content| to_hexadecimal(&content)))
            }
            "unpin" => json_outcome(store.unpin(parse_json(request).await?).await),
            "retire" => {
                let body: PrefixBody = parse_json(request).await?;
                json_outcome(store.retire(parse_key(&body.prefix_key)?, body.generation).await)
            }
            "manifests" => {
                let (after, count_limit): (Option<String>, usize) = parse_json(request).await?;
                let after = after.as_deref().map(parse_key).transpose()?;
                json_outcome(store.manifests(after, count_limit).await)
            }
            "status" => json_outcome(store.status().await),
            _ => empty_response(StatusCode::NOT_FOUND),
        })
    }

    async fn write(&self, body: WriteBody) -> Result<HttpResponse, HttpResponse> {
        let content = from_hexadecimal(&body.content)
            .ok_or_else(|| bad_request("the content is not hexadecimal"))?;
        let key = parse_key(&body.prefix_key)?;
        Ok(json_outcome(self.store.write(key, body.generation, content, body.size_bytes).await))
    }
}

#[async_trait]
impl Handler for StoreHandler {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        self.respond(request).await.unwrap_or_else(|error_response| error_response)
    }
}
