//! Estimates how slow each target is compared with the other targets of its service.
//!
//! Two figures make up the slowness. The lasting one is learned from the times of this process's own
//! requests. They aren't shared: processes that believe the same send to the same targets, and fewer
//! requests are answered in time (docs/design/target-speeds.md). The momentary one is the target's own
//! report, which is trusted only for as long as reports of the service usually stay true.

use super::{
    policy::PlacementPolicy, selection::Placement, timing::ServiceTiming, types::Assignment,
};
use serde::Deserialize;
use skylarkpick_interface::{RegisteredTarget, ServiceName, TargetId};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Times of a target that are kept. A process that sends a target one request in 13 s has nine within
/// [`SAMPLE_LIFETIME`]; the bound is for targets of small services.
const KEPT_SAMPLES: usize = 24;
/// Age from which a time is dropped.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(120);
/// Quantile of the kept times that stands for a target: mostly requests that met no queue.
const SAMPLE_QUANTILE: f64 = 0.3;
/// Number of times for which the estimate is moved halfway from the usual speed to the measured one.
const HALF_TRUSTED_SAMPLES: f64 = 4.0;
/// Consecutive times beyond [`CHANGE_FACTOR`] that show a change, after which earlier ones are dropped.
const CHANGE_SAMPLES: usize = 5;
/// Factor between a time and the estimate from which the time counts towards a change.
const CHANGE_FACTOR: f64 = 1.5;
/// Smallest deviation that counts. Smaller ones are within the error of the estimate, and would move load
/// between targets that are alike.
const SMALLEST_FACTOR: f64 = 1.1;
/// Age of the last time up to which the lasting figure counts in full.
const LASTING_FRESH_AGE: Duration = Duration::from_secs(10);
/// Age of the last time from which a target counts as usual, so that it gets requests again that show
/// whether it has recovered.
const LASTING_STALE_AGE: Duration = Duration::from_secs(40);
/// Bounds of the slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.25, 8.0);
/// Bounds of a single measured ratio in percent.
const RATIO_BOUNDS_PERCENT: (f64, f64) = (5.0, 5_000.0);
/// Reports of a target whose median is its usual figure.
const KEPT_REPORTS: usize = 9;
/// Reported figure that is usual until reports arrive.
const USUAL_REPORT_PERCENT: u32 = 100;
/// Time for which a report is trusted, until the service has shown how fast its figures change.
const REPORT_TRUST_PRIOR_MS: f64 = 300.0;
/// Bounds of that time.
const REPORT_TRUST_BOUNDS_MS: (f64, f64) = (50.0, 20_000.0);
/// Relative change of that time with one pair of reports.
const REPORT_TRUST_STEP: f64 = 0.1;
/// Factor between two figures from which they are different.
const REPORT_CHANGE_FACTOR: f64 = 1.25;
/// Changes that wait to be logged; further ones are not logged.
const CHANGES_LIMIT: usize = 32;
/// Factor between two beliefs about a target from which the change is logged.
const LOGGED_FACTOR: f64 = 1.25;
/// Interval between two updates of the usual speed of a service.
const USUAL_INTERVAL: Duration = Duration::from_secs(1);

/// For which services the speeds of single targets are learned.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum SpeedLearning {
    /// For all.
    Always,
    /// For none.
    Never,
    /// For those whose targets report their slowness.
    #[default]
    Reported,
}

/// Large change of the belief about a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpeedChange {
    /// The target.
    pub target: TargetId,
    /// Lasting slowness before, in percent of the usual time.
    pub from_percent: u32,
    /// Lasting slowness now.
    pub to_percent: u32,
}

/// What is believed of the targets of all services, for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpeedSummary {
    /// Lasting slowness of the slowest target, in percent of the usual time.
    pub slowest_percent: u32,
}

/// Speed of one target, as its costs use it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TargetPace {
    /// Time that work takes, relative to the usual time of the service.
    pub(super) slowness: f64,
}

impl Default for TargetPace {
    fn default() -> TargetPace {
        TargetPace { slowness: 1.0 }
    }
}

/// Estimates for the targets of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetSpeeds {
    services: BTreeMap<ServiceName, ServiceSpeeds>,
    changes: Vec<SpeedChange>,
}

