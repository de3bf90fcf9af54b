//! Targets as one process sees them.

use super::{Way, runner::RunnerView, service::ServiceView, store::StoreView};
use crate::{network::Network, process::Life};
use skylarkpick_interface::{PlainService, Runner, Store, TargetConnector};
use skylarkpick_standin::MemoryConnector;
use std::sync::Arc;

/// Targets as one process sees them.
pub(crate) struct ConnectorView {
    pub(crate) life: Life,
    pub(crate) network: Arc<Network>,
    pub(crate) data_centre: String,
    pub(crate) targets: Arc<MemoryConnector>,
}

impl ConnectorView {
    fn way(&self, address: &str) -> Way {
        Way {
            life: self.life.clone(),
            network: self.network.clone(),
            from: self.data_centre.clone(),
            to: self.network.centre_of(address),
        }
    }
}

impl TargetConnector for ConnectorView {
    fn runner(&self, address: &str) -> Arc<dyn Runner> {
        Arc::new(RunnerView { way: self.way(address), runner: self.targets.runner(address) })
    }

    fn store(&self, address: &str) -> Arc<dyn Store> {
        Arc::new(StoreView { way: self.way(address), store: self.targets.store(address) })
    }

    fn service(&self, address: &str) -> Arc<dyn PlainService> {
        Arc::new(ServiceView { way: self.way(address), service: self.targets.service(address) })
    }
}
