//! Keeps the requests to cold targets within what they tolerate.
//!
//! A target is cold for some time after it starts, and crashes at more than a few requests per second.
//! It is also the least loaded of its service then. Addresses the load of targets that come back under
//! full traffic: without a bound, all processes prefer them. A few processes own the requests that a cold
//! target may get; for all others it is absent, and warm targets take the rest.

use super::{
    entry_history::EntryHistory,
    limits::{LimitShare, SHARED_PART},
    selection::Placement,
    types::Assignment,
};
use crate::limit::TokenBucket;
use skylarkpick_interface::{
    ColdRequestBound, ColdStart, EntryId, RegisteredTarget, ServiceName, TargetId,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Number of processes that may send requests to a cold target. Each may send one request at any time,
/// so that fewer of them keep the first second further below the bound.
const OWNERS_LIMIT: usize = 4;
/// Time within which requests are counted as those of a second: some arrive later than others.
const COUNTED_TIME: Duration = Duration::from_millis(1_250);
/// Part of the rate within the bound that is used where the bound is lower than the rate that a target
/// tolerates. The rest covers rounding.
const BOUND_PART: f64 = 0.95;
/// Longest time for which a target counts as cold by one message, so that a mistake in its value does not
/// exclude a target for good.
const COLD_LIMIT: Duration = Duration::from_secs(600);
/// Age up to which a failure counts although a later start has registered since: the record may be
/// older than the failure.
const RECORD_DELAY: Duration = Duration::from_secs(2);
/// Time after a sign that a target has ended in which other processes aren't told of another one.
const TELL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of targets that are remembered: twice the targets of a fleet of the planned size.
const TARGETS_LIMIT: usize = 2_048;

/// Which targets are cold, and the share of this process in each.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdTargets {
    /// Bound on the requests to a cold target; without one, no target is.
    bound: Option<ColdRequestBound>,
    starts: BTreeMap<ServiceName, ColdStart>,
    entries: EntryHistory,
    targets: BTreeMap<TargetId, KnownTarget>,
}

/// What is known of a target's last start. It outlasts the target's record, which may be removed and
/// written again.
#[derive(Clone, Debug)]
struct KnownTarget {
    service: ServiceName,
    started_at_ms: u64,
    /// Time for which the target stays cold, by its last record.
    registered_remaining: Option<Duration>,
    registered_until: Duration,
    /// End of the time by responses.
    reported_until: Duration,
    /// Time of the last sign that the target may have started since without a record.
    suspected_at: Option<Duration>,
    /// Whether no connection has been opened to it since it was not reached. It may start at any moment
    /// then, however long ago that was.
    is_unreached: bool,
    noted_at: Duration,
    share: Option<ColdShare>,
}

/// Requests that this process may send to a cold target.
#[derive(Clone, Debug)]
struct ColdShare {
    bucket: TokenBucket,
    /// Time from which this process may use the share.
    from: Duration,
}

impl KnownTarget {
    fn open(service: &str, now: Duration) -> KnownTarget {
        KnownTarget {
            service: service.to_string(),
            started_at_ms: 0,
            registered_remaining: None,
            registered_until: Duration::ZERO,
            reported_until: Duration::ZERO,
            suspected_at: None,
            is_unreached: false,
            noted_at: now,
            share: None,
        }
    }

    /// Returns the time for which the target is still cold, if it is.
    fn rest(&self, start: &ColdStart, now: Duration) -> Option<Duration> {
        let suspected_until = self.suspected_at.map(|at| at.saturating_add(start.duration));
        let until = self.registered_until.max(self.reported_until);
        let rest = until.max(suspected_until.unwrap_or_default()).saturating_sub(now);
        (!rest.is_zero()).then_some(rest)
    }

