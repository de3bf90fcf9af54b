//! Client handles to targets.

use crate::{PlainService, Runner, Store};
use std::sync::Arc;

/// Creates client handles to targets. A handle connects on first use, so creating one never fails.
pub trait TargetConnector: Send + Sync {
    /// Returns a handle to the runner at `address`.
    fn runner(&self, address: &str) -> Arc<dyn Runner>;

    /// Returns a handle to the store VM at `address`.
    fn store(&self, address: &str) -> Arc<dyn Store>;

    /// Returns a handle to the plain service instance at `address`.
    fn service(&self, address: &str) -> Arc<dyn PlainService>;
}
