//! Workload parameters and the random choices of the generator.

use super::FleetName;
use rand::{Rng, rngs::SmallRng};

/// A prefix that is requested repeatedly.
#[derive(Clone, Debug)]
pub(super) struct Prefix {
    pub(super) account: String,
    pub(super) name: String,
    pub(super) tokens: u64,
    /// Relative frequency of requests for it.
    pub(super) weight: f64,
}

/// Workload of a fleet. Ranges are inclusive.
#[derive(Clone, Copy, Debug)]
pub(super) struct Workload {
    pub(super) accounts: usize,
    pub(super) prefixes: usize,
    pub(super) tokens: (u64, u64),
    /// Long, frequently requested prefixes of each account: 0 or 1.
    pub(super) rulebooks_per_account: usize,
    pub(super) rulebook_tokens: (u64, u64),
    /// Share of the request weight that goes to the rulebooks.
    pub(super) rulebook_share: f64,
    pub(super) requests_per_second: f64,
    pub(super) seconds: f64,
    /// Requests in a burst for one prefix.
    pub(super) visit_requests: (u64, u64),
    /// Mean pause between the requests of a burst.
    pub(super) visit_pause_seconds: f64,
}

/// Block length to which prefix lengths are rounded down.
const BLOCK_TOKENS: u64 = 256;

impl Workload {
    pub(super) fn of(fleet: FleetName) -> Workload {
        let bantay = Workload {
            accounts: 10,
            prefixes: 120,
            tokens: (8_192, 49_152),
            rulebooks_per_account: 0,
            rulebook_tokens: (0, 0),
            rulebook_share: 0.0,
            requests_per_second: 2.5,
            seconds: 3_600.0,
            visit_requests: (1, 5),
            visit_pause_seconds: 12.0,
        };
        match fleet {
            FleetName::Bantay => bantay,
            FleetName::Viti => Workload {
                prefixes: 160,
                tokens: (4_096, 24_576),
                rulebooks_per_account: 1,
                rulebook_tokens: (49_152, 81_920),
                rulebook_share: 0.5,
                requests_per_second: 4.0,
                ..bantay
            },
            FleetName::Planned => Workload {
                accounts: 560,
                prefixes: 4_000,
                tokens: (2_048, 16_384),
                requests_per_second: 560.0,
                seconds: 40.0,
                visit_requests: (1, 4),
                visit_pause_seconds: 4.0,
                ..bantay
            },
        }
    }

    /// Generates the prefixes of all accounts. Accounts with a low number have more of them.
    pub(super) fn prefixes(&self, random: &mut SmallRng) -> Vec<Prefix> {
        let mut prefixes = Vec::new();
        for number in 0..self.prefixes {
            let account = skewed_index(random, self.accounts);
            prefixes.push(Prefix {
                account: account_name(account),
                name: format!("context-{number}"),
                tokens: block_aligned_length(random, self.tokens),
                weight: 0.3 + random.random::<f64>(),
            });
        }
        let ordinary_weight: f64 = prefixes.iter().map(|prefix| prefix.weight).sum();
        let rulebook_count = (self.accounts * self.rulebooks_per_account) as f64;
        let rulebook_weight = ordinary_weight * self.rulebook_share / (1.0 - self.rulebook_share);
        for account in 0..self.accounts * self.rulebooks_per_account.min(1) {
            prefixes.push(Prefix {
                account: account_name(account),
                name: "rulebook".to_string(),
                tokens: block_aligned_length(random, self.rulebook_tokens),
                weight: rulebook_weight / rulebook_count,
            });
        }
        prefixes
    }
}

pub(super) fn account_name(number: usize) -> String {
    format!("account-{number:03}")
}

pub(super) fn block_aligned_length(random: &mut SmallRng, (shortest, longest): (u64, u64)) -> u64 {
    random.random_range(shortest..=longest) / BLOCK_TOKENS * BLOCK_TOKENS
}

/// Returns a random number below `count`; low numbers are more frequent.
fn skewed_index(random: &mut SmallRng, count: usize) -> usize {
    let share = random.random::<f64>();
    ((share * share) * count as f64) as usize
}

/// Returns a random prefix, with a probability in proportion to its weight.
pub(super) fn pick_by_weight<'a>(random: &mut SmallRng, prefixes: &'a [Prefix]) -> &'a Prefix {
    let total: f64 = prefixes.iter().map(|prefix| prefix.weight).sum();
    let mut remaining = random.random::<f64>() * total;
    for prefix in prefixes {
        remaining -= prefix.weight;
        if remaining <= 0.0 {
            return prefix;
        }
    }
    &prefixes[prefixes.len() - 1]
}

/// Returns a random gap of a Poisson process with this mean gap.
pub(super) fn exponential_gap_seconds(random: &mut SmallRng, mean_seconds: f64) -> f64 {
    -mean_seconds * (1.0 - random.random::<f64>()).ln()
}