    /// Applies a record of the target.
    fn register(&mut self, record: &RegisteredTarget, is_written: bool, now: Duration) {
        let remaining = record.cold_remaining.map(|it| it.min(COLD_LIMIT));
        let is_same_start = self.started_at_ms == record.started_at_ms;
        if is_same_start && !is_written && self.registered_remaining == remaining {
            // The record is the one that is known, and its time has been running since.
            return;
        }
        let until = remaining.map(|it| now + it);
        if is_same_start && is_written {
            // Records arrive in the order in which they were written.
            self.registered_until = until.unwrap_or(self.registered_until);
        } else if is_same_start {
            self.registered_until = until.unwrap_or_default().max(self.registered_until);
        } else if is_written || record.started_at_ms > self.started_at_ms {
            self.started_at_ms = record.started_at_ms;
            self.registered_until = until.unwrap_or_default().max(self.registered_until);
            self.suspected_at = match remaining {
                // The record doesn't say, and a target starts cold.
                None => Some(now),
                Some(_) => self.suspected_at.filter(|at| now < *at + RECORD_DELAY),
            };
            self.is_unreached &= self.suspected_at.is_some();
        } else {
            self.registered_until = until.unwrap_or_default().max(self.registered_until);
            return;
        }
        self.registered_remaining = remaining;
    }
}

impl ColdTargets {
    /// Sets the bound on the requests to a cold target. Without one, no target is cold.
    pub(super) fn set_bound(&mut self, bound: Option<ColdRequestBound>) {
        self.bound = bound;
    }

    /// Sets the services whose targets start cold.
    pub(super) fn set_starts(&mut self, starts: &BTreeMap<ServiceName, ColdStart>, now: Duration) {
        if self.starts != *starts {
            self.starts = starts.clone();
            self.targets.values_mut().for_each(|target| target.share = None);
            self.update_shares(now);
        }
    }

    /// Applies a list of the registered processes.
    pub(super) fn set_entries(&mut self, own: &str, names: &[EntryId], now: Duration) {
        if self.bound.is_some() && self.entries.set_current(own, names, now) {
            self.update_shares(now);
        }
    }

    /// Records that all changes of the platform's list of processes up to `at` are known.
    pub(super) fn note_entries_complete(&mut self, at: Duration, now: Duration) {
        if self.bound.is_some() && self.entries.note_complete(at, now) {
            self.update_shares(now);
        }
    }

    /// Applies the record of a target, which has just been written or is one of a list.
    pub(super) fn note_record(
        &mut self,
        record: &RegisteredTarget,
        is_written: bool,
        now: Duration,
    ) {
        if self.bound.is_none() {
            return;
        }
        let is_known = self.targets.contains_key(&record.id);
        self.change(&record.id, &record.service, now, |target| {
            if is_known {
                target.register(record, is_written, now);
                return;
            }
            let remaining = record.cold_remaining.map(|it| it.min(COLD_LIMIT));
            target.started_at_ms = record.started_at_ms;
            target.registered_remaining = remaining;
            target.registered_until = remaining.map_or(Duration::ZERO, |it| now + it);
            target.suspected_at = (remaining.is_none() && is_written).then_some(now);
        });
    }

    /// Records that a target could not be reached, or that connections to it broke: it may have
    /// started since.
    pub(super) fn note_unreached(&mut self, target: &str, service: &str, now: Duration) {
        if self.bound.is_some() {
            self.change(target, service, now, |target| {
                target.suspected_at = Some(now);
                target.is_unreached = true;
            });
        }
    }

    /// Returns whether other processes are to be told that a target has ended: its service starts cold,
    /// and neither this process nor another one has just noticed it.
    fn is_end_new(&self, target: &str, service: &str, now: Duration) -> bool {
        let suspected_at = self.targets.get(target).and_then(|known| known.suspected_at);
        let is_known = suspected_at.is_some_and(|at| now < at + TELL_INTERVAL);
        self.bound.is_some() && self.starts.contains_key(service) && !is_known
    }

