//! HTTP server of the fake platform: its object API and its VM list.

use super::message::{HttpResponse, query_field, read_bytes};
use async_trait::async_trait;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use skylarkpick_http::{
    Handler, ListedObjectBody, OBJECT_VERSION_HEADER, Server, ServerLimits, empty_response,
    full_body, json_response, object_revision,
};
use skylarkpick_interface::{
    ListedObject, Object, ObjectStore, PlatformError, StoreRevision, WriteError,
};
use std::{sync::Arc, time::Duration};

/// Serves a platform over HTTP on `address`.
///
/// # Errors
/// When the address cannot be bound.
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
    async fn respond(&self, request: Request<Incoming>) -> Result<HttpResponse, HttpResponse> {
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let path = uri.path();
        if let Some(key) = path.strip_prefix("/objects/") {
            return self.respond_to_object(method, key, request).await;
        }
        if let Some(key) = path.strip_prefix("/watch/") {
            let seen = object_revision(query_field(&uri, "seen").unwrap_or_default());
            let timeout =
                Duration::from_millis(query_field(&uri, "timeout_ms").unwrap_or_default());
            return Ok(match self.platform.watch(key, seen, timeout).await {
                Ok(None) => empty_response(StatusCode::NO_CONTENT),
                found => object_response(found),
            });
        }
        Ok(match path {
            "/list" => {
                let prefix: String = query_field(&uri, "prefix").unwrap_or_default();
                let after: String = query_field(&uri, "after").unwrap_or_default();
                let limit = query_field(&uri, "limit").unwrap_or(usize::MAX);
                let listed = self.platform.list(&prefix, &after, limit).await;
                list_response(listed.map(|listed| listed.into_iter().map(listed_body).collect()))
            }
            "/vms" => list_response(self.platform.list_vms().await),
            _ => empty_response(StatusCode::NOT_FOUND),
        })
    }

    async fn respond_to_object(
        &self,
        method: Method,
        key: &str,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, HttpResponse> {
        let expected = if_match(request.headers());
        Ok(match method {
            Method::GET => object_response(self.platform.get(key).await),
            Method::PUT => {
                let value = read_bytes(request).await?;
                write_response(self.platform.put(key, expected, value).await)
            }
            Method::DELETE => {
                let expected = expected.unwrap_or_default();
                write_response(
                    self.platform.delete(key, expected).await.map(|()| StoreRevision::default()),
                )
            }
            _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
        })
    }
}

fn if_match(headers: &HeaderMap) -> Option<StoreRevision> {
    headers.get("if-match")?.to_str().ok()?.parse().ok().map(object_revision)
}

fn with_version(mut response: HttpResponse, version: Option<StoreRevision>) -> HttpResponse {
    if let Some(version) = version {
        response.headers_mut().insert(OBJECT_VERSION_HEADER, HeaderValue::from(version.number));
    }
    response
}

fn object_response(found: Result<Option<Object>, PlatformError>) -> HttpResponse {
    match found {
        Ok(Some(object)) => {
            let mut response = empty_response(StatusCode::OK);
            *response.body_mut() = full_body(object.value);
            with_version(response, Some(object.version))
        }
        Ok(None) => empty_response(StatusCode::NOT_FOUND),
        Err(error) => error_response(error),
    }
}

fn listed_body(listed: ListedObject) -> ListedObjectBody {
    ListedObjectBody { key: listed.key, version: listed.version.number }
}

fn list_response<T: Serialize>(listed: Result<Vec<T>, PlatformError>) -> HttpResponse {
    match listed {
        Ok(listed) => json_response(StatusCode::OK, &listed),
        Err(error) => error_response(error),
    }
}

fn error_response(error: PlatformError) -> HttpResponse {
    match error {
        PlatformError::Unavailable(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        PlatformError::RateLimited => empty_response(StatusCode::TOO_MANY_REQUESTS),
    }
}

fn write_response(written: Result<StoreRevision, WriteError>) -> HttpResponse {
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
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        self.respond(request).await.unwrap_or_else(|error_response| error_response)
    }
}
