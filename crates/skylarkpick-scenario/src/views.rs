//! Views of the platform and the targets from a process: each call waits while the process is
//! paused, and fails if the network is partitioned.

mod connector;
mod platform;
mod runner;
mod service;
mod store;

pub(crate) use connector::ConnectorView;
pub(crate) use platform::PlatformView;

use crate::{network::Network, process::ProcessControl};
use std::sync::Arc;

/// The link from a process to the platform or to a data centre.
#[derive(Clone)]
pub(crate) struct Link {
    pub(crate) control: ProcessControl,
    pub(crate) network: Arc<Network>,
    pub(crate) from: String,
    pub(crate) to: String,
}

/// The error that the two ends of a link are partitioned.
pub(crate) struct Partitioned;

impl Link {
    /// Waits until the process runs, and fails if the link is partitioned then.
    async fn check(&self) -> Result<(), Partitioned> {
        self.control.wait_until_running().await;
        if self.network.is_partitioned(&self.from, &self.to) { Err(Partitioned) } else { Ok(()) }
    }

    /// Makes a call. The outer error means that nothing was sent, the inner one that the response was
    /// lost.
    async fn call<T>(
        &self,
        call: impl Future<Output = T>,
    ) -> Result<Result<T, Partitioned>, Partitioned> {
        self.check().await?;
        let response = tokio::select! {
            response = call => Ok(response),
            () = self.network.wait_until_partitioned(&self.from, &self.to) => Err(Partitioned),
        };
        self.control.wait_until_running().await;
        Ok(response)
    }
}
