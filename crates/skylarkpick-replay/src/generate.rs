//! Makes traces from a seed.

mod arrivals;
mod fleets;
mod kinds;

pub(crate) use fleets::empty_fleet;

use crate::trace::{GeneratorSettings, Trace};
use serde::{Deserialize, Serialize};

/// Whose fleet and callers a trace is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetName {
    /// Bantay Orbit Ground Services.
    Bantay,
    /// Viti Coastline Coaches.
    Viti,
    /// One data centre's part of the planned size.
    Planned,
}

impl FleetName {
    /// Every fleet with its name on the command line.
    pub const ALL: [(&'static str, FleetName); 3] =
        [("bantay", FleetName::Bantay), ("viti", FleetName::Viti), ("planned", FleetName::Planned)];
}

/// What happens in a trace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceKind {
    /// An ordinary day.
    Ordinary,
    /// Every prefix returns after the runners have evicted it.
    ReturnAfterEviction,
    /// One long prefix is asked for by many at once.
    Surge,
    /// One large account sends ten times its usual load.
    Flood,
    /// A store VM dies and comes back empty.
    StoreDeath,
    /// Every link runs at a tenth.
    SlowLink,
    /// New weights are rolled out at the peak.
    WeightSwap,
    /// A data centre reaches no other.
    DataCentreCut,
    /// Load reports come five seconds late.
    LateReports,
}

impl TraceKind {
    /// Every kind with the end of its trace's name.
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

/// Makes a trace; equal arguments make equal traces.
///
/// ```
/// use skylarkpick_replay::{FleetName, TraceKind, generate_trace};
/// let trace = generate_trace(FleetName::Bantay, TraceKind::Ordinary, 1);
/// assert_eq!(trace.fleet.runners(), 9);
/// assert_eq!(trace, generate_trace(FleetName::Bantay, TraceKind::Ordinary, 1));
/// ```
pub fn generate_trace(fleet: FleetName, kind: TraceKind, seed: u64) -> Trace {
    let callers = arrivals::Callers::of(fleet);
    let sizes = fleets::fleet(fleet);
    let requests = kinds::requests(&callers, kind, &sizes.model, seed);
    Trace {
        name: format!("{}-{}", name_of(&FleetName::ALL, fleet), name_of(&TraceKind::ALL, kind)),
        description: kinds::describe(kind).to_string(),
        faults: kinds::faults(kind, &sizes),
        outcomes: kinds::outcomes(fleet, kind),
        fleet: sizes,
        generated: Some(GeneratorSettings { fleet, kind, seed }),
        requests,
    }
}

fn name_of<T: PartialEq>(all: &[(&'static str, T)], wanted: T) -> &'static str {
    all.iter().find(|(_, one)| *one == wanted).map_or("", |(name, _)| *name)
}
