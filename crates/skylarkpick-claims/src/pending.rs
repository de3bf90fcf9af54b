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

/// Time after a claim's allowed time at which its outcome counts as unknown.
const RUNNING_GRACE: Duration = Duration::from_secs(5);

/// A claim that is not yet decided.
#[derive(Debug)]
struct PendingClaim {
    claim_id: ClaimId,
    key: KeyDigest,
    claimed: Claimed,
    created_at: Duration,
    /// Number of the object that may hold the claim, while that is not known.
    put_at: Option<u64>,
    /// Whether a write of it had no answer.
    in_doubt: bool,
    /// Whether the claimant still waits.
    wanted: bool,
    /// What the claimant is told if the log's tail cannot be read.
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
    wants_read: bool,
    /// Time at which the oldest outcome came.
    outcomes_since: Duration,
}

impl Pending {
    pub(crate) fn claim(&mut self, id: ClaimId, key: KeyDigest, claimed: Claimed, now: Duration) {
        self.claims.push(PendingClaim {
            claim_id: id,
            key,
            claimed,
            created_at: now,
            put_at: None,
            in_doubt: false,
            wanted: true,
            fallback: None,
        });
    }

    /// Takes in that nothing is sent under a claim, granted or not.
    pub(crate) fn give_up(&mut self, claim_id: ClaimId, key: KeyDigest, now: Duration) {
        match self.claims.iter_mut().find(|claim| claim.claim_id == claim_id) {
            Some(claim) => claim.wanted = false,
            None => self.finish(claim_id, key, not_run(), now),
        }
        self.claims.retain(|claim| claim.wanted || claim.put_at.is_some());
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

    /// The outcome of a key's claim, if it ran or may have run and is known in this process.
    pub(crate) fn outcome_of(&self, key: &KeyDigest) -> Option<&Outcome> {
        let mut found = self.outcomes.iter().filter(|pending| pending.key == *key);
        found.find(|pending| pending.outcome.ran() != stored::Ran::NotRun).map(|it| &it.outcome)
    }

    /// Takes in that the last write was not carried out.
    pub(crate) fn observe_not_written(&mut self) {
        for claim in self.claims.iter_mut().filter(|claim| !claim.in_doubt) {
            claim.put_at = None;
        }
        self.claims.retain(|claim| claim.wanted || claim.put_at.is_some());
    }

    /// Takes in that the last write may have been carried out, or may still be.
    pub(crate) fn observe_in_doubt(&mut self) {
        for claim in self.claims.iter_mut().filter(|claim| claim.put_at.is_some()) {
            claim.in_doubt = true;
        }
    }

    /// Whether a claimant's answer needs the log's tail as it is now.
    pub(crate) fn wants_read(&self) -> bool {
        self.wants_read
    }

    /// Whether anything waits to be appended.
    pub(crate) fn is_empty(&self) -> bool {
        self.outcomes.is_empty() && !self.claims.iter().any(|claim| claim.wanted)
    }

    /// Time from which what waits should be appended: claims at once, outcomes alone later.
    pub(crate) fn due_at(&self, settings: &ClaimSettings) -> Option<Duration> {
        if self.claims.iter().any(|claim| claim.wanted) {
            return Some(Duration::ZERO);
        }
        (!self.outcomes.is_empty()).then(|| self.outcomes_since + settings.outcome_delay)
    }

    /// Whether a claim may be in the log without being known to be.
    pub(crate) fn is_unsettled(&self) -> bool {
        self.claims.iter().any(|claim| claim.put_at.is_some())
    }

    /// Earliest time at which a claim is refused.
    pub(crate) fn next_timeout(&self, settings: &ClaimSettings) -> Option<Duration> {
        let wanted = self.claims.iter().filter(|claim| claim.wanted);
        wanted.map(|claim| claim.created_at + settings.claim_timeout()).min()
    }

    /// Refuses claims: all of them, or those that were created before `horizon`.
    pub(crate) fn refuse(&mut self, horizon: Option<Duration>, why: &str) -> Vec<Reply> {
        let due = |claim: &PendingClaim| horizon.is_none_or(|at| claim.created_at <= at);
        self.refuse_where(due, why)
    }

    /// Refuses claims that may be in an object of the log that was used as its tail.
    pub(crate) fn refuse_put(&mut self, why: &str) -> Vec<Reply> {
        self.refuse_where(|claim| claim.put_at.is_some(), why)
    }

    fn refuse_where(&mut self, due: impl Fn(&PendingClaim) -> bool, why: &str) -> Vec<Reply> {
        let mut replies = Vec::new();
        for claim in self.claims.iter_mut().filter(|claim| claim.wanted && due(claim)) {
            claim.wanted = false;
            let reply = claim.fallback.take();
            let reply = reply.unwrap_or_else(|| ClaimReply::Away(why.to_string()));
            replies.push(Reply::Claim(claim.claim_id, reply));
        }
        self.claims.retain(|claim| claim.wanted || claim.put_at.is_some());
        replies
    }

    /// Entries for the object with this number: outcomes first, then one claim for each free key.
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
        for claim in self.claims.iter_mut().filter(|claim| claim.wanted) {
            let entry = entry(claim.key, claim.claim_id, Body::Claimed(claim.claimed.clone()), now);
            let is_free = index.is_free(&claim.key) && keys.insert(claim.key);
            if is_free && (batch.entries.is_empty() || has_room(&entry, batch.entries.len())) {
                claim.put_at = Some(number);
                batch.entries.push(entry);
            }
        }
        batch
    }

