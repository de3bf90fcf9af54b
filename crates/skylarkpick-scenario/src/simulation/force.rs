//! Watches which configuration is in force where, and when.

use super::EntryProcess;
use crate::process::LifeState;
use skylarkpick_interface::ConfigurationVersion;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// Time between two looks at the versions in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// One process's version at one moment.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Look {
    pub(crate) process: String,
    pub(crate) starts: u64,
    pub(crate) at: Instant,
    pub(crate) version: ConfigurationVersion,
}

/// A version that an operator was told is accepted.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Accepted {
    pub(crate) version: ConfigurationVersion,
    pub(crate) at: Instant,
}

/// Watches which configuration is in force where, and when.
#[derive(Clone, Default)]
pub(crate) struct ForceWatch {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    changes: Vec<Look>,
    accepted: Vec<Accepted>,
    disturbances: Vec<Instant>,
}

impl ForceWatch {
    pub(crate) fn open() -> ForceWatch {
        ForceWatch::default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a fault or a repair, after which the time to be in force begins anew.
    pub(crate) fn note_disturbance(&self) {
        self.lock().disturbances.push(Instant::now());
    }

    pub(crate) fn note_accepted(&self, version: ConfigurationVersion) {
        self.lock().accepted.push(Accepted { version, at: Instant::now() });
    }

    /// Changes of the version in force, in order.
    pub(crate) fn changes(&self) -> Vec<Look> {
        self.lock().changes.clone()
    }

    pub(crate) fn accepted(&self) -> Vec<Accepted> {
        self.lock().accepted.clone()
    }

    /// Last fault or repair before now.
    pub(crate) fn last_disturbance(&self) -> Option<Instant> {
        self.lock().disturbances.last().copied()
    }

    /// Looks at a process until it is dead.
    pub(crate) fn watch(&self, name: &str, process: &EntryProcess) {
        let (watch, entry, life) = (self.clone(), process.entry.clone(), process.life.clone());
        let (name, starts) = (name.to_string(), process.starts);
        tokio::spawn(async move {
            let mut last = None;
            while life.state() != LifeState::Dead {
                let version = entry.active_configuration().version;
                if last != Some(version) {
                    last = Some(version);
                    let (process, at) = (name.clone(), Instant::now());
                    watch.lock().changes.push(Look { process, starts, at, version });
                }
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        });
    }
}
