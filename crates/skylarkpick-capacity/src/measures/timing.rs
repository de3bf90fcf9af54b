//! Mean execution time of a step.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Minimum time for which a step is repeated.
const MEASURED_TIME: Duration = Duration::from_millis(300);

/// Returns the mean time of a step in seconds.
pub(super) fn mean_seconds<T>(mut step: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    let mut count = 0_u64;
    while started.elapsed() < MEASURED_TIME {
        for _ in 0..16 {
            black_box(step());
        }
        count += 16;
    }
    started.elapsed().as_secs_f64() / count as f64
}
