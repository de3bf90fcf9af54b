//! Pauses that keep processes from calling together.

use std::time::Duration;

/// Pauses between half and one and a half of the usual time.
pub(crate) async fn pause_around(usual: Duration) {
    tokio::time::sleep(usual.mul_f64(0.5 + rand::random::<f64>())).await;
}
