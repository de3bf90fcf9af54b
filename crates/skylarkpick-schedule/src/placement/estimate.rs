//! Estimators of quantities that are observed one sample at a time.

use std::time::Duration;

/// Relative change of a quantile estimate with one sample.
const QUANTILE_STEP: f64 = 0.1;
/// Time in which a delay that is no longer observed halves, so that a cause that is gone is forgotten.
const DELAY_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Highest estimate of a delay.
const DELAY_LIMIT_MS: f64 = 5_000.0;

/// Estimate of a quantile of a positive quantity.
///
/// Each sample moves the estimate by a small factor. A single outlier therefore changes it no more
/// than any other sample does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct QuantileEstimate {
    value: f64,
    quantile: f64,
    lowest: f64,
    highest: f64,
}

impl QuantileEstimate {
    /// Opens an estimate of `quantile`, which is `prior` until samples arrive and always stays
    /// within `bounds`.
    pub(super) fn open(prior: f64, quantile: f64, bounds: (f64, f64)) -> QuantileEstimate {
        QuantileEstimate { value: prior, quantile, lowest: bounds.0, highest: bounds.1 }
    }

    /// Returns the estimate.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Applies a sample.
    pub(super) fn observe(&mut self, sample: f64) {
        let is_above = sample > self.value;
        let direction = if is_above { self.quantile } else { self.quantile - 1.0 };
        let moved = self.value * (QUANTILE_STEP * direction).exp();
        self.value = moved.clamp(self.lowest, self.highest);
    }
}

/// Estimate of a delay that fades while it is not observed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DelayEstimate {
    delay_ms: f64,
    updated_at: Duration,
}

impl DelayEstimate {
    /// Returns the delay in milliseconds.
    pub(super) fn value_ms(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        let half_lives = age.as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64();
        self.delay_ms * (-half_lives).exp2()
    }

    /// Adds a correction, positive or negative. The delay never falls below zero.
    pub(super) fn correct(&mut self, correction_ms: f64, now: Duration) {
        self.delay_ms = (self.value_ms(now) + correction_ms).clamp(0.0, DELAY_LIMIT_MS);
        self.updated_at = now;
    }
}

/// Share of a sample in a mean.
const MEAN_GAIN: f64 = 0.05;

/// Exponentially weighted mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MeanEstimate {
    value: f64,
}

impl MeanEstimate {
    /// Opens a mean that is `prior` until samples arrive.
    pub(super) fn open(prior: f64) -> MeanEstimate {
        MeanEstimate { value: prior }
    }

    /// Returns the mean.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Applies a sample.
    pub(super) fn observe(&mut self, sample: f64) {
        self.value += (sample - self.value) * MEAN_GAIN;
    }
}
