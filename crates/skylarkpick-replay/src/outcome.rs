//! Stated outcomes and their judgement.

use serde::{Deserialize, Serialize};

/// A figure that an outcome is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// 50 in 100 requests have their first token within so many milliseconds.
    FirstTokenP50Ms,
    /// 95 in 100.
    FirstTokenP95Ms,
    /// 99 in 100.
    FirstTokenP99Ms,
    /// 95 in 100 of the requests that arrive while a fault is there.
    DuringFaultsP95Ms,
    /// 95 in 100 of the requests of every account but `account`.
    OtherAccountsP95Ms,
    /// Prefix tokens computed over prefix tokens asked for.
    RecomputedShare,
    /// Bytes over all links.
    LinkBytes,
    /// Largest share of one link used in a window of ten seconds.
    LinkPeakShare,
    /// Requests refused or given up.
    Refusals,
    /// Jain's index over the accounts with demand.
    Fairness,
    /// Loads of weights under way at once.
    LoadsAtOnce,
}

/// What a figure is compared with; `at_most` and `at_least` are then factors on it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reference {
    /// The floor of the measure.
    Floor,
    /// The round robin baseline.
    RoundRobin,
    /// The least loaded baseline.
    LeastLoaded,
    /// The baseline sticky by prefix.
    Sticky,
    /// Least loaded, importing whatever is saved.
    AlwaysImport,
    /// The best of round robin, least loaded and sticky.
    BestBaseline,
    /// The same policy, over the requests that arrive before the first fault.
    BeforeFaults,
    /// The same policy on the same trace without the requests of `account`.
    WithoutAccount,
}

/// A stated outcome.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// Figure that it is about.
    pub measure: Metric,
    /// Largest allowed value, or factor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Smallest allowed value, or factor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// What the figure is compared with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<Reference>,
    /// Account of a measure or a reference that needs one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
}

/// A stated outcome with what was found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OutcomeCheck {
    /// What was stated.
    pub outcome: Outcome,
    /// The figure found.
    pub found: f64,
    /// What it was compared with, if anything.
    pub reference: Option<f64>,
    /// Whether the outcome holds.
    pub holds: bool,
}

impl Outcome {
    /// Judges a figure.
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
