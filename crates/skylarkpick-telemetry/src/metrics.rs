//! Sends metrics, as StatsD over UDP.

use crate::table::{Metric, MetricKind};
use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};
use std::{
    net::{SocketAddr, UdpSocket},
    sync::{LazyLock, OnceLock},
    time::Duration,
};

/// What all names start with.
const PREFIX: &str = "skylarkpick";
/// Metrics that wait to be sent; more are dropped.
const QUEUE_LENGTH: usize = 8_192;

static INSTALLED: OnceLock<Metrics> = OnceLock::new();
static SILENT: LazyLock<Metrics> = LazyLock::new(Metrics::disabled);

/// Why metrics cannot be sent.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// No socket.
    #[error("no socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The library refused the address.
    #[error("no metrics to this address: {0}")]
    Address(#[from] cadence::MetricError),
}

/// Sends metrics.
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Metrics that go into a sink, with tags that each of them carries.
    ///
    /// ```
    /// use skylarkpick_telemetry::{Metrics, READY};
    /// let (lines, sink) = cadence::SpyMetricSink::new();
    /// let metrics = Metrics::open(sink, &[("entry", "entry-1")]);
    /// metrics.set(&READY, 1, &[]);
    /// assert_eq!(lines.recv()?, b"skylarkpick.ready:1|g|#entry:entry-1");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn open(
        sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
        tags: &[(&str, &str)],
    ) -> Metrics {
        let builder = StatsdClient::builder(PREFIX, sink);
        let builder =
            tags.iter().fold(builder, |builder, (name, value)| builder.with_tag(name, value));
        Metrics { client: builder.build() }
    }

    /// Metrics to a StatsD server. They are queued and dropped rather than waited for.
    ///
    /// # Errors
    /// When no socket can be had.
    pub fn open_udp(address: SocketAddr, tags: &[(&str, &str)]) -> Result<Metrics, MetricsError> {
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        Ok(Metrics::open(QueuingMetricSink::with_capacity(sink, QUEUE_LENGTH), tags))
    }

    /// Metrics that go nowhere.
    pub fn disabled() -> Metrics {
        Metrics::open(NopMetricSink, &[])
    }

    /// Adds one to a counter.
    pub fn count(&self, metric: &Metric, tags: &[(&str, &str)]) {
        debug_assert_eq!(metric.kind, MetricKind::Counter);
        let builder = self.client.count_with_tags(metric.name, 1_i64);
        tags.iter().fold(builder, |builder, (name, value)| builder.with_tag(name, value)).send();
    }

    /// Notes a time.
    pub fn time(&self, metric: &Metric, time: Duration, tags: &[(&str, &str)]) {
        debug_assert_eq!(metric.kind, MetricKind::Timer);
        let builder = self.client.time_with_tags(metric.name, time);
        tags.iter().fold(builder, |builder, (name, value)| builder.with_tag(name, value)).send();
    }

    /// Sets a gauge.
    pub fn set(&self, metric: &Metric, value: u64, tags: &[(&str, &str)]) {
        debug_assert_eq!(metric.kind, MetricKind::Gauge);
        let builder = self.client.gauge_with_tags(metric.name, value);
        tags.iter().fold(builder, |builder, (name, value)| builder.with_tag(name, value)).send();
    }
}

/// Installs the metrics of the process; gives whether they are the first.
pub fn install_metrics(metrics: Metrics) -> bool {
    INSTALLED.set(metrics).is_ok()
}

/// The metrics of the process; they go nowhere until some are installed.
pub fn metrics() -> &'static Metrics {
    INSTALLED.get().unwrap_or(&SILENT)
}
