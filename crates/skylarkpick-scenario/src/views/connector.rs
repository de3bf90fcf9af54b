//! The view of the targets from a process.

use super::{Link, runner::RunnerView, service::ServiceView, store::StoreView};
use crate::{network::Network, process::ProcessControl};
use skylarkpick_interface::{PlainService, Runner, Store, TargetConnector};
use skylarkpick_standin::MemoryConnector;
use std::sync::Arc;

/// The view of the targets from a process.
pub(crate) struct ConnectorView {
    pub(crate) control: ProcessControl,
    pub(crate) network: Arc<Network>,
    pub(crate) data_centre: String,
    pub(crate) targets: Arc<MemoryConnector>,
}

impl ConnectorView {
    fn link(&self, address: &str) -> Link {
        Link {
            control: self.control.clone(),
            network: self.network.clone(),
            from: self.data_centre.clone(),
            to: self.network.data_centre_of(address),
        }
    }
}

impl TargetConnector for ConnectorView {
    fn runner(&self, address: &str) -> Arc<dyn Runner> {
        Arc::new(RunnerView { link: self.link(address), runner: self.targets.runner(address) })
    }

    fn store(&self, address: &str) -> Arc<dyn Store> {
        Arc::new(StoreView { link: self.link(address), store: self.targets.store(address) })
    }

    fn service(&self, address: &str) -> Arc<dyn PlainService> {
        Arc::new(ServiceView { link: self.link(address), service: self.targets.service(address) })
    }
}
