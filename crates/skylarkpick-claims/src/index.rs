//! The state of each key according to the entries of a shard.

use crate::claim::{ClaimId, KeyDigest, Ran, ran_of};
use skylarkpick_interface::RequestId;
use skylarkpick_protocol::stored::{ClaimBatch, ClaimEntry, Claimed, Outcome, claim_entry::Body};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// State of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyState {
    /// Current claim of the key.
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
    /// Whether the request ran, and the number of the object that holds the outcome; `None` while
    /// there is no outcome.
    pub ended: Option<(Ran, u64)>,
}

impl KeyState {
    /// Returns whether a new claim of the key may be granted.
    fn is_free(&self) -> bool {
        matches!(self.ended, Some((Ran::NotRun, _)))
    }
}

/// Keys of a shard. Determined by the log alone: processes that applied the same objects agree on
/// every claim and outcome.
#[derive(Debug, Default)]
pub struct Index {
    keys: HashMap<KeyDigest, KeyState>,
    /// Keys in the order in which they were first seen, which is the order in which they expire.
    expiry_queue: VecDeque<(Duration, KeyDigest)>,
}

impl Index {
    /// Returns the state of a key.
    pub fn get(&self, key: &KeyDigest) -> Option<&KeyState> {
        self.keys.get(key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns whether a new claim of the key may be granted.
    pub fn is_free(&self, key: &KeyDigest) -> bool {
        self.keys.get(key).is_none_or(KeyState::is_free)
    }

    /// Applies the object with this number, first seen at `now` since boot.
    pub fn apply(&mut self, number: u64, batch: &ClaimBatch, now: Duration) {
        for entry in &batch.entries {
            self.apply_entry(number, entry, now);
        }
    }

    /// Removes keys that were first seen before `horizon`.
    pub fn forget_before(&mut self, horizon: Duration) {
        while self.expiry_queue.front().is_some_and(|(at, _)| *at < horizon) {
            let Some((at, key)) = self.expiry_queue.pop_front() else { return };
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

    /// Applies a claim. Only the first claim of a free key counts; any other is ignored.
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
        self.expiry_queue.push_back((now, key));
    }

    /// Applies an outcome. The first outcome of a claim counts, except that `Ran` replaces
    /// `Unknown`.
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
