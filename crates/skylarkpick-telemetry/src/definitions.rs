//! Definitions of all metrics of the project.

/// Kind of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// A count of events.
    Counter,
    /// The current value of a quantity.
    Gauge,
    /// A duration in milliseconds.
    Timer,
}

/// Definition of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// Name without the prefix `skylarkpick.`.
    pub name: &'static str,
    /// Kind of the metric.
    pub kind: MetricKind,
    /// Names of its tags, in addition to `entry` and `data_centre`.
    pub tags: &'static [&'static str],
    /// Description, as in docs/METRICS.md.
    pub description: &'static str,
}

/// Requests whose response has started or that were rejected.
pub const REQUESTS_ANSWERED: Metric = Metric {
    name: "requests.answered",
    kind: MetricKind::Counter,
    tags: &["path", "status"],
    description: "requests whose response has started or that were rejected",
};

/// Time from the headers of a request to the headers of its response.
pub const REQUESTS_ANSWER_START: Metric = Metric {
    name: "requests.answer_start",
    kind: MetricKind::Timer,
    tags: &["path"],
    description: "time from the headers of a request to the headers of its response",
};

/// Requests in flight: the response is not complete.
pub const REQUESTS_UNDER_WAY: Metric = Metric {
    name: "requests.under_way",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "requests in flight, whose response is not complete yet",
};

/// Requests that wait in the process until a target has capacity.
pub const REQUESTS_WAITING: Metric = Metric {
    name: "requests.waiting",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "requests that wait in the process until a target has capacity",
};

/// Memory in use at the engines that were sampled recently.
pub const ENGINES_MEMORY_PERCENT: Metric = Metric {
    name: "engines.memory_percent",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "memory in use at recently sampled engines, in hundredths of their capacity",
};

/// Finished attempts at a runner.
pub const ATTEMPTS_ENDED: Metric = Metric {
    name: "attempts.ended",
    kind: MetricKind::Counter,
    tags: &["end"],
    description: "finished attempts at a runner, by outcome",
};

/// Configuration patches, by outcome.
pub const PATCHES_ENDED: Metric = Metric {
    name: "patches.ended",
    kind: MetricKind::Counter,
    tags: &["outcome"],
    description: "configuration patches, by outcome",
};

/// Version of the active configuration.
pub const CONFIGURATION_VERSION: Metric = Metric {
    name: "configuration.version",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "version of the active configuration",
};

/// Newest version of the configuration that the process has heard of.
pub const CONFIGURATION_VERSION_KNOWN: Metric = Metric {
    name: "configuration.version_known",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "newest configuration version that the process has heard of; equal to the active one",
};

/// Whether the process is ready for new requests. A draining process is not, though it still accepts
/// requests for its notice period.
pub const READY: Metric = Metric {
    name: "ready",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "1 while the process is ready for new requests, else 0",
};

/// Runners that are not leaving. `skylarkpick-entry` counts only those whose weight version is known;
/// `skylarkpick-forward` counts every target that is not draining, whatever its weights.
pub const RUNNERS_SERVING: Metric = Metric {
    name: "runners.serving",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "runners not leaving; in `skylarkpick-entry`, only with a known weight version",
};

/// Runners that are leaving the fleet.
pub const RUNNERS_LEAVING: Metric = Metric {
    name: "runners.leaving",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "runners that are leaving the fleet",
};

/// Client connections that ended for others, since all were taken.
pub const CLIENT_CONNECTIONS_ENDED: Metric = Metric {
    name: "clients.connections_ended",
    kind: MetricKind::Counter,
    tags: &[],
    description: "client connections that ended for others, since all were taken",
};

/// Connections to targets that could not be opened.
pub const CONNECTIONS_FAILED: Metric = Metric {
    name: "connections.failed",
    kind: MetricKind::Counter,
    tags: &["end"],
    description: "connections to targets that could not be opened, by how the attempt ended",
};

/// Services of which this process reaches no target.
pub const SERVICES_CUT_OFF: Metric = Metric {
    name: "services.cut_off",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "services of which the process reaches no target",
};

