//! Estimates how slow each target is compared with the other targets of its service, and the load from
//! which times grow.
//!
//! Two figures make up the slowness. The lasting one is learned from the times of requests, of which a
//! process sees few for each target, so that processes share them. The momentary one is the target's own
//! report, which is trusted only for as long as reports of the service usually stay true.

use super::{
    policy::PlacementPolicy, selection::Placement, timing::ServiceTiming, types::Assignment,
};
use serde::{Deserialize, Serialize};
use skylarkpick_interface::{RegisteredTarget, ServiceName, TargetId};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Times of a target that are kept. At 3.5 requests per second, a target's share in the planned load, they
/// are those of the last 7 s.
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
/// Classes of load, each an eighth of the slots; the last one is for loads beyond the slots.
const LOAD_CLASSES: usize = 9;
/// Classes in the slots of a target.
const CLASSES_PER_SLOTS: f64 = 8.0;
/// Number of times from which the mean of a class of load counts.
const CLASS_SAMPLES: f64 = 12.0;
/// Largest weight of the earlier times in the mean of a class.
const CLASS_MEMORY_SAMPLES: f64 = 100.0;
/// Factor between the times at low load and in a class from which the class is beyond the load that
/// targets handle well.
const GROWTH_FACTOR: f64 = 1.6;
/// Times that wait to be told to others; the oldest are dropped.
const UNTOLD_LIMIT: usize = 32;
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
    #[default]
    Never,
    /// For those whose targets report their slowness.
    Reported,
}

/// Time of one request at a target, which processes share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedSample {
    /// Name of the target.
    pub target: TargetId,
    /// Start of the target's incarnation.
    pub started_at_ms: u64,
    /// Measured time, in percent of the time that such a request takes at a usual target of the service.
    pub ratio_percent: u32,
    /// Requests at the target at that time, in percent of its slots, if it reported them.
    #[serde(default)]
    pub load_percent: Option<u32>,
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
    /// Lowest load that the targets of a service handle well, in percent of their slots.
    pub handled_percent: u32,
}

/// Speed and load limit of one target, as its costs use them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TargetPace {
    /// Time that work takes, relative to the usual time of the service.
    pub(super) slowness: f64,
    /// Share of the slots up to which times don't grow.
    pub(super) handled_share: f64,
}

impl Default for TargetPace {
    fn default() -> TargetPace {
        TargetPace { slowness: 1.0, handled_share: f64::INFINITY }
    }
}

impl TargetPace {
    /// Returns the number of requests beyond those that a target handles well, relative to them.
    pub(super) fn excess(&self, requests: f64, slots: f64) -> f64 {
        if self.handled_share.is_infinite() {
            return 0.0;
        }
        let handled = (self.handled_share * slots).max(1.0);
        ((requests - handled) / handled).max(0.0)
    }
}

/// Estimates for the targets of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetSpeeds {
    services: BTreeMap<ServiceName, ServiceSpeeds>,
    untold: VecDeque<SpeedSample>,
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
    load_growth: LoadGrowth,
}

/// Estimates for one incarnation of a target.
#[derive(Clone, Debug)]
struct TargetSpeed {
    started_at_ms: u64,
    /// Logarithms of the ratios, oldest first.
    ratio_logs: VecDeque<(Duration, f64)>,
    /// Quantile of these.
    level_log: f64,
    /// Reported figures, oldest first.
    reports_percent: VecDeque<u32>,
    last_report_at: Duration,
    logged_percent: u32,
}

/// Mean of the times by class of load, for the targets of one service together: a process and class see too
/// few requests of each target.
#[derive(Clone, Copy, Debug, Default)]
struct LoadGrowth {
    classes: [LoadClass; LOAD_CLASSES],
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadClass {
    mean_log: f64,
    samples: f64,
}

impl LoadGrowth {
    fn observe(&mut self, load_share: f64, excess_log: f64) {
        let index = ((load_share * CLASSES_PER_SLOTS) as usize).min(LOAD_CLASSES - 1);
        let class = &mut self.classes[index];
        class.samples = (class.samples + 1.0).min(CLASS_MEMORY_SAMPLES);
        class.mean_log += (excess_log - class.mean_log) / class.samples;
    }

