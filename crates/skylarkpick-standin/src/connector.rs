//! Connects to stand-ins in memory, by the addresses that they were put under.

use async_trait::async_trait;
use skylarkpick_interface::{
    CacheEventBatch, ExportOrder, ExportReceipt, FrameStream, Generation, ImportOrder,
    ImportReceipt, LoadReport, Manifest, Order, OrderError, PinId, PlainService, PrefixKey,
    RunRequest, Runner, RunnerStatus, SavedPrefix, ServiceCall, ServiceError, ServiceReply,
    StartError, Store, StoreError, StoreStatus, TargetConnector, TransferError,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Connects to stand-ins in memory, by the addresses that they were put under.
#[derive(Default)]
pub struct MemoryConnector {
    targets: Mutex<Targets>,
}

#[derive(Default)]
struct Targets {
    runners: HashMap<String, Arc<dyn Runner>>,
    stores: HashMap<String, Arc<dyn Store>>,
    services: HashMap<String, Arc<dyn PlainService>>,
}

impl MemoryConnector {
    /// Opens a connector that knows no target.
    pub fn open() -> Arc<MemoryConnector> {
        Arc::new(MemoryConnector::default())
    }

    /// Puts a runner under an address.
    pub fn put_runner(&self, address: &str, runner: Arc<dyn Runner>) {
        self.lock().runners.insert(address.to_string(), runner);
    }

    /// Puts a store under an address.
    pub fn put_store(&self, address: &str, store: Arc<dyn Store>) {
        self.lock().stores.insert(address.to_string(), store);
    }

    /// Puts an instance of a plain service under an address.
    pub fn put_service(&self, address: &str, service: Arc<dyn PlainService>) {
        self.lock().services.insert(address.to_string(), service);
    }

    fn lock(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TargetConnector for MemoryConnector {
    fn runner(&self, address: &str) -> Arc<dyn Runner> {
        self.lock().runners.get(address).cloned().unwrap_or_else(|| Arc::new(Nobody))
    }

    fn store(&self, address: &str) -> Arc<dyn Store> {
        self.lock().stores.get(address).cloned().unwrap_or_else(|| Arc::new(Nobody))
    }

    fn service(&self, address: &str) -> Arc<dyn PlainService> {
        self.lock().services.get(address).cloned().unwrap_or_else(|| Arc::new(Nobody))
    }
}

/// Answers under an address that nobody was put under.
struct Nobody;

const NOBODY: &str = "nobody listens there";

fn not_reached<T>() -> Result<T, StartError> {
    Err(StartError::NotReached(NOBODY.to_string()))
}

fn no_transfer<T>() -> Result<T, TransferError> {
    Err(TransferError::Failed(NOBODY.to_string()))
}

fn no_store<T>() -> Result<T, StoreError> {
    Err(StoreError::Failed(NOBODY.to_string()))
}

#[async_trait]
impl Runner for Nobody {
    async fn start(&self, _: RunRequest) -> Result<FrameStream, StartError> {
        not_reached()
    }

    async fn resume(&self, _: &str, _: &str, _: u64) -> Result<FrameStream, StartError> {
        not_reached()
    }

    async fn cancel(&self, _: &str) -> Result<(), StartError> {
        not_reached()
    }

    async fn load(&self) -> Result<LoadReport, StartError> {
        not_reached()
    }

    async fn cache_events(&self, _: u64, _: bool) -> Result<CacheEventBatch, StartError> {
        not_reached()
    }

    async fn import(&self, _: ImportOrder) -> Result<ImportReceipt, TransferError> {
        no_transfer()
    }

    async fn export(&self, _: ExportOrder) -> Result<ExportReceipt, TransferError> {
        no_transfer()
    }

    async fn order(&self, _: Order) -> Result<(), OrderError> {
        Err(OrderError::Refused(NOBODY.to_string()))
    }

    async fn status(&self) -> Result<RunnerStatus, StartError> {
        not_reached()
    }
}

#[async_trait]
impl Store for Nobody {
    async fn reserve(&self, _: SavedPrefix) -> Result<Generation, StoreError> {
        no_store()
    }

    async fn write(
        &self,
        _: PrefixKey,
        _: Generation,
        _: Vec<u8>,
        _: u64,
    ) -> Result<String, StoreError> {
        no_store()
    }

    async fn seal(&self, _: PrefixKey, _: Generation, _: &str) -> Result<(), StoreError> {
        no_store()
    }

    async fn pin(&self, _: PrefixKey, _: Generation) -> Result<(PinId, Manifest), StoreError> {
        no_store()
    }

    async fn read(&self, _: PrefixKey, _: Generation) -> Result<Vec<u8>, StoreError> {
        no_store()
    }

    async fn unpin(&self, _: PinId) -> Result<(), StoreError> {
        no_store()
    }

    async fn retire(&self, _: PrefixKey, _: Generation) -> Result<(), StoreError> {
        no_store()
    }

    async fn manifests(&self, _: Option<PrefixKey>, _: usize) -> Result<Vec<Manifest>, StoreError> {
        no_store()
    }

    async fn status(&self) -> Result<StoreStatus, StoreError> {
        no_store()
    }
}

#[async_trait]
impl PlainService for Nobody {
    async fn call(&self, _: ServiceCall) -> Result<ServiceReply, ServiceError> {
        Err(ServiceError::NotReached(NOBODY.to_string()))
    }
}
