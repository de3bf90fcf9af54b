//! Connects to targets over HTTP.

use crate::{
    client::HttpClient, runner_client::HttpRunner, service_client::HttpService,
    store_client::HttpStore,
};
use skylarkpick_interface::{PlainService, Runner, Store, TargetConnector};
use std::sync::Arc;

/// Connects to targets over HTTP through one pool.
#[derive(Clone, Default)]
pub struct HttpConnector {
    client: HttpClient,
}

impl HttpConnector {
    /// Opens a connector with an empty pool.
    pub fn open() -> HttpConnector {
        HttpConnector::default()
    }
}

impl TargetConnector for HttpConnector {
    fn runner(&self, address: &str) -> Arc<dyn Runner> {
        Arc::new(HttpRunner::open(self.client.clone(), address))
    }

    fn store(&self, address: &str) -> Arc<dyn Store> {
        Arc::new(HttpStore::open(self.client.clone(), address))
    }

    fn service(&self, address: &str) -> Arc<dyn PlainService> {
        Arc::new(HttpService::open(self.client.clone(), address))
    }
}
