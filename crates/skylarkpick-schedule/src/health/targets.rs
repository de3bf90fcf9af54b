//! Health of all targets of one kind, and which of them must not receive requests now.

use super::ejection::Ejection;
use crate::limit::{InFlightLimit, InFlightRules};
use std::{collections::BTreeMap, time::Duration};

/// Share of the targets that may be ejected at once.
const EJECTED_SHARE_LIMIT: f64 = 0.5;
/// Smallest initial in-flight limit, before the target's ceiling is applied.
const INITIAL_LIMIT_FLOOR: f64 = 16.0;
/// Highest in-flight limit for each slot of a target.
const LIMIT_PER_SLOT: f64 = 2.0;

/// Health of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetState {
    /// Failures and ejection.
    pub ejection: Ejection,
    /// In-flight limit.
    pub in_flight: InFlightLimit,
}

/// Health of all targets of one kind.
#[derive(Debug, Default)]
pub struct TargetHealth {
    targets: BTreeMap<String, TargetState>,
    wait_limit: Duration,
}

impl TargetHealth {
    /// Opens the health of targets whose in-flight limits shrink when first tokens wait for longer
    /// than `wait_limit`.
    pub fn open(wait_limit: Duration) -> TargetHealth {
        TargetHealth { targets: BTreeMap::new(), wait_limit }
    }

    /// Sets the targets with their slots. Drops the state of all others.
    pub fn set_targets(&mut self, slots: &BTreeMap<String, u32>) {
        self.targets.retain(|name, _| slots.contains_key(name));
        for (name, slots) in slots {
            let rules = self.rules(*slots);
            let state = self.targets.entry(name.clone()).or_insert_with(|| TargetState {
                ejection: Ejection::default(),
                in_flight: InFlightLimit::open(f64::from(*slots).max(INITIAL_LIMIT_FLOOR), rules),
            });
            state.in_flight.set_rules(rules);
        }
    }

    /// Counts a run in flight.
    pub fn begin(&mut self, name: &str) {
        if let Some(state) = self.targets.get_mut(name) {
            state.in_flight.begin();
        }
    }

    /// Counts a run as finished, and records a failure if it failed.
    pub fn end(&mut self, name: &str, failed: bool, now: Duration) {
        let Some(state) = self.targets.get_mut(name) else { return };
        state.in_flight.end();
        if failed {
            state.ejection.observe_failure(now);
            state.in_flight.observe_failure(now);
        }
    }

    /// Records how long a first token waited in addition to the prefill of its prompt.
    pub fn observe_first_token(&mut self, name: &str, wait: Duration, now: Duration) {
        if let Some(state) = self.targets.get_mut(name) {
            state.ejection.observe_success();
            state.in_flight.observe_wait(wait, now);
        }
    }

    /// Returns the targets that are ejected now, at most half of all targets.
    ///
    /// ```
    /// use skylarkpick_schedule::TargetHealth;
    /// use std::{collections::BTreeMap, time::Duration};
    /// let mut health = TargetHealth::open(Duration::from_millis(200));
    /// let slots = BTreeMap::from([("a".to_string(), 8), ("b".to_string(), 8)]);
    /// health.set_targets(&slots);
    /// (0..3).for_each(|_| health.end("a", true, Duration::ZERO));
    /// assert_eq!(health.ejected(Duration::ZERO), ["a"]);
    /// ```
    pub fn ejected(&self, now: Duration) -> Vec<String> {
        let ejected = self.targets.iter().filter(|(_, state)| state.ejection.is_ejected(now));
        let most = (self.targets.len() as f64 * EJECTED_SHARE_LIMIT).floor() as usize;
        ejected.take(most).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the targets whose in-flight limit is reached.
    pub fn full(&self) -> Vec<String> {
        let full = self.targets.iter().filter(|(_, state)| !state.in_flight.has_room());
        full.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the runs that may be in flight to all targets together.
    pub fn capacity(&self) -> u32 {
        self.targets.values().map(|state| state.in_flight.limit().floor() as u32).sum()
    }

    /// Returns the health of each target.
    pub fn states(&self) -> &BTreeMap<String, TargetState> {
        &self.targets
    }

    fn rules(&self, slots: u32) -> InFlightRules {
        let ceiling = (f64::from(slots) * LIMIT_PER_SLOT).max(1.0);
        InFlightRules { floor: 1.0, ceiling, wait_limit: self.wait_limit }
    }
}