    /// Decides what the index decides.
    pub(crate) fn settle(
        &mut self,
        tail: &Tail,
        index: &Index,
        settings: &ClaimSettings,
        now: Time,
    ) -> Vec<Reply> {
        let mut replies = Vec::new();
        self.wants_read = false;
        for claim in std::mem::take(&mut self.claims) {
            self.settle_claim(claim, tail, index, settings, now, &mut replies);
        }
        self.outcomes.retain(|pending| {
            let state = index.get(&pending.key);
            let waits = state.is_some_and(|state| {
                state.claim_id == pending.claim_id && !is_recorded(state, &pending.outcome)
            });
            if !waits {
                replies.push(Reply::Appended(pending.claim_id));
            }
            waits
        });
        replies
    }

    fn settle_claim(
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
            if claim.wanted && in_time && state.ended.is_none() {
                replies.push(Reply::Claim(claim.claim_id, ClaimReply::Granted));
                return;
            }
            if claim.wanted {
                let reply = ClaimReply::Away("the claim was confirmed too late".to_string());
                replies.push(Reply::Claim(claim.claim_id, reply));
            }
            self.finish(claim.claim_id, claim.key, not_run(), now.since_boot);
            return;
        }
        let reply = state.and_then(|state| taken(state, &claim.claimed, now));
        if let Some(reply) = reply.filter(|_| claim.wanted) {
            let may_be_old =
                matches!(reply, ClaimReply::Running(_) | ClaimReply::OutcomeUnknown(_));
            if may_be_old && !tail.was_confirmed_since(claim.created_at) {
                claim.fallback = Some(reply);
                self.wants_read = true;
            } else {
                replies.push(Reply::Claim(claim.claim_id, reply));
                claim.wanted = false;
            }
        }
        if claim.put_at.is_some_and(|number| number < tail.next_number) {
            claim.put_at = None;
            claim.in_doubt = false;
        }
        if claim.wanted || claim.put_at.is_some() {
            self.claims.push(claim);
        }
    }
}

/// What a claimant is told whose key is not free.
fn taken(state: &KeyState, claimed: &Claimed, now: Time) -> Option<ClaimReply> {
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

/// Whether a claim's request should have ended long ago. Only what a repeat is told rests on it.
fn is_overdue(state: &KeyState, now: Time) -> bool {
    let by_wall = Duration::from_millis(now.wall_ms.saturating_sub(state.written_at_ms));
    let seen_for = now.since_boot.saturating_sub(state.first_seen_at);
    by_wall.max(seen_for) > state.time_allowed + RUNNING_GRACE
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
