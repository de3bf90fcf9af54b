//! The state of the simulation and its event loop.

use super::{
    admission::AdmissionControl,
    directory::{DirectoryView, last_key},
    event_queue::{ContextId, Event, EventQueue, RunId},
    runner::SimulatedRunner,
    store::SimulatedStore,
};
use crate::{
    policy::{PolicyName, RoutingPolicy},
    trace::Trace,
};
use skylarkpick_interface::{LoadReport, RunnerStatus, StoreStatus};
use skylarkpick_schedule::{Route, RouteRequest, SavingPolicy, TransferId};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// A simulated entry process.
pub(super) struct EntryState {
    pub(super) data_centre: usize,
    pub(super) routing: Box<dyn RoutingPolicy>,
    /// Sampling time of the newest reports delivered to it.
    pub(super) newest_report_at: Option<Duration>,
}

/// A request in the simulation.
pub(super) struct RequestState {
    pub(super) entry: usize,
    pub(super) prefix: usize,
    pub(super) attempt: u32,
    pub(super) route: Option<Route>,
    pub(super) route_request: RouteRequest,
    pub(super) first_token_at: Option<Duration>,
    pub(super) computed_prefix_tokens: u64,
    pub(super) ended: bool,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestRecord {
    pub(crate) at: Duration,
    /// Time to first token as the client sees it; none if the request was refused or timed out.
    pub(crate) first_token: Option<Duration>,
    pub(crate) computed_prefix_tokens: u64,
}

/// Raw results of a simulation, from which the metrics are computed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SimulationResult {
    pub(crate) records: Vec<RequestRecord>,
    /// Start, end and bytes of each transfer, by store.
    pub(crate) link_transfers: Vec<Vec<(Duration, Duration, u64)>>,
    pub(crate) loads_at_once: usize,
}

/// Reports of all runners and stores, sampled at the same time. Those that are down have none.
pub(super) struct ReportSnapshot {
    pub(super) taken_at: Duration,
    pub(super) runners: Vec<Option<(LoadReport, RunnerStatus)>>,
    pub(super) stores: Vec<Option<StoreStatus>>,
}

/// The state of the simulation of one trace under one routing policy.
pub(crate) struct Simulation<'a> {
    pub(super) trace: &'a Trace,
    pub(super) policy: PolicyName,
    pub(super) admission: Box<dyn AdmissionControl>,
    /// Instant at which virtual time is 0; only differences to it matter.
    pub(super) base: Instant,
    pub(super) now: Duration,
    pub(super) events: EventQueue,
    pub(super) entries: Vec<EntryState>,
    pub(super) runners: Vec<SimulatedRunner>,
    pub(super) runner_indices: BTreeMap<String, usize>,
    pub(super) stores: Vec<SimulatedStore>,
    pub(super) store_indices: BTreeMap<String, usize>,
    pub(super) directory: DirectoryView,
    pub(super) saving: SavingPolicy,
    pub(super) requests: Vec<RequestState>,
    pub(super) unfinished: usize,
    pub(super) reports: VecDeque<ReportSnapshot>,
    pub(super) report_age: Duration,
    /// Data centre that can reach no other.
    pub(super) partitioned_data_centre: Option<usize>,
    /// Weight versions in use, the newest first.
    pub(super) weight_versions: Vec<u64>,
    /// Runners that wait to load the newest weights.
    pub(super) to_load: VecDeque<usize>,
    pub(super) loads: usize,
    pub(super) peak_loads: usize,
    /// Tokens of each prefix at its last use.
    pub(super) prefix_tokens: BTreeMap<usize, u64>,
    pub(super) next_transfer: TransferId,
}

impl Simulation<'_> {
    /// Runs the simulation until every request has ended.
    pub(crate) fn run(mut self) -> SimulationResult {
        while self.unfinished > 0 {
            let Some((at, event)) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        let client = Duration::from_secs_f64(self.trace.fleet.client_ms / 1_000.0);
        let arrivals = self.trace.requests.iter().map(|request| request.at);
        let records = arrivals.zip(&self.requests).map(|(at, state)| RequestRecord {
            at,
            first_token: state.first_token_at.map(|first| first - at + 2 * client),
            computed_prefix_tokens: state.computed_prefix_tokens,
        });
        SimulationResult {
            records: records.collect(),
            link_transfers: self.stores.iter().map(|store| store.link_transfers.clone()).collect(),
            loads_at_once: self.peak_loads,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(number),
            Event::Route(run) => self.route(run),
            Event::ReachRunner(run) => self.reach_runner(run),
            Event::PrefillFinished { runner, run, epoch } => {
                if self.runners[runner].epoch == epoch {
                    self.prefill_finished(runner, run);
                }
            }
            Event::RunFinished { runner, run, epoch } => {
                if self.runners[runner].epoch == epoch {
                    self.run_finished(runner, run);
                }
            }
            Event::TransferFinished { store, transfer, epoch } => {
                if self.stores[store].epoch == epoch {
                    self.transfer_finished(store, transfer);
                }
            }
            Event::DiskReadFinished { store, transfer, epoch } => {
                if self.stores[store].epoch == epoch {
                    self.queue_transfer(store, transfer);
                }
            }
            Event::LinkReady(store) => self.start_next_transfer(store),
            Event::ImportFailed(run) => self.import_failed(run),
            Event::CacheChange { runner, context, tokens } => {
                self.directory.set_held_tokens(runner, context, tokens);
            }
            Event::Report => self.sample_reports(),
            Event::WeightsLoaded(runner) => self.weights_loaded(runner),
            Event::FaultStart(number) => self.start_fault(number),
            Event::FaultEnd(number) => self.end_fault(number),
        }
    }

    /// Returns the current virtual time as the `Instant` that routing and saving code expects.
    pub(super) fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Returns whether a run is the current attempt of a request that has not ended.
    pub(super) fn is_current(&self, run: RunId) -> bool {
        let state = &self.requests[run.request];
        !state.ended && state.attempt == run.attempt
    }

    pub(super) fn can_reach(&self, left: usize, right: usize) -> bool {
        left == right
            || (self.partitioned_data_centre != Some(left)
                && self.partitioned_data_centre != Some(right))
    }

    /// Returns the one-way delay between two data centres.
    pub(super) fn delay(&self, left: usize, right: usize) -> Duration {
        let fleet = &self.trace.fleet;
        let milliseconds = if left == right {
            0.0
        } else if fleet.data_centres[left].region == fleet.data_centres[right].region {
            fleet.same_region_ms
        } else {
            fleet.other_region_ms
        };
        Duration::from_secs_f64(milliseconds / 1_000.0)
    }

    /// Reports an eviction to the saving policy, without the delay of cache events.
    fn note_evicted(&mut self, runner: usize, context: ContextId, tokens: u64) {
        let prefix_tokens = self.prefix_tokens.get(&context.prefix).copied().unwrap_or_default();
        if tokens < prefix_tokens {
            let key = last_key(context, prefix_tokens);
            self.saving.on_evicted(&self.runners[runner].name, key);
        }
    }

    /// Publishes changes of a runner's cache; they reach the directory after the delay of cache
    /// events.
    pub(super) fn publish(&mut self, runner: usize, changes: Vec<(ContextId, u64)>) {
        let at = self.now + Duration::from_millis(self.trace.fleet.cache_event_age_ms);
        for (context, tokens) in changes {
            self.note_evicted(runner, context, tokens);
            self.events.schedule(at, Event::CacheChange { runner, context, tokens });
        }
    }
}
