//! Metrics that are kept in the process and shown as text on request.

use cadence::MetricSink;
use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Upper bounds of a histogram's buckets, in milliseconds: round steps about the targets of the
/// users, 300 ms to 1 s to a first answer.
const BUCKETS_MS: [f64; 12] =
    [5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 800.0, 1_000.0, 2_000.0, 5_000.0];
/// Rows that are kept; a row more is left out, so that no label can fill the memory.
const ROWS_LIMIT: usize = 512;

/// Metrics that are kept in the process and shown as text on request: counters, gauges, and timers
/// as histograms.
#[derive(Clone, Debug, Default)]
pub struct Exposition {
    rows: Arc<Mutex<BTreeMap<Row, Value>>>,
}

/// Name and labels of a metric.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Row {
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
    /// Opens an empty table. Give a clone to [`crate::Metrics::open`] to fill it.
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

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Row, Value>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The table in the text form that Prometheus reads.
    pub fn text(&self) -> String {
        let rows = self.lock();
        let mut text = String::new();
        let mut last = "";
        for (row, value) in rows.iter() {
            if row.name != last {
                // Writing to a string never fails.
                let _ = writeln!(text, "# TYPE {} {}", row.name, value.kind());
                last = &row.name;
            }
            value.write(&mut text, row);
        }
        text
    }

    fn take(&self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let mut fields = rest.split('|');
        let number: f64 = fields.next()?.parse().ok()?;
        let kind = fields.next()?;
        let tags = fields.find_map(|field| field.strip_prefix('#')).unwrap_or_default();
        let row = Row { name: name.replace('.', "_"), labels: labels(tags) };
        let mut rows = self.lock();
        if rows.len() >= ROWS_LIMIT && !rows.contains_key(&row) {
            return None;
        }
        let value = rows.entry(row).or_insert_with(|| Value::empty(kind));
        value.add(number);
        Some(())
    }
}

impl MetricSink for Exposition {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.take(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::Error::new(io::ErrorKind::InvalidData, "the metric is not kept")),
        }
    }
}

/// Tags of the form `name:value,..` as labels.
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
                for (bound, below) in BUCKETS_MS.iter().zip(counts) {
                    *below += u64::from(number <= *bound);
                }
            }
        }
    }

    fn write(&self, text: &mut String, row: &Row) {
        let Row { name, labels } = row;
        let braces = if labels.is_empty() { String::new() } else { format!("{{{labels}}}") };
        // Writing to a string never fails.
        let _ = match self {
            Value::Counter(value) | Value::Gauge(value) => writeln!(text, "{name}{braces} {value}"),
            Value::Histogram { counts, count, sum_ms } => {
                let comma = if labels.is_empty() { "" } else { "," };
                for (bound, below) in BUCKETS_MS.iter().zip(counts) {
                    let _ =
                        writeln!(text, "{name}_bucket{{{labels}{comma}le=\"{bound}\"}} {below}");
                }
                let _ = writeln!(text, "{name}_bucket{{{labels}{comma}le=\"+Inf\"}} {count}");
                let _ = writeln!(text, "{name}_sum{braces} {sum_ms}");
                writeln!(text, "{name}_count{braces} {count}")
            }
        };
    }
}
