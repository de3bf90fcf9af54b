//! Data centres whose targets get no requests, at the operator's request.
//!
//! Load condition: the operator drains a data centre, and the others carry its load meanwhile.

use super::selection::Placement;
use skylarkpick_interface::{DataCentreId, RegisteredTarget};
use std::collections::BTreeSet;

/// Data centres that are being evacuated.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations(BTreeSet<DataCentreId>);

impl Evacuations {
    pub(super) fn covers(&self, target: &RegisteredTarget) -> bool {
        self.0.contains(&target.data_centre)
    }
}

impl Placement {
    /// Begins or ends the evacuation of a data centre. Returns whether that changes anything.
    ///
    /// ```
    /// use skylarkpick_schedule::Placement;
    /// use std::time::Duration;
    /// let mut placement = Placement::open(Duration::from_secs(10));
    /// assert!(placement.set_evacuated("mnl-a", true));
    /// assert!(!placement.set_evacuated("mnl-a", true));
    /// assert!(placement.set_evacuated("mnl-a", false));
    /// ```
    pub fn set_evacuated(&mut self, data_centre: &str, is_evacuated: bool) -> bool {
        if is_evacuated {
            self.evacuations.0.insert(data_centre.to_string())
        } else {
            self.evacuations.0.remove(data_centre)
        }
    }

    /// Returns the data centres that are being evacuated.
    ///
    /// ```
    /// use skylarkpick_schedule::Placement;
    /// use std::time::Duration;
    /// let mut placement = Placement::open(Duration::from_secs(10));
    /// placement.set_evacuated("mnl-a", true);
    /// assert!(placement.evacuated().contains("mnl-a"));
    /// ```
    pub fn evacuated(&self) -> &BTreeSet<DataCentreId> {
        &self.evacuations.0
    }

    /// Returns whether a target gets no requests, since its data centre is being evacuated.
    pub fn is_evacuated(&self, target: &RegisteredTarget) -> bool {
        self.evacuations.covers(target)
    }
}
