//! Newest version of the configuration that a process has heard of, beside the one that it serves by.

use crate::{log::request_log, node_state::NodeState};
use std::sync::atomic::{AtomicU64, Ordering};

/// Newest version of the configuration in a record of the platform or a request of another process.
#[derive(Debug, Default)]
pub(crate) struct NewestVersion(AtomicU64);

impl NewestVersion {
    /// Records a version.
    pub(crate) fn note(&self, version: u64) {
        self.0.fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the newest version; 0 if none is known.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl NodeState {
    /// Logs that requests are served by an older configuration than the newest known one. Called after
    /// records of the configuration have been applied.
    pub(crate) fn note_version_served(&self) {
        let served = self.serving().map_or(0, |serving| serving.version());
        let known = self.newest_version.get();
        if served < known {
            request_log!("requests are served by an older configuration than the newest known", kv: {
                served:, known:,
            });
        }
    }
}
