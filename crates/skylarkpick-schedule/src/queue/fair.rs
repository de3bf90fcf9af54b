//! A queue that is fair among client accounts by estimated tokens.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996): each account has a virtual start time;
//! the account with the smallest one is served, and its start moves on by the tokens served over
//! its weight. An idle account starts again at the queue's virtual time, so that it saves up
//! nothing. Within an account, a higher priority goes first, then the earlier arrival.

use skylarkpick_interface::{AccountId, Priority};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Names a queued request.
pub type QueuedId = u64;

/// Virtual time units in a token of an account of weight 1.
const UNITS_PER_TOKEN: f64 = 1_000.0;
/// Idle accounts that are remembered before a sweep looks for those that owe nothing.
const IDLE_ACCOUNTS_KEPT: usize = 64;
/// Priorities, the first served first.
const PRIORITIES: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Name of the request in the queue.
    pub id: QueuedId,
    /// Client account that asks.
    pub account: AccountId,
    /// Order within the account.
    pub priority: Priority,
    /// Estimated tokens of prompt and answer.
    pub cost_tokens: u64,
    /// Time since boot at which waiting longer makes no sense.
    pub start_by: Duration,
}

/// A queue that is fair among client accounts by estimated tokens.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<QueuedId, QueuedRequest>,
    by_start_limit: BTreeSet<(Duration, QueuedId)>,
    accounts: BTreeMap<AccountId, AccountQueue>,
    turns: BTreeSet<(u64, AccountId)>,
    virtual_time: u64,
    waiting_tokens: u64,
}

#[derive(Debug, Default)]
struct AccountQueue {
    weight: f64,
    next_start: u64,
    waiting_tokens: u64,
    by_priority: [VecDeque<QueuedId>; 3],
}

impl AccountQueue {
    fn is_empty(&self) -> bool {
        self.waiting_tokens == 0
    }
}

impl FairQueue {
    /// Puts a request in, for an account of the given weight.
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
        let virtual_time = self.virtual_time;
        let account = self.accounts.entry(queued.account.clone()).or_default();
        account.weight = weight;
        if account.is_empty() {
            account.next_start = account.next_start.max(virtual_time);
            self.turns.insert((account.next_start, queued.account.clone()));
        }
        account.waiting_tokens += queued.cost_tokens;
        account.by_priority[class(queued.priority)].push_back(queued.id);
        self.waiting_tokens += queued.cost_tokens;
        self.by_start_limit.insert((queued.start_by, queued.id));
        self.waiting.insert(queued.id, queued);
    }

    /// Takes out the request whose turn it is.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let (start, name) = self.turns.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        let account = self.accounts.get_mut(&name)?;
        let id = next_of(account, &self.waiting)?;
        let queued = self.waiting.remove(&id)?;
        self.by_start_limit.remove(&(queued.start_by, id));
        self.waiting_tokens -= queued.cost_tokens;
        account.waiting_tokens -= queued.cost_tokens;
        account.next_start = start + virtual_length(queued.cost_tokens, account.weight);
        if !account.is_empty() {
            self.turns.insert((account.next_start, name));
        }
        self.forget_idle();
        Some(queued)
    }

    /// Takes a request out before its turn, as when its caller goes away.
    pub fn remove(&mut self, id: QueuedId) -> Option<QueuedRequest> {
        let queued = self.waiting.remove(&id)?;
        self.by_start_limit.remove(&(queued.start_by, id));
        self.waiting_tokens -= queued.cost_tokens;
        if let Some(account) = self.accounts.get_mut(&queued.account) {
            account.waiting_tokens -= queued.cost_tokens;
            if account.is_empty() {
                self.turns.remove(&(account.next_start, queued.account.clone()));
                account.by_priority.iter_mut().for_each(VecDeque::clear);
            }
        }
        Some(queued)
    }

    /// Takes out every request that should have started by `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest> {
        let late: Vec<QueuedId> = self
            .by_start_limit
            .iter()
            .take_while(|(start_by, _)| *start_by <= now)
            .map(|(_, id)| *id)
            .collect();
        late.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Tokens that will be served before a new request of `account` gets its turn, if nothing
    /// else arrives: its own waiting tokens, and what other accounts' shares amount to until then.
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

    /// Tokens that wait, all accounts together.
    pub fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    /// Drops what is remembered of an account that is idle and owes nothing.
    fn forget_idle(&mut self) {
        if self.accounts.len() < 2 * self.turns.len() + IDLE_ACCOUNTS_KEPT {
            return;
        }
        let virtual_time = self.virtual_time;
        self.accounts.retain(|_, account| !account.is_empty() || account.next_start > virtual_time);
    }
}

fn class(priority: Priority) -> usize {
    PRIORITIES.iter().position(|known| *known == priority).unwrap_or_default()
}

fn next_of(
    account: &mut AccountQueue,
    waiting: &BTreeMap<QueuedId, QueuedRequest>,
) -> Option<QueuedId> {
    for queue in &mut account.by_priority {
        while let Some(id) = queue.pop_front() {
            // A request that was removed before its turn has left its id behind.
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
