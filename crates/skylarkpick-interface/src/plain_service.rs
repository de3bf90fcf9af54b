//! Calls to plain services, whose request and response bodies pass through unchanged.

use crate::ids::{AccountId, RequestId};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// A call to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCall {
    /// Request that the call belongs to.
    pub request_id: RequestId,
    /// Client account on whose behalf the call is made.
    pub account: AccountId,
    /// HTTP method.
    pub method: String,
    /// Path at the service, with a leading slash.
    pub path: String,
    /// Request body, forwarded unchanged.
    pub body: Vec<u8>,
}

/// Response of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Response body, forwarded unchanged.
    pub body: Vec<u8>,
}

/// Why a call has no response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ServiceError {
    /// No byte of the call left this process.
    #[error("not sent: {0}")]
    NotReached(String),
    /// The service reported that it did not start the call.
    #[error("refused: {0}")]
    Refused(String),
    /// The connection failed after the call was sent: it may have run.
    #[error("no response: {0}")]
    Unknown(String),
}

/// One instance of a plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Sends a call without retrying it.
    async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError>;
}