/// Requests handed over to other processes, or taken over from them.
pub const REQUESTS_HANDED_OVER: Metric = Metric {
    name: "requests.handed_over",
    kind: MetricKind::Counter,
    tags: &["end"],
    description: "requests handed over to another process, or taken over, by how that ended",
};

/// Decisions on whether a request may be sent to a further target.
pub const RETRIES_DECIDED: Metric = Metric {
    name: "retries.decided",
    kind: MetricKind::Counter,
    tags: &["outcome"],
    description: "decisions on whether the budget allows a further attempt, by outcome",
};

/// Finished attempts to forward a request to a target.
pub const SENDS_ENDED: Metric = Metric {
    name: "sends.ended",
    kind: MetricKind::Counter,
    tags: &["end"],
    description: "finished attempts to forward a request to a target, by outcome",
};

/// Responses of targets that reject a request, or look so.
pub const REJECTIONS_RECEIVED: Metric = Metric {
    name: "rejections.received",
    kind: MetricKind::Counter,
    tags: &["kind"],
    description: "responses of targets with a rejection, by whether they say that the request has not run",
};

/// Finished streamed responses.
pub const REQUESTS_ENDED: Metric = Metric {
    name: "requests.ended",
    kind: MetricKind::Counter,
    tags: &["end"],
    description: "finished streamed responses, by outcome",
};

/// Streams that were taken up again after their first event, by the entry process within a response
/// or by a client with a request of its own.
pub const STREAMS_RESUMED: Metric = Metric {
    name: "streams.resumed",
    kind: MetricKind::Counter,
    tags: &["by", "end"],
    description: "streams taken up again, by `entry` within a response or by `client`, by outcome",
};

/// Times that a watch of the platform's records was interrupted.
pub const FEEDS_LOST: Metric = Metric {
    name: "feeds.lost",
    kind: MetricKind::Counter,
    tags: &["topic"],
    description: "times that a watch of the platform's records was interrupted",
};

/// Orders that the planner sent to targets, by outcome.
pub const ORDERS_GIVEN: Metric = Metric {
    name: "orders.given",
    kind: MetricKind::Counter,
    tags: &["outcome"],
    description: "orders that the planner sent to targets, by outcome",
};

/// Requests that were not sent since they may end targets.
pub const REQUESTS_WITHHELD: Metric = Metric {
    name: "requests.withheld",
    kind: MetricKind::Counter,
    tags: &[],
    description: "requests not sent, since they or a part of their prompts may end targets",
};

/// Parts of prompts that are blamed for ends of targets.
pub const PARTS_BLAMED: Metric = Metric {
    name: "parts.blamed",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "parts of prompts that are blamed for ends of targets",
};

/// Requests that are blamed for ends of targets.
pub const REQUESTS_BLAMED: Metric = Metric {
    name: "requests.blamed",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "requests, each with its repeats, that are blamed for ends of targets",
};

/// Era that the platform's store names: the number of its returns from an older copy.
pub const STORE_ERA: Metric = Metric {
    name: "store.era",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "number of returns of the platform's store from an older copy, as it says",
};

/// Responses of the platform's store whose era is unreadable.
pub const STORE_ERAS_UNREADABLE: Metric = Metric {
    name: "store.eras_unreadable",
    kind: MetricKind::Counter,
    tags: &[],
    description: "responses of the platform's store that name an era which is unreadable",
};

/// Platform records that were older than those in memory, and ignored.
pub const RECORDS_OLDER: Metric = Metric {
    name: "records.older",
    kind: MetricKind::Counter,
    tags: &["topic"],
    description: "updates of the platform's records that were ignored, since newer ones are known",
};

/// Platform records that could not be decoded.
pub const RECORDS_UNREADABLE: Metric = Metric {
    name: "records.unreadable",
    kind: MetricKind::Counter,
    tags: &["topic"],
    description: "records of the platform that became unreadable, or so for another reason",
};

/// Responses of caches with parts that could not be decoded.
pub const CACHES_UNREADABLE: Metric = Metric {
    name: "caches.unreadable",
    kind: MetricKind::Counter,
    tags: &[],
    description: "responses of caches in which a part or an event is unreadable and was left out",
};

