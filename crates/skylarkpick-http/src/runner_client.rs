//! Client of a runner over HTTP.
//!
//! | call | path |
//! |---|---|
//! | start | `POST /v1/runs`; the response is NDJSON, one frame per line |
//! | resume | `GET /v1/runs/ID?account=A&offset=N` |
//! | cancel | `DELETE /v1/runs/ID` |
//! | load, status | `GET /v1/load`, `GET /v1/status` |
//! | cache events | `GET /v1/cache-events?after=N&snapshot=BOOL` |
//! | import, export, order | `POST /v1/imports`, `POST /v1/exports`, `POST /v1/orders` |
//!
//! A rejection is status 409 with the error as JSON.

use crate::{
    body::read_body,
    client::{CallError, HttpClient, json_request, ndjson, status_error},
};
use async_trait::async_trait;
use futures::StreamExt;
use http::Request;
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use skylarkpick_interface::{
    CacheEventBatch, ExportOrder, ExportReceipt, FrameStream, ImportOrder, ImportReceipt,
    LoadReport, Order, OrderError, RunFrame, RunRequest, Runner, RunnerStatus, StartError,
    TransferError,
};
use std::time::Duration;

/// Timeout of status queries and cancellations.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a runner to accept or reject a run.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Size limit of the response to a run that did not start. It carries an error as JSON.
const ERROR_SIZE_LIMIT_BYTES: usize = 65_536;
/// Timeout of transfers and orders.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// Client of a runner over HTTP.
pub struct HttpRunner {
    client: HttpClient,
    address: String,
}

impl HttpRunner {
    /// Opens a client of the runner at `address`.
    pub fn open(client: HttpClient, address: &str) -> HttpRunner {
        HttpRunner { client, address: address.to_string() }
    }

    fn uri(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }

    async fn query<R: DeserializeOwned>(&self, path: &str) -> Result<R, StartError> {
        self.client
            .request_json("GET", &self.uri(path), &(), QUERY_TIMEOUT)
            .await
            .map_err(start_error)
    }

    async fn open_run(
        &self,
        request: Request<Full<bytes::Bytes>>,
    ) -> Result<FrameStream, StartError> {
        let sent = tokio::time::timeout(START_TIMEOUT, self.client.send(request));
        let response = sent
            .await
            .unwrap_or_else(|_| {
                Err(CallError::NoResponse(format!("timed out after {START_TIMEOUT:?}")))
            })
            .map_err(start_error)?;
        let status = response.status();
        if !status.is_success() {
            let body = response.into_body();
            let error = match read_body(body, ERROR_SIZE_LIMIT_BYTES, QUERY_TIMEOUT).await {
                Ok(content) => status_error(status, &content),
                Err(error) => status_error(status, error.to_string().as_bytes()),
            };
            return Err(start_error(error));
        }
        let frames = ndjson::<RunFrame>(response.into_body());
        Ok(frames.map(|frame| frame.map_err(|error| StartError::Broken(error.to_string()))).boxed())
    }
}

fn start_error(error: CallError) -> StartError {
    match error {
        CallError::NotConnected(reason) => StartError::NotReached(reason),
        CallError::Status { status: 409, message } => {
            serde_json::from_str(&message).unwrap_or(StartError::Refused(message))
        }
        other => StartError::Broken(other.to_string()),
    }
}

fn transfer_error(error: CallError) -> TransferError {
    match error {
        CallError::Status { status: 409, message } => {
            serde_json::from_str(&message).unwrap_or(TransferError::Failed(message))
        }
        other => TransferError::Failed(other.to_string()),
    }
}

fn order_error(error: CallError) -> OrderError {
    match error {
        CallError::NotConnected(reason) => OrderError::Refused(reason),
        CallError::Status { status: 409, message } => {
            serde_json::from_str(&message).unwrap_or(OrderError::Unknown(message))
        }
        other => OrderError::Unknown(other.to_string()),
    }
}

impl HttpRunner {
    async fn post<R: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<R, CallError> {
        self.client.request_json("POST", &self.uri(path), value, ORDER_TIMEOUT).await
    }
}

#[async_trait]
impl Runner for HttpRunner {
    async fn start(&self, request: RunRequest) -> Result<FrameStream, StartError> {
        let request = json_request("POST", &self.uri("runs"), &request).map_err(start_error)?;
        self.open_run(request).await
    }

    async fn resume(
        &self,
        run_id: &str,
        account: &str,
        offset: u64,
    ) -> Result<FrameStream, StartError> {
        let path = format!("runs/{run_id}?account={account}&offset={offset}");
        let request = json_request("GET", &self.uri(&path), &()).map_err(start_error)?;
        self.open_run(request).await
    }

    async fn cancel(&self, run_id: &str) -> Result<(), StartError> {
        let uri = self.uri(&format!("runs/{run_id}"));
        self.client.request_json("DELETE", &uri, &(), QUERY_TIMEOUT).await.map_err(start_error)
    }

    async fn load(&self) -> Result<LoadReport, StartError> {
        self.query("load").await
    }

    async fn cache_events(
        &self,
        after: u64,
        snapshot: bool,
    ) -> Result<CacheEventBatch, StartError> {
        self.query(&format!("cache-events?after={after}&snapshot={snapshot}")).await
    }

    async fn import(&self, order: ImportOrder) -> Result<ImportReceipt, TransferError> {
        self.post("imports", &order).await.map_err(transfer_error)
    }

    async fn export(&self, order: ExportOrder) -> Result<ExportReceipt, TransferError> {
        self.post("exports", &order).await.map_err(transfer_error)
    }

    async fn order(&self, order: Order) -> Result<(), OrderError> {
        self.post("orders", &order).await.map_err(order_error)
    }

    async fn status(&self) -> Result<RunnerStatus, StartError> {
        self.query("status").await
    }
}
