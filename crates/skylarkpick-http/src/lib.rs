//! HTTP on both sides, by hyper: servers, clients, and adapters for the outside systems.

mod body;
mod client;
mod connector;
mod platform_client;
mod runner_client;
mod server;
mod service_client;
mod store_client;

/// Bodies of the protocol between entry processes and store VMs.
pub mod store_messages;

pub use body::{
    ReadBodyError, ResponseBody, empty_response, full_body, json_response, ndjson_body, read_body,
    stream_body,
};
pub use client::{CallError, HttpClient, LineSplitter, ndjson};
pub use connector::HttpConnector;
pub use platform_client::{HttpPlatform, OBJECT_VERSION_HEADER};
pub use runner_client::HttpRunner;
pub use server::{Handler, Server, ServerLimits};
pub use service_client::{ACCOUNT_HEADER, HttpService, NOT_STARTED_HEADER, REQUEST_ID_HEADER};
pub use store_client::HttpStore;
