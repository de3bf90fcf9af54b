//! Trials of blamed causes, which objects of the platform keep account of for the whole fleet.

use crate::forwarding::milliseconds;
use serde::{Deserialize, Serialize};
use skylarkpick_interface::{CrashCause, ObjectStore, RequestNumber, WriteError};
use skylarkpick_schedule::EVIDENCE_LIFETIME;
use std::{collections::BTreeMap, time::Duration};

/// Objects in which trials are claimed. Parts that share one only try less often.
const TRIAL_SLOTS: u64 = 16;
/// Trials of one request while the evidence against it lasts. The users allow as many sends.
const REQUEST_TRIALS_LIMIT: u32 = 3;
/// Requests whose trials one object keeps account of. Further ones are not tried.
const REQUESTS_LIMIT: usize = 64;

/// Whether a process may try a cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrialClaim {
    /// It may, and no other one.
    Claimed,
    /// Not now: another process tries it, or has recently.
    Recent,
    /// No process may, as long as the evidence lasts.
    UsedUp,
}

/// A cause that is to be tried.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub(super) cause: CrashCause,
    /// Time between two trials.
    pub(super) pause: Duration,
    /// Wall-clock time in Unix milliseconds of the first end that speaks against it.
    pub(super) first_end_ms: u64,
}

/// Last trials, as an object of the platform has them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct TrialRecord {
    /// Part that was tried last, and when.
    part: String,
    began_at_ms: u64,
    /// Trials of requests. Earlier versions have none.
    #[serde(default)]
    requests: BTreeMap<String, RequestTrials>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct RequestTrials {
    /// Start of the last one.
    began_at_ms: u64,
    count: u32,
}

impl TrialRecord {
    /// Adds a trial if it may begin.
    pub(super) fn claim(&mut self, trial: &Trial, now_ms: u64) -> TrialClaim {
        match trial.cause {
            CrashCause::Part(part) => {
                let part = number_text(part);
                if self.part == part && is_recent(self.began_at_ms, trial.pause, now_ms) {
                    return TrialClaim::Recent;
                }
                (self.part, self.began_at_ms) = (part, now_ms);
                TrialClaim::Claimed
            }
            CrashCause::Request(request) => self.claim_request(request, trial, now_ms),
        }
    }

    fn claim_request(&mut self, request: RequestNumber, trial: &Trial, now_ms: u64) -> TrialClaim {
        self.requests.retain(|_, it| is_recent(it.began_at_ms, EVIDENCE_LIFETIME, now_ms));
        let name = number_text(request);
        // Trials before the first end were answered.
        let last = self.requests.get(&name).filter(|it| it.began_at_ms >= trial.first_end_ms);
        let count = last.map_or(0, |it| it.count);
        if count >= REQUEST_TRIALS_LIMIT {
            return TrialClaim::UsedUp;
        }
        let is_too_early = last.is_some_and(|it| is_recent(it.began_at_ms, trial.pause, now_ms));
        let is_full = self.requests.len() >= REQUESTS_LIMIT && !self.requests.contains_key(&name);
        if is_too_early || is_full {
            return TrialClaim::Recent;
        }
        self.requests.insert(name, RequestTrials { began_at_ms: now_ms, count: count + 1 });
        TrialClaim::Claimed
    }
}

/// Claims a trial in an object of the platform.
pub(super) async fn claim_trial(
    objects: &dyn ObjectStore,
    trial: &Trial,
    now_ms: u64,
) -> Result<TrialClaim, String> {
    let key = format!("trials/{}", trial.cause.number() % TRIAL_SLOTS);
    let found = objects.get(&key).await.map_err(|error| error.to_string())?;
    let last = found.as_ref().and_then(|it| serde_json::from_slice::<TrialRecord>(&it.value).ok());
    let mut record = last.unwrap_or_default();
    let claim = record.claim(trial, now_ms);
    if claim != TrialClaim::Claimed {
        return Ok(claim);
    }
    let value = serde_json::to_vec(&record).map_err(|error| error.to_string())?;
    match objects.put(&key, found.map(|it| it.version), value).await {
        Ok(_) => Ok(TrialClaim::Claimed),
        Err(WriteError::Conflict { .. }) => Ok(TrialClaim::Recent),
        Err(error) => Err(error.to_string()),
    }
}

fn is_recent(began_at_ms: u64, pause: Duration, now_ms: u64) -> bool {
    now_ms < began_at_ms.saturating_add(milliseconds(pause))
}

fn number_text(number: u64) -> String {
    format!("{number:016x}")
}