/// Estimates for the targets of one service.
#[derive(Clone, Debug)]
struct ServiceSpeeds {
    has_reports: bool,
    targets: BTreeMap<TargetId, TargetSpeed>,
    /// Logarithm of the ratio of the median target.
    usual_log: f64,
    usual_at: Duration,
    report_trust_ms: f64,
}

/// Estimates for one incarnation of a target.
#[derive(Clone, Debug)]
struct TargetSpeed {
    started_at_ms: u64,
    times: RatioWindow,
    /// Reported figures, oldest first.
    reports_percent: VecDeque<u32>,
    last_report_at: Duration,
    logged_percent: u32,
}

/// Latest times of a target.
#[derive(Clone, Debug, Default)]
struct RatioWindow {
    /// Logarithms of the ratios, oldest first.
    ratio_logs: VecDeque<(Duration, f64)>,
    /// Quantile of these.
    level_log: f64,
}

impl Default for ServiceSpeeds {
    fn default() -> ServiceSpeeds {
        ServiceSpeeds {
            has_reports: false,
            targets: BTreeMap::new(),
            usual_log: 0.0,
            usual_at: Duration::ZERO,
            report_trust_ms: REPORT_TRUST_PRIOR_MS,
        }
    }
}

impl ServiceSpeeds {
    fn target(&mut self, target: &RegisteredTarget) -> &mut TargetSpeed {
        let speed = self
            .targets
            .entry(target.id.clone())
            .or_insert_with(|| TargetSpeed::open(target.started_at_ms));
        if speed.started_at_ms != target.started_at_ms {
            *speed = TargetSpeed::open(target.started_at_ms);
        }
        speed
    }

    fn update_usual(&mut self, now: Duration) {
        if now < self.usual_at + USUAL_INTERVAL && self.usual_at > Duration::ZERO {
            return;
        }
        self.usual_log = median(self.targets.values().map(|it| &it.times));
        self.usual_at = now;
    }

    fn observe_report(&mut self, target: &RegisteredTarget, percent: u32, now: Duration) {
        self.has_reports = true;
        let speed = self.target(target);
        let previous = speed.report_factor();
        let age_ms = now.saturating_sub(speed.last_report_at).as_secs_f64() * 1_000.0;
        speed.reports_percent.push_back(percent);
        if speed.reports_percent.len() > KEPT_REPORTS {
            speed.reports_percent.pop_front();
        }
        speed.last_report_at = now;
        let current = speed.report_factor();
        if let (Some(previous), Some(current)) = (previous, current) {
            self.observe_report_age(previous, current, age_ms);
        }
    }

    /// Learns from two reports of one target for how long an unusual figure stays true.
    fn observe_report_age(&mut self, previous: f64, current: f64, age_ms: f64) {
        if previous < REPORT_CHANGE_FACTOR {
            return;
        }
        let is_same = current >= previous / REPORT_CHANGE_FACTOR;
        let step = match is_same {
            // Two reports further apart may be of two slow phases.
            true if (self.report_trust_ms..3.0 * self.report_trust_ms).contains(&age_ms) => {
                REPORT_TRUST_STEP
            }
            false if age_ms < self.report_trust_ms => -REPORT_TRUST_STEP,
            _ => return,
        };
        let (lowest, highest) = REPORT_TRUST_BOUNDS_MS;
        self.report_trust_ms = (self.report_trust_ms * step.exp()).clamp(lowest, highest);
    }

    /// Returns the learned slowness of a target. Without recent times, it counts as usual.
    fn lasting(&self, speed: &TargetSpeed, now: Duration) -> f64 {
        let deviation_log = speed.times.level_log - self.usual_log;
        let slowness_log = deviation_log * speed.times.trusted_share(now);
        if slowness_log.abs() < SMALLEST_FACTOR.ln() { 1.0 } else { slowness_log.exp() }
    }

    fn lasting_percent(&self, target: &str, now: Duration) -> u32 {
        let slowness = self.targets.get(target).map_or(1.0, |speed| self.lasting(speed, now));
        (slowness * 100.0).round() as u32
    }

