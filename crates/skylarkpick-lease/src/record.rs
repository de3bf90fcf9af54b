//! The stored form of a lease.

use crate::settings::{LeaseSettings, TERM_LIMIT};
use serde::{Deserialize, Serialize};
use skylarkpick_interface::StoreEra;
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
    /// Maximum time that an order of the holder takes.
    pub order_timeout_ms: u64,
    /// Whether the holder released the lease, with no order in flight.
    pub released: bool,
    /// Name of the holder's machine.
    #[serde(default)]
    pub machine: Option<String>,
    /// Time from the write in which the holder sends no order, since another machine may have sent
    /// some before.
    #[serde(default)]
    pub order_pause_ms: u64,
    /// Era of the store in which the holder sent the write. The lease ends with it.
    #[serde(default)]
    pub era: StoreEra,
}

impl LeaseRecord {
    pub(crate) fn new(
        settings: &LeaseSettings,
        nonce: &str,
        released: bool,
        order_pause: Duration,
        era: StoreEra,
    ) -> LeaseRecord {
        LeaseRecord {
            holder: settings.holder.clone(),
            nonce: nonce.to_string(),
            term_ms: milliseconds(settings.term()),
            order_timeout_ms: milliseconds(settings.order_timeout),
            released,
            machine: settings.machine.clone(),
            // Rounded up: a successor relies on the whole pause.
            order_pause_ms: milliseconds(order_pause + Duration::from_micros(999)),
            era,
        }
    }

    /// Decodes a record. Invalid content decodes to a lease with the maximum term, so that a successor
    /// still waits until any holder must have stopped.
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
            machine: None,
            order_pause_ms: 0,
            era: 0,
        })
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        // Serialising strings, integers and a flag cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns how long a successor waits after it first saw the record, if the store is in `era`. A
    /// successor on the same machine waits for an order in flight only, since it runs after the holder
    /// has ended.
    pub(crate) fn takeover_delay(&self, own: &LeaseSettings, era: StoreEra) -> Duration {
        if self.released && self.is_of_era(era) {
            return Duration::ZERO;
        }
        // A holder whose order timeout exceeds its term gets no permit, so the limit bounds both.
        let recorded = Duration::from_millis(self.order_timeout_ms).min(TERM_LIMIT);
        let order_timeout = recorded.max(own.order_timeout);
        if self.is_own_predecessor(own, era) {
            order_timeout
        } else {
            self.longest_term(own, era) + order_timeout
        }
    }

    /// Returns how long a successor sends no order after it first saw the record, if the store is in
    /// `era`, so that orders of two machines stay apart. Orders of the record's holder arrive within its
    /// term.
    pub(crate) fn order_pause(&self, own: &LeaseSettings, era: StoreEra) -> Duration {
        if !self.is_of_era(era) {
            return self.longest_term(own, era) + own.machine_gap;
        }
        let recorded = Duration::from_millis(self.order_pause_ms).min(TERM_LIMIT);
        // Such a holder sent no order.
        let is_unused = recorded > self.term() || (self.released && !recorded.is_zero());
        if is_unused || self.is_own_predecessor(own, era) {
            return recorded;
        }
        let last_order = if self.released { Duration::ZERO } else { self.term() };
        last_order + own.machine_gap
    }

    /// Returns whether the record's holder ran on this machine, and no other one may hold the lease.
    pub(crate) fn is_own_predecessor(&self, own: &LeaseSettings, era: StoreEra) -> bool {
        self.is_of_era(era) && self.machine.is_some() && self.machine == own.machine
    }

    /// Returns whether the record was sent in the store's era. Another one was restored by the store or
    /// arrived late: the last holder before may be any candidate.
    fn is_of_era(&self, era: StoreEra) -> bool {
        self.era == era
    }

    /// Returns the longest term that a holder may have had. Candidates of one lease have the same
    /// settings.
    fn longest_term(&self, own: &LeaseSettings, era: StoreEra) -> Duration {
        if self.is_of_era(era) { self.term() } else { self.term().max(own.term()) }
    }

    fn term(&self) -> Duration {
        Duration::from_millis(self.term_ms).min(TERM_LIMIT)
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
