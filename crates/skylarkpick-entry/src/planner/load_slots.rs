//! Slots that limit how many runners load from the weight store at the same time, shared by the
//! planners of all data centres.
//!
//! One platform object lists the loads in progress. It is only changed by compare-and-swap writes,
//! so two planners never take the same slot.

use serde::{Deserialize, Serialize};
use skylarkpick_interface::{
    Clock, DataCentreId, ObjectStore, RunnerId, StoreRevision, WeightVersion, WriteError,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::timeout;

/// Key of the object that lists the loads.
const LOADS_KEY: &str = "rollout/loads";
/// Maximum time for the platform to respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts of a compare-and-swap before it is left to the next reconciliation pass.
const WRITE_ATTEMPTS_LIMIT: u32 = 5;
/// Time after which a load that another data centre has kept listed counts as ended.
const STALE_LOAD_AFTER: Duration = Duration::from_secs(120);

/// A load in progress.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(super) struct ActiveLoad {
    pub(super) runner: RunnerId,
    pub(super) data_centre: DataCentreId,
    pub(super) weight_version: WeightVersion,
    /// Wall-clock time at which it was listed, which distinguishes two loads of one runner.
    pub(super) listed_at_ms: u64,
}

/// The load slots, as one data centre's planner uses them.
pub(super) struct LoadSlots {
    platform: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    data_centre: DataCentreId,
    /// Whether loads of this data centre may be listed; true until a read shows that none are.
    may_hold_own: AtomicBool,
    first_seen: Mutex<BTreeMap<ActiveLoad, Duration>>,
}

impl LoadSlots {
    pub(super) fn open(
        platform: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        data_centre: &str,
    ) -> LoadSlots {
        LoadSlots {
            platform,
            clock,
            data_centre: data_centre.to_string(),
            may_hold_own: AtomicBool::new(true),
            first_seen: Mutex::new(BTreeMap::new()),
        }
    }

    /// Returns whether loads of this data centre may be listed.
    pub(super) fn may_hold_own(&self) -> bool {
        self.may_hold_own.load(Ordering::SeqCst)
    }

    /// Reads the loads in progress of all data centres.
    pub(super) async fn read(&self) -> Result<Vec<ActiveLoad>, String> {
        let (_, loads) = self.read_object().await?;
        let holds_own = loads.iter().any(|load| load.data_centre == self.data_centre);
        self.may_hold_own.store(holds_own, Ordering::SeqCst);
        Ok(loads)
    }

    /// Takes a slot for a runner's load if fewer than `limit` are taken; returns whether it did.
    pub(super) async fn acquire(
        &self,
        runner: &str,
        weight_version: WeightVersion,
        limit: u32,
    ) -> bool {
        self.may_hold_own.store(true, Ordering::SeqCst);
        let own = ActiveLoad {
            runner: runner.to_string(),
            data_centre: self.data_centre.clone(),
            weight_version,
            listed_at_ms: self.wall_ms(),
        };
        let acquired = self.update(|loads| {
            // The response to an earlier write was lost; the slot is taken already.
            if loads.contains(&own) {
                return None;
            }
            if loads.len() >= limit as usize || loads.iter().any(|load| load.runner == runner) {
                return Some(Err(()));
            }
            loads.push(own.clone());
            Some(Ok(()))
        });
        acquired.await
    }

    /// Releases a runner's slot. If that fails, a later reconciliation pass releases it.
    pub(super) async fn release(&self, runner: &str) {
        let released = self.update(|loads| {
            let before = loads.len();
            loads.retain(|load| load.runner != runner || load.data_centre != self.data_centre);
            (loads.len() < before).then_some(Ok(()))
        });
        released.await;
    }

    /// Drops loads of other data centres that this process has seen listed for too long, and returns
    /// the rest of `loads`.
    pub(super) async fn drop_stale(&self, loads: Vec<ActiveLoad>) -> Vec<ActiveLoad> {
        let stale = self.stale(&loads);
        if stale.is_empty() {
            return loads;
        }
        let dropped = self.update(|loads| {
            let before = loads.len();
            loads.retain(|load| !stale.contains(load));
            (loads.len() < before).then_some(Ok(()))
        });
        dropped.await;
        loads.into_iter().filter(|load| !stale.contains(load)).collect()
    }

    fn stale(&self, loads: &[ActiveLoad]) -> Vec<ActiveLoad> {
        let now = self.clock.since_boot();
        let mut first_seen = self.first_seen.lock().unwrap_or_else(PoisonError::into_inner);
        first_seen.retain(|load, _| loads.contains(load));
        let others = loads.iter().filter(|load| load.data_centre != self.data_centre);
        others
            .filter(|load| {
                let seen_at = *first_seen.entry((*load).clone()).or_insert(now);
                now.saturating_sub(seen_at) >= STALE_LOAD_AFTER
            })
            .cloned()
            .collect()
    }

    /// Changes the list by compare-and-swap. `change` returns `None` when nothing is left to do and
    /// `Err` to abort; the result is whether the list is as `change` wants it.
    async fn update(
        &self,
        change: impl Fn(&mut Vec<ActiveLoad>) -> Option<Result<(), ()>>,
    ) -> bool {
        for _ in 0..WRITE_ATTEMPTS_LIMIT {
            let Ok((version, mut loads)) = self.read_object().await else { return false };
            match change(&mut loads) {
                None => return true,
                Some(Err(())) => return false,
                Some(Ok(())) => {}
            }
            // A list of strings and numbers always serializes.
            let value = serde_json::to_vec(&loads).unwrap_or_default();
            let write = timeout(CALL_TIMEOUT, self.platform.put(LOADS_KEY, version, value)).await;
            match write {
                Ok(Ok(_)) => return true,
                Ok(Err(WriteError::NotWritten(_))) => return false,
                Ok(Err(WriteError::Conflict { .. } | WriteError::Unknown(_))) | Err(_) => {}
            }
        }
        false
    }

    async fn read_object(&self) -> Result<(Option<StoreRevision>, Vec<ActiveLoad>), String> {
        let read = timeout(CALL_TIMEOUT, self.platform.get(LOADS_KEY)).await;
        let found = read.map_err(|_| "the platform did not respond in time".to_string())?;
        match found.map_err(|error| error.to_string())? {
            None => Ok((None, Vec::new())),
            Some(object) => {
                let loads = serde_json::from_slice(&object.value)
                    .map_err(|error| format!("{LOADS_KEY} cannot be read: {error}"))?;
                Ok((Some(object.version), loads))
            }
        }
    }

    fn wall_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(std::time::SystemTime::UNIX_EPOCH);
        u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
    }
}
