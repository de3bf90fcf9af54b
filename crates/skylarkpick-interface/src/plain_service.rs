//! A plain service that the system routes calls to.

use crate::ids::{AccountId, RequestId};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// A call to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCall {
    /// Request that the call carries out.
    pub request_id: RequestId,
    /// Client account that the call is for.
    pub account: AccountId,
    /// HTTP method.
    pub method: String,
    /// Path at the service, with a leading slash.
    pub path: String,
    /// Body, passed on as it came.
    pub body: Vec<u8>,
}

/// What a plain service answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body, passed on as it came.
    pub body: Vec<u8>,
}

/// Why a call got no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ServiceError {
    /// No byte of the call left this process.
    #[error("not reached: {0}")]
    NotReached(String),
    /// The service answered that it did not start the call.
    #[error("refused: {0}")]
    Refused(String),
    /// The connection broke after the call was sent: it may have run.
    #[error("no answer: {0}")]
    Unknown(String),
}

/// One instance of a plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Makes one call, once.
    async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError>;
}
