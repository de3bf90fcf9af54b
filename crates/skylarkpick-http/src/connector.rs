//! Creates HTTP clients of targets.

use crate::{
    client::HttpClient, runner_client::HttpRunner, service_client::HttpService,
    store_client::HttpStore,
};
use skylarkpick_interface::{PlainService, Runner, Store, TargetConnector};
use std::sync::Arc;

/// Creates HTTP clients of targets that share one connection pool.
#[derive(Clone, Default)]
pub struct HttpConnector {
    client: HttpClient,
}

impl HttpConnector {
    /// Opens a connector with an empty connection pool.
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
