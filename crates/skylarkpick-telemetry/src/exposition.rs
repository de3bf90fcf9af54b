//! Collects metrics in memory and renders them in the Prometheus text format.

use cadence::MetricSink;
use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Upper bounds of the histogram buckets, in milliseconds: round steps around the latency targets
/// of the users, 300 ms to 1 s to the first response.
const BUCKETS_MS: [f64; 12] =
    [5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 800.0, 1_000.0, 2_000.0, 5_000.0];
/// Limit of time series; further ones are dropped, which bounds the memory that labels can use.
const SERIES_LIMIT: usize = 512;

/// A metric sink that collects metrics in memory and renders them in the Prometheus text format:
/// counters, gauges, and timers as histograms.
#[derive(Clone, Debug, Default)]
pub struct Exposition {
    series: Arc<Mutex<BTreeMap<SeriesKey, Value>>>,
}

/// Name and labels that identify a time series.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SeriesKey {
    name: String,
    labels: String,
}

#[derive(Clone, Debug)]
enum Value {
    Counter(u64),
    Gauge(u64),
    Histogram { counts: [u64; BUCKETS_MS.len()], count: u64, sum_ms: f64 },
}

impl Exposition {
    /// Opens an empty sink. Pass a clone to [`crate::Metrics::open`] to collect its metrics.
    ///
    /// ```
    /// use skylarkpick_telemetry::{Exposition, Metrics, READY};
    /// let exposition = Exposition::open();
    /// Metrics::open(exposition.clone(), &[]).set(&READY, 1, &[]);
    /// assert_eq!(exposition.text(), "# TYPE skylarkpick_ready gauge\nskylarkpick_ready 1\n");
    /// ```
    pub fn open() -> Exposition {
        Exposition::default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SeriesKey, Value>> {
        self.series.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the collected metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let series = self.lock();
        let mut text = String::new();
        let mut previous_name = "";
        for (key, value) in series.iter() {
            if key.name != previous_name {
                // Writing to a string cannot fail.
                let _ = writeln!(text, "# TYPE {} {}", key.name, value.kind());
                previous_name = &key.name;
            }
            value.write(&mut text, key);
        }
        text
    }

    /// Adds a StatsD line. Returns `None` if it is malformed or exceeds the limit of series.
    fn record(&self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let mut fields = rest.split('|');
        let number: f64 = fields.next()?.parse().ok()?;
        let kind = fields.next()?;
        let tags = fields.find_map(|field| field.strip_prefix('#')).unwrap_or_default();
        let key = SeriesKey { name: name.replace('.', "_"), labels: labels(tags) };
        let mut series = self.lock();
        if series.len() >= SERIES_LIMIT && !series.contains_key(&key) {
            return None;
        }
        let value = series.entry(key).or_insert_with(|| Value::empty(kind));
        value.add(number);
        Some(())
    }
}

impl MetricSink for Exposition {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.record(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::Error::new(io::ErrorKind::InvalidData, "the metric was not recorded")),
        }
    }
}

/// Converts StatsD tags of the form `name:value,..` to Prometheus labels.
fn labels(tags: &str) -> String {
    let tags = tags.split(',').filter_map(|tag| tag.split_once(':'));
    let labels = tags.map(|(name, value)| format!("{name}=\"{}\"", value.replace('"', "'")));
    labels.collect::<Vec<String>>().join(",")
}

impl Value {
    fn empty(kind: &str) -> Value {
        match kind {
            "c" => Value::Counter(0),
            "g" => Value::Gauge(0),
            _ => Value::Histogram { counts: [0; BUCKETS_MS.len()], count: 0, sum_ms: 0.0 },
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Value::Counter(_) => "counter",
            Value::Gauge(_) => "gauge",
            Value::Histogram { .. } => "histogram",
        }
    }

    fn add(&mut self, number: f64) {
        match self {
            Value::Counter(total) => *total += number as u64,
            Value::Gauge(value) => *value = number as u64,
            Value::Histogram { counts, count, sum_ms } => {
                *count += 1;
                *sum_ms += number;
                for (bound, bucket) in BUCKETS_MS.iter().zip(counts) {
                    *bucket += u64::from(number <= *bound);
                }
            }
        }
    }

    fn write(&self, text: &mut String, key: &SeriesKey) {
        let SeriesKey { name, labels } = key;
        let braces = if labels.is_empty() { String::new() } else { format!("{{{labels}}}") };
        // Writing to a string cannot fail.
        let _ = match self {
            Value::Counter(value) | Value::Gauge(value) => writeln!(text, "{name}{braces} {value}"),
            Value::Histogram { counts, count, sum_ms } => {
                let comma = if labels.is_empty() { "" } else { "," };
                for (bound, bucket) in BUCKETS_MS.iter().zip(counts) {
                    let _ =
                        writeln!(text, "{name}_bucket{{{labels}{comma}le=\"{bound}\"}} {bucket}");
                }
                let _ = writeln!(text, "{name}_bucket{{{labels}{comma}le=\"+Inf\"}} {count}");
                let _ = writeln!(text, "{name}_sum{braces} {sum_ms}");
                writeln!(text, "{name}_count{braces} {count}")
            }
        };
    }
}
