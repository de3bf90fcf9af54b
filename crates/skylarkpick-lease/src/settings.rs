//! Settings of a lease.

use std::time::Duration;

/// Longest term; a record that cannot be read is taken to be held this long.
pub(crate) const TERM_LIMIT: Duration = Duration::from_secs(300);

/// Settings of a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseSettings {
    /// Key of the platform object.
    pub key: String,
    /// Name of this candidate, unique for each start of its process.
    pub holder: String,
    /// Time that a write gives its holder, at most five minutes.
    pub term: Duration,
    /// Longest time that one order may take.
    pub order_timeout: Duration,
    /// Time from one write of the holder to its next.
    pub renewal_interval: Duration,
    /// Time between two reads of a candidate that waits, and between retries.
    pub poll_interval: Duration,
    /// Time after which an unanswered call to the platform counts as lost.
    pub call_timeout: Duration,
}

impl LeaseSettings {
    /// Settings with a term of 6 s and orders of at most 2 s.
    ///
    /// ```
    /// use skylarkpick_lease::LeaseSettings;
    /// let settings = LeaseSettings::new("leases/planner/mnl-a", "entry-1");
    /// assert!(settings.renewal_interval + settings.order_timeout < settings.term);
    /// ```
    pub fn new(key: &str, holder: &str) -> LeaseSettings {
        LeaseSettings {
            key: key.to_string(),
            holder: holder.to_string(),
            term: Duration::from_secs(6),
            order_timeout: Duration::from_secs(2),
            renewal_interval: Duration::from_secs(1),
            poll_interval: Duration::from_secs(1),
            call_timeout: Duration::from_secs(1),
        }
    }

    pub(crate) fn term(&self) -> Duration {
        self.term.min(TERM_LIMIT)
    }
}
