//! What is known of one target.

use crate::Ejection;
use skylarkpick_interface::{ModelName, RegisteredTarget, ReportedLoad, WeightVersion};
use std::{collections::BTreeMap, time::Duration};

/// Time for which a target's word on its load is taken in full.
const LOAD_FRESH: Duration = Duration::from_millis(1_500);
/// Time after which a target's word on its load says nothing any more.
const LOAD_STALE: Duration = Duration::from_secs(6);
/// Time for which a target that turned a request away gets none.
const SHED_PAUSE: Duration = Duration::from_millis(300);
/// The same for a target that had room: it swaps its weights, which takes more than a second.
const SWAP_PAUSE: Duration = Duration::from_millis(1_500);
/// The same for a target that is known to have been ordered to: runs under way finish first.
const ORDERED_SWAP_PAUSE: Duration = Duration::from_millis(5_500);
/// Time for which a target that could not be reached is a last choice; doubles each time.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(800);
/// Longest such time.
const UNREACHABLE_PAUSE_LIMIT: Duration = Duration::from_secs(4);

/// How a request ended at a target, as far as the target's health goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// It did what was asked.
    Served,
    /// It said that it did not run the request.
    Rejected,
    /// It failed the request.
    Failed,
    /// It could not be reached, or fell silent.
    Unreachable,
    /// Nothing follows for the target, for example when the client left.
    Unknown,
}

/// What is known of one target.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Its registration.
    pub registration: RegisteredTarget,
    /// Requests of this process under way there.
    pub own_requests: u32,
    /// Memory that these requests take there.
    pub own_tokens: u64,
    /// Prompt tokens of these requests that are not read yet.
    pub own_prefill_tokens: u64,
    told: Option<Told>,
    turned_away_until: Duration,
    unreachable_until: Duration,
    unreachable_count: u32,
    ejection: Ejection,
    seen_weights: BTreeMap<ModelName, WeightVersion>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    load: ReportedLoad,
    at: Duration,
    own_then: u32,
}

impl TargetView {
    pub(super) fn open(registration: RegisteredTarget) -> TargetView {
        TargetView {
            registration,
            own_requests: 0,
            own_tokens: 0,
            own_prefill_tokens: 0,
            told: None,
            turned_away_until: Duration::ZERO,
            unreachable_until: Duration::ZERO,
            unreachable_count: 0,
            ejection: Ejection::default(),
            seen_weights: BTreeMap::new(),
        }
    }

    /// Whether a registration tells of another life than this one.
    pub(super) fn is_other_life(&self, listed: &RegisteredTarget) -> bool {
        self.registration.started_at_ms != listed.started_at_ms
            || self.registration.address != listed.address
    }

    /// Weights that new runs of a model begin on there, by all that was seen.
    pub fn weight_version(&self, model: &str) -> Option<WeightVersion> {
        let listed = self.registration.weights.get(model).copied();
        listed.max(self.seen_weights.get(model).copied())
    }

    /// Whether it turned a request away or could not be reached a moment ago.
    pub fn is_resting(&self, now: Duration) -> bool {
        now < self.turned_away_until
            || now < self.unreachable_until
            || self.ejection.is_ejected(now)
    }

    /// Requests under way there, this process's own and the others' as the target told last.
    pub fn requests(&self, now: Duration) -> f64 {
        let others = self.told.map_or(0.0, |told| {
            let total = told.load.running + told.load.waiting;
            f64::from(total.saturating_sub(told.own_then)) * freshness(now.saturating_sub(told.at))
        });
        others + f64::from(self.own_requests)
    }

    /// Requests of others that wait there for their first answer, as the target told last.
    pub fn others_waiting(&self, now: Duration) -> f64 {
        self.told.map_or(0.0, |told| {
            f64::from(told.load.waiting) * freshness(now.saturating_sub(told.at))
        })
    }

    /// Requests that it runs at once.
    pub fn slots(&self) -> u32 {
        self.told.map_or(self.registration.slots, |told| told.load.slots).max(1)
    }

    /// Age of its word on its load.
    pub fn load_age(&self, now: Duration) -> Option<Duration> {
        self.told.map(|told| now.saturating_sub(told.at))
    }

    /// Takes over a newer registration of the same life.
    pub(super) fn set_listed(&mut self, listed: RegisteredTarget) {
        if listed.weights != self.registration.weights {
            // The swap that it turned requests away for is over.
            self.turned_away_until = Duration::ZERO;
        }
        self.registration = listed;
    }

    pub(super) fn note_swapping(&mut self, now: Duration) {
        self.turned_away_until = now + ORDERED_SWAP_PAUSE;
    }

    pub(super) fn observe_load(&mut self, load: ReportedLoad, now: Duration) {
        self.told = Some(Told { load, at: now, own_then: self.own_requests });
    }

    pub(super) fn observe_weights(&mut self, model: &str, version: WeightVersion) {
        if Some(version) > self.weight_version(model) {
            // The swap that it turned requests away for is over.
            self.turned_away_until = Duration::ZERO;
            self.seen_weights.insert(model.to_string(), version);
        }
    }

    pub(super) fn observe_outcome(&mut self, outcome: TargetOutcome, now: Duration) {
        match outcome {
            TargetOutcome::Served => {
                self.ejection.observe_success();
                self.unreachable_count = 0;
                self.unreachable_until = Duration::ZERO;
            }
            TargetOutcome::Rejected => {
                let had_room = self.told.is_some_and(|told| {
                    told.at == now || now < told.at + LOAD_FRESH
                } && told.load.running + told.load.waiting < told.load.slots);
                let pause = if had_room { SWAP_PAUSE } else { SHED_PAUSE };
                self.turned_away_until = now + pause;
            }
            TargetOutcome::Failed => self.ejection.observe_failure(now),
            TargetOutcome::Unreachable => {
                let factor = 2_u32.saturating_pow(self.unreachable_count.min(8));
                let pause = UNREACHABLE_PAUSE.saturating_mul(factor).min(UNREACHABLE_PAUSE_LIMIT);
                self.unreachable_until = now + pause;
                self.unreachable_count += 1;
            }
            TargetOutcome::Unknown => {}
        }
    }
}

/// How much a word of this age still says, from 1 to 0.
fn freshness(age: Duration) -> f64 {
    if age <= LOAD_FRESH {
        return 1.0;
    }
    let faded = (age - LOAD_FRESH).as_secs_f64() / (LOAD_STALE - LOAD_FRESH).as_secs_f64();
    (1.0 - faded).max(0.0)
}
