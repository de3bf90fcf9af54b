//! Estimators of quantities that are observed one sample at a time.

/// Relative change of a quantile estimate with one sample.
const QUANTILE_STEP: f64 = 0.1;
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
