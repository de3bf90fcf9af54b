//! Relates ends of targets to the requests that they were about to answer and to the parts of their
//! prompts, and withholds requests that end targets.
//!
//! Each process sees only a few of the ends, so the evidence is sent to all processes, and kept in the
//! registration of the process that saw it, which also reaches processes that are cut from it.

#[cfg(test)]
mod notice_tests;
mod trials;
#[cfg(test)]
mod trials_tests;

use crate::{
    connection_pool::ConnectionPool,
    fleet::FleetWatcher,
    forwarding::{ActiveRequest, milliseconds},
    jitter::sleep_with_jitter,
    log::request_log,
    node_state::NodeState,
    peers::Notice,
};
use skylarkpick_interface::{
    CrashCause, CrashReport, FleetTopic, ObjectStore, TargetCrash, TargetId,
};
use skylarkpick_schedule::{
    Assignment, CrashEvidence, CrashVerdict, EVIDENCE_LIFETIME, ReportSource, evidence_keepers,
};
use skylarkpick_telemetry::{REQUESTS_WITHHELD, metrics};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, OnceCell},
    time::Instant,
};
use trials::{Trial, TrialClaim, claim_trial};

/// Time after the first piece of a response from which its target's end has other reasons.
const BEGINNING: Duration = Duration::from_secs(1);
/// Time after which a client may come back with a request that is under suspicion: the one that is
/// under way has mostly ended by then.
const SUSPECT_WAIT: Duration = Duration::from_secs(1);
/// Time in which responses of one target that break off together are collected.
const COLLECTION_TIME: Duration = Duration::from_millis(20);
/// Upper limit of the random delay before others are told of an answer.
const CLEARING_DELAY_LIMIT: Duration = Duration::from_millis(300);
/// Time within which a process has to take a message. Between data centres it takes some milliseconds.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Mean delay before the evidence is written to the platform. Many processes see the same end.
const STORE_DELAY: Duration = Duration::from_millis(400);
/// Least time between two writes.
const STORE_PAUSE: Duration = Duration::from_millis(400);
/// Mean delay before a failed write is repeated; doubles with each further one, up to the limit.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);
const STORE_RETRY_LIMIT: Duration = Duration::from_secs(8);
/// Time for which the result of a look at a target is used again.
const PROBE_LIFETIME: Duration = Duration::from_millis(200);
/// Time within which a target that has ended refuses connections.
const CLOSING_TIME: Duration = Duration::from_millis(50);
/// Processes that keep the evidence against a blamed cause, besides those that saw it.
const KEEPERS: usize = 2;

/// The start of a target that an attempt was sent to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct AttemptTarget {
    target: TargetId,
    started_at_ms: u64,
    address: SocketAddr,
}

impl AttemptTarget {
    pub(crate) fn of(assignment: &Assignment) -> AttemptTarget {
        let Assignment { target, started_at_ms, address, .. } = assignment;
        AttemptTarget { target: target.clone(), started_at_ms: *started_at_ms, address: *address }
    }
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Withheld {
    /// Time after which its client may come back.
    pub(crate) wait: Duration,
}

/// Right to send the only request with a cause at a time. Given back when dropped.
pub(crate) struct CausePermit {
    node_state: Arc<NodeState>,
    cause: CrashCause,
    /// Whether the request tries a blamed cause.
    is_trial: bool,
}

impl Drop for CausePermit {
    fn drop(&mut self) {
        self.node_state.lock().permitted_causes.remove(&self.cause);
    }
}

/// Collects and shares the evidence of a process.
pub(crate) struct CrashWatch {
    node_state: Arc<NodeState>,
    pool: Arc<ConnectionPool>,
    watcher: Arc<FleetWatcher>,
    objects: Arc<dyn ObjectStore>,
    /// Looks at targets whose responses broke off.
    probes: Mutex<BTreeMap<AttemptTarget, Probe>>,
    /// Wakes the task that tells other processes of ends.
    crashes_seen: Notify,
    /// Wakes the task that tells other processes of answers since.
    causes_cleared: Notify,
}

struct Probe {
    began_at: Instant,
    has_ended: Arc<OnceCell<bool>>,
}

impl CrashWatch {
    pub(crate) fn open(
        node_state: Arc<NodeState>,
        pool: Arc<ConnectionPool>,
        watcher: Arc<FleetWatcher>,
        objects: Arc<dyn ObjectStore>,
    ) -> Arc<CrashWatch> {
        let (crashes_seen, causes_cleared) = (Notify::new(), Notify::new());
        let probes = Mutex::default();
        Arc::new(CrashWatch {
            node_state,
            pool,
            watcher,
            objects,
            probes,
            crashes_seen,
            causes_cleared,
        })
    }

