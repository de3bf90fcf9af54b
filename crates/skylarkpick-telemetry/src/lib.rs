//! JSON-line logs and metrics of a process.
//!
//! Both are process-wide and opened once at startup. Code anywhere logs through spdlog's default
//! logger and records metrics through [`metrics`], which discards them until metrics are installed.

mod definitions;
mod exposition;
mod logged_text;
mod logs;
mod metrics;

pub use definitions::{
    ATTEMPTS_ENDED, BODIES_HELD_BYTES, BODIES_REFUSED, BRITTLE_REJECTIONS, BRITTLE_TARGETS,
    CACHES_UNREADABLE, CLIENT_CONNECTIONS_ENDED, COLD_REQUESTS, CONFIGURATION_VERSION,
    CONFIGURATION_VERSION_KNOWN, CONNECTIONS_FAILED, DATA_CENTRES_EVACUATED,
    ENGINES_MEMORY_PERCENT, FEEDS_LOST, METRICS, Metric, MetricKind, ORDERS_GIVEN, PARTS_BLAMED,
    PATCHES_ENDED, READY, RECORDS_OLDER, RECORDS_UNREADABLE, REJECTIONS_RECEIVED,
    REQUESTS_ANSWER_START, REQUESTS_ANSWERED, REQUESTS_BLAMED, REQUESTS_ENDED,
    REQUESTS_HANDED_OVER, REQUESTS_UNDER_WAY, REQUESTS_WAITING, REQUESTS_WITHHELD, RETRIES_DECIDED,
    RUNNERS_LEAVING, RUNNERS_SERVING, SENDS_ENDED, SERVICES_CUT_OFF, SIGNALS_UNREADABLE, STORE_ERA,
    STORE_ERAS_UNREADABLE, STREAMS_RESUMED, TARGETS_COLD, TARGETS_SLOWEST_PERCENT, WAITING_TURNS,
};
pub use exposition::Exposition;
pub use logged_text::logged_start;
pub use logs::{LogsError, open_logs, open_stdout_logs};
pub use metrics::{Metrics, MetricsError, install_metrics, metrics};
pub use spdlog::{Level, LevelFilter};