    /// Records that a connection to a target is open. After a failure, the target may have started
    /// just now.
    fn note_reached(&mut self, target: &str, now: Duration) {
        let known = self.targets.get(target).filter(|known| known.is_unreached);
        if let Some(service) = known.map(|known| known.service.clone()) {
            self.change(target, &service, now, |target| {
                target.suspected_at = Some(now);
                target.is_unreached = false;
            });
        }
    }

    /// Records for how long a target stays cold by its response to a request that was sent at `sent_at`.
    pub(super) fn note_report(
        &mut self,
        target: &str,
        service: &str,
        remaining: Duration,
        sent_at: Option<Duration>,
        now: Duration,
    ) {
        if self.bound.is_none() {
            return;
        }
        let until = now + remaining.min(COLD_LIMIT);
        self.change(target, service, now, |target| {
            // Only a response to a request that was sent after all other signs is later than these.
            if sent_at.is_some_and(|at| at > target.noted_at) {
                target.registered_until = target.registered_until.min(until);
                target.suspected_at = None;
                target.is_unreached = false;
                target.reported_until = until;
            } else {
                target.reported_until = target.reported_until.max(until);
            }
        });
    }

    /// Returns whether a target is cold.
    pub(super) fn is_cold(&self, target: &str, now: Duration) -> bool {
        self.rest(target, now).is_some()
    }

    /// Returns the time until this process may send a request to a target, if the target is cold and it
    /// may not now. A process without a share waits until the target is warm.
    pub(super) fn wait(&self, target: &str, now: Duration) -> Option<Duration> {
        let rest = self.rest(target, now)?;
        let share = self.targets.get(target).and_then(|it| it.share.as_ref());
        match share.filter(|share| now >= share.from && self.entries.is_certain(now)) {
            Some(share) => share.bucket.wait(1.0, now).map(|wait| wait.min(rest)),
            None => Some(rest),
        }
    }

    /// Takes a request from the share of this process in a target to which a connection is open, if the
    /// target is cold.
    ///
    /// # Errors
    /// Returns the time to wait if there is none.
    pub(super) fn take(&mut self, target: &str, now: Duration) -> Result<(), Duration> {
        self.note_reached(target, now);
        if let Some(wait) = self.wait(target, now) {
            return Err(wait);
        }
        if self.is_cold(target, now)
            && let Some(share) = self.targets.get_mut(target).and_then(|it| it.share.as_mut())
        {
            share.bucket.take(1.0, now)?;
        }
        Ok(())
    }

    fn rest(&self, target: &str, now: Duration) -> Option<Duration> {
        let target = self.targets.get(target)?;
        target.rest(self.starts.get(&target.service)?, now)
    }

    /// Applies a change to what is known of a target. One that becomes cold by it begins with an empty
    /// share.
    fn change(
        &mut self,
        target: &str,
        service: &str,
        now: Duration,
        apply: impl FnOnce(&mut KnownTarget),
    ) {
        if self.targets.len() >= TARGETS_LIMIT && !self.targets.contains_key(target) {
            let oldest = self.targets.iter().min_by_key(|(_, known)| known.noted_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.targets.remove(&oldest);
            }
        }
        let start = self.starts.get(service).copied();
        let is_cold = |known: &KnownTarget| start.is_some_and(|it| known.rest(&it, now).is_some());
        let known = self
            .targets
            .entry(target.to_string())
            .or_insert_with(|| KnownTarget::open(service, now));
        let was_cold = is_cold(known);
        apply(known);
        known.service = service.to_string();
        known.noted_at = now;
        if !was_cold {
            known.share = None;
            self.update_share(target, now);
        }
    }

    fn update_shares(&mut self, now: Duration) {
        let ids: Vec<TargetId> = self.targets.keys().cloned().collect();
        for id in ids {
            self.update_share(&id, now);
        }
    }

