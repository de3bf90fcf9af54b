//! Settings of the claim log.

use std::time::Duration;

/// Settings of the claim log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Name of this process, written into its claims.
    pub entry_id: String,
    /// Shards of the log. Every process must use the same number, for good.
    pub shards: u32,
    /// Time for which a key is remembered, counted from when a process first saw its entry.
    pub retention: Duration,
    /// Shortest time between two objects that this process appends to a shard.
    pub batch_interval: Duration,
    /// Longest time that an outcome waits for a claim to share an object with.
    pub outcome_delay: Duration,
    /// Time between two reads of the tail while somebody waits for another process's outcome.
    pub poll_interval: Duration,
    /// Time after which an unanswered call to the platform counts as lost.
    pub call_timeout: Duration,
    /// Time after which a claim that is not confirmed is refused, and never granted later.
    pub claim_timeout: Duration,
    /// Longest body of an answer that is kept for a repeat.
    pub body_size_bytes: usize,
    /// Most entries in one object.
    pub batch_entries: usize,
    /// Size from which an object takes no more entries; under the platform's megabyte.
    pub batch_size_bytes: usize,
}

impl ClaimSettings {
    /// Settings with four shards and an hour's retention.
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

    /// Time for which knowledge of the tail may be used to append. An object is deleted no sooner
    /// than one retention after it was written, so a number that was free this long ago has not
    /// been used and deleted since.
    pub(crate) fn tail_window(&self) -> Duration {
        self.retention / 2
    }

    /// Time from the grant of a ticket after which it is not used any more, well before the log
    /// forgets its claim.
    pub(crate) fn ticket_timeout(&self) -> Duration {
        self.retention / 4
    }

    /// Time after which a claim is never granted; bounded so that it stays in the tail's window.
    pub(crate) fn claim_timeout(&self) -> Duration {
        self.claim_timeout.min(self.retention / 4)
    }
}
