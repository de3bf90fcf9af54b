//! Log of the notices that a relay passes on.
//!
//! In a larger fleet, a notice goes to the relays of all data centres only. Every other process
//! fetches it from its relay, together with the changes of the caches.

use super::messages::{Notice, RelayedNotice};
use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// Time for which notices are kept for processes that change their relay.
const NOTICE_LIFETIME: Duration = Duration::from_secs(5);
/// Time after which samples of loads are outdated.
const LOADS_LIFETIME: Duration = Duration::from_millis(1_500);
/// Maximum number of notices in the log. The oldest are dropped first.
const NOTICES_LIMIT: usize = 4_000;

/// Log of the notices that this process passes on, if it is a relay.
pub(crate) struct NoticeLog {
    state: Mutex<State>,
    latest: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    /// Position of the first notice.
    first: u64,
    notices: VecDeque<(Instant, Notice)>,
}

impl Default for NoticeLog {
    fn default() -> NoticeLog {
        NoticeLog { state: Mutex::default(), latest: watch::Sender::new(0) }
    }
}

impl NoticeLog {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a notice.
    pub(crate) fn append(&self, notice: Notice) {
        let now = Instant::now();
        let mut state = self.lock();
        state.notices.push_back((now, notice));
        while state.notices.len() > NOTICES_LIMIT
            || state.notices.front().is_some_and(|(at, _)| *at + NOTICE_LIFETIME < now)
        {
            state.notices.pop_front();
            state.first += 1;
        }
        let end = state.end();
        drop(state);
        self.latest.send_replace(end);
    }

    /// Returns the notices after a position that are still of use, and the position after them. A
    /// position that is no longer in the log, or not yet, counts as its start.
    pub(crate) fn since(&self, position: u64) -> (Vec<RelayedNotice>, u64) {
        let now = Instant::now();
        let state = self.lock();
        let end = state.end();
        let from = if position > end { state.first } else { position.max(state.first) };
        let skip = usize::try_from(from - state.first).unwrap_or(usize::MAX);
        let notices = state.notices.iter().skip(skip).filter_map(|(at, notice)| {
            let age = now.saturating_duration_since(*at);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            (age < lifetime(notice)).then(|| RelayedNotice { age_ms, notice: notice.clone() })
        });
        (notices.collect(), end)
    }

    /// Waits until there is a notice after a position.
    pub(crate) async fn wait_for_newer(&self, position: u64) {
        let mut latest = self.latest.subscribe();
        // It can't fail: `self` owns the sender.
        let _ = latest.wait_for(|end| *end > position).await;
    }
}

impl State {
    fn end(&self) -> u64 {
        self.first + self.notices.len() as u64
    }
}

fn lifetime(notice: &Notice) -> Duration {
    match notice {
        Notice::Loads { .. } => LOADS_LIFETIME,
        _ => NOTICE_LIFETIME,
    }
}