    /// Aligns the share of this process in a target with the lists of processes. Requests that were
    /// taken from it count on.
    fn update_share(&mut self, id: &str, now: Duration) {
        let Some(bound) = self.bound else { return };
        let Some(target) = self.targets.get_mut(id) else { return };
        let start = self.starts.get(&target.service).copied();
        let start = start.filter(|start| target.rest(start, now).is_some());
        let Some((start, owners)) = start.and_then(|it| Some((it, owners_limit(&it, bound)?)))
        else {
            target.share = None;
            return;
        };
        let Some(ownership) = self.entries.ownership(id, owners) else {
            // The requests that it has sent count if it becomes an owner again.
            if let Some(share) = &mut target.share {
                share.from = Duration::MAX;
            }
            return;
        };
        let rate = LimitShare::single(owner_rate(&start, bound, ownership.owners));
        match &mut target.share {
            Some(share) => {
                rate.apply(&mut share.bucket, now);
                share.from = ownership.from;
            }
            None => {
                // The owners' first requests follow each other at the rate of all of them.
                let lacking_part = (ownership.rank + 1) as f64 / ownership.owners as f64;
                let bucket = rate.bucket(lacking_part, now);
                target.share = Some(ColdShare { bucket, from: ownership.from });
            }
        }
    }
}

/// Returns the requests that a cold target may get in any second.
fn bound_requests(start: &ColdStart, bound: ColdRequestBound) -> usize {
    let excess = f64::from(bound.excess_percent) / 100.0;
    // A cast saturates.
    (start.requests_per_second * excess + f64::from(bound.slack_requests)).floor() as usize
}

/// Returns the number of processes that may share the requests to a cold target, if it may get any.
fn owners_limit(start: &ColdStart, bound: ColdRequestBound) -> Option<usize> {
    Some(OWNERS_LIMIT.min(bound_requests(start, bound))).filter(|owners| *owners > 0)
}

/// Returns the requests per second of each of `owners` processes. With one request that may be sent at
/// any time, all of them together stay within the bound in the counted time.
fn owner_rate(start: &ColdStart, bound: ColdRequestBound, owners: usize) -> f64 {
    let owners = owners.max(1);
    let tolerated = start.requests_per_second * SHARED_PART / owners as f64;
    // A process sends at most `1 + rate * time` requests in a time, rounded up to this number.
    let per_owner = (bound_requests(start, bound) / owners) as f64;
    tolerated.min(BOUND_PART * per_owner / COUNTED_TIME.as_secs_f64())
}

impl Placement {
    /// Sets the bound on the requests to a cold target. Without one, no target is cold.
    ///
    /// ```
    /// use skylarkpick_interface::{ColdRequestBound, ColdStart, RegisteredTarget};
    /// use skylarkpick_schedule::Placement;
    /// use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
    /// let second = Duration::from_secs(1);
    /// let mut placement = Placement::open(10 * second);
    /// placement.set_cold_bound(Some(ColdRequestBound { excess_percent: 150, slack_requests: 5 }));
    /// let start = ColdStart { duration: 3 * second, requests_per_second: 10.0 };
    /// placement.set_cold_starts(&BTreeMap::from([("chat".to_string(), start)]), second);
    /// let target = RegisteredTarget {
    ///     id: "i-1".to_string(),
    ///     service: "chat".to_string(),
    ///     address: "10.1.0.1:80".parse()?,
    ///     data_centre: "mnl-a".to_string(),
    ///     slots: 6,
    ///     is_draining: false,
    ///     weights: BTreeMap::new(),
    ///     started_at_ms: 1,
    ///     software_version: None,
    ///     cold_remaining: Some(2 * second),
    /// };
    /// placement.note_target_record(&target, true, second);
    /// placement.set_target(target);
    /// assert_eq!(placement.cold_targets(2 * second), ["i-1"]);
    /// assert!(placement.cold_targets(3 * second).is_empty());
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn set_cold_bound(&mut self, bound: Option<ColdRequestBound>) {
        self.cold.set_bound(bound);
    }

