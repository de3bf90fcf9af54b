//! Order in which the requests that wait for capacity try to get it: fair among client accounts.
//!
//! Load condition: more requests than the targets have capacity for, most of them of few accounts. By
//! arrival alone, the requests of an account that sends a burst would be before those of all others.
//!
//! Requests of one service and rank form a class. In each round, which begins when capacity may have
//! become free, the waiting requests of a class try one after the other, by arrival. An account whose
//! virtual start time, which advances with each of its requests that is served, is well ahead of the
//! lowest one lets the others go first. A request that has found no room doesn't hold up the others for
//! the rest of the round, as its room may be larger than theirs.

use crate::queue::AccountStarts;
use skylarkpick_interface::{AccountId, ServiceName};
use std::collections::BTreeMap;

/// Identifies a waiting request, in the order of arrival.
pub type WaiterId = u64;

/// Service and rank of the requests among which capacity is shared.
pub type WaitingClass = (ServiceName, u8);

/// Units of virtual time per unit of cost. All accounts weigh the same: the configuration names no
/// weights.
const UNITS_PER_COST: u64 = 1_000;
/// Requests by which an account may be ahead of the one that was served least, before it has to let others
/// go first. Within that, requests go by arrival, since the oldest has the least time left. In the tests, at a
/// load of 0.9 beside a burst of one account, 989 in 1,000 requests of the others are served so, and 983 by
/// virtual start time alone with half of the credit (997 without the burst).
const WINDOW_REQUESTS: u64 = 4;
/// Requests by which an account may be behind the virtual time when it begins to wait. Requests come in
/// groups by chance.
const CREDIT_REQUESTS: u64 = 2 * WINDOW_REQUESTS;
/// Idle accounts to remember before those that the virtual time has reached are dropped.
const IDLE_ACCOUNTS_LIMIT: usize = 64;

/// Requests that wait for capacity, by service, rank and client account.
///
/// ```
/// use skylarkpick_schedule::FairWaiting;
/// let class = ("tala-llm".to_string(), 1);
/// let mut waiting = FairWaiting::default();
/// let burst: Vec<u64> = (0..20).map(|_| waiting.begin(&class, "large", 100)).collect();
/// let other = waiting.begin(&class, "small", 100);
/// let mut served = Vec::new();
/// while let Some(next) = waiting.next(&class).filter(|next| *next != other) {
///     waiting.note_served(&class, "large", 100);
///     waiting.end(&class, "large", next);
///     served.push(next);
/// }
/// assert_eq!(served, burst[..5], "then it is the other's turn");
/// ```
#[derive(Clone, Debug, Default)]
pub struct FairWaiting {
    classes: BTreeMap<WaitingClass, Class>,
    next_id: WaiterId,
}

#[derive(Clone, Debug, Default)]
struct Class {
    starts: AccountStarts,
    /// Accounts with waiting requests.
    accounts: BTreeMap<AccountId, Waiters>,
}

/// Waiting requests of an account, each with its cost.
#[derive(Clone, Debug, Default)]
struct Waiters {
    /// Those that have not tried in this round.
    untried: BTreeMap<WaiterId, u64>,
    /// Those that found no room in this round.
    tried: BTreeMap<WaiterId, u64>,
}

impl Waiters {
    fn is_empty(&self) -> bool {
        self.untried.is_empty() && self.tried.is_empty()
    }

    fn len(&self) -> usize {
        self.untried.len() + self.tried.len()
    }

    fn cost(&self) -> u64 {
        self.untried.values().chain(self.tried.values()).sum()
    }
}

impl FairWaiting {
    /// Adds a request that waits from now on.
    pub fn begin(&mut self, class: &WaitingClass, account: &str, cost: u64) -> WaiterId {
        let id = self.next_id;
        self.next_id += 1;
        let class = self.classes.entry(class.clone()).or_default();
        if !class.accounts.contains_key(account) {
            class.starts.begin(account, credit(cost));
        }
        let waiters = class.accounts.entry(account.to_string()).or_default();
        waiters.untried.insert(id, cost);
        id
    }

    /// Removes a request that no longer waits, whatever the reason.
    pub fn end(&mut self, class: &WaitingClass, account: &str, id: WaiterId) {
        let Some(class) = self.classes.get_mut(class) else { return };
        if let Some(waiters) = class.accounts.get_mut(account) {
            waiters.untried.remove(&id);
            waiters.tried.remove(&id);
            if waiters.is_empty() {
                class.accounts.remove(account);
            }
        }
    }

    /// Returns the request of a class whose turn it is to try; `None` if all have tried in this round.
    pub fn next(&self, class: &WaitingClass) -> Option<WaiterId> {
        let class = self.classes.get(class)?;
        let heads = || {
            class.accounts.iter().filter_map(|(account, waiters)| {
                let (id, cost) = waiters.untried.first_key_value()?;
                Some((class.starts.start_of(account), *id, *cost))
            })
        };
        let (lowest, _, cost) = heads().min()?;
        let latest = lowest.saturating_add(window(cost));
        heads().filter(|(start, ..)| *start <= latest).map(|(_, id, _)| id).min()
    }

