//! Builds the initial state of a simulation from a trace.

use super::{
    admission::AdmissionControl,
    directory::DirectoryView,
    event_queue::{Event, EventQueue},
    runner::SimulatedRunner,
    simulation::{EntryState, RequestState, Simulation},
    store::SimulatedStore,
};
use crate::{
    policy::PolicyName,
    trace::{Fleet, Trace, TraceRequest},
};
use skylarkpick_config::{Configuration, DataCentre, Model, RunnerTarget, StoreTarget};
use skylarkpick_schedule::{
    ImportOrdering, RouteRequest, RoutingRules, SavingPolicy, SavingSettings,
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Name of the serving document in the configuration of a simulation.
const SERVING_NAME: &str = "replay";
/// Address of every target; the simulation opens no connections.
const PLACEHOLDER_ADDRESS: &str = "0.0.0.0:0";

/// Returns the configuration of a fleet.
fn configuration(fleet: &Fleet) -> Configuration {
    let mut configuration = Configuration::default();
    let model = Model {
        weight_version: 1,
        also_served_weight_versions: Vec::new(),
        adapters: Vec::new(),
        serving: SERVING_NAME.to_string(),
        context_bytes_per_token: fleet.context_bytes_per_token,
    };
    configuration.models.insert(fleet.model.clone(), model);
    configuration.serving.insert(SERVING_NAME.to_string(), fleet.serving.clone());
    for data_centre in &fleet.data_centres {
        let mut targets =
            DataCentre { region: data_centre.region.clone(), ..DataCentre::default() };
        for number in 0..data_centre.runners {
            let target = RunnerTarget {
                address: PLACEHOLDER_ADDRESS.to_string(),
                model: fleet.model.clone(),
                checks_fencing: true,
            };
            targets.runners.insert(runner_name(&data_centre.name, number), target);
        }
        for store in &data_centre.stores {
            let target = StoreTarget {
                address: PLACEHOLDER_ADDRESS.to_string(),
                link_bytes_per_second: store.link_bytes_per_second,
            };
            targets.stores.insert(store.name.clone(), target);
        }
        configuration.data_centres.insert(data_centre.name.clone(), targets);
    }
    configuration
}

/// Returns the names of all runners, in the order of the data centres.
pub(crate) fn runner_names(fleet: &Fleet) -> Vec<String> {
    runners(fleet).into_iter().map(|runner| runner.name).collect()
}

fn runner_name(data_centre: &str, number: u32) -> String {
    format!("{data_centre}-runner-{number:03}")
}

impl<'a> Simulation<'a> {
    /// Builds the initial state, with all requests and faults scheduled.
    pub(crate) fn open(
        trace: &'a Trace,
        policy: PolicyName,
        rules: RoutingRules,
        saving: SavingSettings,
        ordering: ImportOrdering,
        admission: Box<dyn AdmissionControl>,
    ) -> Simulation<'a> {
        let fleet = &trace.fleet;
        let runners = runners(fleet);
        let stores = stores(fleet, ordering);
        let names = runners.iter().map(|runner| runner.name.clone());
        let indices = |names: Vec<String>| -> BTreeMap<String, usize> {
            names.into_iter().enumerate().map(|(index, name)| (name, index)).collect()
        };
        let store_names = stores.iter().map(|store| store.sizes.name.clone()).collect();
        let runner_names: Vec<String> = names.collect();
        let mut simulation = Simulation {
            trace,
            policy,
            admission,
            base: Instant::now(),
            now: Duration::ZERO,
            events: EventQueue::default(),
            entries: entries(fleet, policy, rules),
            runner_indices: indices(runner_names.clone()),
            store_indices: indices(store_names),
            runners,
            stores,
            directory: DirectoryView::open(runner_names),
            saving: SavingPolicy::open(saving),
            requests: requests(trace),
            unfinished: trace.requests.len(),
            reports: VecDeque::new(),
            report_age: Duration::from_millis(fleet.load_report_age_ms),
            partitioned_data_centre: None,
            weight_versions: vec![1],
            to_load: VecDeque::new(),
            loads: 0,
            peak_loads: 0,
            prefix_tokens: BTreeMap::new(),
            next_transfer: 0,
        };
        simulation.begin();
        simulation
    }

    /// Delivers the first reports to every entry process without delay, and schedules the faults
    /// and requests of the trace.
    fn begin(&mut self) {
        let report_age = std::mem::take(&mut self.report_age);
        self.sample_reports();
        for entry in 0..self.entries.len() {
            self.deliver_reports(entry);
        }
        self.report_age = report_age;
        for (number, fault) in self.trace.faults.iter().enumerate() {
            let at = Duration::from_millis(fault.at_ms);
            self.events.schedule(at, Event::FaultStart(number));
            if let Some(until_ms) = fault.until_ms {
                let until = Duration::from_millis(until_ms);
                self.events.schedule(until, Event::FaultEnd(number));
            }
        }
        for (number, request) in self.trace.requests.iter().enumerate() {
            self.events.schedule(request.at, Event::Arrive(number));
        }
    }
}

fn runners(fleet: &Fleet) -> Vec<SimulatedRunner> {
    let mut runners = Vec::new();
    for (index, data_centre) in fleet.data_centres.iter().enumerate() {
        for number in 0..data_centre.runners {
            runners.push(SimulatedRunner::open(
                runner_name(&data_centre.name, number),
                index,
                fleet,
            ));
        }
    }
    runners
}

fn stores(fleet: &Fleet, ordering: ImportOrdering) -> Vec<SimulatedStore> {
    let mut stores = Vec::new();
    for (index, data_centre) in fleet.data_centres.iter().enumerate() {
        for store in &data_centre.stores {
            let share = fleet.serving.link_share_limit;
            stores.push(SimulatedStore::open(store, index, share, ordering));
        }
    }
    stores
}

fn entries(fleet: &Fleet, policy: PolicyName, rules: RoutingRules) -> Vec<EntryState> {
    let configuration = configuration(fleet);
    let mut entries = Vec::new();
    for (index, data_centre) in fleet.data_centres.iter().enumerate() {
        for _ in 0..data_centre.entries {
            let seed = entries.len() as u64 + 1;
            entries.push(EntryState {
                data_centre: index,
                routing: policy.open(&configuration, &data_centre.name, seed, rules),
                newest_report_at: None,
            });
        }
    }
    entries
}

fn requests(trace: &Trace) -> Vec<RequestState> {
    let mut prefixes: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let mut states = Vec::new();
    for (number, request) in trace.requests.iter().enumerate() {
        let next = prefixes.len() + 1;
        let prefix = *prefixes.entry((&request.account, &request.prefix)).or_insert(next);
        states.push(RequestState {
            entry: entry_for(&trace.fleet, number, request),
            prefix,
            attempt: 1,
            route: None,
            route_request: RouteRequest {
                model: request.model.clone(),
                prefix_keys: BTreeMap::new(),
                prompt_tokens: request.prefix_tokens + request.question_tokens,
                avoid: Vec::new(),
            },
            first_token_at: None,
            computed_prefix_tokens: 0,
            ended: false,
        });
    }
    states
}

/// Returns the entry process of a request: round robin over those of its data centre, or over all
/// if it names none.
fn entry_for(fleet: &Fleet, number: usize, request: &TraceRequest) -> usize {
    let mut first = 0;
    for data_centre in &fleet.data_centres {
        let count = data_centre.entries as usize;
        if request.data_centre.as_ref() == Some(&data_centre.name) && count > 0 {
            return first + number % count;
        }
        first += count;
    }
    number % first
}
