//! Records of the runs that began streams.

use crate::placement::rendezvous_weight;
use serde::{Deserialize, Serialize};
use skylarkpick_interface::{RegisteredTarget, SoftwareVersion, StreamOrigin};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Time for which a record is kept; above twice the longest timeout of a route, within which a
/// client can come back.
const LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of records, at about 300 bytes each. A process of the planned size receives up to
/// 70 records a second.
const RECORDS_LIMIT: usize = 8_192;
/// Allowed error of wall clocks, those of targets and of entry processes together.
const CLOCK_ERROR: Duration = Duration::from_secs(2);

/// Fingerprint of the client attempt that brought the first event of a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct StreamFingerprint(pub u64);

impl StreamFingerprint {
    /// Returns the fingerprint of a stream.
    ///
    /// ```
    /// use skylarkpick_schedule::StreamFingerprint;
    /// assert_eq!(StreamFingerprint::of("a1"), StreamFingerprint::of("a1"));
    /// assert_ne!(StreamFingerprint::of("a1"), StreamFingerprint::of("a2"));
    /// ```
    pub fn of(attempt_id: &str) -> StreamFingerprint {
        StreamFingerprint(rendezvous_weight(attempt_id, ""))
    }
}

/// Records of the runs that began recent streams, bounded in number and age.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<StreamFingerprint, Record>,
    /// Streams in the order in which they were recorded.
    order: VecDeque<(Duration, StreamFingerprint)>,
}

#[derive(Clone, Debug)]
struct Record {
    origin: StreamOrigin,
    noted_at: Duration,
    /// Whether this process began the stream and has not told other processes yet.
    is_unshared: bool,
}

impl StreamOrigins {
    /// Records a stream at the time `now`. `is_unshared` marks one that other processes don't know
    /// yet.
    ///
    /// ```
    /// use skylarkpick_interface::StreamOrigin;
    /// use skylarkpick_schedule::{StreamFingerprint, StreamOrigins};
    /// use std::time::Duration;
    /// let mut origins = StreamOrigins::default();
    /// let origin = StreamOrigin {
    ///     service: "tala-llm".to_string(),
    ///     target: "i-1".to_string(),
    ///     started_at_ms: 1,
    ///     software_version: "v1".to_string(),
    ///     began_at_ms: 5,
    /// };
    /// origins.note(StreamFingerprint::of("a1"), origin.clone(), false, Duration::ZERO);
    /// let second = Duration::from_secs(1);
    /// assert_eq!(origins.get(StreamFingerprint::of("a1"), second), Some(&origin));
    /// assert_eq!(origins.get(StreamFingerprint::of("a1"), 100 * second), None);
    /// ```
    pub fn note(
        &mut self,
        stream: StreamFingerprint,
        origin: StreamOrigin,
        is_unshared: bool,
        now: Duration,
    ) {
        self.remove_expired(now);
        let known = self.records.get(&stream).map(|record| record.noted_at);
        if known.is_none() {
            self.order.push_back((now, stream));
        }
        let noted_at = known.unwrap_or(now);
        self.records.insert(stream, Record { origin, noted_at, is_unshared });
        while self.order.len() > RECORDS_LIMIT {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(at, _)| now > *at + LIFETIME) {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
    }

    /// Returns the record of a stream.
    pub fn get(&self, stream: StreamFingerprint, now: Duration) -> Option<&StreamOrigin> {
        let record = self.records.get(&stream)?;
        (now <= record.noted_at + LIFETIME).then_some(&record.origin)
    }

    /// Returns the streams of this process that other processes don't know yet and for which
    /// `must_share` holds, and marks them as shared.
    pub fn take_unshared(
        &mut self,
        mut must_share: impl FnMut(&StreamOrigin) -> bool,
        now: Duration,
    ) -> Vec<(StreamFingerprint, StreamOrigin)> {
        self.remove_expired(now);
        let unshared = self.records.iter_mut().filter(|(_, record)| record.is_unshared);
        let taken = unshared.filter_map(|(stream, record)| {
            must_share(&record.origin).then(|| {
                record.is_unshared = false;
                (*stream, record.origin.clone())
            })
        });
        taken.collect()
    }
}

/// Returns the software version at which a run wrote its events. `current` is the present
/// registration of its target: if that has restarted on another version, and by the clocks possibly
/// before the run began, the version is not known.
pub fn software_version_of_run(
    origin: &StreamOrigin,
    current: Option<&RegisteredTarget>,
) -> Option<SoftwareVersion> {
    let is_certain = current.is_none_or(|current| {
        let is_same_version = current.software_version.as_ref() == Some(&origin.software_version);
        let error_ms = u64::try_from(CLOCK_ERROR.as_millis()).unwrap_or(u64::MAX);
        let began_at_most_ms = origin.began_at_ms.saturating_add(error_ms);
        is_same_version
            || (current.started_at_ms != origin.started_at_ms
                && current.started_at_ms > began_at_most_ms)
    });
    is_certain.then(|| origin.software_version.clone())
}
