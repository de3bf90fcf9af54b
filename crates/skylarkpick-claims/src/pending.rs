//! Claims and outcomes that are not yet known to be in the log.

use crate::{
    claim::{ClaimId, KeyDigest, Ran},
    events::{ClaimReply, Reply, Time},
    index::{Index, KeyState},
    settings::ClaimSettings,
    tail::Tail,
};
use prost::Message;
use skylarkpick_protocol::stored::{
    self, ClaimBatch, ClaimEntry, Claimed, Outcome, claim_entry::Body,
};
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

/// Time past a claim's `time_allowed` at which a missing outcome counts as unknown.
const OUTCOME_GRACE: Duration = Duration::from_secs(5);

/// A claim that has no reply yet, or a refused or abandoned one that may be in the log.
#[derive(Debug)]
struct PendingClaim {
    claim_id: ClaimId,
    key: KeyDigest,
    claimed: Claimed,
    created_at: Duration,
    /// Number of the object that the claim was written to, until it is known whether the write took
    /// effect.
    written_to: Option<u64>,
    /// Whether that write got no response, so that it may still take effect.
    in_doubt: bool,
    /// Whether the claimant still waits for a reply.
    is_awaited: bool,
    /// Reply from the log read so far, for the case that its tail cannot be read.
    fallback: Option<ClaimReply>,
}

/// An outcome that is not yet known to be in the log.
#[derive(Debug)]
struct PendingOutcome {
    claim_id: ClaimId,
    key: KeyDigest,
    outcome: Outcome,
}

/// Claims and outcomes that are not yet known to be in the log.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    claims: Vec<PendingClaim>,
    outcomes: VecDeque<PendingOutcome>,
    needs_tail_read: bool,
    /// Time since which outcomes have been pending.
    outcomes_since: Duration,
}

impl Pending {
    pub(crate) fn claim(&mut self, id: ClaimId, key: KeyDigest, claimed: Claimed, now: Duration) {
        self.claims.push(PendingClaim {
            claim_id: id,
            key,
            claimed,
            created_at: now,
            written_to: None,
            in_doubt: false,
            is_awaited: true,
            fallback: None,
        });
    }

    /// Abandons a claim, granted or not, under which nothing was sent.
    pub(crate) fn abandon(&mut self, claim_id: ClaimId, key: KeyDigest, now: Duration) {
        match self.claims.iter_mut().find(|claim| claim.claim_id == claim_id) {
            Some(claim) => claim.is_awaited = false,
            None => self.finish(claim_id, key, not_run(), now),
        }
        self.claims.retain(|claim| claim.is_awaited || claim.written_to.is_some());
    }

    pub(crate) fn finish(
        &mut self,
        claim_id: ClaimId,
        key: KeyDigest,
        outcome: Outcome,
        now: Duration,
    ) {
        if self.outcomes.is_empty() {
            self.outcomes_since = now;
        }
        self.outcomes.push_back(PendingOutcome { claim_id, key, outcome });
    }

    /// Returns the pending outcome of a key's claim, if the request ran or may have run.
    pub(crate) fn outcome_of(&self, key: &KeyDigest) -> Option<&Outcome> {
        let mut found = self.outcomes.iter().filter(|pending| pending.key == *key);
        found.find(|pending| pending.outcome.ran() != stored::Ran::NotRun).map(|it| &it.outcome)
    }

    /// Records that the last write did not take effect.
    pub(crate) fn observe_not_written(&mut self) {
        for claim in self.claims.iter_mut().filter(|claim| !claim.in_doubt) {
            claim.written_to = None;
        }
        self.claims.retain(|claim| claim.is_awaited || claim.written_to.is_some());
    }

    /// Records that the last write may have taken effect, or may still do so.
    pub(crate) fn observe_in_doubt(&mut self) {
        for claim in self.claims.iter_mut().filter(|claim| claim.written_to.is_some()) {
            claim.in_doubt = true;
        }
    }

    /// Returns whether the reply to a claim depends on objects that may follow the tail.
    pub(crate) fn needs_tail_read(&self) -> bool {
        self.needs_tail_read
    }

