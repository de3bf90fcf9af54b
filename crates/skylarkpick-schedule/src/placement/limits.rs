//! Shares of entry processes in the limits that targets name for all of them together.
//!
//! Each process derives its share from the limit and the registered processes alone, so that shares
//! hold without any message. Only a few processes have a share in a low limit, since each needs to be
//! able to send one request at a time.

use super::parts::rendezvous_weight;
use crate::limit::TokenBucket;
use skylarkpick_interface::{EntryId, RequestLimit};
use std::time::Duration;

/// Lowest limit that is kept, in thousandths of a request per second. With no request at all, nobody
/// would learn that a limit has ended.
const LIMIT_FLOOR: u64 = 50;
/// Highest limit that is kept, in the same unit; none binds there.
const LIMIT_CEILING: u64 = 1_000_000_000;
/// Part of a limit that is shared out. The rest covers processes that know of each other at different
/// times, when some start or end.
pub(super) const SHARED_PART: f64 = 0.8;
/// Processes that have a share in any limit: if one ends, another goes on.
const SHARES_FLOOR: usize = 2;
/// Requests beyond the rate that targets allow for, divided by the users' factor for the rate; half of
/// them may be sent at once.
const BURST_ALLOWANCE: f64 = 3.0;
/// Number of processes that is assumed as long as none is known.
const UNKNOWN_ENTRIES: usize = 8;
/// Time after which a limit that no response has named again is forgotten.
const LIMIT_LIFETIME: Duration = Duration::from_secs(600);

/// Registered entry processes, as far as shares depend on them.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryList {
    own: EntryId,
    names: Vec<EntryId>,
}

/// Share of this process in a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LimitShare {
    requests_per_second: f64,
    burst: f64,
}

/// Limit that a target named.
#[derive(Clone, Debug)]
pub(super) struct KeptLimit {
    limit: RequestLimit,
    /// Time of the last response that named it.
    named_at: Duration,
    /// Requests that this process may send; `None` if only others have shares.
    bucket: Option<TokenBucket>,
}

impl EntryList {
    /// Opens a list. This process counts as registered.
    pub(super) fn open(own: &str, mut names: Vec<EntryId>) -> EntryList {
        if !names.iter().any(|name| name == own) {
            names.push(own.to_string());
        }
        EntryList { own: own.to_string(), names }
    }

    /// Returns the number of processes.
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns how many processes come before this one in the order in which they have shares in the
    /// limit of a target.
    pub(super) fn rank(&self, target: &str) -> usize {
        let own_weight = rendezvous_weight(target, &self.own);
        self.names.iter().filter(|name| rendezvous_weight(target, name) > own_weight).count()
    }

    /// Returns the share of this process in the limit of a target, if it has one.
    pub(super) fn share(&self, target: &str, limit: RequestLimit) -> Option<LimitShare> {
        let shared = limit.requests_per_second() * SHARED_PART;
        let entries = if self.names.is_empty() { UNKNOWN_ENTRIES } else { self.names.len() };
        // A cast saturates, and no fleet has as many processes.
        let shares = SHARES_FLOOR.saturating_add(shared as usize).min(entries);
        if shares < entries && self.rank(target) >= shares {
            return None;
        }
        let shares = shares as f64;
        let burst = ((limit.requests_per_second() + BURST_ALLOWANCE) / (2.0 * shares)).floor();
        Some(LimitShare { requests_per_second: shared / shares, burst: burst.max(1.0) })
    }
}

impl KeptLimit {
    /// Opens a limit. What this process sent before counts, so that its share begins empty.
    pub(super) fn open(
        target: &str,
        limit: RequestLimit,
        entries: &EntryList,
        now: Duration,
    ) -> KeptLimit {
        let bucket = entries.share(target, limit).map(|share| share.empty_bucket(now));
        KeptLimit { limit, named_at: now, bucket }
    }

    pub(super) fn limit(&self) -> RequestLimit {
        self.limit
    }

    pub(super) fn named_at(&self) -> Duration {
        self.named_at
    }

    pub(super) fn is_expired(&self, now: Duration) -> bool {
        now >= self.named_at + LIMIT_LIFETIME
    }

    /// Applies what a response names now.
    pub(super) fn rename(
        &mut self,
        target: &str,
        limit: RequestLimit,
        entries: &EntryList,
        now: Duration,
    ) {
        self.named_at = now;
        if limit != self.limit {
            self.limit = limit;
            self.update_share(target, entries, now);
        }
    }

    /// Applies another list of processes or another limit. A process that had no share begins with an
    /// empty one.
    pub(super) fn update_share(&mut self, target: &str, entries: &EntryList, now: Duration) {
        let share = entries.share(target, self.limit);
        self.bucket = share.map(|share| match self.bucket.take() {
            Some(mut bucket) => {
                share.apply(&mut bucket, now);
                bucket
            }
            None => share.empty_bucket(now),
        });
    }

    /// Returns the time until this process may send a request; without a share, until some process
    /// may.
    pub(super) fn wait(&self, now: Duration) -> Option<Duration> {
        match &self.bucket {
            Some(bucket) => bucket.wait(1.0, now),
            None => {
                let seconds = 1.0 / (self.limit.requests_per_second() * SHARED_PART);
                Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
            }
        }
    }

    /// Takes a request from the share of this process.
    ///
    /// # Errors
    /// Returns the time to wait if there is none.
    pub(super) fn take(&mut self, now: Duration) -> Result<(), Duration> {
        if let Some(wait) = self.wait(now) {
            return Err(wait);
        }
        self.bucket.as_mut().map_or(Ok(()), |bucket| bucket.take(1.0, now))
    }
}

impl LimitShare {
    /// Opens a share of this rate, of which one request may be sent at once.
    pub(super) fn single(requests_per_second: f64) -> LimitShare {
        LimitShare { requests_per_second, burst: 1.0 }
    }

    fn empty_bucket(self, now: Duration) -> TokenBucket {
        self.bucket(1.0, now)
    }

    /// Returns a bucket that lacks a part of its burst.
    pub(super) fn bucket(self, lacking_part: f64, now: Duration) -> TokenBucket {
        let mut bucket = TokenBucket::open(self.requests_per_second, self.burst, now);
        // Cannot fail: a new bucket holds its burst.
        let _ = bucket.take(self.burst * lacking_part, now);
        bucket
    }

    /// Applies the share to a bucket that was opened for another one.
    pub(super) fn apply(self, bucket: &mut TokenBucket, now: Duration) {
        bucket.set_rate(self.requests_per_second, self.burst, now);
    }
}

/// Returns the limit that is kept for one that a target named.
pub(super) fn bounded(limit: RequestLimit) -> RequestLimit {
    let milli_requests_per_second =
        limit.milli_requests_per_second.clamp(LIMIT_FLOOR, LIMIT_CEILING);
    RequestLimit { milli_requests_per_second }
}
