//! Learned gaps after which prefixes return.

use std::time::{Duration, Instant};

/// Share of the newest gap in the moving mean of a prefix.
const AVERAGE_SHARE: f64 = 0.3;
/// Width of a class of gaps as a factor between its ends.
const CLASS_FACTOR: f64 = 2.0;
/// Shortest gap that has a class of its own, in seconds.
const FIRST_CLASS_SECONDS: f64 = 1.0;
/// Classes of gaps: up to about 12 days.
const CLASSES: usize = 21;
/// Shortest expected wait as a share of the mean gap of a class.
const SHORTEST_WAIT_SHARE: f64 = 0.1;
/// Return chance of a prefix while nothing is known of any.
const PRIOR_CHANCE: f64 = 0.5;
/// Observations that the prior counts for.
const PRIOR_WEIGHT: f64 = 8.0;

/// Uses of one prefix.
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

    /// Notes a use; gives the gap since the one before.
    pub(super) fn note(&mut self, now: Instant) -> Duration {
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

/// Learned gaps of all prefixes together: how often a prefix that stayed away for so long still
/// returned.
#[derive(Clone, Debug)]
pub(super) struct ReturnTable {
    /// Returns by the class of their gap.
    returned: [f64; CLASSES],
    /// Sum of the gaps in seconds by class.
    gap_seconds: [f64; CLASSES],
    /// Prefixes given up by the class of the time that they stayed away.
    given_up: [f64; CLASSES],
    first_uses: f64,
    second_uses: f64,
}

impl ReturnTable {
    pub(super) fn open() -> ReturnTable {
        ReturnTable {
            returned: [0.0; CLASSES],
            gap_seconds: [0.0; CLASSES],
            given_up: [0.0; CLASSES],
            first_uses: 0.0,
            second_uses: 0.0,
        }
    }

    pub(super) fn note_first(&mut self) {
        self.first_uses += 1.0;
    }

    pub(super) fn note_return(&mut self, gap: Duration, uses_now: u32) {
        self.returned[class_of(gap)] += 1.0;
        self.gap_seconds[class_of(gap)] += gap.as_secs_f64();
        if uses_now == 2 {
            self.second_uses += 1.0;
        }
    }

    pub(super) fn note_given_up(&mut self, after: Duration) {
        self.given_up[class_of(after)] += 1.0;
    }

    /// Seconds that a prefix away for `away` is expected to stay away yet, if it returns.
    ///
    /// The mean, over the gaps seen that were longer than `away`, of what was left of them.
    pub(super) fn expected_wait_seconds(&self, away: Duration) -> f64 {
        let away_seconds = away.as_secs_f64();
        let (mut waits, mut count) = (away_seconds + FIRST_CLASS_SECONDS, 1.0);
        for class in class_of(away)..CLASSES {
            let returned = self.returned[class];
            if returned > 0.0 {
                let mean_seconds = self.gap_seconds[class] / returned;
                let wait_seconds = mean_seconds - away_seconds;
                waits += returned * wait_seconds.max(SHORTEST_WAIT_SHARE * mean_seconds);
                count += returned;
            }
        }
        waits / count
    }

    /// Chance that a prefix used `uses` times and away for `away` returns.
    ///
    /// Of the uses so far, the share that was followed by a gap longer than `away`, over that
    /// share and those that were given up; a prefix seen once only has the share of prefixes
    /// that were ever used a second time.
    pub(super) fn chance(&self, uses: u32, away: Duration) -> f64 {
        let class = class_of(away);
        let later: f64 = self.returned[class..].iter().sum();
        let never: f64 = self.given_up[class..].iter().sum();
        let by_gap = (later + PRIOR_CHANCE * PRIOR_WEIGHT) / (later + never + PRIOR_WEIGHT);
        if uses > 1 {
            return by_gap;
        }
        let seconds = self.second_uses + PRIOR_CHANCE * PRIOR_WEIGHT;
        by_gap.min(seconds / (self.first_uses + PRIOR_WEIGHT))
    }
}

fn class_of(gap: Duration) -> usize {
    let ratio = gap.as_secs_f64() / FIRST_CLASS_SECONDS;
    if ratio < 1.0 {
        return 0;
    }
    let class = ratio.log(CLASS_FACTOR).floor() as usize + 1;
    class.min(CLASSES - 1)
}
