//! Statistics of prefix reuse: the times between uses, and the probability of another use.

use std::time::{Duration, Instant};

/// Weight of the newest gap in the moving average of a prefix.
const AVERAGE_SHARE: f64 = 0.3;
/// Ratio between the upper and the lower bound of a histogram bucket of gaps.
const BUCKET_FACTOR: f64 = 2.0;
/// Upper bound of the first bucket.
const FIRST_BUCKET_SECONDS: f64 = 1.0;
/// Number of buckets. They cover gaps of up to about 12 days; the last one also takes longer gaps.
const BUCKETS: usize = 21;
/// Shortest expected wait as a share of the mean gap of a bucket.
const SHORTEST_WAIT_SHARE: f64 = 0.1;
/// Probability of another use before there are any observations.
const PRIOR_PROBABILITY: f64 = 0.5;
/// Number of observations that the prior probability counts as.
const PRIOR_WEIGHT: f64 = 8.0;

/// History of the uses of one prefix.
#[derive(Clone, Debug)]
pub(super) struct UseHistory {
    pub(super) uses: u32,
    pub(super) last_used_at: Instant,
    mean_gap_seconds: Option<f64>,
}

impl UseHistory {
    pub(super) fn open(now: Instant) -> UseHistory {
        UseHistory { uses: 1, last_used_at: now, mean_gap_seconds: None }
    }

    /// Records a use. Returns the gap since the previous one.
    pub(super) fn note_use(&mut self, now: Instant) -> Duration {
        let gap = now.saturating_duration_since(self.last_used_at);
        let seconds = gap.as_secs_f64();
        let mean =
            self.mean_gap_seconds.map_or(seconds, |mean| mean + AVERAGE_SHARE * (seconds - mean));
        self.mean_gap_seconds = Some(mean);
        self.uses += 1;
        self.last_used_at = now;
        gap
    }
}

/// Histogram of the gaps between uses, over all prefixes.
#[derive(Clone, Debug)]
pub(super) struct ReuseStatistics {
    /// Reuses, by the bucket of their gap.
    reused: [f64; BUCKETS],
    /// Sum of the gaps, by bucket.
    gap_seconds: [f64; BUCKETS],
    /// Prefixes dropped from the history, by the bucket of their time without use.
    dropped: [f64; BUCKETS],
    first_uses: f64,
    second_uses: f64,
}

impl ReuseStatistics {
    pub(super) fn open() -> ReuseStatistics {
        ReuseStatistics {
            reused: [0.0; BUCKETS],
            gap_seconds: [0.0; BUCKETS],
            dropped: [0.0; BUCKETS],
            first_uses: 0.0,
            second_uses: 0.0,
        }
    }

    pub(super) fn note_first_use(&mut self) {
        self.first_uses += 1.0;
    }

    /// Records another use of a prefix. `uses` counts it and all uses before.
    pub(super) fn note_reuse(&mut self, gap: Duration, uses: u32) {
        self.reused[bucket_of(gap)] += 1.0;
        self.gap_seconds[bucket_of(gap)] += gap.as_secs_f64();
        if uses == 2 {
            self.second_uses += 1.0;
        }
    }

    /// Records that a prefix was dropped from the history after a time without use.
    pub(super) fn note_dropped(&mut self, idle: Duration) {
        self.dropped[bucket_of(idle)] += 1.0;
    }

    /// Returns the expected seconds until the next use of a prefix that has been idle for `idle`,
    /// if it is used again.
    ///
    /// This is the mean remainder of the observed gaps that are longer than `idle`.
    pub(super) fn expected_wait_seconds(&self, idle: Duration) -> f64 {
        let idle_seconds = idle.as_secs_f64();
        let (mut waits, mut count) = (idle_seconds + FIRST_BUCKET_SECONDS, 1.0);
        for bucket in bucket_of(idle)..BUCKETS {
            let reused = self.reused[bucket];
            if reused > 0.0 {
                let mean_seconds = self.gap_seconds[bucket] / reused;
                let wait_seconds = mean_seconds - idle_seconds;
                waits += reused * wait_seconds.max(SHORTEST_WAIT_SHARE * mean_seconds);
                count += reused;
            }
        }
        waits / count
    }

    /// Returns the probability that a prefix with `uses` uses, idle for `idle`, is used again.
    ///
    /// Of all prefixes that were idle for so long, it is the share that was used again instead of
    /// dropped. For a prefix with a single use, the share of prefixes that were used a second time
    /// is an upper limit.
    pub(super) fn reuse_probability(&self, uses: u32, idle: Duration) -> f64 {
        let bucket = bucket_of(idle);
        let reused: f64 = self.reused[bucket..].iter().sum();
        let dropped: f64 = self.dropped[bucket..].iter().sum();
        let by_gap =
            (reused + PRIOR_PROBABILITY * PRIOR_WEIGHT) / (reused + dropped + PRIOR_WEIGHT);
        if uses > 1 {
            return by_gap;
        }
        let second_uses = self.second_uses + PRIOR_PROBABILITY * PRIOR_WEIGHT;
        by_gap.min(second_uses / (self.first_uses + PRIOR_WEIGHT))
    }
}

fn bucket_of(gap: Duration) -> usize {
    let ratio = gap.as_secs_f64() / FIRST_BUCKET_SECONDS;
    if ratio < 1.0 {
        return 0;
    }
    let bucket = ratio.log(BUCKET_FACTOR).floor() as usize + 1;
    bucket.min(BUCKETS - 1)
}
