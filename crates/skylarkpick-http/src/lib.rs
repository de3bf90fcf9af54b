//! HTTP servers and clients on hyper, and clients of the platform, runners, stores and services.

mod body;
mod body_end;
mod buffer_budget;
mod client;
mod connector;
mod platform_client;
mod response_meter;
mod runner_client;
mod server;
mod service_client;
mod store_client;
mod unacknowledged_limit;

/// Request and response bodies of the store protocol.
pub mod store_messages;

pub use body::{
    BodyStart, ReadBodyError, ResponseBody, empty_response, full_body, json_response, ndjson_body,
    read_body, read_body_start, stream_body,
};
pub use body_end::BodyEnd;
pub use buffer_budget::{BufferBudget, BufferShare};
pub use client::{CallError, HttpClient, LineSplitter, ResponseLimits, describe, ndjson};
pub use connector::HttpConnector;
pub use platform_client::{HttpPlatform, ListedObjectBody, OBJECT_VERSION_HEADER, object_revision};
pub use response_meter::{MeteredBody, MeteredStream, READ_BUFFER_LIMIT_BYTES, ResponseMeter};
pub use runner_client::HttpRunner;
pub use server::{Handler, Server, ServerLimits};
pub use service_client::{ACCOUNT_HEADER, HttpService, NOT_STARTED_HEADER, REQUEST_ID_HEADER};
pub use store_client::HttpStore;
