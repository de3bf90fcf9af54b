//! Tracked state of one target: its load, its cooldowns, and the weights that it serves.

use super::memory::MemoryView;
use crate::Ejection;
use skylarkpick_interface::{ModelName, RegisteredTarget, ReportedLoad, WeightVersion};
use std::{collections::BTreeMap, time::Duration};

/// Age up to which a load report counts in full.
const FRESH_LOAD_AGE: Duration = Duration::from_millis(1_500);
/// Age from which a load report no longer counts. In between, its weight falls linearly.
const STALE_LOAD_AGE: Duration = Duration::from_secs(6);
/// Cooldown of a target that rejected a request, unless it is known to have had free slots.
const SHED_COOLDOWN: Duration = Duration::from_millis(300);
/// Cooldown of a target that rejected a request although it had free slots: it is swapping its
/// weights, which takes more than a second.
const SWAP_COOLDOWN: Duration = Duration::from_millis(1_500);
/// Cooldown of a target that was ordered to swap its weights: runs in progress finish first.
const ORDERED_SWAP_COOLDOWN: Duration = Duration::from_millis(5_500);
/// First cooldown of an unreachable target. It doubles with each further failure.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(800);
/// Longest cooldown of an unreachable target.
const UNREACHABLE_COOLDOWN_LIMIT: Duration = Duration::from_secs(4);

/// What the outcome of a request says about the target's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// The target served the request.
    Served,
    /// The target reported that it did not run the request.
    Rejected,
    /// The target failed the request.
    Failed,
    /// The target could not be reached, or stopped responding.
    Unreachable,
    /// The request was not sent.
    NotSent,
    /// The outcome says nothing about the target, for example because the client disconnected.
    Unknown,
}

/// Tracked state of one target.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Registration of the target.
    pub registration: RegisteredTarget,
    /// Requests of this process in flight at the target.
    pub own_requests: u32,
    /// Tokens of the target's memory that these requests take.
    pub own_tokens: u64,
    /// Prompt tokens of these requests that are not prefilled yet.
    pub own_prefill_tokens: u64,
    /// Memory use of an engine.
    pub(super) memory: MemoryView,
    last_report: Option<LoadSample>,
    rejecting_until: Duration,
    unreachable_until: Duration,
    unreachable_count: u32,
    ejection: Ejection,
    observed_weights: BTreeMap<ModelName, WeightVersion>,
}

/// A load report with the state of this process when it arrived.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    load: ReportedLoad,
    received_at: Duration,
    own_requests: u32,
}

impl TargetView {
    pub(super) fn open(registration: RegisteredTarget) -> TargetView {
        TargetView {
            registration,
            own_requests: 0,
            own_tokens: 0,
            own_prefill_tokens: 0,
            memory: MemoryView::default(),
            last_report: None,
            rejecting_until: Duration::ZERO,
            unreachable_until: Duration::ZERO,
            unreachable_count: 0,
            ejection: Ejection::default(),
            observed_weights: BTreeMap::new(),
        }
    }

    /// Returns whether a registration belongs to another incarnation of the target.
    pub(super) fn is_other_incarnation(&self, registration: &RegisteredTarget) -> bool {
        self.registration.started_at_ms != registration.started_at_ms
            || self.registration.address != registration.address
            || self.registration.software_version != registration.software_version
    }

    /// Returns the weights that new runs of a model start on: the highest version registered or
    /// observed.
    pub fn weight_version(&self, model: &str) -> Option<WeightVersion> {
        let registered = self.registration.weights.get(model).copied();
        registered.max(self.observed_weights.get(model).copied())
    }

    /// Returns whether the target is in cooldown after it rejected requests, failed them or was
    /// unreachable.
    pub fn is_in_cooldown(&self, now: Duration) -> bool {
        now < self.rejecting_until || now < self.unreachable_until || self.ejection.is_ejected(now)
    }

    /// Returns the estimated requests in flight at the target: those of this process, and those of
    /// others by the last load report.
    pub fn requests(&self, now: Duration) -> f64 {
        let others = self.last_report.map_or(0.0, |report| {
            f64::from(report.load.requests().saturating_sub(report.own_requests))
                * report_weight(now.saturating_sub(report.received_at))
        });
        others + f64::from(self.own_requests)
    }

    /// Returns the requests that wait at the target for their first token, by the last load report.
    pub fn reported_waiting(&self, now: Duration) -> f64 {
        self.last_report.map_or(0.0, |report| {
            f64::from(report.load.waiting) * report_weight(now.saturating_sub(report.received_at))
        })
    }

    /// Returns the requests that the target runs at once.
    pub fn slots(&self) -> u32 {
        self.last_report.map_or(self.registration.slots, |report| report.load.slots).max(1)
    }

    /// Returns the age of the last load report.
    pub fn load_age(&self, now: Duration) -> Option<Duration> {
        self.last_report.map(|report| now.saturating_sub(report.received_at))
    }

    /// Replaces the registration by a newer one of the same incarnation.
    pub(super) fn set_registration(&mut self, registration: RegisteredTarget) {
        if registration.weights != self.registration.weights {
            // The swap for which the target rejected requests has ended.
            self.rejecting_until = Duration::ZERO;
        }
        self.registration = registration;
    }

    pub(super) fn note_swapping(&mut self, now: Duration) {
        self.rejecting_until = now + ORDERED_SWAP_COOLDOWN;
    }

    pub(super) fn observe_load(&mut self, load: ReportedLoad, now: Duration) {
        let own_requests = self.own_requests;
        self.last_report = Some(LoadSample { load, received_at: now, own_requests });
    }

    pub(super) fn observe_weights(&mut self, model: &str, version: WeightVersion) {
        if Some(version) > self.weight_version(model) {
            // The swap for which the target rejected requests has ended.
            self.rejecting_until = Duration::ZERO;
            self.observed_weights.insert(model.to_string(), version);
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
                let had_free_slots = self.last_report.is_some_and(|report| {
                    report.received_at == now || now < report.received_at + FRESH_LOAD_AGE
                } && report.load.requests() < report.load.slots);
                let cooldown = if had_free_slots { SWAP_COOLDOWN } else { SHED_COOLDOWN };
                self.rejecting_until = now + cooldown;
            }
            TargetOutcome::Failed => self.ejection.observe_failure(now),
            TargetOutcome::Unreachable => {
                let factor = 2_u32.saturating_pow(self.unreachable_count.min(8));
                let cooldown =
                    UNREACHABLE_COOLDOWN.saturating_mul(factor).min(UNREACHABLE_COOLDOWN_LIMIT);
                self.unreachable_until = now + cooldown;
                self.unreachable_count += 1;
            }
            TargetOutcome::NotSent | TargetOutcome::Unknown => {}
        }
    }
}

/// Returns how much a load report of this age counts, from 1 to 0.
fn report_weight(age: Duration) -> f64 {
    if age <= FRESH_LOAD_AGE {
        return 1.0;
    }
    let elapsed_share =
        (age - FRESH_LOAD_AGE).as_secs_f64() / (STALE_LOAD_AGE - FRESH_LOAD_AGE).as_secs_f64();
    (1.0 - elapsed_share).max(0.0)
}
