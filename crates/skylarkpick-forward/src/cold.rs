//! What this process knows of targets that are cold: where it learns of them, log lines and metrics.

use crate::{
    log::request_log,
    node_state::{NodeState, RoutingState},
    peers::EndedTargetNotice,
};
use skylarkpick_interface::{RegisteredTarget, TargetCrash, TargetId};
use skylarkpick_schedule::{Assignment, ConnectFailure};
use skylarkpick_telemetry::{COLD_REQUESTS, metrics};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

/// Age up to which the end of a target counts that another process has seen. Processes repeat what they
/// have seen for minutes.
const END_LIFETIME_MS: u64 = 5_000;
/// Age up to which a notice of an ended target counts. A relay passes on older ones to processes that
/// change to it.
const NOTICE_LIFETIME: Duration = Duration::from_secs(3);

impl NodeState {
    /// Records that all changes of the platform's list of entry processes up to a node time are known.
    pub(crate) fn note_entries_complete(&self, at: Duration) {
        let now = self.now();
        self.lock().placement.note_entries_complete(at, now);
    }

    /// Applies what the record of a target says of how long it stays cold. `is_written` says that the
    /// record has been written since the last one was read.
    pub(crate) fn note_target_record(&self, target: &RegisteredTarget, is_written: bool) {
        let now = self.now();
        self.lock().placement.note_target_record(target, is_written, now);
    }

    /// Records that connections to the target of an assignment broke.
    pub(crate) fn note_broken_connection(&self, assignment: &Assignment) {
        let now = self.now();
        self.lock().placement.note_broken_connection(assignment, now);
    }

    /// Records that no connection to the target of an assignment could be opened. Others are told of a
    /// refusal: nobody listens there. A timeout may be the fault of this process's links.
    pub(crate) fn note_not_connected(&self, assignment: &Assignment, failure: ConnectFailure) {
        let now = self.now();
        let mut state = self.lock();
        if failure != ConnectFailure::Refused {
            state.placement.note_broken_connection(assignment, now);
        } else if state.placement.note_refused(assignment, now) {
            state.untold_ends.insert((assignment.target.clone(), assignment.started_at_ms));
            self.limits_changed.notify_one();
        }
    }

    /// Applies that a target had ended `age` ago, as another process has noticed.
    pub(crate) fn merge_ended(&self, notice: &EndedTargetNotice, age: Duration) {
        if age < NOTICE_LIFETIME {
            let now = self.now();
            let EndedTargetNotice { target, started_at_ms } = notice;
            self.lock().placement.note_ended(target, *started_at_ms, now);
        }
    }

    /// Records the targets that have just ended, as another process has seen: they may start again
    /// before their next records are read.
    pub(crate) fn note_ended_targets(&self, crashes: &[TargetCrash], wall_ms: u64) {
        let now = self.now();
        let mut state = self.lock();
        for crash in crashes {
            if wall_ms < crash.ended_at_ms.saturating_add(END_LIFETIME_MS) {
                state.placement.note_ended(&crash.target, crash.started_at_ms, now);
            }
        }
    }

    /// Records for how long the target of an assignment stays cold, by its response to a request that
    /// was sent at `sent_at`.
    pub(crate) fn note_cold_report(
        &self,
        assignment: &Assignment,
        remaining: Duration,
        sent_at: Duration,
    ) {
        let now = self.now();
        self.lock().placement.note_cold_report(assignment, remaining, sent_at, now);
    }

    /// Records for how long whoever has an address stays cold, by its response to a call.
    pub(crate) fn note_cold_report_at(&self, address: SocketAddr, remaining: Duration) {
        let now = self.now();
        self.lock().placement.note_cold_report_at(address, remaining, now);
    }

    /// Returns the number of registered targets that are cold.
    pub(crate) fn count_cold(&self) -> u64 {
        let now = self.now();
        self.lock().placement.cold_targets(now).len() as u64
    }

    /// Logs the targets that have become cold or are no longer cold since the last call, and has requests
    /// that wait placed again if a target takes requests again.
    pub(crate) fn log_cold_changes(&self) {
        let now = self.now();
        let mut state = self.lock();
        let cold: BTreeSet<TargetId> =
            state.placement.cold_targets(now).into_iter().cloned().collect();
        if state.known_cold == cold {
            return;
        }
        let known = std::mem::replace(&mut state.known_cold, cold.clone());
        drop(state);
        for target in cold.difference(&known) {
            request_log!("target is cold", kv: { target = target.as_str() });
        }
        for target in known.difference(&cold) {
            request_log!("target is no longer cold", kv: { target = target.as_str() });
        }
        self.note_capacity_changed();
    }
}

impl RoutingState {
    /// Takes the ends of targets that other processes are to be told of.
    pub(crate) fn take_untold_ends(&mut self) -> Vec<EndedTargetNotice> {
        let untold = std::mem::take(&mut self.untold_ends).into_iter();
        untold.map(|(target, started_at_ms)| EndedTargetNotice { target, started_at_ms }).collect()
    }

    /// Counts a request to a target that is cold, which was sent or held back.
    pub(crate) fn count_cold_share(&self, assignment: &Assignment, is_sent: bool, now: Duration) {
        if self.placement.is_cold(assignment, now) {
            let outcome = if is_sent { "sent" } else { "held_back" };
            metrics().count(&COLD_REQUESTS, &[("outcome", outcome)]);
        }
    }
}
