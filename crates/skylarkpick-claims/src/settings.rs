//! Settings of the claim log.

use std::time::Duration;

/// Settings of the claim log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Id of this process, stored in its claims.
    pub entry_id: String,
    /// Number of shards. All processes must use the same number, and it can never change, because
    /// it determines the shard of each key.
    pub shards: u32,
    /// Time for which a key is remembered, from when this process first saw its claim.
    pub retention: Duration,
    /// Shortest time between two objects that this process appends to a shard.
    pub batch_interval: Duration,
    /// Longest time for which an outcome waits, so that it can share an object with a claim.
    pub outcome_delay: Duration,
    /// Time between two reads of the tail while a request waits for an outcome.
    pub poll_interval: Duration,
    /// Time after which a call to the platform is abandoned.
    pub call_timeout: Duration,
    /// Time after which a claim that is not confirmed is refused, and never granted later.
    pub claim_timeout: Duration,
    /// Longest response body that is stored.
    pub body_size_bytes: usize,
    /// Most entries in one object.
    pub batch_entries: usize,
    /// Size from which no more entries are added to an object. Leaves room below the platform's
    /// limit of a megabyte for an object.
    pub batch_size_bytes: usize,
}

impl ClaimSettings {
    /// Returns settings with four shards and a retention of one hour.
    ///
    /// ```
    /// use skylarkpick_claims::ClaimSettings;
    /// let settings = ClaimSettings::new("entry-1");
    /// assert!(settings.claim_timeout * 4 <= settings.retention);
    /// ```
    pub fn new(entry_id: &str) -> ClaimSettings {
        ClaimSettings {
            entry_id: entry_id.to_string(),
            shards: 4,
            retention: Duration::from_secs(3_600),
            batch_interval: Duration::from_millis(20),
            outcome_delay: Duration::from_millis(100),
            poll_interval: Duration::from_millis(250),
            call_timeout: Duration::from_secs(1),
            claim_timeout: Duration::from_secs(3),
            body_size_bytes: 65_536,
            batch_entries: 512,
            batch_size_bytes: 524_288,
        }
    }

    /// Time for which a free number at the tail may be relied on to append. An object is deleted no
    /// sooner than one retention after it was written, so a number that was free this recently
    /// cannot have been used and deleted since.
    pub(crate) fn tail_window(&self) -> Duration {
        self.retention / 2
    }

    /// Time after its grant at which a ticket expires, well before the log forgets its claim.
    pub(crate) fn ticket_timeout(&self) -> Duration {
        self.retention / 4
    }

    /// Time after which a claim is never granted; bounded so that it stays within
    /// [`tail_window`](ClaimSettings::tail_window).
    pub(crate) fn claim_timeout(&self) -> Duration {
        self.claim_timeout.min(self.retention / 4)
    }
}