    /// Decides whether a request may be sent now, by what may be the reason why it ends targets.
    /// Suspected requests go one at a time.
    pub(crate) async fn admit(&self, request: &mut ActiveRequest) -> Result<(), Withheld> {
        if !self.node_state.knows_evidence() {
            return Err(Withheld { wait: SUSPECT_WAIT });
        }
        let has_run = request.has_run();
        let verdict = self.node_state.crash_verdict(&request.causes);
        let (cause, until_trial, trial_pause) = match verdict {
            CrashVerdict::Free => return Ok(()),
            CrashVerdict::Suspect(cause) => (cause, Duration::ZERO, None),
            CrashVerdict::Blamed { cause, until_trial, trial_pause } => {
                (cause, until_trial, Some(trial_pause))
            }
        };
        let is_trial = trial_pause.is_some();
        let wait = until_trial.max(SUSPECT_WAIT);
        // The trial of a request is one send.
        let is_spent =
            has_run || (is_trial && matches!(cause, CrashCause::Request(_)) && request.is_sent());
        let holds_permit = request
            .cause_permit
            .as_ref()
            .is_some_and(|it| it.cause == cause && it.is_trial >= is_trial);
        if holds_permit && !is_spent {
            return Ok(());
        }
        let is_due = !is_spent && (!is_trial || until_trial.is_zero());
        let mut permit = is_due.then(|| self.take_permit(cause, trial_pause)).flatten();
        if let (Some(pause), true) = (trial_pause, permit.is_some())
            // Boxed, so that the futures of all requests don't have room for it.
            && !Box::pin(self.claim_trial(cause, pause)).await
        {
            permit = None;
        }
        let is_permitted = permit.is_some();
        request_log!("request may end targets", kv: {
            request = request.head.attempt_id.as_str(),
            cause = cause.to_string().as_str(),
            is_blamed = is_trial,
            is_permitted,
            has_run,
            wait_ms = milliseconds(wait),
        });
        if !is_permitted {
            metrics().count(&REQUESTS_WITHHELD, &[]);
            return Err(Withheld { wait });
        }
        request.cause_permit = permit;
        Ok(())
    }

    fn take_permit(&self, cause: CrashCause, trial_pause: Option<Duration>) -> Option<CausePermit> {
        let now_ms = self.node_state.wall_ms();
        let mut state = self.node_state.lock();
        if !state.permitted_causes.insert(cause) {
            return None;
        }
        if let Some(pause) = trial_pause {
            state.crash_evidence.note_trial(cause, pause, now_ms);
        }
        let is_trial = trial_pause.is_some();
        Some(CausePermit { node_state: self.node_state.clone(), cause, is_trial })
    }

    /// Returns whether this process may try a blamed cause: no other one does, in the whole fleet.
    async fn claim_trial(&self, cause: CrashCause, pause: Duration) -> bool {
        let now_ms = self.node_state.wall_ms();
        let first_end_ms = self.node_state.lock().crash_evidence.first_end_ms(cause);
        let trial = Trial { cause, pause, first_end_ms: first_end_ms.unwrap_or(now_ms) };
        let claim = claim_trial(&*self.objects, &trial, now_ms).await;
        request_log!("trial of a blamed cause", kv: {
            cause = cause.to_string().as_str(), claim:?,
        });
        if claim == Ok(TrialClaim::UsedUp) {
            let mut state = self.node_state.lock();
            state.crash_evidence.note_trial(cause, EVIDENCE_LIFETIME, now_ms);
        }
        claim == Ok(TrialClaim::Claimed)
    }

    /// Returns whether a request, or a part of its prompt, was blamed since it was admitted.
    pub(crate) fn is_withheld(&self, request: &ActiveRequest) -> bool {
        let is_trial = request.cause_permit.as_ref().is_some_and(|permit| permit.is_trial);
        let causes = &request.causes;
        !is_trial && matches!(self.node_state.crash_verdict(causes), CrashVerdict::Blamed { .. })
    }

    /// Waits until a request is blamed, which may never be the case.
    pub(crate) async fn wait_until_withheld(&self, request: &ActiveRequest) {
        loop {
            let changed = self.node_state.blame_changed.notified();
            if self.is_withheld(request) {
                return;
            }
            changed.await;
        }
    }