    fn pace(&self, target: &str, now: Duration) -> TargetPace {
        let Some(speed) = self.targets.get(target) else { return TargetPace::default() };
        let momentary = speed.report_factor().map_or(1.0, |factor| {
            let age_ms = now.saturating_sub(speed.last_report_at).as_secs_f64() * 1_000.0;
            factor.powf((-age_ms / self.report_trust_ms).exp())
        });
        let (lowest, highest) = SLOWNESS_BOUNDS;
        let slowness = (self.lasting(speed, now) * momentary).clamp(lowest, highest);
        TargetPace { slowness }
    }
}

impl RatioWindow {
    /// Adds a time.
    fn observe(&mut self, ratio_log: f64, now: Duration) {
        while self.ratio_logs.front().is_some_and(|(at, _)| *at + SAMPLE_LIFETIME < now)
            || self.ratio_logs.len() >= KEPT_SAMPLES
        {
            self.ratio_logs.pop_front();
        }
        self.ratio_logs.push_back((now, ratio_log));
        self.drop_before_change();
        let mut sorted: Vec<f64> = self.ratio_logs.iter().map(|(_, log)| *log).collect();
        sorted.sort_by(f64::total_cmp);
        self.level_log = sorted[((sorted.len() - 1) as f64 * SAMPLE_QUANTILE) as usize];
    }

    /// Drops the times before a change that the latest ones show.
    fn drop_before_change(&mut self) {
        let Some(earlier) = self.ratio_logs.len().checked_sub(CHANGE_SAMPLES) else { return };
        let latest = self.ratio_logs.iter().skip(earlier).map(|(_, log)| *log);
        let distance = CHANGE_FACTOR.ln();
        let is_slower = latest.clone().all(|log| log > self.level_log + distance);
        let is_faster = latest.clone().all(|log| log < self.level_log - distance);
        if earlier > 0 && (is_slower || is_faster) {
            self.ratio_logs.drain(..earlier);
        }
    }

    /// Returns how much the times count, by their number and the age of the last one.
    fn trusted_share(&self, now: Duration) -> f64 {
        let Some((last_at, _)) = self.ratio_logs.back() else { return 0.0 };
        let count = self.ratio_logs.len() as f64;
        let age = now.saturating_sub(*last_at).saturating_sub(LASTING_FRESH_AGE);
        let fading = (LASTING_STALE_AGE - LASTING_FRESH_AGE).as_secs_f64();
        let fresh_share = (1.0 - age.as_secs_f64() / fading).max(0.0);
        count / (count + HALF_TRUSTED_SAMPLES) * fresh_share
    }
}

/// Returns the median of the levels of targets that were measured.
fn median<'a>(windows: impl Iterator<Item = &'a RatioWindow>) -> f64 {
    let measured = windows.filter(|it| !it.ratio_logs.is_empty());
    let mut levels: Vec<f64> = measured.map(|it| it.level_log).collect();
    levels.sort_by(f64::total_cmp);
    levels.get(levels.len() / 2).copied().unwrap_or(0.0)
}

impl TargetSpeed {
    fn open(started_at_ms: u64) -> TargetSpeed {
        TargetSpeed {
            started_at_ms,
            times: RatioWindow::default(),
            reports_percent: VecDeque::new(),
            last_report_at: Duration::ZERO,
            logged_percent: 100,
        }
    }

    /// Returns the last reported figure relative to the usual one of the target.
    fn report_factor(&self) -> Option<f64> {
        let last = *self.reports_percent.back()?;
        let mut sorted: Vec<u32> = self.reports_percent.iter().copied().collect();
        sorted.push(USUAL_REPORT_PERCENT);
        sorted.sort_unstable();
        let usual = sorted[(sorted.len() - 1) / 2].max(1);
        Some(f64::from(last.max(1)) / f64::from(usual))
    }
}

impl TargetSpeeds {
    fn is_on(&self, service: &str, policy: &PlacementPolicy) -> bool {
        match policy.target_speeds {
            SpeedLearning::Always => true,
            SpeedLearning::Never => false,
            SpeedLearning::Reported => self.services.get(service).is_some_and(|it| it.has_reports),
        }
    }

    /// Returns what the costs of a target use.
    pub(super) fn pace(
        &self,
        target: &RegisteredTarget,
        policy: &PlacementPolicy,
        now: Duration,
    ) -> TargetPace {
        if !self.is_on(&target.service, policy) {
            return TargetPace::default();
        }
        let service = self.services.get(&target.service);
        service.map_or_else(TargetPace::default, |it| it.pace(&target.id, now))
    }

