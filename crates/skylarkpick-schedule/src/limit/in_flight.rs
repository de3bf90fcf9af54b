//! A limit on what is in flight to one target, which follows its measured latency.
//!
//! Additive increase, multiplicative decrease (Chiu and Jain, 1989) on the time that first tokens
//! waited beyond the computing of their prompts. Processes that share a target need not talk for
//! their limits to come to rest: each sees the same waits.

use std::time::Duration;

/// Rules of an in-flight limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlightRules {
    /// Limit that is never gone below.
    pub floor: f64,
    /// Limit that is never gone above.
    pub ceiling: f64,
    /// Wait beyond the computing of the prompt above which the limit shrinks.
    pub wait_limit: Duration,
}

/// Factor by which the limit shrinks.
const DECREASE_FACTOR: f64 = 0.85;
/// Share of the limit that must be in use before it grows.
const USE_SHARE: f64 = 0.7;
/// Time between two decreases, so that one bad moment counts once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(500);

/// A limit on what is in flight to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlightLimit {
    rules: InFlightRules,
    limit: f64,
    in_flight: u32,
    decreased_at: Option<Duration>,
}

impl InFlightLimit {
    /// Opens a limit that begins at `limit`.
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

    /// Changes the rules, as when a target reports other slots.
    pub fn set_rules(&mut self, rules: InFlightRules) {
        self.rules = rules;
        self.limit = self.limit.clamp(rules.floor, rules.ceiling);
    }

    /// The limit now.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// What is in flight now.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether one more may be sent.
    pub fn has_room(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.limit.floor().max(1.0)
    }

    /// Counts one more in flight.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts one less in flight.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in how long a first token waited beyond the computing of its prompt.
    pub fn observe_wait(&mut self, wait: Duration, now: Duration) {
        if wait > self.rules.wait_limit {
            self.decrease(now);
        } else if f64::from(self.in_flight) >= self.limit * USE_SHARE {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.rules.ceiling);
        }
    }

    /// Takes in that the target failed.
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