    /// Returns a time before which a request that is sent now was not sent, for the end of its target.
    pub(crate) fn sent_after_ms(&self, request: &ActiveRequest) -> u64 {
        let now_ms = self.node_state.wall_ms();
        self.node_state.lock().crash_evidence.sent_after_ms(request.number, now_ms)
    }

    /// Records that a response broke off, `since_first_piece` after its first piece, if its target has
    /// ended and had just begun to answer.
    pub(crate) async fn note_broken(
        &self,
        place: &AttemptTarget,
        request: &ActiveRequest,
        since_first_piece: Option<Duration>,
    ) {
        let had_begun = since_first_piece.is_some_and(|since| since >= BEGINNING);
        if had_begun || !self.is_in_service(place) {
            return;
        }
        if !self.has_ended(place).await {
            return;
        }
        request_log!("target has ended", kv: {
            target = place.target.as_str(),
            request = request.head.attempt_id.as_str(),
            number = request.logged_number().as_str(),
            parts = request.logged_parts().as_str(),
            has_first_piece = since_first_piece.is_some(),
        });
        let crash = TargetCrash {
            target: place.target.clone(),
            started_at_ms: place.started_at_ms,
            ended_at_ms: self.node_state.wall_ms(),
            parts: request.shared_parts().zip(0..).collect(),
            requests: [(request.number, request.sent_after_ms)].into(),
        };
        let is_new = self.node_state.change_evidence(|evidence| evidence.note_crash(&crash));
        if is_new {
            self.crashes_seen.notify_one();
        }
    }

    /// Records a whole response to a request.
    pub(crate) fn note_answer(&self, request: &ActiveRequest) {
        self.note_answered(&request.causes, self.node_state.wall_ms());
    }

    fn note_answered(&self, causes: &[CrashCause], at_ms: u64) {
        if self.node_state.change_evidence(|evidence| evidence.note_answer(causes, at_ms)) {
            self.causes_cleared.notify_one();
        }
    }

    /// Records a response that ended with its connection, which may be whole or broken off, if its target
    /// goes on: it has not ended by the request then, of which there is evidence.
    pub(crate) fn note_unmarked_answer(
        self: &Arc<Self>,
        place: &AttemptTarget,
        request: &ActiveRequest,
    ) {
        let causes = request.causes.clone();
        if !self.node_state.lock().crash_evidence.has_ends_of(&causes) {
            return;
        }
        let (watch, address) = (self.clone(), place.address);
        let answered_at_ms = self.node_state.wall_ms();
        tokio::spawn(async move {
            tokio::time::sleep(CLOSING_TIME).await;
            if !watch.pool.is_open(address).await {
                return;
            }
            watch.note_answered(&causes, answered_at_ms);
        });
    }

    /// Returns whether a target is registered and not about to leave, so that its end is unexpected.
    fn is_in_service(&self, place: &AttemptTarget) -> bool {
        let state = self.node_state.lock();
        let target = state.placement.targets().get(&place.target).map(|it| &it.registration);
        target.is_some_and(|target| {
            target.started_at_ms == place.started_at_ms && !state.placement.is_leaving(target)
        })
    }

    /// Returns whether a target refuses connections. A cut link doesn't, nor a target that only closed
    /// some.
    async fn has_ended(&self, place: &AttemptTarget) -> bool {
        let cell = {
            let mut probes = self.probes.lock().unwrap_or_else(PoisonError::into_inner);
            let now = Instant::now();
            probes.retain(|_, probe| now < probe.began_at + PROBE_LIFETIME);
            let new = || Probe { began_at: now, has_ended: Arc::default() };
            probes.entry(place.clone()).or_insert_with(new).has_ended.clone()
        };
        *cell.get_or_init(|| self.pool.is_refused(place.address)).await
    }

    /// Tells all other processes. What does not reach one of them, the platform has to keep.
    async fn send(&self, report: CrashReport) {
        let notice = Notice::Crashes { report };
        let FleetWatcher { records, peer_client, .. } = &*self.watcher;
        if !peer_client.deliver(records, &notice, DELIVERY_TIMEOUT).await {
            self.node_state.lock().crash_evidence.note_untold();
            self.node_state.evidence_changed.notify_one();
        }
    }

    fn report(&self) -> CrashReport {
        self.node_state.lock().crash_evidence.report()
    }

