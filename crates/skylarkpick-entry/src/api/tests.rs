//! Tests of the HTTP API over loopback sockets, and of its OpenAPI document.

mod fuzz;
mod harness;
mod openapi;
mod requests;
mod telemetry;