    /// Returns whether nothing is waiting to be appended.
    pub(crate) fn is_empty(&self) -> bool {
        self.outcomes.is_empty() && !self.claims.iter().any(|claim| claim.is_awaited)
    }

    /// Returns when to append: at once if there are claims, otherwise after the outcome delay.
    pub(crate) fn due_at(&self, settings: &ClaimSettings) -> Option<Duration> {
        if self.claims.iter().any(|claim| claim.is_awaited) {
            return Some(Duration::ZERO);
        }
        (!self.outcomes.is_empty()).then(|| self.outcomes_since + settings.outcome_delay)
    }

    /// Returns whether a claim may be in the log without this process having read it there.
    pub(crate) fn may_have_written(&self) -> bool {
        self.claims.iter().any(|claim| claim.written_to.is_some())
    }

    /// Returns when the next claim times out.
    pub(crate) fn next_timeout(&self, settings: &ClaimSettings) -> Option<Duration> {
        let awaited = self.claims.iter().filter(|claim| claim.is_awaited);
        awaited.map(|claim| claim.created_at + settings.claim_timeout()).min()
    }

    /// Refuses all claims, or only those created at `horizon` or before.
    pub(crate) fn refuse(&mut self, horizon: Option<Duration>, reason: &str) -> Vec<Reply> {
        let due = |claim: &PendingClaim| horizon.is_none_or(|at| claim.created_at <= at);
        self.refuse_where(due, reason)
    }

    /// Refuses claims that were written and may have taken effect.
    pub(crate) fn refuse_written(&mut self, reason: &str) -> Vec<Reply> {
        self.refuse_where(|claim| claim.written_to.is_some(), reason)
    }

    fn refuse_where(&mut self, due: impl Fn(&PendingClaim) -> bool, reason: &str) -> Vec<Reply> {
        let mut replies = Vec::new();
        for claim in self.claims.iter_mut().filter(|claim| claim.is_awaited && due(claim)) {
            claim.is_awaited = false;
            let reply = claim.fallback.take();
            let reply = reply.unwrap_or_else(|| ClaimReply::NotConfirmed(reason.to_string()));
            replies.push(Reply::Claim(claim.claim_id, reply));
        }
        self.claims.retain(|claim| claim.is_awaited || claim.written_to.is_some());
        replies
    }

    /// Returns the entries of the object with this number: outcomes first, then one claim for each
    /// free key.
    pub(crate) fn compose(
        &mut self,
        number: u64,
        index: &Index,
        settings: &ClaimSettings,
        now: Time,
    ) -> ClaimBatch {
        let mut batch = ClaimBatch::default();
        let mut size_bytes = 0;
        let mut has_room = |entry: &ClaimEntry, count: usize| {
            size_bytes += entry.encoded_len();
            count < settings.batch_entries && size_bytes < settings.batch_size_bytes
        };
        for pending in &self.outcomes {
            let body = Body::Outcome(pending.outcome.clone());
            let entry = entry(pending.key, pending.claim_id, body, now);
            if batch.entries.is_empty() || has_room(&entry, batch.entries.len()) {
                batch.entries.push(entry);
            }
        }
        let mut keys = BTreeSet::new();
        for claim in self.claims.iter_mut().filter(|claim| claim.is_awaited) {
            let entry = entry(claim.key, claim.claim_id, Body::Claimed(claim.claimed.clone()), now);
            let is_free = index.is_free(&claim.key) && keys.insert(claim.key);
            if is_free && (batch.entries.is_empty() || has_room(&entry, batch.entries.len())) {
                claim.written_to = Some(number);
                batch.entries.push(entry);
            }
        }
        batch
    }

    /// Replies to claims according to the index, and drops outcomes that are in the log.
    pub(crate) fn resolve(
        &mut self,
        tail: &Tail,
        index: &Index,
        settings: &ClaimSettings,
        now: Time,
    ) -> Vec<Reply> {
        let mut replies = Vec::new();
        self.needs_tail_read = false;
        for claim in std::mem::take(&mut self.claims) {
            self.resolve_claim(claim, tail, index, settings, now, &mut replies);
        }
        self.outcomes.retain(|pending| {
            let state = index.get(&pending.key);
            let is_missing = state.is_some_and(|state| {
                state.claim_id == pending.claim_id && !is_recorded(state, &pending.outcome)
            });
            if !is_missing {
                replies.push(Reply::Appended(pending.claim_id));
            }
            is_missing
        });
        replies
    }

