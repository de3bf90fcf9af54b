//! Tests of the interface over loopback sockets, and of its description.

mod fuzz;
mod harness;
mod openapi;
mod requests;
mod telemetry;
