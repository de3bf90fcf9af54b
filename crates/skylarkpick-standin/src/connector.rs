//! An in-memory connector, which connects to fakes that are registered under an address.

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

/// An in-memory connector, which connects to fakes that are registered under an address.
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
    /// Opens a connector without targets.
    pub fn open() -> Arc<MemoryConnector> {
        Arc::new(MemoryConnector::default())
    }

    /// Registers a runner under an address.
    pub fn put_runner(&self, address: &str, runner: Arc<dyn Runner>) {
        self.lock().runners.insert(address.to_string(), runner);
    }

    /// Registers a store under an address.
    pub fn put_store(&self, address: &str, store: Arc<dyn Store>) {
        self.lock().stores.insert(address.to_string(), store);
    }

    /// Registers an instance of a plain service under an address.
    pub fn put_service(&self, address: &str, service: Arc<dyn PlainService>) {
        self.lock().services.insert(address.to_string(), service);
    }

    fn lock(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TargetConnector for MemoryConnector {
    fn runner(&self, address: &str) -> Arc<dyn Runner> {
        self.lock().runners.get(address).cloned().unwrap_or_else(|| Arc::new(Unregistered))
    }

    fn store(&self, address: &str) -> Arc<dyn Store> {
        self.lock().stores.get(address).cloned().unwrap_or_else(|| Arc::new(Unregistered))
    }

    fn service(&self, address: &str) -> Arc<dyn PlainService> {
        self.lock().services.get(address).cloned().unwrap_or_else(|| Arc::new(Unregistered))
    }
}

/// The target at an address without a registered fake. All calls fail as not sent.
struct Unregistered;

const UNREGISTERED: &str = "no target is registered at the address";

fn not_reached<T>() -> Result<T, StartError> {
    Err(StartError::NotReached(UNREGISTERED.to_string()))
}

fn transfer_failed<T>() -> Result<T, TransferError> {
    Err(TransferError::Failed(UNREGISTERED.to_string()))
}

fn store_failed<T>() -> Result<T, StoreError> {
    Err(StoreError::Failed(UNREGISTERED.to_string()))
}

#[async_trait]
impl Runner for Unregistered {
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
        transfer_failed()
    }

    async fn export(&self, _: ExportOrder) -> Result<ExportReceipt, TransferError> {
        transfer_failed()
    }

    async fn order(&self, _: Order) -> Result<(), OrderError> {
        Err(OrderError::Refused(UNREGISTERED.to_string()))
    }

    async fn status(&self) -> Result<RunnerStatus, StartError> {
        not_reached()
    }
}

#[async_trait]
impl Store for Unregistered {
    async fn reserve(&self, _: SavedPrefix) -> Result<Generation, StoreError> {
        store_failed()
    }

    async fn write(
        &self,
        _: PrefixKey,
        _: Generation,
        _: Vec<u8>,
        _: u64,
    ) -> Result<String, StoreError> {
        store_failed()
    }

    async fn seal(&self, _: PrefixKey, _: Generation, _: &str) -> Result<(), StoreError> {
        store_failed()
    }

    async fn pin(&self, _: PrefixKey, _: Generation) -> Result<(PinId, Manifest), StoreError> {
        store_failed()
    }

    async fn read(&self, _: PrefixKey, _: Generation) -> Result<Vec<u8>, StoreError> {
        store_failed()
    }

    async fn unpin(&self, _: PinId) -> Result<(), StoreError> {
        store_failed()
    }

    async fn retire(&self, _: PrefixKey, _: Generation) -> Result<(), StoreError> {
        store_failed()
    }

    async fn manifests(&self, _: Option<PrefixKey>, _: usize) -> Result<Vec<Manifest>, StoreError> {
        store_failed()
    }

    async fn status(&self) -> Result<StoreStatus, StoreError> {
        store_failed()
    }
}

#[async_trait]
impl PlainService for Unregistered {
    async fn call(&self, _: ServiceCall) -> Result<ServiceReply, ServiceError> {
        Err(ServiceError::NotReached(UNREGISTERED.to_string()))
    }
}
