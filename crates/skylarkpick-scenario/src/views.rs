//! What one process sees of the outside: everything passes its life and the network's cuts.

mod connector;
mod platform;
mod runner;
mod service;
mod store;

pub(crate) use connector::ConnectorView;
pub(crate) use platform::PlatformView;

use crate::{network::Network, process::Life};
use std::sync::Arc;

/// The way from a process to one place outside.
#[derive(Clone)]
pub(crate) struct Way {
    pub(crate) life: Life,
    pub(crate) network: Arc<Network>,
    pub(crate) from: String,
    pub(crate) to: String,
}

/// Says that the way is cut.
pub(crate) struct Cut;

impl Way {
    /// Passes once the process runs, unless the way is cut.
    async fn go(&self) -> Result<(), Cut> {
        self.life.pass().await;
        if self.network.is_cut(&self.from, &self.to) { Err(Cut) } else { Ok(()) }
    }

    /// Carries out a call and brings its answer back. The outer error says that nothing was
    /// sent, the inner one that the answer was lost.
    async fn call<T>(&self, call: impl Future<Output = T>) -> Result<Result<T, Cut>, Cut> {
        self.go().await?;
        let answer = tokio::select! {
            answer = call => Ok(answer),
            () = self.network.wait_cut(&self.from, &self.to) => Err(Cut),
        };
        self.life.pass().await;
        Ok(answer)
    }
}
