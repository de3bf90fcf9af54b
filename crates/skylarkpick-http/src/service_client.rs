//! Client of a plain service over HTTP.

use crate::{
    body_end::BodyEnd,
    client::{CallError, HttpClient},
};
use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, header::CONTENT_TYPE};
use http_body_util::Full;
use skylarkpick_interface::{PlainService, ServiceCall, ServiceError, ServiceReply};
use std::time::Duration;

/// Header with the request id, sent to targets and returned to callers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header with the client account, sent to plain services.
pub const ACCOUNT_HEADER: &str = "x-client-account";
/// Response header by which a service reports, with status 503, that it did not start the call.
pub const NOT_STARTED_HEADER: &str = "x-not-started";
/// Upper bound of the time of a call; the request's own deadline is shorter.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(600);

/// Client of an instance of a plain service over HTTP.
pub struct HttpService {
    client: HttpClient,
    address: String,
}

impl HttpService {
    /// Opens a client of the instance at `address`.
    pub fn open(client: HttpClient, address: &str) -> HttpService {
        HttpService { client, address: address.to_string() }
    }

    fn build_request(&self, call: ServiceCall) -> Result<Request<Full<Bytes>>, http::Error> {
        Request::builder()
            .method(call.method.as_str())
            .uri(format!("http://{}{}", self.address, call.path))
            .header(REQUEST_ID_HEADER, call.request_id)
            .header(ACCOUNT_HEADER, call.account)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(call.body)))
    }
}

#[async_trait]
impl PlainService for HttpService {
    async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError> {
        let request = self
            .build_request(call)
            .map_err(|error| ServiceError::NotReached(error.to_string()))?;
        let response = self.client.send_buffered(request, SERVICE_TIMEOUT).await?;
        if response.headers().contains_key(NOT_STARTED_HEADER) {
            return Err(ServiceError::Refused("the service did not start the call".to_string()));
        }
        if BodyEnd::of_buffered(&response) == BodyEnd::Unproven {
            let why = "the response has neither a length nor chunks, so it may be cut off";
            return Err(ServiceError::Unknown(why.to_string()));
        }
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        Ok(ServiceReply {
            status: response.status().as_u16(),
            content_type: content_type.unwrap_or("application/octet-stream").to_string(),
            body: response.into_body().to_vec(),
        })
    }
}

impl From<CallError> for ServiceError {
    fn from(error: CallError) -> ServiceError {
        match error {
            CallError::NotConnected(reason) => ServiceError::NotReached(reason),
            other => ServiceError::Unknown(other.to_string()),
        }
    }
}
