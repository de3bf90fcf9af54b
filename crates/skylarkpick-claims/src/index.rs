//! What the entries of a shard say about each key.

use crate::claim::{ClaimId, KeyDigest, Ran, ran_of};
use skylarkpick_interface::RequestId;
use skylarkpick_protocol::stored::{ClaimBatch, ClaimEntry, Claimed, Outcome, claim_entry::Body};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// What is known of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyState {
    /// Newest claim of the key.
    pub claim_id: ClaimId,
    /// Request that made the claim.
    pub request_id: RequestId,
    /// Digest of the request, the same for every claim of the key.
    pub request_digest: Vec<u8>,
    /// Longest time from the claim to the end of the request.
    pub time_allowed: Duration,
    /// Wall-clock time of the claim, in milliseconds since 1970.
    pub written_at_ms: u64,
    /// Time since boot at which this process first saw the claim.
    pub first_seen_at: Duration,
    /// Whether the request ran, and the number of the object that says so; `None` without outcome.
    pub ended: Option<(Ran, u64)>,
}

impl KeyState {
    /// Whether a new claim of the key may be granted.
    fn is_free(&self) -> bool {
        matches!(self.ended, Some((Ran::NotRun, _)))
    }
}

/// Keys of a shard by the entries read so far. The same entries always give the same index.
#[derive(Debug, Default)]
pub struct Index {
    keys: HashMap<KeyDigest, KeyState>,
    /// Keys in the order in which they were seen, to forget them after the retention.
    seen: VecDeque<(Duration, KeyDigest)>,
}

impl Index {
    /// What is known of a key.
    pub fn get(&self, key: &KeyDigest) -> Option<&KeyState> {
        self.keys.get(key)
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Whether a new claim of the key may be granted.
    pub fn is_free(&self, key: &KeyDigest) -> bool {
        self.keys.get(key).is_none_or(KeyState::is_free)
    }

    /// Takes in the object with this number, first seen at `now` since boot.
    pub fn apply(&mut self, number: u64, batch: &ClaimBatch, now: Duration) {
        for entry in &batch.entries {
            self.apply_entry(number, entry, now);
        }
    }

    /// Forgets keys first seen before `horizon`.
    pub fn forget_before(&mut self, horizon: Duration) {
        while self.seen.front().is_some_and(|(at, _)| *at < horizon) {
            let Some((at, key)) = self.seen.pop_front() else { return };
            if self.keys.get(&key).is_some_and(|state| state.first_seen_at == at) {
                self.keys.remove(&key);
            }
        }
    }

    fn apply_entry(&mut self, number: u64, entry: &ClaimEntry, now: Duration) {
        let Ok(key) = KeyDigest::try_from(entry.key_digest.as_slice()) else { return };
        let Ok(claim_id) = ClaimId::try_from(entry.claim_id.as_slice()) else { return };
        match &entry.body {
            Some(Body::Claimed(claimed)) => {
                self.apply_claim((key, claim_id), entry.written_at_ms, claimed, now);
            }
            Some(Body::Outcome(outcome)) => self.apply_outcome((key, claim_id), number, outcome),
            None => {}
        }
    }

    /// The first claim of a free key counts; any other is void.
    fn apply_claim(
        &mut self,
        (key, claim_id): (KeyDigest, ClaimId),
        written_at_ms: u64,
        claimed: &Claimed,
        now: Duration,
    ) {
        let known = self.keys.get(&key);
        if known
            .is_some_and(|state| !state.is_free() || state.request_digest != claimed.request_digest)
        {
            return;
        }
        let state = KeyState {
            claim_id,
            request_id: claimed.request_id.clone(),
            request_digest: claimed.request_digest.clone(),
            time_allowed: Duration::from_millis(claimed.time_allowed_ms),
            written_at_ms,
            first_seen_at: now,
            ended: None,
        };
        self.keys.insert(key, state);
        self.seen.push_back((now, key));
    }

    /// The first outcome of a claim counts, but "ran" replaces "unknown".
    fn apply_outcome(
        &mut self,
        (key, claim_id): (KeyDigest, ClaimId),
        number: u64,
        outcome: &Outcome,
    ) {
        let Some(state) = self.keys.get_mut(&key) else { return };
        if state.claim_id != claim_id {
            return;
        }
        let ran = ran_of(outcome);
        let counts = match state.ended {
            None => true,
            Some((Ran::Unknown, _)) => ran == Ran::Ran,
            Some(_) => false,
        };
        if counts {
            state.ended = Some((ran, number));
        }
    }
}
