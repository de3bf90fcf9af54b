//! The state of a replay and its main loop.

use super::{
    admission::AdmissionControl,
    agenda::{Agenda, ContextId, Event, RunId},
    beliefs::{Beliefs, last_key},
    runner::FakeRunner,
    store::FakeStore,
};
use crate::{
    policy::{Placement, PolicyName},
    trace::Trace,
};
use skylarkpick_interface::{LoadReport, RunnerStatus, StoreStatus};
use skylarkpick_schedule::{Route, RouteRequest, SavingPolicy, TransferId};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// An entry process.
pub(super) struct EntryState {
    pub(super) data_centre: usize,
    pub(super) placement: Box<dyn Placement>,
    /// When the newest report that it has was taken.
    pub(super) reports_until: Option<Duration>,
}

/// A request on its way.
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

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestRecord {
    pub(crate) at: Duration,
    /// Time from the caller's sending to its first token; none if it was refused.
    pub(crate) first_token: Option<Duration>,
    pub(crate) computed_prefix_tokens: u64,
}

/// What was seen in a replay.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Played {
    pub(crate) records: Vec<RequestRecord>,
    /// Begin, end and bytes of each transfer by store.
    pub(crate) carried: Vec<Vec<(Duration, Duration, u64)>>,
    pub(crate) loads_at_once: usize,
}

/// Reports of one moment.
pub(super) struct Reports {
    pub(super) taken_at: Duration,
    pub(super) runners: Vec<Option<(LoadReport, RunnerStatus)>>,
    pub(super) stores: Vec<Option<StoreStatus>>,
}

/// The state of a replay.
pub(crate) struct World<'a> {
    pub(super) trace: &'a Trace,
    pub(super) policy: PolicyName,
    pub(super) admission: Box<dyn AdmissionControl>,
    pub(super) base: Instant,
    pub(super) now: Duration,
    pub(super) agenda: Agenda,
    pub(super) entries: Vec<EntryState>,
    pub(super) runners: Vec<FakeRunner>,
    pub(super) runner_places: BTreeMap<String, usize>,
    pub(super) stores: Vec<FakeStore>,
    pub(super) store_places: BTreeMap<String, usize>,
    pub(super) beliefs: Beliefs,
    pub(super) saving: SavingPolicy,
    pub(super) requests: Vec<RequestState>,
    pub(super) unfinished: usize,
    pub(super) reports: VecDeque<Reports>,
    pub(super) report_age: Duration,
    pub(super) cut: Option<usize>,
    pub(super) weight_versions: Vec<u64>,
    pub(super) to_load: VecDeque<usize>,
    pub(super) loads: usize,
    pub(super) loads_at_once: usize,
    /// Tokens of each prefix at its last use.
    pub(super) prefix_tokens: BTreeMap<usize, u64>,
    pub(super) next_transfer: TransferId,
}

impl World<'_> {
    /// Plays the trace to its end.
    pub(crate) fn play(mut self) -> Played {
        while self.unfinished > 0 {
            let Some((at, event)) = self.agenda.next() else { break };
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
        Played {
            records: records.collect(),
            carried: self.stores.iter().map(|store| store.carried.clone()).collect(),
            loads_at_once: self.loads_at_once,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(number),
            Event::Route(run) => self.route(run),
            Event::ReachRunner(run) => self.reach_runner(run),
            Event::Computed { runner, run, epoch } => {
                if self.runners[runner].epoch == epoch {
                    self.computed(runner, run);
                }
            }
            Event::RunEnd { runner, run, epoch } => {
                if self.runners[runner].epoch == epoch {
                    self.run_end(runner, run);
                }
            }
            Event::Transferred { store, transfer, epoch } => {
                if self.stores[store].epoch == epoch {
                    self.transferred(store, transfer);
                }
            }
            Event::DiskRead { store, transfer, epoch } => {
                if self.stores[store].epoch == epoch {
                    self.ask_for_link(store, transfer);
                }
            }
            Event::LinkWake(store) => self.pump(store),
            Event::ImportFailed(run) => self.import_failed(run),
            Event::Believe { runner, context, tokens } => {
                self.beliefs.set_held(runner, context, tokens);
            }
            Event::Report => self.take_reports(),
            Event::WeightsLoaded(runner) => self.weights_loaded(runner),
            Event::FaultBegin(number) => self.begin_fault(number),
            Event::FaultEnd(number) => self.end_fault(number),
        }
    }

    /// The time that the policies are told.
    pub(super) fn instant(&self) -> Instant {
        self.base + self.now
    }

    pub(super) fn is_current(&self, run: RunId) -> bool {
        let state = &self.requests[run.request];
        !state.ended && state.attempt == run.attempt
    }

    pub(super) fn reaches(&self, left: usize, right: usize) -> bool {
        left == right || (self.cut != Some(left) && self.cut != Some(right))
    }

    /// Time one way between two data centres.
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

    /// Tells the saving policy what was evicted; the lag of cache events is left out.
    fn note_evicted(&mut self, runner: usize, context: ContextId, tokens: u64) {
        let whole = self.prefix_tokens.get(&context.prefix).copied().unwrap_or_default();
        if tokens < whole {
            let key = last_key(context, whole);
            self.saving.on_evicted(&self.runners[runner].name, key);
        }
    }

    /// Publishes changes of a runner's cache, which the directory learns late.
    pub(super) fn publish(&mut self, runner: usize, changes: Vec<(ContextId, u64)>) {
        let at = self.now + Duration::from_millis(self.trace.fleet.cache_event_age_ms);
        for (context, tokens) in changes {
            self.note_evicted(runner, context, tokens);
            self.agenda.add(at, Event::Believe { runner, context, tokens });
        }
    }
}
