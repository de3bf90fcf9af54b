//! The loads under way at the weight store, counted over every planner that shares it.
//!
//! One platform object lists them, changed only conditionally, so that two planners never take the
//! same place.

use serde::{Deserialize, Serialize};
use skylarkpick_interface::{
    Clock, DataCentreId, ObjectStore, ObjectVersion, RunnerId, WeightVersion, WriteError,
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
/// Time for the platform to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Writes tried before giving up until the next look.
const WRITES_LIMIT: u32 = 5;
/// Time after which a load that another planner has listed all the while is taken to be over.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(120);

/// One load under way.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(super) struct LoadUnderWay {
    pub(super) runner: RunnerId,
    pub(super) data_centre: DataCentreId,
    pub(super) weight_version: WeightVersion,
    /// Wall-clock time of the listing, so that two loads of one runner differ.
    pub(super) listed_at_ms: u64,
}

/// The loads under way.
pub(super) struct Loads {
    platform: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    centre: DataCentreId,
    /// Whether loads of this data centre may be listed; so until a read shows otherwise.
    may_hold_own: AtomicBool,
    first_seen: Mutex<BTreeMap<LoadUnderWay, Duration>>,
}

impl Loads {
    pub(super) fn open(
        platform: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        centre: &str,
    ) -> Loads {
        Loads {
            platform,
            clock,
            centre: centre.to_string(),
            may_hold_own: AtomicBool::new(true),
            first_seen: Mutex::new(BTreeMap::new()),
        }
    }

    /// Whether loads of this data centre may be listed.
    pub(super) fn may_hold_own(&self) -> bool {
        self.may_hold_own.load(Ordering::SeqCst)
    }

    /// Reads the loads under way.
    pub(super) async fn read(&self) -> Result<Vec<LoadUnderWay>, String> {
        let (_, loads) = self.read_object().await?;
        let holds_own = loads.iter().any(|load| load.data_centre == self.centre);
        self.may_hold_own.store(holds_own, Ordering::SeqCst);
        Ok(loads)
    }

    /// Takes a place for a runner's load, if fewer than `limit` are taken.
    pub(super) async fn take(
        &self,
        runner: &str,
        weight_version: WeightVersion,
        limit: u32,
    ) -> bool {
        self.may_hold_own.store(true, Ordering::SeqCst);
        let own = LoadUnderWay {
            runner: runner.to_string(),
            data_centre: self.centre.clone(),
            weight_version,
            listed_at_ms: self.wall_ms(),
        };
        let taken = self.change(|loads| {
            // A lost answer is read back: the place is taken already.
            if loads.contains(&own) {
                return None;
            }
            if loads.len() >= limit as usize || loads.iter().any(|load| load.runner == runner) {
                return Some(Err(()));
            }
            loads.push(own.clone());
            Some(Ok(()))
        });
        taken.await
    }

    /// Gives a runner's place back; one that cannot be given back now is cleared at a later look.
    pub(super) async fn give_back(&self, runner: &str) {
        let given = self.change(|loads| {
            let before = loads.len();
            loads.retain(|load| load.runner != runner || load.data_centre != self.centre);
            (loads.len() < before).then_some(Ok(()))
        });
        given.await;
    }

    /// Drops loads of other planners that this process has seen listed for too long.
    pub(super) async fn drop_forgotten(&self, loads: Vec<LoadUnderWay>) -> Vec<LoadUnderWay> {
        let forgotten = self.forgotten(&loads);
        if forgotten.is_empty() {
            return loads;
        }
        let dropped = self.change(|loads| {
            let before = loads.len();
            loads.retain(|load| !forgotten.contains(load));
            (loads.len() < before).then_some(Ok(()))
        });
        dropped.await;
        loads.into_iter().filter(|load| !forgotten.contains(load)).collect()
    }

    fn forgotten(&self, loads: &[LoadUnderWay]) -> Vec<LoadUnderWay> {
        let now = self.clock.since_boot();
        let mut first_seen = self.first_seen.lock().unwrap_or_else(PoisonError::into_inner);
        first_seen.retain(|load, _| loads.contains(load));
        let others = loads.iter().filter(|load| load.data_centre != self.centre);
        others
            .filter(|load| {
                let seen_at = *first_seen.entry((*load).clone()).or_insert(now);
                now.saturating_sub(seen_at) >= FORGOTTEN_AFTER
            })
            .cloned()
            .collect()
    }

    /// Changes the list. The change says `None` when nothing is left to do, and `Err` to give up.
    async fn change(
        &self,
        change: impl Fn(&mut Vec<LoadUnderWay>) -> Option<Result<(), ()>>,
    ) -> bool {
        for _ in 0..WRITES_LIMIT {
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

    async fn read_object(&self) -> Result<(Option<ObjectVersion>, Vec<LoadUnderWay>), String> {
        let read = timeout(CALL_TIMEOUT, self.platform.get(LOADS_KEY)).await;
        let found = read.map_err(|_| "the platform gave no answer in time".to_string())?;
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
