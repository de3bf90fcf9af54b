//! Adaptive limit of the runs in flight to one target, controlled by their latency.
//!
//! Additive increase and multiplicative decrease (Chiu and Jain, 1989), driven by the time that
//! first tokens waited in addition to the prefill of their prompts. The limits of processes that
//! share a target converge without communication, since all of them observe the same waits.

use std::time::Duration;

/// Rules of an in-flight limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlightRules {
    /// Lowest limit.
    pub floor: f64,
    /// Highest limit.
    pub ceiling: f64,
    /// Wait, in addition to the prefill of the prompt, above which the limit decreases.
    pub wait_limit: Duration,
}

/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.85;
/// Share of the limit that must be in use for it to increase.
const USE_SHARE: f64 = 0.7;
/// Shortest time between two decreases, so that runs delayed by the same congestion count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(500);

/// An adaptive limit of the runs in flight to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlightLimit {
    rules: InFlightRules,
    limit: f64,
    in_flight: u32,
    decreased_at: Option<Duration>,
}

impl InFlightLimit {
    /// Opens a limit that starts at `limit`.
    ///
    /// ```
    /// use skylarkpick_schedule::{InFlightLimit, InFlightRules};
    /// use std::time::Duration;
    /// let rules = InFlightRules { floor: 1.0, ceiling: 8.0, wait_limit: Duration::from_millis(200) };
    /// let mut limit = InFlightLimit::open(2.0, rules);
    /// limit.begin();
    /// limit.begin();
    /// assert!(!limit.has_room());
    /// limit.observe_wait(Duration::from_millis(10), Duration::ZERO);
    /// assert!(limit.limit() > 2.0);
    /// ```
    pub fn open(limit: f64, rules: InFlightRules) -> InFlightLimit {
        let limit = limit.clamp(rules.floor, rules.ceiling);
        InFlightLimit { rules, limit, in_flight: 0, decreased_at: None }
    }

    /// Changes the rules, for example when a target reports a different number of slots.
    pub fn set_rules(&mut self, rules: InFlightRules) {
        self.rules = rules;
        self.limit = self.limit.clamp(rules.floor, rules.ceiling);
    }

    /// Returns the current limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the runs in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether one more run may be sent.
    pub fn has_room(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.limit.floor().max(1.0)
    }

    /// Counts a run as in flight.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a run as finished.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adjusts the limit to how long a first token waited in addition to the prefill of its prompt.
    pub fn observe_wait(&mut self, wait: Duration, now: Duration) {
        if wait > self.rules.wait_limit {
            self.decrease(now);
        } else if f64::from(self.in_flight) >= self.limit * USE_SHARE {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.rules.ceiling);
        }
    }

    /// Decreases the limit because the target failed.
    pub fn observe_failure(&mut self, now: Duration) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: Duration) {
        let recent = self.decreased_at.is_some_and(|at| now < at + DECREASE_INTERVAL);
        if !recent {
            self.decreased_at = Some(now);
            self.limit = (self.limit * DECREASE_FACTOR).max(self.rules.floor);
        }
    }
}
