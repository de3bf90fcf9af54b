//! Makes handles to targets from their addresses.

use crate::{PlainService, Runner, Store};
use std::sync::Arc;

/// Makes handles to targets. A handle connects on use, so making one never fails.
pub trait TargetConnector: Send + Sync {
    /// Handle to the runner at `address`.
    fn runner(&self, address: &str) -> Arc<dyn Runner>;

    /// Handle to the store VM at `address`.
    fn store(&self, address: &str) -> Arc<dyn Store>;

    /// Handle to the plain service's instance at `address`.
    fn service(&self, address: &str) -> Arc<dyn PlainService>;
}
