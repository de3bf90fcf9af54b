//! An in-memory platform, with its object API, its VM list and faults.

use async_trait::async_trait;
use skylarkpick_interface::{
    ListedObject, ListedVm, Object, ObjectStore, PlatformError, StoreRevision, VmState, WriteError,
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// Size limit of the value of an object.
const VALUE_SIZE_LIMIT_BYTES: usize = 1_048_576;

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformFaults {
    /// All calls fail; writes have no effect.
    pub unavailable: bool,
    /// Delay of each call before it takes effect.
    pub delay: Duration,
    /// Number of upcoming writes that take effect, but whose response is lost.
    pub lost_write_responses: u32,
    /// Number of upcoming writes that have no effect and get no response.
    pub lost_writes: u32,
}

/// Rate limits of the platform; `None` is unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformRates {
    /// Writes a second.
    pub writes_per_second: Option<u32>,
    /// Reads, listings and new watches a second.
    pub reads_per_second: Option<u32>,
}

/// Call counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformCalls {
    /// Reads, listings and watches.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Watches; each is counted when it begins.
    pub watches: u64,
    /// Watches that are waiting for a change now.
    pub open_watches: u64,
    /// Calls that were rejected by the rate limits.
    pub rate_limited: u64,
    /// Bytes of written values.
    pub written_bytes: u64,
    /// Bytes of returned values.
    pub read_bytes: u64,
}

/// An in-memory platform, with its object API and its VM list.
pub struct MemoryPlatform {
    state: Mutex<State>,
    changed: Notify,
    list_lag: Duration,
    rates: PlatformRates,
}

struct State {
    objects: BTreeMap<String, Object>,
    version: StoreRevision,
    vms: Vec<(Instant, ListedVm)>,
    faults: PlatformFaults,
    calls: PlatformCalls,
    recent_writes: VecDeque<Instant>,
    recent_reads: VecDeque<Instant>,
}

impl MemoryPlatform {
    /// Opens an empty platform. Its VM list shows a change after `list_lag`.
    pub fn open(list_lag: Duration, rates: PlatformRates) -> Arc<MemoryPlatform> {
        let state = State {
            objects: BTreeMap::new(),
            version: StoreRevision::default(),
            vms: Vec::new(),
            faults: PlatformFaults::default(),
            calls: PlatformCalls::default(),
            recent_writes: VecDeque::new(),
            recent_reads: VecDeque::new(),
        };
        let (state, changed) = (Mutex::new(state), Notify::new());
        Arc::new(MemoryPlatform { state, changed, list_lag, rates })
    }

