//! HTTP servers for the fakes, with the protocols that `skylarkpick-http` defines.

mod message;
mod platform;
mod runner;
mod service;
mod store;

pub use platform::serve_platform;
pub use runner::serve_runner;
pub use service::serve_service;
pub use store::serve_store;
