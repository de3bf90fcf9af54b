//! Outcomes that a trace states, and their checks.

use serde::{Deserialize, Serialize};

/// A metric that an outcome bounds. Times to first token are in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Median time to first token.
    FirstTokenP50Ms,
    /// 95th percentile of the time to first token.
    FirstTokenP95Ms,
    /// 99th percentile of the time to first token.
    FirstTokenP99Ms,
    /// 95th percentile over the requests that arrive during a fault.
    DuringFaultsP95Ms,
    /// 95th percentile over the requests of all accounts except `account`.
    OtherAccountsP95Ms,
    /// Computed prefix tokens divided by requested prefix tokens.
    RecomputedShare,
    /// Bytes sent over all links.
    LinkBytes,
    /// Largest utilization of one link in a window of ten seconds, from 0 to 1.
    LinkPeakShare,
    /// Requests that were refused or timed out.
    Refusals,
    /// Jain's fairness index over the accounts that sent requests.
    Fairness,
    /// Largest number of weight loads in progress at once.
    LoadsAtOnce,
}

/// A value that a metric is compared with; `at_most` and `at_least` are then factors of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reference {
    /// The floor of the metric.
    Floor,
    /// The round robin baseline.
    RoundRobin,
    /// The least loaded baseline.
    LeastLoaded,
    /// The baseline that always sends a prefix to the same runner.
    Sticky,
    /// The baseline that imports whenever there is a saved copy.
    AlwaysImport,
    /// The lowest value of round robin, least loaded and sticky.
    BestBaseline,
    /// The same policy, over the requests that arrive before the first fault.
    BeforeFaults,
    /// The same policy on the same trace without the requests of `account`.
    WithoutAccount,
}

/// An outcome that a trace states: bounds on one metric.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// Metric that is bounded.
    pub measure: Metric,
    /// Largest allowed value, or factor of the reference.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Smallest allowed value, or factor of the reference.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// Reference that the bounds are multiplied with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<Reference>,
    /// Account, for a metric or a reference that needs one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
}

/// The result of checking an outcome.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OutcomeCheck {
    /// The stated outcome.
    pub outcome: Outcome,
    /// The value of the metric.
    pub found: f64,
    /// The value of the reference, if the outcome names one.
    pub reference: Option<f64>,
    /// Whether the outcome holds.
    pub holds: bool,
}

impl Outcome {
    /// Checks a value of the metric. An outcome with an unavailable reference does not hold.
    ///
    /// ```
    /// use skylarkpick_replay::Outcome;
    /// let text = r#"{"measure": "recomputed_share", "at_most": 1.15, "times": "floor"}"#;
    /// let outcome: Outcome = serde_json::from_str(text).unwrap();
    /// assert!(outcome.check(0.11, Some(0.1)).holds);
    /// assert!(!outcome.check(0.12, Some(0.1)).holds);
    /// ```
    pub fn check(&self, found: f64, reference: Option<f64>) -> OutcomeCheck {
        let factor = match (self.times, reference) {
            (None, _) => Some(1.0),
            (Some(_), reference) => reference,
        };
        let below = |limit: f64| factor.is_some_and(|factor| found <= limit * factor);
        let above = |limit: f64| factor.is_some_and(|factor| found >= limit * factor);
        let holds = self.at_most.is_none_or(below) && self.at_least.is_none_or(above);
        OutcomeCheck { outcome: self.clone(), found, reference, holds }
    }
}
