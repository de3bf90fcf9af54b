//! Small stand-ins for the platform, runners, stores, the weight store and plain services.
//!
//! Each stand-in implements its trait of `skylarkpick-interface` in memory, on tokio's time, and
//! can be served over HTTP. Each keeps a ledger of what it did, for an independent check.

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
