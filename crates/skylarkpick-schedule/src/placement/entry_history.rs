//! Entry processes that were registered recently, by which processes divide the requests to cold targets.
//!
//! A process uses a share only while it is certain that all other processes that use one count it among
//! the owners too. That takes no message. All use the platform's list: a process knows all of its changes
//! up to `LIST_AGE_LIMIT` ago, and has been listed itself for `OWNERSHIP_DELAY`. Whoever uses a share in
//! some second is then an owner by the list that the platform had `LIST_AGE_LIMIT` before the end of that
//! second, and there are only so many owners by one list. Processes that are no longer listed count on for
//! `REMEMBERED_TIME`, so that parts of a fleet whose lists differ since they are cut off from each other
//! agree as well.

use super::limits::EntryList;
use skylarkpick_interface::EntryId;
use std::{collections::BTreeMap, time::Duration};

/// Age of the last known state of the platform's list from which a process uses no share. A watch of
/// the list responds after 12 s without a change, and tells only then what held when it began; a relay
/// adds a second.
pub(super) const LIST_AGE_LIMIT: Duration = Duration::from_secs(30);
/// Longest time without knowledge of the list. After a longer one, the list may have changed twice
/// unseen.
const KNOWLEDGE_GAP_LIMIT: Duration = Duration::from_secs(20);
/// Time for which a process has to be listed before it uses a share: the two times above, the second
/// over which requests are counted, and a margin for the time that messages take.
pub(super) const OWNERSHIP_DELAY: Duration = Duration::from_secs(52);
/// Time for which processes count that are no longer listed: longer than a partition or an outage lasts.
/// Their shares go unused.
pub(super) const REMEMBERED_TIME: Duration = Duration::from_secs(600);

/// Entry processes that were registered recently.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryHistory {
    own: EntryId,
    /// Processes, each with the time at which this process learned that it is no longer listed.
    names: BTreeMap<EntryId, Option<Duration>>,
    /// All of them, in the form by which shares are divided.
    list: EntryList,
    /// Time since which this process has been listed.
    listed_since: Option<Duration>,
    /// Time up to which this process knows all changes of the platform's list.
    complete_at: Option<Duration>,
    certain_from: Duration,
}

/// Place of this process among the owners of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Ownership {
    /// Number of owners.
    pub(super) owners: usize,
    /// Number of owners that come first.
    pub(super) rank: usize,
    /// Time from which this process may act as an owner.
    pub(super) from: Duration,
}

impl EntryHistory {
    /// Applies a list of the registered processes. Returns whether that changes any share.
    pub(super) fn set_current(&mut self, own: &str, listed: &[EntryId], now: Duration) -> bool {
        self.own = own.to_string();
        let was_listed = self.listed_since.is_some();
        let is_listed = listed.iter().any(|name| name == own);
        self.listed_since = is_listed.then(|| self.listed_since.unwrap_or(now));
        for gone_at in self.names.values_mut() {
            gone_at.get_or_insert(now);
        }
        let known = self.names.len();
        for name in listed {
            self.names.insert(name.clone(), None);
        }
        let is_longer = self.names.len() > known;
        if is_longer {
            self.update_list();
        }
        self.drop_forgotten(now) || is_longer || was_listed != is_listed
    }

    /// Records that this process knows all changes of the platform's list up to `at`. Returns whether
    /// that changes any share.
    pub(super) fn note_complete(&mut self, at: Duration, now: Duration) -> bool {
        if self.complete_at.is_none_or(|known| at > known + KNOWLEDGE_GAP_LIMIT) {
            self.certain_from = self.certain_from.max(now + OWNERSHIP_DELAY);
        }
        self.complete_at = self.complete_at.max(Some(at));
        self.drop_forgotten(now)
    }

    /// Returns whether this process may use its shares, if it has some.
    pub(super) fn is_certain(&self, now: Duration) -> bool {
        now >= self.certain_from && self.complete_at.is_some_and(|at| now < at + LIST_AGE_LIMIT)
    }

    /// Returns the place of this process among the owners of a target, of which there are
    /// `owners_limit` at most, if it is one.
    pub(super) fn ownership(&self, target: &str, owners_limit: usize) -> Option<Ownership> {
        let owners = owners_limit.min(self.list.len());
        let rank = self.list.rank(target);
        let from = self.listed_since? + OWNERSHIP_DELAY;
        (rank < owners).then_some(Ownership { owners, rank, from })
    }

    /// Drops the processes that have not been listed for a long time. Returns whether there were any.
    fn drop_forgotten(&mut self, now: Duration) -> bool {
        let known = self.names.len();
        self.names.retain(|_, gone_at| gone_at.is_none_or(|at| now < at + REMEMBERED_TIME));
        let is_shorter = self.names.len() < known;
        if is_shorter {
            self.update_list();
        }
        is_shorter
    }

    fn update_list(&mut self) {
        self.list = EntryList::open(&self.own, self.names.keys().cloned().collect());
    }
}
