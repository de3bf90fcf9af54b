//! JSON-line logs and metrics of a process.
//!
//! Both are process-wide: a process opens them once at its start, and code anywhere logs through
//! spdlog's default logger and counts through [`metrics`]. Until then, metrics go nowhere.

mod exposition;
mod logs;
mod metrics;
mod table;

pub use exposition::Exposition;
pub use logs::{LogsError, open_logs, open_stdout_logs};
pub use metrics::{Metrics, MetricsError, install_metrics, metrics};
pub use spdlog::{Level, LevelFilter};
pub use table::{
    ATTEMPTS_ENDED, CONFIGURATION_VERSION, FEEDS_LOST, METRICS, Metric, MetricKind, ORDERS_GIVEN,
    PATCHES_ENDED, READY, REQUESTS_ANSWER_START, REQUESTS_ANSWERED, REQUESTS_ENDED,
    REQUESTS_UNDER_WAY, RUNNERS_LEAVING, RUNNERS_SERVING, SENDS_ENDED,
};
