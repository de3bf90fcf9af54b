//! Who asks for what, and when it returns.

use super::FleetName;
use rand::{Rng, rngs::SmallRng};

/// A prefix that callers return to.
#[derive(Clone, Debug)]
pub(super) struct Prefix {
    pub(super) account: String,
    pub(super) name: String,
    pub(super) tokens: u64,
    /// Requests for it in proportion to other prefixes.
    pub(super) weight: f64,
}

/// Callers of a fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Callers {
    pub(super) accounts: usize,
    pub(super) prefixes: usize,
    pub(super) tokens: (u64, u64),
    /// Prefixes of each account that are long and often asked for.
    pub(super) rulebooks: usize,
    pub(super) rulebook_tokens: (u64, u64),
    /// Share of requests about the long ones.
    pub(super) rulebook_share: f64,
    pub(super) requests_per_second: f64,
    pub(super) seconds: f64,
    /// Requests in one visit to a prefix, and the pause between them in seconds.
    pub(super) visit_requests: (u64, u64),
    pub(super) visit_pause_seconds: f64,
}

/// Length of a block, to which lengths are rounded.
const BLOCK_TOKENS: u64 = 256;

impl Callers {
    pub(super) fn of(fleet: FleetName) -> Callers {
        let bantay = Callers {
            accounts: 10,
            prefixes: 120,
            tokens: (8_192, 49_152),
            rulebooks: 0,
            rulebook_tokens: (0, 0),
            rulebook_share: 0.0,
            requests_per_second: 2.5,
            seconds: 3_600.0,
            visit_requests: (1, 5),
            visit_pause_seconds: 12.0,
        };
        match fleet {
            FleetName::Bantay => bantay,
            FleetName::Viti => Callers {
                prefixes: 160,
                tokens: (4_096, 24_576),
                rulebooks: 1,
                rulebook_tokens: (49_152, 81_920),
                rulebook_share: 0.5,
                requests_per_second: 4.0,
                ..bantay
            },
            FleetName::Planned => Callers {
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

    /// Prefixes of all accounts; the first accounts have more of them.
    pub(super) fn prefixes(&self, random: &mut SmallRng) -> Vec<Prefix> {
        let mut prefixes = Vec::new();
        for number in 0..self.prefixes {
            let account = skewed(random, self.accounts);
            prefixes.push(Prefix {
                account: account_name(account),
                name: format!("context-{number}"),
                tokens: length(random, self.tokens),
                weight: 0.3 + random.random::<f64>(),
            });
        }
        let usual_weight: f64 = prefixes.iter().map(|prefix| prefix.weight).sum();
        let books = (self.accounts * self.rulebooks) as f64;
        let book_weight = usual_weight * self.rulebook_share / (1.0 - self.rulebook_share);
        for account in 0..self.accounts * self.rulebooks.min(1) {
            prefixes.push(Prefix {
                account: account_name(account),
                name: "rulebook".to_string(),
                tokens: length(random, self.rulebook_tokens),
                weight: book_weight / books,
            });
        }
        prefixes
    }
}

pub(super) fn account_name(number: usize) -> String {
    format!("account-{number:03}")
}

pub(super) fn length(random: &mut SmallRng, (shortest, longest): (u64, u64)) -> u64 {
    random.random_range(shortest..=longest) / BLOCK_TOKENS * BLOCK_TOKENS
}

/// Picks a number below `count`, small ones more often.
fn skewed(random: &mut SmallRng, count: usize) -> usize {
    let share = random.random::<f64>();
    ((share * share) * count as f64) as usize
}

/// Picks a prefix by weight.
pub(super) fn pick<'a>(random: &mut SmallRng, prefixes: &'a [Prefix]) -> &'a Prefix {
    let total: f64 = prefixes.iter().map(|prefix| prefix.weight).sum();
    let mut rest = random.random::<f64>() * total;
    for prefix in prefixes {
        rest -= prefix.weight;
        if rest <= 0.0 {
            return prefix;
        }
    }
    &prefixes[prefixes.len() - 1]
}

/// A gap of a memoryless arrival process with this mean.
pub(super) fn exponential(random: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}
