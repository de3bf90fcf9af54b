//! Builds the state of a replay from a trace.

use super::{
    admission::AdmissionControl,
    agenda::{Agenda, Event},
    beliefs::Beliefs,
    runner::FakeRunner,
    store::FakeStore,
    world::{EntryState, RequestState, World},
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

/// Name of the serving configuration of a replay.
const SERVING: &str = "replay";
/// Address that stands for any; nothing is ever sent there.
const NO_ADDRESS: &str = "0.0.0.0:0";

/// The configuration that a fleet would have.
fn configuration(fleet: &Fleet) -> Configuration {
    let mut configuration = Configuration::default();
    let model = Model {
        weight_version: 1,
        also_served_weight_versions: Vec::new(),
        adapters: Vec::new(),
        serving: SERVING.to_string(),
        context_bytes_per_token: fleet.context_bytes_per_token,
    };
    configuration.models.insert(fleet.model.clone(), model);
    configuration.serving.insert(SERVING.to_string(), fleet.serving.clone());
    for centre in &fleet.data_centres {
        let mut targets = DataCentre { region: centre.region.clone(), ..DataCentre::default() };
        for number in 0..centre.runners {
            let target = RunnerTarget {
                address: NO_ADDRESS.to_string(),
                model: fleet.model.clone(),
                checks_fencing: true,
            };
            targets.runners.insert(runner_name(&centre.name, number), target);
        }
        for store in &centre.stores {
            let target = StoreTarget {
                address: NO_ADDRESS.to_string(),
                link_bytes_per_second: store.link_bytes_per_second,
            };
            targets.stores.insert(store.name.clone(), target);
        }
        configuration.data_centres.insert(centre.name.clone(), targets);
    }
    configuration
}

/// Names of all runners in the order of the data centres.
pub(crate) fn runner_names(fleet: &Fleet) -> Vec<String> {
    runners(fleet).into_iter().map(|runner| runner.name).collect()
}

fn runner_name(centre: &str, number: u32) -> String {
    format!("{centre}-runner-{number:03}")
}

impl<'a> World<'a> {
    /// Builds the state before the first request.
    pub(crate) fn open(
        trace: &'a Trace,
        policy: PolicyName,
        rules: RoutingRules,
        saving: SavingSettings,
        ordering: ImportOrdering,
        admission: Box<dyn AdmissionControl>,
    ) -> World<'a> {
        let fleet = &trace.fleet;
        let runners = runners(fleet);
        let stores = stores(fleet, ordering);
        let names = runners.iter().map(|runner| runner.name.clone());
        let places = |names: Vec<String>| -> BTreeMap<String, usize> {
            names.into_iter().enumerate().map(|(place, name)| (name, place)).collect()
        };
        let store_names = stores.iter().map(|store| store.sizes.name.clone()).collect();
        let runner_names: Vec<String> = names.collect();
        let mut world = World {
            trace,
            policy,
            admission,
            base: Instant::now(),
            now: Duration::ZERO,
            agenda: Agenda::default(),
            entries: entries(fleet, policy, rules),
            runner_places: places(runner_names.clone()),
            store_places: places(store_names),
            runners,
            stores,
            beliefs: Beliefs::open(runner_names),
            saving: SavingPolicy::open(saving),
            requests: requests(trace),
            unfinished: trace.requests.len(),
            reports: VecDeque::new(),
            report_age: Duration::from_millis(fleet.load_report_age_ms),
            cut: None,
            weight_versions: vec![1],
            to_load: VecDeque::new(),
            loads: 0,
            loads_at_once: 0,
            prefix_tokens: BTreeMap::new(),
            next_transfer: 0,
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        let report_age = std::mem::take(&mut self.report_age);
        self.take_reports();
        for entry in 0..self.entries.len() {
            self.hand_over_reports(entry);
        }
        self.report_age = report_age;
        for (number, fault) in self.trace.faults.iter().enumerate() {
            let at = Duration::from_millis(fault.at_ms);
            self.agenda.add(at, Event::FaultBegin(number));
            if let Some(until_ms) = fault.until_ms {
                let until = Duration::from_millis(until_ms);
                self.agenda.add(until, Event::FaultEnd(number));
            }
        }
        for (number, request) in self.trace.requests.iter().enumerate() {
            self.agenda.add(request.at, Event::Arrive(number));
        }
    }
}

fn runners(fleet: &Fleet) -> Vec<FakeRunner> {
    let mut runners = Vec::new();
    for (place, centre) in fleet.data_centres.iter().enumerate() {
        for number in 0..centre.runners {
            runners.push(FakeRunner::open(runner_name(&centre.name, number), place, fleet));
        }
    }
    runners
}

fn stores(fleet: &Fleet, ordering: ImportOrdering) -> Vec<FakeStore> {
    let mut stores = Vec::new();
    for (place, centre) in fleet.data_centres.iter().enumerate() {
        for store in &centre.stores {
            let share = fleet.serving.link_share_limit;
            stores.push(FakeStore::open(store, place, share, ordering));
        }
    }
    stores
}

fn entries(fleet: &Fleet, policy: PolicyName, rules: RoutingRules) -> Vec<EntryState> {
    let configuration = configuration(fleet);
    let mut entries = Vec::new();
    for (place, centre) in fleet.data_centres.iter().enumerate() {
        for _ in 0..centre.entries {
            let seed = entries.len() as u64 + 1;
            entries.push(EntryState {
                data_centre: place,
                placement: policy.open(&configuration, &centre.name, seed, rules),
                reports_until: None,
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

/// Spreads requests over the entry processes of their data centre, or of all.
fn entry_for(fleet: &Fleet, number: usize, request: &TraceRequest) -> usize {
    let mut first = 0;
    for centre in &fleet.data_centres {
        let count = centre.entries as usize;
        if request.data_centre.as_ref() == Some(&centre.name) && count > 0 {
            return first + number % count;
        }
        first += count;
    }
    number % first
}
