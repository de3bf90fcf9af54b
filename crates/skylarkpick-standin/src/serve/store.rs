//! Serves a store VM over HTTP.

use super::answer::{Answer, json, outcome};
use async_trait::async_trait;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use skylarkpick_http::{
    Handler, Server, ServerLimits, empty_response, json_response,
    store_messages::{PinResponse, PrefixBody, WriteBody, from_hexadecimal, to_hexadecimal},
};
use skylarkpick_interface::{PrefixKey, Store, parse_prefix_key};
use std::sync::Arc;

/// Serves a store on `address`.
///
/// # Errors
/// When the address cannot be taken.
pub async fn serve_store(address: &str, store: Arc<dyn Store>) -> std::io::Result<Server> {
    Server::bind(address, Arc::new(StoreHandler { store }), ServerLimits::default()).await
}

struct StoreHandler {
    store: Arc<dyn Store>,
}

fn key(text: &str) -> Result<PrefixKey, Answer> {
    parse_prefix_key(text).ok_or_else(|| bad_request("the prefix key is not 32 digits"))
}

fn bad_request(message: &str) -> Answer {
    json_response(StatusCode::BAD_REQUEST, &message)
}

impl StoreHandler {
    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Answer> {
        let path = request.uri().path().to_string();
        let store = &self.store;
        Ok(match path.strip_prefix("/v1/").unwrap_or_default() {
            "reserve" => outcome(store.reserve(json(request).await?).await),
            "write" => self.write(json(request).await?).await?,
            "seal" => {
                let name: PrefixBody = json(request).await?;
                let key = key(&name.prefix_key)?;
                outcome(store.seal(key, name.generation, &name.digest).await)
            }
            "pin" => {
                let name: PrefixBody = json(request).await?;
                let pinned = store.pin(key(&name.prefix_key)?, name.generation).await;
                outcome(pinned.map(|(pin, manifest)| PinResponse { pin, manifest }))
            }
            "read" => {
                let name: PrefixBody = json(request).await?;
                let content = store.read(key(&name.prefix_key)?, name.generation).await;
                outcome(content.map(|content| to_hexadecimal(&content)))
            }
            "unpin" => outcome(store.unpin(json(request).await?).await),
            "retire" => {
                let name: PrefixBody = json(request).await?;
                outcome(store.retire(key(&name.prefix_key)?, name.generation).await)
            }
            "manifests" => {
                let (after, count_limit): (Option<String>, usize) = json(request).await?;
                let after = after.as_deref().map(key).transpose()?;
                outcome(store.manifests(after, count_limit).await)
            }
            "status" => outcome(store.status().await),
            _ => empty_response(StatusCode::NOT_FOUND),
        })
    }

    async fn write(&self, body: WriteBody) -> Result<Answer, Answer> {
        let content = from_hexadecimal(&body.content)
            .ok_or_else(|| bad_request("the content is not hexadecimal"))?;
        let key = key(&body.prefix_key)?;
        Ok(outcome(self.store.write(key, body.generation, content, body.size_bytes).await))
    }
}

#[async_trait]
impl Handler for StoreHandler {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        self.answer(request).await.unwrap_or_else(|refusal| refusal)
    }
}
