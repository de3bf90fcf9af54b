//! HTTP server of an instance of a fake plain service.

use super::message::{HttpResponse, read_bytes};
use async_trait::async_trait;
use http::{HeaderValue, Request, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use skylarkpick_http::{
    ACCOUNT_HEADER, Handler, NOT_STARTED_HEADER, REQUEST_ID_HEADER, Server, ServerLimits,
    empty_response, full_body,
};
use skylarkpick_interface::{PlainService, ServiceCall, ServiceError, ServiceReply};
use std::sync::Arc;

/// Serves an instance of a plain service over HTTP on `address`.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve_service(
    address: &str,
    service: Arc<dyn PlainService>,
) -> std::io::Result<Server> {
    Server::bind(address, Arc::new(ServiceHandler { service }), ServerLimits::default()).await
}

struct ServiceHandler {
    service: Arc<dyn PlainService>,
}

impl ServiceHandler {
    async fn respond(&self, request: Request<Incoming>) -> Result<HttpResponse, HttpResponse> {
        let call = read_call(request).await?;
        Ok(match self.service.call(call).await {
            Ok(reply) => reply_response(reply),
            Err(ServiceError::NotReached(_) | ServiceError::Refused(_)) => not_started_response(),
            Err(ServiceError::Unknown(_)) => empty_response(StatusCode::GATEWAY_TIMEOUT),
        })
    }
}

async fn read_call(request: Request<Incoming>) -> Result<ServiceCall, HttpResponse> {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let request_id = header(REQUEST_ID_HEADER);
    let account = header(ACCOUNT_HEADER);
    let method = request.method().to_string();
    let path = request.uri().path().to_string();
    let body = read_bytes(request).await?;
    Ok(ServiceCall { request_id, account, method, path, body })
}

fn reply_response(reply: ServiceReply) -> HttpResponse {
    let mut response = empty_response(StatusCode::from_u16(reply.status).unwrap_or_default());
    if let Ok(content_type) = HeaderValue::from_str(&reply.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    *response.body_mut() = full_body(reply.body);
    response
}

fn not_started_response() -> HttpResponse {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(NOT_STARTED_HEADER, HeaderValue::from_static("1"));
    response
}

#[async_trait]
impl Handler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        self.respond(request).await.unwrap_or_else(|error_response| error_response)
    }
}
