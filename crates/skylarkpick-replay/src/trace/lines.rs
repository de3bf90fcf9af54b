//! The line types of a trace file.

use super::fleet::Fleet;
use crate::{generate::FleetName, generate::TraceKind, outcome::Outcome};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One line of a trace file: a JSON object with one field, whose name is the type of the line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Line {
    /// Header, the first line of the file.
    Trace(Header),
    /// Sizes and speeds of the fleet.
    Fleet(Fleet),
    /// Parameters of the generator, in place of the fleet, requests and faults.
    Generated(GeneratorSettings),
    /// One request.
    Request(RequestLine),
    /// One fault.
    Fault(Fault),
    /// One expected outcome.
    Outcome(Outcome),
}

/// Header of a trace file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Header {
    /// Version of the format.
    pub(super) format: u32,
    /// Name of the trace.
    pub(super) name: String,
    /// Description of the trace.
    #[serde(default)]
    pub(super) description: String,
}

/// Parameters of the generator.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GeneratorSettings {
    /// Fleet and its workload.
    pub fleet: FleetName,
    /// Scenario of the trace.
    pub kind: TraceKind,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A request line of a trace file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RequestLine {
    /// Arrival time, from the start of the trace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) at_ms: Option<f64>,
    /// Time from the previous request of the same prefix in the file, in place of `at_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) gap_ms: Option<f64>,
    /// Client account.
    pub(super) account: String,
    /// Model; by default the one of the fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) model: Option<String>,
    /// Name of the prefix within its account.
    pub(super) prefix: String,
    /// Tokens of the prefix. A later request may have more: the prefix has then grown at its end.
    pub(super) prefix_tokens: u64,
    /// Tokens after the prefix, never shared.
    pub(super) question_tokens: u64,
    /// Number of response tokens.
    pub(super) answer_tokens: u64,
    /// Whether it may run twice.
    #[serde(default = "default_repeatable")]
    pub(super) repeatable: bool,
    /// Data centre of the entry process; by default requests are spread over all entry processes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) data_centre: Option<String>,
}

fn default_repeatable() -> bool {
    true
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// Arrival time at the entry process, from the start of the trace.
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
    /// Number of response tokens.
    pub answer_tokens: u64,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Data centre of the entry process, if fixed.
    pub data_centre: Option<String>,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The store VM is down, and comes back empty.
    StoreDown,
    /// The link of a store, or every link if no target is given, runs at `factor` of its speed.
    SlowLink,
    /// The runner is down and its runs are lost. It comes back with an empty cache.
    RunnerDown,
    /// The data centre is partitioned from all others.
    DataCentreCut,
    /// A rollout of new weights starts. The end of the fault does not stop it; it only ends the
    /// period that `during_faults_p95_ms` covers.
    WeightSwap,
    /// Load reports arrive with an age of `age_ms`.
    LateReports,
}

/// A fault and the period in which it is active.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start, from the start of the trace.
    pub at_ms: u64,
    /// End, from the start of the trace; by default the fault lasts to the end of the trace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<u64>,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Name of the affected store, runner or data centre.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Factor of the link speed, for `slow_link`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// Age of load reports, for `late_reports`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

impl Fault {
    /// Returns whether the fault is active at this time.
    pub fn covers(&self, at: Duration) -> bool {
        let at_ms = at.as_millis();
        at_ms >= u128::from(self.at_ms)
            && self.until_ms.is_none_or(|until_ms| at_ms < u128::from(until_ms))
    }
}