    /// Sets the services whose targets start cold.
    pub fn set_cold_starts(&mut self, starts: &BTreeMap<ServiceName, ColdStart>, now: Duration) {
        self.cold.set_starts(starts, now);
    }

    /// Records that all changes of the platform's list of entry processes up to `at` are known.
    pub fn note_entries_complete(&mut self, at: Duration, now: Duration) {
        self.cold.note_entries_complete(at, now);
    }

    /// Applies what the record of a target says of how long the target stays cold. To be called before
    /// [`Placement::set_target`]. `is_written` says that the record is a change; otherwise it is one of
    /// a list, and may be old.
    pub fn note_target_record(
        &mut self,
        record: &RegisteredTarget,
        is_written: bool,
        now: Duration,
    ) {
        self.cold.note_record(record, is_written, now);
    }

    /// Records that connections to the target of an assignment broke: it may have started since.
    pub fn note_broken_connection(&mut self, assignment: &Assignment, now: Duration) {
        if let Some(state) = self.targets.get(&assignment.target) {
            self.cold.note_unreached(&assignment.target, &state.registration.service, now);
        }
    }

    /// Records that the target of an assignment refused a connection. Returns whether other processes are
    /// to be told: they may not have noticed that it has ended.
    pub fn note_refused(&mut self, assignment: &Assignment, now: Duration) -> bool {
        let Some(state) = self.targets.get(&assignment.target) else { return false };
        let service = &state.registration.service;
        let is_new = self.cold.is_end_new(&assignment.target, service, now);
        self.cold.note_unreached(&assignment.target, service, now);
        is_new
    }

    /// Records that a target has ended, as another process has seen, unless a later start of it is
    /// registered.
    pub fn note_ended(&mut self, target: &str, started_at_ms: u64, now: Duration) {
        let registered = self.targets.get(target).map(|state| &state.registration);
        if let Some(target) = registered.filter(|it| it.started_at_ms == started_at_ms) {
            self.cold.note_unreached(&target.id, &target.service, now);
        }
    }

    /// Records for how long the target of an assignment stays cold, by its response to a request that
    /// was sent at `sent_at`.
    pub fn note_cold_report(
        &mut self,
        assignment: &Assignment,
        remaining: Duration,
        sent_at: Duration,
        now: Duration,
    ) {
        if let Some(state) = self.targets.get(&assignment.target) {
            let service = &state.registration.service;
            self.cold.note_report(&assignment.target, service, remaining, Some(sent_at), now);
        }
    }

    /// Records for how long whoever has an address stays cold, by its response to a call.
    pub fn note_cold_report_at(&mut self, address: SocketAddr, remaining: Duration, now: Duration) {
        let mut targets = self.targets.values().map(|state| &state.registration);
        if let Some(target) = targets.find(|target| target.address == address) {
            self.cold.note_report(&target.id, &target.service, remaining, None, now);
        }
    }

    /// Returns the registered targets that are cold.
    pub fn cold_targets(&self, now: Duration) -> Vec<&TargetId> {
        self.targets.keys().filter(|id| self.cold.is_cold(id, now)).collect()
    }

    /// Returns whether the target of an assignment is cold.
    pub fn is_cold(&self, assignment: &Assignment, now: Duration) -> bool {
        self.cold.is_cold(&assignment.target, now)
    }
}

/// Removes the cold candidates if a warm one is free: a cold target is the least loaded and would
/// otherwise be preferred.
pub(super) fn keep_free_warm<T>(
    candidates: &mut Vec<T>,
    is_cold: impl Fn(&T) -> bool,
    is_free: impl Fn(&T) -> bool,
) {
    if candidates.iter().any(|it| is_free(it) && !is_cold(it)) {
        candidates.retain(|it| !is_cold(it));
    }
}