    fn record(&self) -> CrashReport {
        let entries = self.watcher.records.entries();
        let node = self.watcher.records.node();
        let is_keeper =
            |cause| evidence_keepers(cause, &entries).iter().take(KEEPERS).any(|it| *it == node);
        self.node_state.lock().crash_evidence.record(is_keeper)
    }
}

impl NodeState {
    fn crash_verdict(&self, causes: &[CrashCause]) -> CrashVerdict {
        let now_ms = self.wall_ms();
        self.lock().crash_evidence.verdict(causes, now_ms)
    }

    /// Returns the numbers of parts and of requests that are blamed for ends of targets.
    pub(crate) fn count_blamed(&self) -> (u64, u64) {
        let state = self.lock();
        let is_part = |cause: &CrashCause| matches!(cause, CrashCause::Part(_));
        let (parts, requests): (Vec<_>, Vec<_>) = state.crash_evidence.blamed().partition(is_part);
        (parts.len() as u64, requests.len() as u64)
    }

    /// Adds what another process tells about ends of targets, or this one before its last start.
    pub(crate) fn merge_crashes(&self, report: &CrashReport, from: &str, source: ReportSource) {
        if report.is_empty() {
            return;
        }
        let now_ms = self.wall_ms();
        if source == ReportSource::Process {
            self.note_ended_targets(&report.crashes, now_ms);
        }
        if self.change_evidence(|evidence| evidence.merge(report, source, now_ms)) {
            request_log!("evidence of ended targets applied", kv: {
                from,
                crashes = report.crashes.len(),
                answered = report.answered_at_ms.len() + report.answered_requests_at_ms.len(),
            });
        }
    }

    /// Changes the evidence, and logs what is blamed since, and what no more.
    fn change_evidence(&self, change: impl FnOnce(&mut CrashEvidence) -> bool) -> bool {
        let mut state = self.lock();
        let before: BTreeSet<CrashCause> = state.crash_evidence.blamed().collect();
        let result = change(&mut state.crash_evidence);
        let after: BTreeSet<CrashCause> = state.crash_evidence.blamed().collect();
        drop(state);
        if before != after {
            for cause in after.difference(&before) {
                let cause = cause.to_string();
                spdlog::warn!("blamed for ends of targets", kv: { cause = cause.as_str() });
            }
            for cause in before.difference(&after) {
                let cause = cause.to_string();
                spdlog::info!("no longer blamed for ends of targets", kv: { cause = cause.as_str() });
            }
            self.blame_changed.notify_waiters();
        }
        if result {
            self.evidence_changed.notify_one();
        }
        result
    }
}

/// Tells other processes which ends this one has seen, for as long as the task runs.
pub(crate) async fn send_crashes(watch: Arc<CrashWatch>) {
    loop {
        watch.crashes_seen.notified().await;
        tokio::time::sleep(COLLECTION_TIME).await;
        watch.send(watch.report()).await;
    }
}

/// Tells other processes what was answered since it counted as a cause, for as long as the task runs.
/// Many processes answer a part that many prompts share, so each waits for a random time and is silent
/// if another one was first.
pub(crate) async fn send_cleared_causes(watch: Arc<CrashWatch>) {
    loop {
        watch.causes_cleared.notified().await;
        tokio::time::sleep(CLEARING_DELAY_LIMIT.mul_f64(rand::random())).await;
        let report = watch.report();
        if report.has_answers() {
            watch.send(report).await;
        }
    }
}

/// Writes the evidence of this process to the platform whenever it changes, for as long as the task
/// runs.
pub(crate) async fn store_crashes(watch: Arc<CrashWatch>) {
    let mut stored = CrashReport::default();
    let mut stored_era = 0;
    let mut delay = STORE_RETRY_DELAY;
    loop {
        watch.node_state.evidence_changed.notified().await;
        loop {
            sleep_with_jitter(STORE_DELAY).await;
            let report = watch.record();
            let era = watch.watcher.records.revision(FleetTopic::Entries).era;
            if std::mem::replace(&mut stored_era, era) != era {
                // The platform's store may have lost it.
                stored = CrashReport::default();
            }
            if report == stored {
                break;
            }
            if watch.watcher.records.is_disconnected(FleetTopic::Entries) {
                continue;
            }
            let node = watch.watcher.records.node();
            match watch.watcher.source.record_crashes(node, &report).await {
                Ok(()) => {
                    (stored, delay) = (report, STORE_RETRY_DELAY);
                    tokio::time::sleep(STORE_PAUSE).await;
                }
                Err(error) => {
                    spdlog::warn!("failed to record the evidence of ended targets", kv: { error: });
                    sleep_with_jitter(delay).await;
                    delay = (delay * 2).min(STORE_RETRY_LIMIT);
                }
            }
        }
    }
}
