//! A fake plain service, which numbers the calls that it runs, like a booking service.

use async_trait::async_trait;
use skylarkpick_interface::{AccountId, PlainService, ServiceCall, ServiceError, ServiceReply};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Faults of a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceFaults {
    /// The service is unreachable.
    pub dead: bool,
    /// Delay of each call before it runs.
    pub delay: Duration,
    /// Calls are rejected before they run.
    pub refuses: bool,
    /// Number of upcoming calls that run, but whose response is lost.
    pub lost_responses: u32,
}

/// A call that the service ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRecord {
    /// Id of the request.
    pub request_id: String,
    /// Client account of the request.
    pub account: AccountId,
    /// `METHOD /path`.
    pub call: String,
    /// Body of the call.
    pub body: Vec<u8>,
}

/// A fake plain service, which numbers and records the calls that it runs.
#[derive(Default)]
pub struct FakeService {
    faults: Mutex<ServiceFaults>,
    ledger: Mutex<Vec<ServiceRecord>>,
}

impl FakeService {
    /// Opens a service without calls.
    pub fn open() -> Arc<FakeService> {
        Arc::new(FakeService::default())
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut lock(&self.faults));
    }

    /// Returns all calls that ran, in order.
    pub fn ledger(&self) -> Vec<ServiceRecord> {
        lock(&self.ledger).clone()
    }

    fn run(&self, call: ServiceCall) -> ServiceReply {
        let mut ledger = lock(&self.ledger);
        ledger.push(ServiceRecord {
            request_id: call.request_id.clone(),
            account: call.account.clone(),
            call: format!("{} {}", call.method, call.path),
            body: call.body,
        });
        let body = serde_json::json!({
            "number": ledger.len(),
            "request_id": call.request_id,
            "account": call.account,
        });
        let body = body.to_string().into_bytes();
        ServiceReply { status: 200, content_type: "application/json".to_string(), body }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[async_trait]
impl PlainService for FakeService {
    async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError> {
        let faults = *lock(&self.faults);
        if faults.dead {
            return Err(ServiceError::NotReached("no connection".to_string()));
        }
        if faults.refuses {
            return Err(ServiceError::Refused("the service is closing".to_string()));
        }
        tokio::time::sleep(faults.delay).await;
        let reply = self.run(call);
        let mut faults = lock(&self.faults);
        if faults.dead || faults.lost_responses > 0 {
            faults.lost_responses = faults.lost_responses.saturating_sub(1);
            return Err(ServiceError::Unknown("the response was lost".to_string()));
        }
        Ok(reply)
    }
}
