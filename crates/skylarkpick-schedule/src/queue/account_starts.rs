//! Virtual start times of client accounts, by which scarce capacity is shared fairly.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996): each account has a virtual start time.
//! The account with the lowest one is served, and its start time advances by what it was served. An
//! account that was idle restarts at the virtual time of all, less a bounded credit at most.

use skylarkpick_interface::AccountId;
use std::collections::BTreeMap;

/// Virtual start times of client accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountStarts {
    starts: BTreeMap<AccountId, u64>,
    virtual_time: u64,
}

impl AccountStarts {
    /// Returns the start time of an account.
    pub(crate) fn start_of(&self, account: &str) -> u64 {
        self.starts.get(account).copied().unwrap_or(self.virtual_time)
    }

    /// Returns the start time that an account without waiting requests would get. It may be behind the
    /// virtual time by `credit` at most.
    pub(crate) fn start_of_idle(&self, account: &str, credit: u64) -> u64 {
        let earliest = self.virtual_time.saturating_sub(credit);
        self.starts.get(account).map_or(earliest, |start| earliest.max(*start))
    }

    /// Records that a request of an account begins to wait while none of its others does. Returns the
    /// account's start time.
    pub(crate) fn begin(&mut self, account: &str, credit: u64) -> u64 {
        let start = self.start_of_idle(account, credit);
        self.starts.insert(account.to_string(), start);
        start
    }

    /// Advances the start time of an account by the virtual length of a request that is served. Returns
    /// the new one.
    pub(crate) fn serve(&mut self, account: &str, length: u64) -> u64 {
        let start = self.start_of(account);
        self.virtual_time = self.virtual_time.max(start);
        let next = start.saturating_add(length);
        self.starts.insert(account.to_string(), next);
        next
    }

    /// Returns the number of accounts that are kept.
    pub(crate) fn len(&self) -> usize {
        self.starts.len()
    }

    /// Drops the accounts without waiting requests whose start time the virtual time has reached. They
    /// no longer influence the order of service.
    pub(crate) fn drop_idle(&mut self, is_waiting: impl Fn(&str) -> bool) {
        let virtual_time = self.virtual_time;
        self.starts.retain(|account, start| *start > virtual_time || is_waiting(account));
    }
}