    /// Adds a VM to the list or changes its state; the list shows it after its lag.
    pub fn set_vm(&self, name: &str, state: VmState) {
        let vm = ListedVm { name: name.to_string(), state };
        self.lock().vms.push((Instant::now(), vm));
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.lock().faults);
        self.changed.notify_waiters();
    }

    /// Returns the call counts since the start.
    pub fn calls(&self) -> PlatformCalls {
        self.lock().calls
    }

    /// Returns all objects, whatever the faults, for checks that are independent of the system
    /// under test.
    pub fn objects(&self) -> BTreeMap<String, Object> {
        self.lock().objects.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn delay(&self) {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    async fn begin_read(&self) -> Result<(), PlatformError> {
        self.delay().await;
        let mut state = self.lock();
        state.calls.reads += 1;
        if state.faults.unavailable {
            return Err(PlatformError::Unavailable("outage".to_string()));
        }
        let rate = self.rates.reads_per_second;
        if exceeds_rate(&mut state.recent_reads, rate) {
            state.calls.rate_limited += 1;
            return Err(PlatformError::RateLimited);
        }
        Ok(())
    }

    /// Carries out a write or, without a value, a deletion, subject to the faults.
    async fn write(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Option<Vec<u8>>,
    ) -> Result<StoreRevision, WriteError> {
        self.delay().await;
        let mut state = self.lock();
        state.calls.writes += 1;
        let size_bytes = value.as_ref().map_or(0, Vec::len);
        if state.faults.unavailable {
            return Err(WriteError::NotWritten("outage".to_string()));
        }
        if size_bytes > VALUE_SIZE_LIMIT_BYTES {
            return Err(WriteError::NotWritten("the value is larger than 1 MiB".to_string()));
        }
        if exceeds_rate(&mut state.recent_writes, self.rates.writes_per_second) {
            state.calls.rate_limited += 1;
            return Err(WriteError::NotWritten("rate limited".to_string()));
        }
        if state.faults.lost_writes > 0 {
            state.faults.lost_writes -= 1;
            return Err(WriteError::Unknown("the write was lost".to_string()));
        }
        let current = state.objects.get(key).map(|object| object.version);
        if current != expected {
            return Err(WriteError::Conflict { current });
        }
        state.version.number += 1;
        let version = state.version;
        state.calls.written_bytes += size_bytes as u64;
        match value {
            Some(value) => state.objects.insert(key.to_string(), Object { version, value }),
            None => state.objects.remove(key),
        };
        self.changed.notify_waiters();
        if state.faults.lost_write_responses > 0 {
            state.faults.lost_write_responses -= 1;
            return Err(WriteError::Unknown("the response was lost".to_string()));
        }
        Ok(version)
    }

    /// Waits until an object has a version above `seen`.
    async fn wait_above(&self, key: &str, seen: StoreRevision) -> Result<Object, PlatformError> {
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                if state.faults.unavailable {
                    return Err(PlatformError::Unavailable("outage".to_string()));
                }
                let found = state.objects.get(key).filter(|object| object.version > seen).cloned();
                if let Some(object) = found {
                    state.calls.read_bytes += object.value.len() as u64;
                    return Ok(object);
                }
            }
            changed.await;
        }
    }
}

/// Counts a call, and returns whether it exceeds the limit of calls within the last second.
fn exceeds_rate(recent: &mut VecDeque<Instant>, limit: Option<u32>) -> bool {
    let Some(limit) = limit else { return false };
    let now = Instant::now();
    while recent.front().is_some_and(|at| now.duration_since(*at) >= Duration::from_secs(1)) {
        recent.pop_front();
    }
    if recent.len() >= limit as usize {
        return true;
    }
    recent.push_back(now);
    false
}

#[async_trait]
impl ObjectStore for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.begin_read().await?;
        let mut state = self.lock();
        let object = state.objects.get(key).cloned();
        state.calls.read_bytes += object.as_ref().map_or(0, |object| object.value.len() as u64);
        Ok(object)
    }

    async fn put(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
    ) -> Result<StoreRevision, WriteError> {
        self.write(key, expected, Some(value)).await
    }

    async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), WriteError> {
        self.write(key, Some(expected), None).await.map(|_| ())
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        count_limit: usize,
    ) -> Result<Vec<ListedObject>, PlatformError> {
        self.begin_read().await?;
        let state = self.lock();
        let listed = state
            .objects
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(count_limit)
            .map(|(key, object)| ListedObject { key: key.clone(), version: object.version });
        Ok(listed.collect())
    }

    async fn watch(
        &self,
        key: &str,
        seen: StoreRevision,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        self.begin_read().await?;
        {
            let calls = &mut self.lock().calls;
            calls.watches += 1;
            calls.open_watches += 1;
        }
        let outcome = tokio::time::timeout(timeout, self.wait_above(key, seen)).await;
        self.lock().calls.open_watches -= 1;
        outcome.map_or(Ok(None), |found| found.map(Some))
    }

    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        self.begin_read().await?;
        let state = self.lock();
        let mut listed = BTreeMap::new();
        for (at, vm) in &state.vms {
            if at.elapsed() >= self.list_lag {
                listed.insert(vm.name.clone(), vm.clone());
            }
        }
        Ok(listed.into_values().collect())
    }
}
