//! What this process knows of targets that say that they are brittle: log lines, metrics, and what
//! other processes are told.

use crate::{
    log::request_log,
    node_state::{NodeState, RoutingState},
    peers::BrittleNotice,
};
use skylarkpick_interface::{BrittleSignal, ReportedLoad, TargetId};
use skylarkpick_schedule::Assignment;
use skylarkpick_telemetry::{BRITTLE_REJECTIONS, metrics};
use std::{net::SocketAddr, time::Duration};

/// Value of a field of a log line that is not known.
const UNKNOWN: i64 = -1;
/// Age up to which another process's word that a target is brittle counts. It is told again within
/// this time; a relay passes on older ones to processes that change to it.
const REPEATED_WORD_LIFETIME: Duration = Duration::from_secs(2);

impl NodeState {
    /// Records that the target of an assignment said that it is brittle.
    pub(crate) fn note_brittle(&self, assignment: &Assignment, signal: BrittleSignal) {
        let (target, now) = (&assignment.target, self.now());
        let mut state = self.lock();
        if state.placement.note_brittle(assignment, now) {
            state.keep_brittle_change(target, true);
            drop(state);
            self.limits_changed.notify_one();
            self.report_brittle_change(target, Some(signal), "its response");
        }
    }

    /// Records that whoever has an address said that it is brittle, in a response that `from` names.
    pub(crate) fn note_brittle_at(
        &self,
        address: SocketAddr,
        signal: BrittleSignal,
        from: &'static str,
    ) {
        let now = self.now();
        let mut state = self.lock();
        if let Some(target) = state.placement.note_brittle_at(address, now) {
            state.keep_brittle_change(&target, true);
            drop(state);
            self.limits_changed.notify_one();
            self.report_brittle_change(&target, Some(signal), from);
        }
    }

    /// Records that a target did not say that it is brittle in its response to a request that was sent
    /// at `sent_at`.
    pub(crate) fn note_not_brittle(&self, assignment: &Assignment, sent_at: Duration) {
        let (target, now) = (&assignment.target, self.now());
        let mut state = self.lock();
        if state.placement.note_not_brittle(assignment, sent_at, now) {
            state.keep_brittle_change(target, false);
            drop(state);
            self.limits_changed.notify_one();
            self.report_brittle_change(target, None, "its response");
        }
    }

    /// Applies what another process said `age` ago of whether a target is brittle.
    pub(crate) fn merge_brittle(&self, notice: &BrittleNotice, age: Duration) {
        let BrittleNotice { target, started_at_ms, is_brittle } = notice;
        if *is_brittle && age > REPEATED_WORD_LIFETIME {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        if state.placement.merge_brittle(target, *started_at_ms, *is_brittle, now) {
            // What another process says is the latest word.
            state.untold_brittle.remove(target);
            state.set_known_brittle(target, *is_brittle);
            drop(state);
            // Others don't know yet what this process has under way beyond its places.
            self.limits_changed.notify_one();
            let signal = is_brittle.then(BrittleSignal::default);
            self.report_brittle_change(target, signal, "another entry process");
        }
    }

    /// Logs and counts that the target of an assignment turned a request away, if it counts as brittle:
    /// it falls over after a few of them. Other processes are told at once.
    pub(crate) fn note_rejection(
        &self,
        assignment: &Assignment,
        request: &str,
        load: Option<ReportedLoad>,
    ) {
        let target = assignment.target.as_str();
        if !self.is_brittle(target) {
            return;
        }
        self.tell_rejection(&assignment.target, assignment.started_at_ms);
        metrics().count(&BRITTLE_REJECTIONS, &[]);
        let field = |of: fn(ReportedLoad) -> u32| load.map_or(UNKNOWN, |load| of(load).into());
        request_log!("brittle target rejected a request", kv: {
            target, request,
            running = field(|it| it.running),
            waiting = field(|it| it.waiting),
            slots = field(|it| it.slots),
        });
    }

    /// Returns whether a target counts as brittle.
    pub(crate) fn is_brittle(&self, target: &str) -> bool {
        self.lock().is_brittle(target, self.now())
    }

    /// Returns the number of targets that count as brittle.
    pub(crate) fn count_brittle(&self) -> u64 {
        let now = self.now();
        let state = self.lock();
        let targets = state.placement.targets().values();
        targets.filter(|it| state.placement.is_brittle(&it.registration, now)).count() as u64
    }

    /// Logs the targets that no longer count as brittle since nobody has said so for a while, or since
    /// they are gone.
    pub(crate) fn log_silent_ends(&self) {
        let now = self.now();
        let mut state = self.lock();
        let is_over = |target: &&TargetId| !state.is_brittle(target, now);
        let ended: Vec<TargetId> = state.known_brittle.iter().filter(is_over).cloned().collect();
        for target in &ended {
            state.set_known_brittle(target, false);
        }
        drop(state);
        for target in &ended {
            self.report_brittle_change(target, None, "silence");
        }
    }

    /// Logs that a target is brittle, or no longer is, and has requests that wait placed again.
    fn report_brittle_change(
        &self,
        target: &str,
        signal: Option<BrittleSignal>,
        from: &'static str,
    ) {
        match signal.map(BrittleSignal::rejections_per_second) {
            Some(rate) => request_log!("target is brittle", kv: {
                target, rejections_per_second = rate.unwrap_or(UNKNOWN as f64), from,
            }),
            None => request_log!("target is no longer brittle", kv: { target, from }),
        }
        self.note_capacity_changed();
    }
}

impl RoutingState {
    fn is_brittle(&self, target: &str, now: Duration) -> bool {
        let target = self.placement.targets().get(target);
        target.is_some_and(|it| self.placement.is_brittle(&it.registration, now))
    }

    fn set_known_brittle(&mut self, target: &str, is_brittle: bool) {
        if is_brittle {
            self.known_brittle.insert(target.to_string());
        } else {
            self.known_brittle.remove(target);
        }
    }

    /// Keeps what a target has said for the log and for other processes.
    fn keep_brittle_change(&mut self, target: &str, is_brittle: bool) {
        self.set_known_brittle(target, is_brittle);
        // Only registered targets change.
        let Some(view) = self.placement.targets().get(target) else { return };
        let started_at_ms = view.registration.started_at_ms;
        let notice = BrittleNotice { target: target.to_string(), started_at_ms, is_brittle };
        self.untold_brittle.insert(target.to_string(), notice);
    }
}
