//! Samples the load of engines for all entry processes.
//!
//! Only an engine knows how much of its memory is in use. A few processes of each data centre ask
//! the engines there and tell all others, so that the number of calls doesn't grow with the number
//! of processes.

use super::topic_watch::FleetWatcher;
use crate::{
    jitter::sleep_with_jitter,
    node_state::NodeState,
    peers::{EngineLoadNotice, Notice},
};
use futures::future::join_all;
use skylarkpick_interface::{DataCentreId, ServiceKind, TargetControl, TargetId};
use skylarkpick_schedule::MemorySample;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Mean pause between two passes. Each pass samples the engines whose memory is well used.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of passes of which one samples all engines.
const PASSES_PER_FULL_PASS: u64 = 4;
/// Share of an engine's memory from which each pass samples it.
const WELL_USED_SHARE: f64 = 0.5;
/// Timeout of a sample. A later response would be outdated.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(250);

/// Dependencies of the task that samples loads.
pub(crate) struct LoadSampler {
    pub(crate) node_state: Arc<NodeState>,
    pub(crate) control: Arc<dyn TargetControl>,
    pub(crate) watcher: Arc<FleetWatcher>,
    pub(crate) data_centre: DataCentreId,
}

/// Samples the engines of the process's data centre, if that is its role, for as long as the task
/// runs.
pub(crate) async fn sample_loads(sampler: LoadSampler) {
    for pass in 0_u64.. {
        sleep_with_jitter(SAMPLE_INTERVAL).await;
        let records = &sampler.watcher.records;
        if !records.is_load_sampler(&sampler.data_centre) {
            continue;
        }
        let is_full_pass = pass.is_multiple_of(PASSES_PER_FULL_PASS);
        let samples = sampler
            .engines(is_full_pass)
            .into_iter()
            .map(|(id, address)| sampler.sample(id, address));
        let loads: Vec<EngineLoadNotice> = join_all(samples).await.into_iter().flatten().collect();
        if !loads.is_empty() {
            sampler.watcher.peer_client.broadcast(records, &Notice::Loads { loads });
        }
    }
}

impl LoadSampler {
    /// Returns the engines to sample: all, or those whose memory is well used.
    fn engines(&self, includes_all: bool) -> Vec<(TargetId, SocketAddr)> {
        let now = self.node_state.now();
        let state = self.node_state.lock();
        let Some(serving) = state.serving() else { return Vec::new() };
        let is_engine = |service: &String| {
            matches!(serving.document.services.get(service), Some(ServiceKind::Engines(_)))
        };
        let is_well_used =
            |target: &str| state.placement.memory_share(target, now) >= WELL_USED_SHARE;
        let targets = state.placement.targets().values().map(|target| &target.registration);
        targets
            .filter(|target| target.data_centre == self.data_centre && is_engine(&target.service))
            .filter(|target| includes_all || is_well_used(&target.id))
            // A target in need is spared, and its limit keeps requests few.
            .filter(|target| !state.placement.is_limited(target, now))
            .map(|target| (target.id.clone(), target.address))
            .collect()
    }

    async fn sample(&self, target: TargetId, address: SocketAddr) -> Option<EngineLoadNotice> {
        match self.control.engine_load(address, SAMPLE_TIMEOUT).await {
            Ok(load) => {
                let (waiting, used_tokens) = (load.waiting, load.used_tokens);
                let sample = MemorySample { used_tokens, waiting };
                self.node_state.observe_memory(&target, sample, Duration::ZERO);
                Some(EngineLoadNotice { target, waiting, used_tokens })
            }
            Err(error) => {
                spdlog::debug!("failed to sample an engine", kv: { target = target.as_str(), error: });
                None
            }
        }
    }
}