    /// Returns whether a request may try now: a waiting one if it is its turn, and one that doesn't wait
    /// yet if all that wait have tried in this round.
    pub fn may_try(&self, class: &WaitingClass, waiter: Option<WaiterId>) -> bool {
        match self.next(class) {
            Some(next) => waiter == Some(next),
            // One that has tried may do so again: nobody is before it.
            None => true,
        }
    }

    /// Records that a request has tried and found no room.
    pub fn note_no_room(&mut self, class: &WaitingClass, account: &str, id: WaiterId) {
        let class = self.classes.get_mut(class);
        let waiters = class.and_then(|class| class.accounts.get_mut(account));
        if let Some(waiters) = waiters
            && let Some(cost) = waiters.untried.remove(&id)
        {
            waiters.tried.insert(id, cost);
        }
    }

    /// Begins a round: capacity may have become free. Returns the request of each class whose turn it is.
    pub fn begin_round(&mut self) -> Vec<WaiterId> {
        for waiters in self.classes.values_mut().flat_map(|class| class.accounts.values_mut()) {
            waiters.untried.append(&mut waiters.tried);
        }
        self.classes.keys().filter_map(|class| self.next(class)).collect()
    }

    /// Records that a request of an account is served, whether it has waited or not.
    pub fn note_served(&mut self, class: &WaitingClass, account: &str, cost: u64) {
        let class = self.classes.entry(class.clone()).or_default();
        if !class.accounts.contains_key(account) {
            class.starts.begin(account, credit(cost));
        }
        class.starts.serve(account, virtual_length(cost));
        if class.starts.len() > 2 * class.accounts.len() + IDLE_ACCOUNTS_LIMIT {
            let accounts = &class.accounts;
            class.starts.drop_idle(|account| accounts.contains_key(account));
        }
    }

    /// Returns how many of the waiting requests would be served before a new one of an account, if no
    /// other came: those of more urgent ranks, the account's own, and of each other account those
    /// whose turn comes before.
    pub fn count_ahead(&self, class: &WaitingClass, account: &str, cost: u64) -> u32 {
        let (service, rank) = class;
        let more_urgent =
            self.classes.iter().filter(|((it, other), _)| it == service && other < rank);
        let more_urgent: usize =
            more_urgent.flat_map(|(_, class)| class.accounts.values()).map(Waiters::len).sum();
        let in_class = self.classes.get(class).map_or(0, |class| class.count_before(account, cost));
        u32::try_from(more_urgent + in_class).unwrap_or(u32::MAX)
    }

    /// Returns the number of waiting requests of a class.
    pub fn len_of(&self, class: &WaitingClass) -> usize {
        let class = self.classes.get(class);
        class.map_or(0, |class| class.accounts.values().map(Waiters::len).sum())
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.classes.keys().map(|class| self.len_of(class)).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(|class| class.accounts.is_empty())
    }
}

impl Class {
    fn count_before(&self, account: &str, cost: u64) -> usize {
        let own = self.accounts.get(account);
        let start = match own {
            Some(own) => self.starts.start_of(account).saturating_add(virtual_length(own.cost())),
            None => self.starts.start_of_idle(account, credit(cost)),
        };
        let latest = start.saturating_add(window(cost));
        let others = self.accounts.iter().filter(|(name, _)| name.as_str() != account);
        let others: usize =
            others.map(|(name, waiters)| self.count_until(name, waiters, latest)).sum();
        own.map_or(0, Waiters::len) + others
    }

    /// Returns how many requests of an account begin at a virtual time or earlier.
    fn count_until(&self, account: &str, waiters: &Waiters, virtual_time: u64) -> usize {
        let mut start = self.starts.start_of(account);
        let mut requests: Vec<(WaiterId, u64)> =
            waiters.untried.iter().chain(&waiters.tried).map(|(id, cost)| (*id, *cost)).collect();
        requests.sort_unstable();
        let mut begins_in_time = |(_, cost): &(WaiterId, u64)| {
            let is_in_time = start <= virtual_time;
            start = start.saturating_add(virtual_length(*cost));
            is_in_time
        };
        requests.iter().map_while(|it| begins_in_time(it).then_some(())).count()
    }
}

fn virtual_length(cost: u64) -> u64 {
    cost.saturating_mul(UNITS_PER_COST)
}

/// Returns the window before an account whose requests have this cost.
fn window(cost: u64) -> u64 {
    virtual_length(cost).saturating_mul(WINDOW_REQUESTS)
}

/// Returns the credit of an account whose requests have this cost.
fn credit(cost: u64) -> u64 {
    virtual_length(cost).saturating_mul(CREDIT_REQUESTS)
}