    /// Returns the share of the slots up to which times don't grow.
    fn handled_share(&self) -> f64 {
        let mut known =
            self.classes.iter().enumerate().filter(|(_, it)| it.samples >= CLASS_SAMPLES);
        let Some((_, lowest)) = known.next() else { return f64::INFINITY };
        let is_grown = |class: &LoadClass| class.mean_log > lowest.mean_log + GROWTH_FACTOR.ln();
        let grown = known.find(|(_, class)| is_grown(class));
        grown.map_or(f64::INFINITY, |(index, _)| index as f64 / CLASSES_PER_SLOTS)
    }
}

impl Default for ServiceSpeeds {
    fn default() -> ServiceSpeeds {
        ServiceSpeeds {
            has_reports: false,
            targets: BTreeMap::new(),
            usual_log: 0.0,
            usual_at: Duration::ZERO,
            report_trust_ms: REPORT_TRUST_PRIOR_MS,
            load_growth: LoadGrowth::default(),
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
        let measured = self.targets.values().filter(|it| !it.ratio_logs.is_empty());
        let mut levels: Vec<f64> = measured.map(|it| it.level_log).collect();
        levels.sort_by(f64::total_cmp);
        self.usual_log = levels.get(levels.len() / 2).copied().unwrap_or(0.0);
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

    fn pace(&self, target: &str, now: Duration) -> TargetPace {
        let handled_share = self.load_growth.handled_share();
        let Some(speed) = self.targets.get(target) else {
            return TargetPace { handled_share, ..TargetPace::default() };
        };
        let momentary = speed.report_factor().map_or(1.0, |factor| {
            let age_ms = now.saturating_sub(speed.last_report_at).as_secs_f64() * 1_000.0;
            factor.powf((-age_ms / self.report_trust_ms).exp())
        });
        let (lowest, highest) = SLOWNESS_BOUNDS;
        let slowness = (speed.lasting(self.usual_log, now) * momentary).clamp(lowest, highest);
        TargetPace { slowness, handled_share }
    }
}

impl TargetSpeed {
    fn open(started_at_ms: u64) -> TargetSpeed {
        TargetSpeed {
            started_at_ms,
            ratio_logs: VecDeque::new(),
            level_log: 0.0,
            reports_percent: VecDeque::new(),
            last_report_at: Duration::ZERO,
            logged_percent: 100,
        }
    }

    fn observe_ratio(&mut self, ratio_log: f64, now: Duration) {
        while self.ratio_logs.front().is_some_and(|(at, _)| *at + SAMPLE_LIFETIME < now)
            || self.ratio_logs.len() >= KEPT_SAMPLES
        {
            self.ratio_logs.pop_front();
        }
        self.ratio_logs.push_back((now, ratio_log));
        let count = self.ratio_logs.len();
        if count > CHANGE_SAMPLES {
            let latest = self.ratio_logs.iter().skip(count - CHANGE_SAMPLES).map(|(_, log)| *log);
            let distance = CHANGE_FACTOR.ln();
            let is_slower = latest.clone().all(|log| log > self.level_log + distance);
            let is_faster = latest.clone().all(|log| log < self.level_log - distance);
            if is_slower || is_faster {
                self.ratio_logs.drain(..count - CHANGE_SAMPLES);
            }
        }
        let mut sorted: Vec<f64> = self.ratio_logs.iter().map(|(_, log)| *log).collect();
        sorted.sort_by(f64::total_cmp);
        let index = ((sorted.len() - 1) as f64 * SAMPLE_QUANTILE) as usize;
        self.level_log = sorted[index];
    }

    /// Returns the learned slowness.
    fn lasting(&self, usual_log: f64, now: Duration) -> f64 {
        let Some((last_at, _)) = self.ratio_logs.back() else { return 1.0 };
        let count = self.ratio_logs.len() as f64;
        let trusted_share = count / (count + HALF_TRUSTED_SAMPLES);
        let age = now.saturating_sub(*last_at).saturating_sub(LASTING_FRESH_AGE);
        let fading = (LASTING_STALE_AGE - LASTING_FRESH_AGE).as_secs_f64();
        let fresh_share = (1.0 - age.as_secs_f64() / fading).max(0.0);
        let slowness_log = (self.level_log - usual_log) * trusted_share * fresh_share;
        if slowness_log.abs() < SMALLEST_FACTOR.ln() { 1.0 } else { slowness_log.exp() }
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

    fn observe(&mut self, target: &RegisteredTarget, sample: &SpeedSample, now: Duration) {
        let service = self.services.entry(target.service.clone()).or_default();
        let ratio_log = (f64::from(sample.ratio_percent.max(1)) / 100.0).ln();
        let speed = service.target(target);
        if let Some(load_percent) = sample.load_percent
            && !speed.ratio_logs.is_empty()
        {
            let excess_log = ratio_log - speed.level_log;
            service.load_growth.observe(f64::from(load_percent) / 100.0, excess_log);
        }
        service.target(target).observe_ratio(ratio_log, now);
        service.update_usual(now);
        let usual_log = service.usual_log;
        let speed = service.target(target);
        let to_percent = (speed.lasting(usual_log, now) * 100.0).round() as u32;
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

    fn observe_own(&mut self, target: &RegisteredTarget, sample: SpeedSample, now: Duration) {
        self.observe(target, &sample, now);
        if self.untold.len() >= UNTOLD_LIMIT {
            self.untold.pop_front();
        }
        self.untold.push_back(sample);
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
        let (lowest, highest) = RATIO_BOUNDS_PERCENT;
        let ratio_percent = elapsed.as_secs_f64() * 100_000.0 / expected_ms;
        let load_share = state.requests(now) / f64::from(state.slots());
        let has_report = state.load_age(now).is_some_and(|age| age.is_zero());
        let sample = SpeedSample {
            target: target.id.clone(),
            started_at_ms: target.started_at_ms,
            ratio_percent: ratio_percent.clamp(lowest, highest) as u32,
            load_percent: has_report.then_some((load_share * 100.0) as u32),
        };
        self.speeds.observe_own(target, sample, now);
    }

    /// Applies times that another process measured. Those of other starts say nothing of this one.
    pub fn merge_speeds(&mut self, samples: &[SpeedSample], now: Duration) {
        for sample in samples {
            let Some(state) = self.targets.get(&sample.target) else { continue };
            let target = &state.registration;
            if target.started_at_ms == sample.started_at_ms
                && self.speeds.is_on(&target.service, &self.policy)
            {
                self.speeds.observe(target, sample, now);
            }
        }
    }

    /// Returns the times that other processes are to be told.
    ///
    /// ```
    /// use skylarkpick_schedule::Placement;
    /// use std::time::Duration;
    /// let mut placement = Placement::open(Duration::from_secs(10));
    /// assert!(placement.take_speeds_to_tell().is_empty());
    /// ```
    pub fn take_speeds_to_tell(&mut self) -> Vec<SpeedSample> {
        self.speeds.untold.drain(..).collect()
    }

    /// Returns the large changes of what is believed of targets since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.speeds.changes)
    }

    /// Returns what is believed of all targets, or `None` while no speeds are learned.
    pub fn speed_summary(&self, now: Duration) -> Option<SpeedSummary> {
        let learned = self.speeds.services.iter();
        let learned: Vec<&ServiceSpeeds> = learned
            .filter(|(name, _)| self.speeds.is_on(name, &self.policy))
            .map(|(_, service)| service)
            .collect();
        let slowest = learned.iter().flat_map(|service| {
            service.targets.values().map(|target| target.lasting(service.usual_log, now))
        });
        let slowest = slowest.max_by(f64::total_cmp)?;
        let handled = learned.iter().map(|service| service.load_growth.handled_share());
        let handled = handled.fold(1.0, f64::min);
        Some(SpeedSummary {
            slowest_percent: (slowest * 100.0).round() as u32,
            handled_percent: (handled * 100.0).round() as u32,
        })
    }
}
