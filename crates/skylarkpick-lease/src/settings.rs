//! Settings of a lease.

use std::time::Duration;

/// Maximum term; also the term that a successor assumes for a record that it cannot decode.
pub(crate) const TERM_LIMIT: Duration = Duration::from_secs(300);

/// Settings of a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseSettings {
    /// Key of the platform object.
    pub key: String,
    /// Name of this candidate, unique for each start of its process.
    pub holder: String,
    /// Name of the machine, if the lease tells machines apart: the same at each start of a process
    /// on one machine, and different on all others. A process must not run beside its predecessor.
    pub machine: Option<String>,
    /// Minimum time between the last order of one machine and the first order of another.
    pub machine_gap: Duration,
    /// Time for which a write grants the lease, at most five minutes.
    pub term: Duration,
    /// Maximum time that one order may take.
    pub order_timeout: Duration,
    /// Time between two writes of the holder, each of which renews the lease.
    pub renewal_interval: Duration,
    /// Time between two reads by a candidate that doesn't hold the lease, and between retries.
    pub poll_interval: Duration,
    /// Time after which a call to the platform is abandoned.
    pub call_timeout: Duration,
}

impl LeaseSettings {
    /// Returns settings with a term of 6 s and an order timeout of 2 s, which don't tell machines
    /// apart.
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
            machine: None,
            machine_gap: Duration::ZERO,
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