    /// Applies a figure that a target reported.
    pub(super) fn observe_report(
        &mut self,
        target: &RegisteredTarget,
        percent: u32,
        policy: &PlacementPolicy,
        now: Duration,
    ) {
        if policy.target_speeds != SpeedLearning::Never {
            let service = self.services.entry(target.service.clone()).or_default();
            service.observe_report(target, percent, now);
        }
    }

    /// Forgets a target that is gone or has started again.
    pub(super) fn forget(&mut self, target: &str) {
        for service in self.services.values_mut() {
            service.targets.remove(target);
        }
    }

    /// Applies the time of a request, in percent of the time that such a request usually takes.
    pub(super) fn observe_time(
        &mut self,
        target: &RegisteredTarget,
        ratio_percent: f64,
        now: Duration,
    ) {
        let (lowest, highest) = RATIO_BOUNDS_PERCENT;
        let ratio_log = (ratio_percent.clamp(lowest, highest) / 100.0).ln();
        let service = self.services.entry(target.service.clone()).or_default();
        service.target(target).times.observe(ratio_log, now);
        service.update_usual(now);
        let to_percent = service.lasting_percent(&target.id, now);
        let speed = service.target(target);
        let from_percent = speed.logged_percent;
        let factor = f64::from(to_percent.max(1)) / f64::from(from_percent.max(1));
        if factor >= LOGGED_FACTOR || factor <= 1.0 / LOGGED_FACTOR {
            speed.logged_percent = to_percent;
            if self.changes.len() < CHANGES_LIMIT {
                let target = target.id.clone();
                self.changes.push(SpeedChange { target, from_percent, to_percent });
            }
        }
    }
}

impl Placement {
    /// Records that the response to a prompt started `elapsed` after it was sent. A prompt with transfers
    /// says little of its target's speed.
    pub fn observe_prompt_speed(
        &mut self,
        assignment: &Assignment,
        elapsed: Duration,
        now: Duration,
    ) {
        if assignment.transfers.is_empty() {
            self.observe_speed(assignment, elapsed, now, |timing| {
                timing.response_ms() + timing.prefill_ms(assignment.prefill_tokens)
            });
        }
    }

    /// Records that a target served a call within `elapsed`.
    pub(super) fn observe_call_speed(
        &mut self,
        assignment: &Assignment,
        elapsed: Duration,
        now: Duration,
    ) {
        if assignment.weight_version.is_none() {
            self.observe_speed(assignment, elapsed, now, ServiceTiming::run_ms);
        }
    }

    fn observe_speed(
        &mut self,
        assignment: &Assignment,
        elapsed: Duration,
        now: Duration,
        expected_ms: impl Fn(&ServiceTiming) -> f64,
    ) {
        let Some(state) = self.targets.get(&assignment.target) else { return };
        let target = &state.registration;
        let is_same_start = target.started_at_ms == assignment.started_at_ms;
        if !is_same_start || !self.speeds.is_on(&target.service, &self.policy) {
            return;
        }
        let expected_ms = expected_ms(&self.timing(&target.service)).max(f64::MIN_POSITIVE);
        let ratio_percent = elapsed.as_secs_f64() * 100_000.0 / expected_ms;
        self.speeds.observe_time(target, ratio_percent, now);
    }

    /// Returns the large changes of what is believed of targets since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.speeds.changes)
    }

    /// Returns what is believed of all targets, or `None` while no speeds are learned.
    ///
    /// ```
    /// use skylarkpick_schedule::Placement;
    /// use std::time::Duration;
    /// let placement = Placement::open(Duration::from_secs(10));
    /// assert_eq!(placement.speed_summary(Duration::ZERO), None);
    /// ```
    pub fn speed_summary(&self, now: Duration) -> Option<SpeedSummary> {
        let learned = self.speeds.services.iter();
        let learned: Vec<&ServiceSpeeds> = learned
            .filter(|(name, _)| self.speeds.is_on(name, &self.policy))
            .map(|(_, service)| service)
            .collect();
        let slowest = learned.iter().flat_map(|service| {
            service.targets.values().map(|target| service.lasting(target, now))
        });
        let slowest = slowest.max_by(f64::total_cmp)?;
        Some(SpeedSummary { slowest_percent: (slowest * 100.0).round() as u32 })
    }
}
