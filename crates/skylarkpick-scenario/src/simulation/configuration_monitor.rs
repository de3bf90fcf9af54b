//! Records which configuration version is in force in which process, and since when.

use super::EntryProcess;
use crate::process::RunState;
use skylarkpick_interface::ConfigurationVersion;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// Interval at which the versions in force are read.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A change of the version that is in force in a process.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ObservedVersion {
    pub(crate) process: String,
    pub(crate) start_count: u64,
    pub(crate) at: Instant,
    pub(crate) version: ConfigurationVersion,
}

/// A version that was reported to the operator as accepted.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AcceptedVersion {
    pub(crate) version: ConfigurationVersion,
    pub(crate) at: Instant,
}

/// Records which configuration version is in force in which process, and since when.
#[derive(Clone, Default)]
pub(crate) struct ConfigurationMonitor {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    changes: Vec<ObservedVersion>,
    accepted: Vec<AcceptedVersion>,
    disturbances: Vec<Instant>,
}

impl ConfigurationMonitor {
    pub(crate) fn open() -> ConfigurationMonitor {
        ConfigurationMonitor::default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a fault or the end of one, which restarts the time limit for new versions.
    pub(crate) fn record_disturbance(&self) {
        self.lock().disturbances.push(Instant::now());
    }

    pub(crate) fn record_accepted(&self, version: ConfigurationVersion) {
        self.lock().accepted.push(AcceptedVersion { version, at: Instant::now() });
    }

    /// Returns all changes of the versions in force, in order.
    pub(crate) fn changes(&self) -> Vec<ObservedVersion> {
        self.lock().changes.clone()
    }

    pub(crate) fn accepted(&self) -> Vec<AcceptedVersion> {
        self.lock().accepted.clone()
    }

    /// Returns the time of the last fault or end of a fault.
    pub(crate) fn last_disturbance(&self) -> Option<Instant> {
        self.lock().disturbances.last().copied()
    }

    /// Monitors a process until it is dead.
    pub(crate) fn monitor(&self, name: &str, process: &EntryProcess) {
        let (monitor, entry, control) =
            (self.clone(), process.entry.clone(), process.control.clone());
        let (name, start_count) = (name.to_string(), process.start_count);
        tokio::spawn(async move {
            let mut last = None;
            while control.state() != RunState::Dead {
                let version = entry.active_configuration().version;
                if last != Some(version) {
                    last = Some(version);
                    let (process, at) = (name.clone(), Instant::now());
                    monitor.lock().changes.push(ObservedVersion {
                        process,
                        start_count,
                        at,
                        version,
                    });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
    }
}
