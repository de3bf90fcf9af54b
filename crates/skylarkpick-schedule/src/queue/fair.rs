//! A queue that is fair among client accounts by estimated tokens.
//!
//! The account with the lowest virtual start time ([`AccountStarts`]) is served, and its start time
//! advances by the tokens served, divided by its weight. Within an account, requests are served by
//! priority, then by arrival.

use super::account_starts::AccountStarts;
use skylarkpick_interface::{AccountId, Priority};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Identifies a queued request.
pub type QueuedId = u64;

/// Units of virtual time per token of an account of weight 1.
const UNITS_PER_TOKEN: f64 = 1_000.0;
/// Credit of an account for the time for which it was idle.
const NO_CREDIT: u64 = 0;
/// Idle accounts to remember before those that the virtual time has reached are dropped.
const IDLE_ACCOUNTS_LIMIT: usize = 64;
/// Priorities in the order of service.
const PRIORITIES: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];

/// A request that waits in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// ID of the request.
    pub id: QueuedId,
    /// Client account that sent the request.
    pub account: AccountId,
    /// Priority within the account.
    pub priority: Priority,
    /// Estimated tokens of prompt and response.
    pub cost_tokens: u64,
    /// Time since boot by which the request must start; it expires then.
    pub start_by: Duration,
}

/// A queue that is fair among client accounts by estimated tokens.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<QueuedId, QueuedRequest>,
    by_start_by: BTreeSet<(Duration, QueuedId)>,
    accounts: BTreeMap<AccountId, AccountQueue>,
    /// Accounts with waiting requests, by their virtual start time.
    by_virtual_start: BTreeSet<(u64, AccountId)>,
    starts: AccountStarts,
    waiting_tokens: u64,
}

#[derive(Debug, Default)]
struct AccountQueue {
    weight: f64,
    waiting_tokens: u64,
    by_priority: [VecDeque<QueuedId>; 3],
}

impl AccountQueue {
    fn is_empty(&self) -> bool {
        self.waiting_tokens == 0
    }
}

impl FairQueue {
    /// Adds a request of an account with the given weight.
    ///
    /// ```
    /// use skylarkpick_schedule::{FairQueue, QueuedRequest};
    /// use skylarkpick_interface::Priority;
    /// use std::time::Duration;
    /// let mut queue = FairQueue::default();
    /// for (id, account) in [(1, "large"), (2, "large"), (3, "small")] {
    ///     let queued = QueuedRequest {
    ///         id,
    ///         account: account.to_string(),
    ///         priority: Priority::Normal,
    ///         cost_tokens: 100,
    ///         start_by: Duration::from_secs(1),
    ///     };
    ///     queue.push(queued, 1.0);
    /// }
    /// let order: Vec<u64> = std::iter::from_fn(|| queue.pop()).map(|queued| queued.id).collect();
    /// assert_eq!(order, [1, 3, 2]);
    /// ```
    pub fn push(&mut self, queued: QueuedRequest, weight: f64) {
        let queued = QueuedRequest { cost_tokens: queued.cost_tokens.max(1), ..queued };
        let account = self.accounts.entry(queued.account.clone()).or_default();
        account.weight = weight;
        if account.is_empty() {
            let start = self.starts.begin(&queued.account, NO_CREDIT);
            self.by_virtual_start.insert((start, queued.account.clone()));
        }
        account.waiting_tokens += queued.cost_tokens;
        account.by_priority[priority_index(queued.priority)].push_back(queued.id);
        self.waiting_tokens += queued.cost_tokens;
        self.by_start_by.insert((queued.start_by, queued.id));
        self.waiting.insert(queued.id, queued);
    }

    /// Removes and returns the next request in the order of service.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let (_, name) = self.by_virtual_start.pop_first()?;
        let account = self.accounts.get_mut(&name)?;
        let id = next_of(account, &self.waiting)?;
        let queued = self.waiting.remove(&id)?;
        self.by_start_by.remove(&(queued.start_by, id));
        self.waiting_tokens -= queued.cost_tokens;
        account.waiting_tokens -= queued.cost_tokens;
        let length = virtual_length(queued.cost_tokens, account.weight);
        let next_start = self.starts.serve(&name, length);
        if !account.is_empty() {
            self.by_virtual_start.insert((next_start, name));
        }
        self.drop_idle_accounts();
        Some(queued)
    }

    /// Removes a request before it is served, for example because its caller disconnected.
    pub fn remove(&mut self, id: QueuedId) -> Option<QueuedRequest> {
        let queued = self.waiting.remove(&id)?;
        self.by_start_by.remove(&(queued.start_by, id));
        self.waiting_tokens -= queued.cost_tokens;
        if let Some(account) = self.accounts.get_mut(&queued.account) {
            account.waiting_tokens -= queued.cost_tokens;
            if account.is_empty() {
                let start = self.starts.start_of(&queued.account);
                self.by_virtual_start.remove(&(start, queued.account.clone()));
                account.by_priority.iter_mut().for_each(VecDeque::clear);
            }
        }
        Some(queued)
    }

    /// Removes and returns the requests that should have started by `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest> {
        let expired: Vec<QueuedId> = self
            .by_start_by
            .iter()
            .take_while(|(start_by, _)| *start_by <= now)
            .map(|(_, id)| *id)
            .collect();
        expired.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the tokens that will be served before a new request of `account`, if no other
    /// request arrives: the waiting tokens of the account itself, and those that other accounts
    /// will be served by their weights in the meantime.
    pub fn tokens_before(&self, account: &str, weight: f64) -> f64 {
        let own = self.accounts.get(account).map_or(0, |queue| queue.waiting_tokens) as f64;
        let others: f64 = self
            .accounts
            .iter()
            .filter(|(name, queue)| name.as_str() != account && !queue.is_empty())
            .map(|(_, queue)| (queue.waiting_tokens as f64).min(own * queue.weight / weight))
            .sum();
        own + others
    }

    /// Returns the waiting tokens of all accounts.
    pub fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    /// Drops idle accounts that no longer influence the order of service.
    fn drop_idle_accounts(&mut self) {
        if self.starts.len() < 2 * self.by_virtual_start.len() + IDLE_ACCOUNTS_LIMIT {
            return;
        }
        let accounts = &mut self.accounts;
        accounts.retain(|_, account| !account.is_empty());
        self.starts.drop_idle(|account| accounts.contains_key(account));
    }
}

fn priority_index(priority: Priority) -> usize {
    PRIORITIES.iter().position(|known| *known == priority).unwrap_or_default()
}

fn next_of(
    account: &mut AccountQueue,
    waiting: &BTreeMap<QueuedId, QueuedRequest>,
) -> Option<QueuedId> {
    for queue in &mut account.by_priority {
        while let Some(id) = queue.pop_front() {
            // The ID of a request that was removed before it was served is still in the queue.
            if waiting.contains_key(&id) {
                return Some(id);
            }
        }
    }
    None
}

fn virtual_length(cost_tokens: u64, weight: f64) -> u64 {
    (cost_tokens as f64 * UNITS_PER_TOKEN / weight.max(f64::MIN_POSITIVE)).ceil() as u64
}
