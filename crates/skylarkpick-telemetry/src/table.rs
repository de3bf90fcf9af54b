//! Every metric of the project.

/// How a metric is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// Adds up.
    Counter,
    /// The newest value stands.
    Gauge,
    /// A time in milliseconds.
    Timer,
}

/// A metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// Name after the prefix `skylarkpick.`.
    pub name: &'static str,
    /// How it is counted.
    pub kind: MetricKind,
    /// Names of its tags, besides `entry` and `data_centre`.
    pub tags: &'static [&'static str],
    /// What it says.
    pub meaning: &'static str,
}

/// Requests whose answer has begun or that were refused.
pub const REQUESTS_ANSWERED: Metric = Metric {
    name: "requests.answered",
    kind: MetricKind::Counter,
    tags: &["path", "status"],
    meaning: "requests whose answer has begun, or that were refused",
};

/// Time from a request's head to the head of its answer.
pub const REQUESTS_ANSWER_START: Metric = Metric {
    name: "requests.answer_start",
    kind: MetricKind::Timer,
    tags: &["path"],
    meaning: "time from a request's head to the head of its answer",
};

/// Requests without a whole answer yet.
pub const REQUESTS_UNDER_WAY: Metric = Metric {
    name: "requests.under_way",
    kind: MetricKind::Gauge,
    tags: &[],
    meaning: "requests that have no whole answer yet",
};

/// Attempts at a runner that ended.
pub const ATTEMPTS_ENDED: Metric = Metric {
    name: "attempts.ended",
    kind: MetricKind::Counter,
    tags: &["end"],
    meaning: "attempts at a runner, by how they ended",
};

/// Patches of the configuration that ended.
pub const PATCHES_ENDED: Metric = Metric {
    name: "patches.ended",
    kind: MetricKind::Counter,
    tags: &["outcome"],
    meaning: "patches of the configuration, by outcome",
};

/// Version of the configuration in force.
pub const CONFIGURATION_VERSION: Metric = Metric {
    name: "configuration.version",
    kind: MetricKind::Gauge,
    tags: &[],
    meaning: "version of the configuration in force",
};

/// Whether the process takes new requests.
pub const READY: Metric = Metric {
    name: "ready",
    kind: MetricKind::Gauge,
    tags: &[],
    meaning: "1 while the process should get new requests, else 0",
};

/// Runners that serve.
pub const RUNNERS_SERVING: Metric = Metric {
    name: "runners.serving",
    kind: MetricKind::Gauge,
    tags: &[],
    meaning: "runners whose weights are known and that do not leave",
};

/// Runners that leave.
pub const RUNNERS_LEAVING: Metric = Metric {
    name: "runners.leaving",
    kind: MetricKind::Gauge,
    tags: &[],
    meaning: "runners that leave",
};

/// Sends of forwarded requests to targets.
pub const SENDS_ENDED: Metric = Metric {
    name: "sends.ended",
    kind: MetricKind::Counter,
    tags: &["end"],
    meaning: "sends of forwarded requests to targets, by how they ended",
};

/// Answers that came in pieces and ended.
pub const REQUESTS_ENDED: Metric = Metric {
    name: "requests.ended",
    kind: MetricKind::Counter,
    tags: &["end"],
    meaning: "answers that came in pieces, by how they ended",
};

/// Times that the platform was lost.
pub const FEEDS_LOST: Metric = Metric {
    name: "feeds.lost",
    kind: MetricKind::Counter,
    tags: &["topic"],
    meaning: "times that records of the platform could not be read any more",
};

/// Orders that the planner gave.
pub const ORDERS_GIVEN: Metric = Metric {
    name: "orders.given",
    kind: MetricKind::Counter,
    tags: &["outcome"],
    meaning: "orders to targets, by outcome",
};

/// Every metric, in the order of docs/METRICS.md.
pub const METRICS: &[Metric] = &[
    REQUESTS_ANSWERED,
    REQUESTS_ANSWER_START,
    REQUESTS_UNDER_WAY,
    ATTEMPTS_ENDED,
    PATCHES_ENDED,
    CONFIGURATION_VERSION,
    READY,
    RUNNERS_SERVING,
    RUNNERS_LEAVING,
    SENDS_ENDED,
    REQUESTS_ENDED,
    FEEDS_LOST,
    ORDERS_GIVEN,
];
