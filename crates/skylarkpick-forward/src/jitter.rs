//! Random jitter for retries and polling.

use std::time::Duration;

/// Sleeps for 0.5 to 1.5 times `mean`, so that processes that fail together don't retry together.
pub(crate) async fn sleep_with_jitter(mean: Duration) {
    tokio::time::sleep(with_jitter(mean)).await;
}

/// Returns 0.5 to 1.5 times `mean`.
pub(crate) fn with_jitter(mean: Duration) -> Duration {
    mean.mul_f64(0.5 + rand::random::<f64>())
}
