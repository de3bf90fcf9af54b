//! The stored form of a lease.

use crate::settings::{LeaseSettings, TERM_LIMIT};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Content of a lease object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Name of the holder.
    pub holder: String,
    /// Unique for each write, so that a writer that got no response recognises its own record.
    pub nonce: String,
    /// Time for which the write grants the lease, starting when the holder sends it.
    pub term_ms: u64,
    /// Longest time that an order of the holder takes.
    pub order_timeout_ms: u64,
    /// Whether the holder released the lease, with no order in flight.
    pub released: bool,
}

impl LeaseRecord {
    pub(crate) fn new(settings: &LeaseSettings, nonce: &str, released: bool) -> LeaseRecord {
        LeaseRecord {
            holder: settings.holder.clone(),
            nonce: nonce.to_string(),
            term_ms: milliseconds(settings.term()),
            order_timeout_ms: milliseconds(settings.order_timeout),
            released,
        }
    }

    /// Decodes a record. Invalid content decodes to a lease held for the longest possible term, so
    /// that a successor still waits until any holder must have stopped.
    ///
    /// ```
    /// use skylarkpick_lease::LeaseRecord;
    /// let record = LeaseRecord::decode(b"not a record");
    /// assert_eq!((record.term_ms, record.released), (300_000, false));
    /// ```
    pub fn decode(value: &[u8]) -> LeaseRecord {
        serde_json::from_slice(value).unwrap_or_else(|_| LeaseRecord {
            holder: "unreadable".to_string(),
            nonce: String::new(),
            term_ms: milliseconds(TERM_LIMIT),
            order_timeout_ms: 0,
            released: false,
        })
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        // Serialising strings, integers and a flag cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns how long a successor waits after it first saw the record.
    pub(crate) fn takeover_delay(&self, own: &LeaseSettings) -> Duration {
        if self.released {
            return Duration::ZERO;
        }
        let term = Duration::from_millis(self.term_ms).min(TERM_LIMIT);
        // A holder whose order timeout exceeds its term gets no permit, so the limit bounds both.
        let recorded = Duration::from_millis(self.order_timeout_ms).min(TERM_LIMIT);
        let order_timeout = recorded.max(own.order_timeout);
        term + order_timeout
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
