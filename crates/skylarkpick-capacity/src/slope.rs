//! Slopes: the measured marginal costs, for example bytes per request or seconds per decision.

use serde::Serialize;
use std::collections::BTreeMap;

/// A measured marginal cost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Name, by which it is looked up.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
    /// How it was measured.
    pub method: String,
}

/// All slopes by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Slopes(pub BTreeMap<String, Slope>);

impl Slopes {
    /// Adds or replaces a slope.
    ///
    /// ```
    /// let mut slopes = skylarkpick_capacity::Slopes::default();
    /// slopes.record("member memory", 300.0, "bytes", "360 members held");
    /// assert_eq!(slopes.value("member memory"), 300.0);
    /// ```
    pub fn record(&mut self, name: &str, value: f64, unit: &str, method: &str) {
        let slope = Slope {
            name: name.to_string(),
            value,
            unit: unit.to_string(),
            method: method.to_string(),
        };
        self.0.insert(name.to_string(), slope);
    }

    /// Returns the value of a slope. A missing slope counts as infinite, so that every budget check
    /// that needs it fails.
    pub fn value(&self, name: &str) -> f64 {
        self.0.get(name).map_or(f64::INFINITY, |slope| slope.value)
    }
}
