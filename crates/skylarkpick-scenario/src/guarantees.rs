//! The guarantees of the system, and their independent check: it compares what targets ran, what
//! clients received and what the platform stores. Of the system under test, it reads only which
//! configuration is in force in a process.

mod at_most_once;
mod configuration;
mod context;
mod leaving;
mod loads;
mod not_run;
mod own_response;
mod shutdown;
mod weights;

use crate::simulation::Simulation;

/// A guarantee of the system. The variants are named after the short names, which reports print.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Guarantee {
    /// No response is computed from a freed or partly written cache block.
    SoundContext,
    /// The context of a client account is never used for another account.
    AccountsApart,
    /// A request uses only weight versions that the configuration allows when it is sent, and cache
    /// blocks of the same version.
    OneWeightVersion,
    /// Each client receives the complete response to its own request.
    WholeOwnAnswer,
    /// A request that failed as "not run" was not run by any target.
    TrueNotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target gets no new requests after a few seconds.
    LeavingGetsNothing,
    /// A graceful shutdown aborts no request.
    ShutdownCutsNothing,
    /// An accepted configuration is in force in all reachable processes within seconds, and is never
    /// reverted.
    ConfigurationInForce,
    /// No more loads of weights run concurrently than the configuration allows.
    LoadsLimited,
}

impl Guarantee {
    /// Returns the short name of the guarantee.
    ///
    /// ```
    /// assert_eq!(skylarkpick_scenario::Guarantee::AtMostOnce.name(), "at-most-once");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Guarantee::SoundContext => "sound-context",
            Guarantee::AccountsApart => "accounts-apart",
            Guarantee::OneWeightVersion => "one-weight-version",
            Guarantee::WholeOwnAnswer => "whole-own-answer",
            Guarantee::TrueNotRun => "true-not-run",
            Guarantee::AtMostOnce => "at-most-once",
            Guarantee::LeavingGetsNothing => "leaving-gets-nothing",
            Guarantee::ShutdownCutsNothing => "shutdown-cuts-nothing",
            Guarantee::ConfigurationInForce => "configuration-in-force",
            Guarantee::LoadsLimited => "loads-limited",
        }
    }
}

/// A violation of a guarantee.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Violation {
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// The observations that show the violation.
    pub detail: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "BROKEN {}: {}", self.guarantee.name(), self.detail)
    }
}

/// The violations found so far.
pub(crate) struct Violations(Vec<Violation>);

impl Violations {
    fn add(&mut self, guarantee: Guarantee, detail: String) {
        self.0.push(Violation { guarantee, detail });
    }
}

/// Checks all guarantees, and returns the violations in the order of the guarantees.
pub(crate) fn check_guarantees(simulation: &Simulation) -> Vec<Violation> {
    let mut violations = Violations(Vec::new());
    context::check(simulation, &mut violations);
    weights::check(simulation, &mut violations);
    own_response::check(simulation, &mut violations);
    not_run::check(simulation, &mut violations);
    at_most_once::check(simulation, &mut violations);
    leaving::check(simulation, &mut violations);
    shutdown::check(simulation, &mut violations);
    configuration::check(simulation, &mut violations);
    loads::check(simulation, &mut violations);
    violations.0.sort();
    violations.0
}
