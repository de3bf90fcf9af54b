//! Generates traces from a seed.

mod arrivals;
mod fleets;
mod kinds;

pub(crate) use fleets::empty_fleet;

use crate::trace::{GeneratorSettings, Trace};
use serde::{Deserialize, Serialize};

/// A fleet with its workload.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetName {
    /// Bantay Orbit Ground Services.
    Bantay,
    /// Viti Coastline Coaches.
    Viti,
    /// One of the five data centres of the planned fleet size.
    Planned,
}

impl FleetName {
    /// Every fleet with its name on the command line.
    pub const ALL: [(&'static str, FleetName); 3] =
        [("bantay", FleetName::Bantay), ("viti", FleetName::Viti), ("planned", FleetName::Planned)];
}

/// Scenario of a generated trace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceKind {
    /// Ordinary load without faults.
    Ordinary,
    /// Each prefix is requested in turn, so that the runners have evicted it before it returns.
    ReturnAfterEviction,
    /// Many requests for one long prefix arrive at once.
    Surge,
    /// One account sends three times the usual load of the whole fleet.
    Flood,
    /// A store VM crashes and comes back empty.
    StoreDeath,
    /// Every link runs at a tenth of its speed.
    SlowLink,
    /// New weights are rolled out under load.
    WeightSwap,
    /// A data centre is partitioned from all others.
    DataCentreCut,
    /// Load reports are five seconds old when they arrive.
    LateReports,
}

impl TraceKind {
    /// Every kind with its name on the command line, which also ends the name of its traces.
    pub const ALL: [(&'static str, TraceKind); 9] = [
        ("ordinary", TraceKind::Ordinary),
        ("return-after-eviction", TraceKind::ReturnAfterEviction),
        ("surge", TraceKind::Surge),
        ("flood", TraceKind::Flood),
        ("store-death", TraceKind::StoreDeath),
        ("slow-link", TraceKind::SlowLink),
        ("weight-swap", TraceKind::WeightSwap),
        ("data-centre-cut", TraceKind::DataCentreCut),
        ("late-reports", TraceKind::LateReports),
    ];
}

/// Generates a trace. Equal arguments give equal traces.
///
/// ```
/// use skylarkpick_replay::{FleetName, TraceKind, generate_trace};
/// let trace = generate_trace(FleetName::Bantay, TraceKind::Ordinary, 1);
/// assert_eq!(trace.fleet.runners(), 9);
/// assert_eq!(trace, generate_trace(FleetName::Bantay, TraceKind::Ordinary, 1));
/// ```
pub fn generate_trace(fleet: FleetName, kind: TraceKind, seed: u64) -> Trace {
    let workload = arrivals::Workload::of(fleet);
    let sizes = fleets::fleet(fleet);
    let requests = kinds::requests(&workload, kind, &sizes.model, seed);
    Trace {
        name: format!("{}-{}", name_of(&FleetName::ALL, fleet), name_of(&TraceKind::ALL, kind)),
        description: kinds::description(kind).to_string(),
        faults: kinds::faults(kind, &sizes),
        outcomes: kinds::outcomes(fleet, kind),
        fleet: sizes,
        generated: Some(GeneratorSettings { fleet, kind, seed }),
        requests,
    }
}

fn name_of<T: PartialEq>(names: &[(&'static str, T)], value: T) -> &'static str {
    names.iter().find(|(_, other)| *other == value).map_or("", |(name, _)| *name)
}
