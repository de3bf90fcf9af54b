//! In-memory fakes of the platform, runners, stores, the weight store and plain services.
//!
//! A fake implements the matching trait of `skylarkpick-interface` on tokio's clock, so it also
//! runs on paused time, and has faults that a test switches on. The platform, runners, stores and
//! plain services can be served over HTTP. The fakes record what they did, so that a test can
//! check the outcome without asking the system under test.

mod connector;
mod peers;
mod platform;
mod prefix_cache;
mod priority_semaphore;
mod runner;
mod serve;
mod service;
mod store;
mod weight_store;

pub use connector::MemoryConnector;
pub use peers::MemoryPeers;
pub use platform::{MemoryPlatform, PlatformCalls, PlatformFaults, PlatformRates};
pub use prefix_cache::PrefixCache;
pub use priority_semaphore::{PrioritySemaphore, SemaphorePermit};
pub use runner::{FakeRunner, RunRecord, RunnerFaults, RunnerSettings, expected_token};
pub use serve::{serve_platform, serve_runner, serve_service, serve_store};
pub use service::{FakeService, ServiceFaults, ServiceRecord};
pub use store::{FakeStore, StoreFaults, StoreSettings};
pub use weight_store::WeightStore;
