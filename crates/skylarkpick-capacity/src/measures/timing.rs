//! Processor time of a step.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Time over which a step is repeated.
const MEASURED_TIME: Duration = Duration::from_millis(300);

/// Mean time of a step in seconds.
pub(super) fn seconds_each<T>(mut step: impl FnMut() -> T) -> f64 {
    let begun = Instant::now();
    let mut count = 0_u64;
    while begun.elapsed() < MEASURED_TIME {
        for _ in 0..16 {
            black_box(step());
        }
        count += 16;
    }
    begun.elapsed().as_secs_f64() / count as f64
}
