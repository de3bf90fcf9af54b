//! The lines of a trace file.

use super::fleet::Fleet;
use crate::{generate::FleetName, generate::TraceKind, outcome::Outcome};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One line of a trace file: an object with one field that says what the line is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Line {
    /// First line of the file.
    Trace(Header),
    /// Sizes of the fleet.
    Fleet(Fleet),
    /// Requests and faults that the generator makes.
    Generated(GeneratorSettings),
    /// One request.
    Request(RequestLine),
    /// One fault.
    Fault(Fault),
    /// One stated outcome.
    Outcome(Outcome),
}

/// Names the format and the trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Header {
    /// Version of the format.
    pub(super) format: u32,
    /// Name of the trace.
    pub(super) name: String,
    /// What it is about.
    #[serde(default)]
    pub(super) description: String,
}

/// Parameters of the generator.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GeneratorSettings {
    /// Which fleet's callers.
    pub fleet: FleetName,
    /// What happens.
    pub kind: TraceKind,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A request as it stands in a file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RequestLine {
    /// Arrival after the start of the trace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) at_ms: Option<f64>,
    /// Arrival after the last request of the same prefix, in place of `at_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) gap_ms: Option<f64>,
    /// Client account.
    pub(super) account: String,
    /// Model; left out, the fleet's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) model: Option<String>,
    /// Name of the prefix within its account.
    pub(super) prefix: String,
    /// Tokens of the prefix. A later request may name more: the prefix has grown at its end.
    pub(super) prefix_tokens: u64,
    /// Tokens after the prefix, never shared.
    pub(super) question_tokens: u64,
    /// Tokens of the answer.
    pub(super) answer_tokens: u64,
    /// Whether it may run twice.
    #[serde(default = "yes")]
    pub(super) repeatable: bool,
    /// Data centre of the entry process; left out, callers are spread over all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) data_centre: Option<String>,
}

fn yes() -> bool {
    true
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// Arrival at the entry process after the start of the trace.
    pub at: Duration,
    /// Client account.
    pub account: String,
    /// Model.
    pub model: String,
    /// Name of the prefix within its account.
    pub prefix: String,
    /// Tokens of the prefix.
    pub prefix_tokens: u64,
    /// Tokens after the prefix, never shared.
    pub question_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Data centre of the entry process, if fixed.
    pub data_centre: Option<String>,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The store VM is gone, and comes back empty.
    StoreDown,
    /// A store's link, or all without a target, runs at `factor` of its speed.
    SlowLink,
    /// The runner is gone; its runs are lost. It comes back with an empty cache.
    RunnerDown,
    /// The data centre reaches no other.
    DataCentreCut,
    /// New weights are rolled out from this moment; it has no end.
    WeightSwap,
    /// Load reports come `age_ms` late.
    LateReports,
}

/// A fault with its time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Beginning after the start of the trace.
    pub at_ms: u64,
    /// End after the start of the trace; left out, it lasts to the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<u64>,
    /// What goes wrong.
    pub kind: FaultKind,
    /// Store, runner or data centre that it strikes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Share of the link's speed that is left.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// Age of load reports.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

impl Fault {
    /// Whether the fault is there at this time.
    pub fn covers(&self, at: Duration) -> bool {
        let at_ms = at.as_millis();
        at_ms >= u128::from(self.at_ms)
            && self.until_ms.is_none_or(|until_ms| at_ms < u128::from(until_ms))
    }
}
