//! Serves the platform's object API over HTTP.

use super::answer::{Answer, bytes, query};
use async_trait::async_trait;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use skylarkpick_http::{
    Handler, OBJECT_VERSION_HEADER, Server, ServerLimits, empty_response, full_body, json_response,
};
use skylarkpick_interface::{Object, ObjectStore, ObjectVersion, PlatformError, WriteError};
use std::{sync::Arc, time::Duration};

/// Serves a platform on `address`.
///
/// # Errors
/// When the address cannot be taken.
pub async fn serve_platform(
    address: &str,
    platform: Arc<dyn ObjectStore>,
) -> std::io::Result<Server> {
    Server::bind(address, Arc::new(PlatformHandler { platform }), ServerLimits::default()).await
}

struct PlatformHandler {
    platform: Arc<dyn ObjectStore>,
}

impl PlatformHandler {
    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Answer> {
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let path = uri.path();
        if let Some(key) = path.strip_prefix("/objects/") {
            return self.object(method, key, request).await;
        }
        if let Some(key) = path.strip_prefix("/watch/") {
            let seen = query(&uri, "seen").unwrap_or_default();
            let timeout = Duration::from_millis(query(&uri, "timeout_ms").unwrap_or_default());
            return Ok(match self.platform.watch(key, seen, timeout).await {
                Ok(None) => empty_response(StatusCode::NO_CONTENT),
                found => object_answer(found),
            });
        }
        Ok(match path {
            "/list" => {
                let prefix: String = query(&uri, "prefix").unwrap_or_default();
                let after: String = query(&uri, "after").unwrap_or_default();
                let limit = query(&uri, "limit").unwrap_or(usize::MAX);
                listing(self.platform.list(&prefix, &after, limit).await)
            }
            "/vms" => listing(self.platform.list_vms().await),
            _ => empty_response(StatusCode::NOT_FOUND),
        })
    }

    async fn object(
        &self,
        method: Method,
        key: &str,
        request: Request<Incoming>,
    ) -> Result<Answer, Answer> {
        let expected = if_match(request.headers());
        Ok(match method {
            Method::GET => object_answer(self.platform.get(key).await),
            Method::PUT => {
                let value = bytes(request).await?;
                write_answer(self.platform.put(key, expected, value).await)
            }
            Method::DELETE => {
                let expected = expected.unwrap_or_default();
                write_answer(self.platform.delete(key, expected).await.map(|()| 0))
            }
            _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
        })
    }
}

fn if_match(headers: &HeaderMap) -> Option<ObjectVersion> {
    headers.get("if-match")?.to_str().ok()?.parse().ok()
}

fn with_version(mut answer: Answer, version: Option<ObjectVersion>) -> Answer {
    if let Some(version) = version {
        answer.headers_mut().insert(OBJECT_VERSION_HEADER, HeaderValue::from(version));
    }
    answer
}

fn object_answer(found: Result<Option<Object>, PlatformError>) -> Answer {
    match found {
        Ok(Some(object)) => {
            let mut answer = empty_response(StatusCode::OK);
            *answer.body_mut() = full_body(object.value);
            with_version(answer, Some(object.version))
        }
        Ok(None) => empty_response(StatusCode::NOT_FOUND),
        Err(error) => refusal(error),
    }
}

fn listing<T: Serialize>(listed: Result<Vec<T>, PlatformError>) -> Answer {
    match listed {
        Ok(listed) => json_response(StatusCode::OK, &listed),
        Err(error) => refusal(error),
    }
}

fn refusal(error: PlatformError) -> Answer {
    match error {
        PlatformError::Unavailable(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        PlatformError::RateLimited => empty_response(StatusCode::TOO_MANY_REQUESTS),
    }
}

fn write_answer(written: Result<ObjectVersion, WriteError>) -> Answer {
    match written {
        Ok(version) => with_version(empty_response(StatusCode::OK), Some(version)),
        Err(WriteError::Conflict { current }) => {
            with_version(empty_response(StatusCode::PRECONDITION_FAILED), current)
        }
        Err(WriteError::NotWritten(_)) => empty_response(StatusCode::TOO_MANY_REQUESTS),
        Err(WriteError::Unknown(_)) => empty_response(StatusCode::GATEWAY_TIMEOUT),
    }
}

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        self.answer(request).await.unwrap_or_else(|refusal| refusal)
    }
}
