//! The independent judge. It reads what targets ran, what callers got and what the platform
//! holds, and never asks the code under test what happened.

mod at_most_once;
mod configuration;
mod context;
mod leaving;
mod loads;
mod not_run;
mod shutdown;
mod weights;
mod whole;

use crate::simulation::Simulation;

/// A promise of the system.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Guarantee {
    /// No answer is built from a freed or partly written cache block.
    SoundContext,
    /// One client account's context never reaches another.
    AccountsApart,
    /// A new request never uses blocks or weights of another version.
    OneWeightVersion,
    /// Every caller gets the whole answer to its own request.
    WholeOwnAnswer,
    /// A refusal that says "not run" is true.
    TrueNotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work after a few seconds.
    LeavingGetsNothing,
    /// A graceful shutdown cuts off no request.
    ShutdownCutsNothing,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ConfigurationInForce,
    /// No more weights are loaded at once than allowed.
    LoadsLimited,
}

impl Guarantee {
    /// The promise's short name.
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

/// A promise that was broken, with what shows it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Violation {
    /// The promise.
    pub guarantee: Guarantee,
    /// What shows it.
    pub detail: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "BROKEN {}: {}", self.guarantee.name(), self.detail)
    }
}

/// Notes broken promises.
pub(crate) struct Verdicts(Vec<Violation>);

impl Verdicts {
    fn break_promise(&mut self, guarantee: Guarantee, detail: String) {
        self.0.push(Violation { guarantee, detail });
    }
}

/// Judges every promise.
pub(crate) fn judge_all(simulation: &Simulation) -> Vec<Violation> {
    let mut verdicts = Verdicts(Vec::new());
    context::judge(simulation, &mut verdicts);
    weights::judge(simulation, &mut verdicts);
    whole::judge(simulation, &mut verdicts);
    not_run::judge(simulation, &mut verdicts);
    at_most_once::judge(simulation, &mut verdicts);
    leaving::judge(simulation, &mut verdicts);
    shutdown::judge(simulation, &mut verdicts);
    configuration::judge(simulation, &mut verdicts);
    loads::judge(simulation, &mut verdicts);
    verdicts.0.sort();
    verdicts.0
}
