//! Limits of client accounts, split among entry processes without a network round trip per request.
//!
//! Each process sends its demand for each account with its gossip, and computes its own share from
//! the demands that it received last. A limit is split in proportion to demand, with a floor for
//! every process so that the first request of an account needs no message. While an update of the
//! demand is on the way, the shares may add up to more or less than the limit.

use super::token_bucket::TokenBucket;
use skylarkpick_interface::{AccountId, EntryId};
use std::{collections::BTreeMap, time::Duration};

/// Share of an account's limit that is split evenly among processes, regardless of demand.
const EVEN_SHARE: f64 = 0.1;
/// Burst that an account may use at once, as the time that its rate takes to refill it.
const BURST: Duration = Duration::from_secs(2);
/// Time constant of the exponential average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
/// Time after which a demand that a process reported no longer counts.
const DEMAND_LIFETIME: Duration = Duration::from_secs(30);

/// Limits of one client account over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimits {
    /// Requests that may be queued or running at once.
    pub requests_limit: u32,
    /// Estimated tokens that may be started in a second.
    pub tokens_per_second_limit: f64,
}

/// Demand of one account at one process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Estimated tokens requested per second.
    pub tokens_per_second: f64,
    /// When the demand was reported.
    pub at: Duration,
}

/// Shares of one process in the limits of all accounts, and their use.
#[derive(Debug, Default)]
pub struct AccountShares {
    accounts: BTreeMap<AccountId, Share>,
    processes: usize,
}

#[derive(Debug)]
struct Share {
    bucket: TokenBucket,
    demand: f64,
    demand_at: Duration,
    requests: u32,
    peers: BTreeMap<EntryId, Demand>,
}

impl AccountShares {
    /// Opens shares for a fleet of `processes` entry processes.
    pub fn open(processes: usize) -> AccountShares {
        AccountShares { accounts: BTreeMap::new(), processes: processes.max(1) }
    }

    /// Changes the number of entry processes that share the limits.
    pub fn set_processes(&mut self, processes: usize) {
        self.processes = processes.max(1);
    }

    /// Records the demand that a peer reported.
    pub fn observe_peer(&mut self, account: &str, peer: &str, demand: Demand) {
        if let Some(share) = self.accounts.get_mut(account) {
            share.peers.insert(peer.to_string(), demand);
        }
    }

    /// Counts a request as started if it fits into the account's share.
    ///
    /// # Errors
    /// Returns the time after which to retry.
    pub fn begin(
        &mut self,
        account: &str,
        limits: AccountLimits,
        cost_tokens: u64,
        now: Duration,
    ) -> Result<(), Duration> {
        let processes = self.processes;
        let share = self.share(account, limits, now);
        share.note_demand(cost_tokens as f64, now);
        let fraction = share.fraction(processes, now);
        let requests_limit = (f64::from(limits.requests_limit) * fraction).ceil().max(1.0);
        if f64::from(share.requests) >= requests_limit {
            return Err(Duration::from_secs(1));
        }
        let rate = limits.tokens_per_second_limit * fraction;
        share.bucket.set_rate(rate, rate * BURST.as_secs_f64(), now);
        share.bucket.take(cost_tokens as f64, now)?;
        share.requests += 1;
        Ok(())
    }

    /// Counts a request as finished.
    pub fn end(&mut self, account: &str) {
        if let Some(share) = self.accounts.get_mut(account) {
            share.requests = share.requests.saturating_sub(1);
        }
    }

    /// Returns the demand for each account at this process, to be sent to the peers.
    pub fn demands(&mut self, now: Duration) -> BTreeMap<AccountId, f64> {
        let demands = self.accounts.iter_mut().map(|(name, share)| {
            share.note_demand(0.0, now);
            (name.clone(), share.demand)
        });
        demands.filter(|(_, demand)| *demand >= 1.0).collect()
    }

    fn share(&mut self, account: &str, limits: AccountLimits, now: Duration) -> &mut Share {
        let fraction = 1.0 / self.processes as f64;
        self.accounts.entry(account.to_string()).or_insert_with(|| {
            let rate = limits.tokens_per_second_limit * fraction;
            Share {
                bucket: TokenBucket::open(rate, rate * BURST.as_secs_f64(), now),
                demand: 0.0,
                demand_at: now,
                requests: 0,
                peers: BTreeMap::new(),
            }
        })
    }
}

impl Share {
    /// Adds a request to the exponential average of demand.
    fn note_demand(&mut self, cost_tokens: f64, now: Duration) {
        let passed = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_at = self.demand_at.max(now);
        let window = DEMAND_WINDOW.as_secs_f64();
        self.demand = self.demand * (-passed / window).exp() + cost_tokens / window;
    }

    /// Returns the fraction of the account's limits that this process may use.
    fn fraction(&self, processes: usize, now: Duration) -> f64 {
        let fresh = self.peers.values().filter(|demand| demand.at + DEMAND_LIFETIME > now);
        let others: f64 = fresh.map(|demand| demand.tokens_per_second).sum();
        let even = 1.0 / processes as f64;
        if self.demand + others <= 0.0 {
            return even;
        }
        let by_demand = if processes == 1 { 1.0 } else { self.demand / (self.demand + others) };
        EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand
    }
}
