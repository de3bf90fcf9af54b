//! Removes the registrations of entry processes that no longer run.
//!
//! A VM that is removed leaves its registration behind. The holder of the planner lease checks each
//! process periodically and removes the registration of one that stays unresponsive. A process that
//! was only partitioned registers again when it reads that it is not listed.

use super::topic_watch::FleetWatcher;
use skylarkpick_interface::{FleetTopic, RegisteredEntry};
use skylarkpick_lease::Lease;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Pause between two passes, and between two looks at the lease.
const PASS_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two checks of the same process.
const CHECK_INTERVAL: Duration = Duration::from_millis(2_500);
/// Maximum number of processes checked in one pass.
const CHECKS_LIMIT: usize = 4;
/// Time without a response after which a process counts as removed; longer than a freeze or a
/// restart lasts.
const UNRESPONSIVE_LIMIT: Duration = Duration::from_secs(8);

/// Checks the other entry processes while this process holds the lease, for as long as the task runs.
/// What the checks have found is dropped with the lease.
pub(crate) async fn check_entries(watcher: Arc<FleetWatcher>, lease: Arc<Lease>) {
    loop {
        wait_until_lease_is(true, &lease).await;
        let mut checks = EntryHealthCheck::open(watcher.clone());
        tokio::select! {
            // The lease comes first: after a freeze of this process, everything is due.
            biased;
            () = wait_until_lease_is(false, &lease) => {}
            () = checks.run() => {}
        }
    }
}

async fn wait_until_lease_is(held: bool, lease: &Lease) {
    while lease.tenure().is_some() != held {
        tokio::time::sleep(PASS_INTERVAL).await;
    }
}

/// Health checks of the other entry processes during one term of the lease.
pub(super) struct EntryHealthCheck {
    watcher: Arc<FleetWatcher>,
    states: BTreeMap<String, EntryState>,
}

struct EntryState {
    checked_at: Instant,
    /// Time of the first failed check since the last response.
    unresponsive_since: Option<Instant>,
}

impl EntryHealthCheck {
    pub(super) fn open(watcher: Arc<FleetWatcher>) -> EntryHealthCheck {
        EntryHealthCheck { watcher, states: BTreeMap::new() }
    }

    pub(super) async fn run(&mut self) {
        loop {
            self.check_due().await;
            tokio::time::sleep(PASS_INTERVAL).await;
        }
    }

    /// Checks the processes that are due, and removes the registrations of unresponsive ones.
    async fn check_due(&mut self) {
        let now = Instant::now();
        let mut due = self.watcher.records.other_entries();
        due.retain(|entry| {
            self.states
                .get(&entry.name)
                .is_none_or(|state| now >= state.checked_at + CHECK_INTERVAL)
        });
        due.truncate(CHECKS_LIMIT);
        let watcher = self.watcher.clone();
        let checks = due.iter().map(|entry| responds(&watcher, entry));
        let results = futures::future::join_all(checks).await;
        for (entry, has_responded) in due.iter().zip(results) {
            self.record_result(entry, has_responded, now).await;
        }
    }

    async fn record_result(&mut self, entry: &RegisteredEntry, has_responded: bool, now: Instant) {
        let state = self
            .states
            .entry(entry.name.clone())
            .or_insert(EntryState { checked_at: now, unresponsive_since: None });
        state.checked_at = now;
        if has_responded {
            state.unresponsive_since = None;
            return;
        }
        let since = *state.unresponsive_since.get_or_insert(now);
        if now < since + UNRESPONSIVE_LIMIT {
            return;
        }
        self.states.remove(&entry.name);
        let removed = self.watcher.source.unregister(&entry.name).await;
        spdlog::info!("registration of an unresponsive entry process removed", kv: {
            node = entry.name.as_str(), removed = removed.is_ok(),
        });
    }
}

async fn responds(watcher: &FleetWatcher, entry: &RegisteredEntry) -> bool {
    let address = entry.address.to_string();
    let (records, topic) = (&watcher.records, FleetTopic::Serving);
    let fetch = watcher.peer_client.request_records(&address, records, topic, Duration::ZERO);
    fetch.await.has_response()
}
