//! The object that a lease lives in.

use crate::settings::{LeaseSettings, TERM_LIMIT};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Content of a lease object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Name of the holder.
    pub holder: String,
    /// Chosen for each write, so that a writer knows its own after a lost answer.
    pub nonce: String,
    /// Time that the write gives the holder, from when the holder sent it.
    pub term_ms: u64,
    /// Longest time that an order of the holder takes.
    pub order_timeout_ms: u64,
    /// Whether the holder gave the lease back and has no order under way.
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

    /// Reads a record; one that cannot be read counts as held for the longest term there is.
    ///
    /// ```
    /// use skylarkpick_lease::LeaseRecord;
    /// let record = LeaseRecord::read(b"not a record");
    /// assert_eq!((record.term_ms, record.released), (300_000, false));
    /// ```
    pub fn read(value: &[u8]) -> LeaseRecord {
        serde_json::from_slice(value).unwrap_or_else(|_| LeaseRecord {
            holder: "unreadable".to_string(),
            nonce: String::new(),
            term_ms: milliseconds(TERM_LIMIT),
            order_timeout_ms: 0,
            released: false,
        })
    }

    pub(crate) fn write(&self) -> Vec<u8> {
        // A record of strings and numbers always serializes.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Time that a successor waits after it first saw the record.
    pub(crate) fn wait(&self, own: &LeaseSettings) -> Duration {
        if self.released {
            return Duration::ZERO;
        }
        let term = Duration::from_millis(self.term_ms).min(TERM_LIMIT);
        // An order never takes longer than the term, or its holder could not give it.
        let recorded = Duration::from_millis(self.order_timeout_ms).min(TERM_LIMIT);
        let order_timeout = recorded.max(own.order_timeout);
        term + order_timeout
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