    fn resolve_claim(
        &mut self,
        mut claim: PendingClaim,
        tail: &Tail,
        index: &Index,
        settings: &ClaimSettings,
        now: Time,
        replies: &mut Vec<Reply>,
    ) {
        let in_time = now.since_boot <= claim.created_at + settings.claim_timeout();
        let state = index.get(&claim.key);
        if let Some(state) = state.filter(|state| state.claim_id == claim.claim_id) {
            if claim.is_awaited && in_time && state.ended.is_none() {
                replies.push(Reply::Claim(claim.claim_id, ClaimReply::Granted));
                return;
            }
            if claim.is_awaited {
                let reply =
                    ClaimReply::NotConfirmed("the claim was confirmed too late".to_string());
                replies.push(Reply::Claim(claim.claim_id, reply));
            }
            self.finish(claim.claim_id, claim.key, not_run(), now.since_boot);
            return;
        }
        let reply = state.and_then(|state| reply_for_known_key(state, &claim.claimed, now));
        if let Some(reply) = reply.filter(|_| claim.is_awaited) {
            let may_be_outdated =
                matches!(reply, ClaimReply::Running(_) | ClaimReply::OutcomeUnknown(_));
            if may_be_outdated && !tail.was_confirmed_since(claim.created_at) {
                claim.fallback = Some(reply);
                self.needs_tail_read = true;
            } else {
                replies.push(Reply::Claim(claim.claim_id, reply));
                claim.is_awaited = false;
            }
        }
        if claim.written_to.is_some_and(|number| number < tail.next_number) {
            claim.written_to = None;
            claim.in_doubt = false;
        }
        if claim.is_awaited || claim.written_to.is_some() {
            self.claims.push(claim);
        }
    }
}

/// Returns the reply to a claim of a key that is in the index, or `None` if the key is free.
fn reply_for_known_key(state: &KeyState, claimed: &Claimed, now: Time) -> Option<ClaimReply> {
    let request_id = state.request_id.clone();
    if state.request_digest != claimed.request_digest {
        return Some(ClaimReply::DifferentRequest(request_id));
    }
    match state.ended {
        Some((Ran::NotRun, _)) => None,
        Some((Ran::Ran, number)) => Some(ClaimReply::Ended { number, claim_id: state.claim_id }),
        Some((Ran::Unknown, _)) => Some(ClaimReply::OutcomeUnknown(request_id)),
        None if is_overdue(state, now) => Some(ClaimReply::OutcomeUnknown(request_id)),
        None => Some(ClaimReply::Running(request_id)),
    }
}

/// Returns whether a claim's request should have ended by now. This only affects the reply to a
/// repeat, never whether a claim is granted, so clock errors cannot make a request run twice.
fn is_overdue(state: &KeyState, now: Time) -> bool {
    let by_wall = Duration::from_millis(now.wall_ms.saturating_sub(state.written_at_ms));
    let seen_for = now.since_boot.saturating_sub(state.first_seen_at);
    by_wall.max(seen_for) > state.time_allowed + OUTCOME_GRACE
}

fn is_recorded(state: &KeyState, outcome: &Outcome) -> bool {
    match state.ended {
        None => false,
        Some((Ran::Unknown, _)) => outcome.ran() != stored::Ran::Ran,
        Some(_) => true,
    }
}

fn entry(key: KeyDigest, claim_id: ClaimId, body: Body, now: Time) -> ClaimEntry {
    ClaimEntry {
        key_digest: key.to_vec(),
        claim_id: claim_id.to_vec(),
        written_at_ms: now.wall_ms,
        body: Some(body),
    }
}

fn not_run() -> Outcome {
    Outcome { ran: stored::Ran::NotRun.into(), ..Outcome::default() }
}
