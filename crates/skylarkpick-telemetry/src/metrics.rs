//! Records metrics and sends them as StatsD datagrams over UDP.

use crate::definitions::{Metric, MetricKind};
use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};
use std::{
    net::{SocketAddr, UdpSocket},
    sync::{LazyLock, OnceLock},
    time::Duration,
};

/// Prefix of all metric names.
const PREFIX: &str = "skylarkpick";
/// Number of queued metrics from which new ones are dropped.
const QUEUE_LENGTH_LIMIT: usize = 8_192;

static INSTALLED: OnceLock<Metrics> = OnceLock::new();
static DISABLED: LazyLock<Metrics> = LazyLock::new(Metrics::disabled);

/// Why metrics cannot be sent over UDP.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The UDP socket could not be opened.
    #[error("failed to open a UDP socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The StatsD client rejected the address.
    #[error("invalid metrics address: {0}")]
    Address(#[from] cadence::MetricError),
}

/// Records metrics and sends them to a sink.
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Opens metrics that are sent to `sink`, each with the given tags.
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

    /// Opens metrics that are sent to a StatsD server. Recording never blocks: metrics are queued
    /// and dropped when the queue is full.
    ///
    /// # Errors
    /// Returns an error if no UDP socket can be opened.
    pub fn open_udp(address: SocketAddr, tags: &[(&str, &str)]) -> Result<Metrics, MetricsError> {
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        Ok(Metrics::open(QueuingMetricSink::with_capacity(sink, QUEUE_LENGTH_LIMIT), tags))
    }

    /// Returns metrics that are discarded.
    pub fn disabled() -> Metrics {
        Metrics::open(NopMetricSink, &[])
    }

    /// Adds one to a counter.
    pub fn count(&self, metric: &Metric, tags: &[(&str, &str)]) {
        debug_assert_eq!(metric.kind, MetricKind::Counter);
        let builder = self.client.count_with_tags(metric.name, 1_i64);
        tags.iter().fold(builder, |builder, (name, value)| builder.with_tag(name, value)).send();
    }

    /// Records a duration.
    pub fn time(&self, metric: &Metric, duration: Duration, tags: &[(&str, &str)]) {
        debug_assert_eq!(metric.kind, MetricKind::Timer);
        let builder = self.client.time_with_tags(metric.name, duration);
        tags.iter().fold(builder, |builder, (name, value)| builder.with_tag(name, value)).send();
    }

    /// Sets a gauge.
    pub fn set(&self, metric: &Metric, value: u64, tags: &[(&str, &str)]) {
        debug_assert_eq!(metric.kind, MetricKind::Gauge);
        let builder = self.client.gauge_with_tags(metric.name, value);
        tags.iter().fold(builder, |builder, (name, value)| builder.with_tag(name, value)).send();
    }
}

/// Installs the metrics of the process. Returns false if some are installed already, which stay.
pub fn install_metrics(metrics: Metrics) -> bool {
    INSTALLED.set(metrics).is_ok()
}

/// Returns the metrics of the process, which are discarded until some are installed.
pub fn metrics() -> &'static Metrics {
    INSTALLED.get().unwrap_or(&DISABLED)
}