/// Headers of targets that could not be decoded.
pub const SIGNALS_UNREADABLE: Metric = Metric {
    name: "signals.unreadable",
    kind: MetricKind::Counter,
    tags: &["header"],
    description: "headers in which targets say something and whose value is unreadable",
};

/// Targets that count as brittle.
pub const BRITTLE_TARGETS: Metric = Metric {
    name: "targets.brittle",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "targets that count as brittle: they fall over if they turn away many requests",
};

/// Requests that such targets turned away.
pub const BRITTLE_REJECTIONS: Metric = Metric {
    name: "targets.brittle_rejections",
    kind: MetricKind::Counter,
    tags: &[],
    description: "requests of the process that targets turned away which count as brittle",
};

/// Targets that are cold.
pub const TARGETS_COLD: Metric = Metric {
    name: "targets.cold",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "registered targets that are cold, as far as the process knows",
};

/// Requests to cold targets.
pub const COLD_REQUESTS: Metric = Metric {
    name: "targets.cold_requests",
    kind: MetricKind::Counter,
    tags: &["outcome"],
    description: "requests of the process to targets that are cold, by whether they were sent",
};

/// Data centres that the process sends no requests to, at the operator's request.
pub const DATA_CENTRES_EVACUATED: Metric = Metric {
    name: "data_centres.evacuated",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "data centres that are evacuated: the process sends their targets no requests",
};

/// Bytes of request bodies that are held.
pub const BODIES_HELD_BYTES: Metric = Metric {
    name: "bodies.held_bytes",
    kind: MetricKind::Gauge,
    tags: &["kind"],
    description: "bytes of request bodies that the process holds for others",
};

/// Request bodies that were not read to their end.
pub const BODIES_REFUSED: Metric = Metric {
    name: "bodies.refused",
    kind: MetricKind::Counter,
    tags: &["reason"],
    description: "request bodies that were not read to their end",
};

/// Turns of requests for capacity, where it is shared fairly between client accounts.
pub const WAITING_TURNS: Metric = Metric {
    name: "waiting.turns",
    kind: MetricKind::Counter,
    tags: &["end"],
    description: "turns of requests for capacity that client accounts share fairly, by how they ended",
};

/// Slowness of the slowest target.
pub const TARGETS_SLOWEST_PERCENT: Metric = Metric {
    name: "targets.slowest_percent",
    kind: MetricKind::Gauge,
    tags: &[],
    description: "learned slowness of the slowest target, in percent of the usual time of its service",
};

/// All metrics, in the order of docs/METRICS.md.
pub const METRICS: &[Metric] = &[
    REQUESTS_ANSWERED,
    REQUESTS_ANSWER_START,
    REQUESTS_UNDER_WAY,
    REQUESTS_WAITING,
    ENGINES_MEMORY_PERCENT,
    ATTEMPTS_ENDED,
    PATCHES_ENDED,
    CONFIGURATION_VERSION,
    CONFIGURATION_VERSION_KNOWN,
    READY,
    RUNNERS_SERVING,
    RUNNERS_LEAVING,
    CLIENT_CONNECTIONS_ENDED,
    CONNECTIONS_FAILED,
    SERVICES_CUT_OFF,
    REQUESTS_HANDED_OVER,
    RETRIES_DECIDED,
    SENDS_ENDED,
    REJECTIONS_RECEIVED,
    REQUESTS_ENDED,
    STREAMS_RESUMED,
    FEEDS_LOST,
    ORDERS_GIVEN,
    REQUESTS_WITHHELD,
    PARTS_BLAMED,
    REQUESTS_BLAMED,
    STORE_ERA,
    STORE_ERAS_UNREADABLE,
    RECORDS_OLDER,
    RECORDS_UNREADABLE,
    CACHES_UNREADABLE,
    SIGNALS_UNREADABLE,
    BRITTLE_TARGETS,
    BRITTLE_REJECTIONS,
    TARGETS_COLD,
    COLD_REQUESTS,
    DATA_CENTRES_EVACUATED,
    BODIES_HELD_BYTES,
    BODIES_REFUSED,
    WAITING_TURNS,
    TARGETS_SLOWEST_PERCENT,
];
