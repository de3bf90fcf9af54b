//! Evidence from the ends of targets, of this process and of others.

use super::{
    answered::AnsweredParts,
    verdict::{PartVerdict, Verdicts, judge, milliseconds},
};
use skylarkpick_interface::{CrashReport, PartDepth, PartNumber, TargetCrash, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// Ends that are kept, at about 600 bytes each.
const CRASHES_LIMIT: usize = 256;
/// Parts that are kept of one end. A target runs up to 64 requests at once, few of which it has just
/// begun to answer.
const PARTS_LIMIT: usize = 64;
/// Ends, and parts answered since, in the report of one process. With 360 processes and all of them
/// full, the platform holds some 8 MB.
const REPORT_LIMIT: usize = 32;
/// Time after which an end is forgotten.
const LIFETIME_MS: u64 = 60 * 60 * 1_000;

/// Difference between the times of two answers from which one process more need not tell the second.
const SAME_ANSWER_MS: u64 = 1_000;

/// A start of a target.
type TargetStart = (TargetId, u64);

/// Ends of targets and the parts of prompts that they were about to answer. All times are wall-clock
/// times in Unix milliseconds.
///
/// Merging is commutative and idempotent, so that reports may arrive in any order, and again.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<TargetStart, KnownCrash>,
    answered: AnsweredParts,
    /// Parts that were answered after ends that counted against them; told to others.
    cleared: BTreeMap<PartNumber, Cleared>,
    verdicts: Verdicts,
    /// Trials that this process has begun, by part.
    trials: BTreeMap<PartNumber, u64>,
}

#[derive(Clone, Debug)]
struct KnownCrash {
    crash: TargetCrash,
    /// Whether this process has seen it.
    is_own: bool,
    /// Whether some process could not be told of it directly, or the platform has it.
    is_recorded: bool,
}

#[derive(Clone, Copy, Debug)]
struct Cleared {
    at_ms: u64,
    is_own: bool,
    /// Whether it cleared ends that the platform may have.
    is_recorded: bool,
}

/// Where a report comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportSource {
    /// A message of another process.
    Process,
    /// The registration of another process.
    Registration,
    /// The registration of this process, from before its last start.
    OwnRegistration,
}

impl CrashEvidence {
    /// Records that a target has ended while it may have begun to answer a request with these parts.
    /// Returns whether that was not known yet.
    ///
    /// ```
    /// use skylarkpick_schedule::{CrashEvidence, PartVerdict};
    /// use std::collections::BTreeMap;
    /// let mut evidence = CrashEvidence::default();
    /// for (target, at_ms) in [("i-1", 1_000), ("i-2", 2_000), ("i-3", 3_000)] {
    ///     evidence.note_crash(target, 0, at_ms, &BTreeMap::from([(7, 1), (8, 0)]));
    ///     evidence.note_answer(&[8], at_ms + 100);
    /// }
    /// assert!(matches!(evidence.verdict(&[7], 4_000), PartVerdict::Blamed { part: 7, .. }));
    /// assert_eq!(evidence.verdict(&[8], 4_000), PartVerdict::Free);
    /// ```
    pub fn note_crash(
        &mut self,
        target: &str,
        started_at_ms: u64,
        now_ms: u64,
        parts: &BTreeMap<PartNumber, PartDepth>,
    ) -> bool {
        let crash = TargetCrash {
            target: target.to_string(),
            started_at_ms,
            ended_at_ms: now_ms,
            parts: parts.clone(),
        };
        let is_new = self.add(&crash, true, false, now_ms);
        self.judge(now_ms);
        is_new
    }

    /// Records a whole response to a prompt with these parts. Returns whether other processes should
    /// know, since it clears a part.
    pub fn note_answer(&mut self, parts: &[PartNumber], now_ms: u64) -> bool {
        let mut is_cleared = false;
        for part in parts {
            self.answered.note(*part, now_ms);
            if let Some(is_recorded) = self.clear(*part, now_ms) {
                is_cleared = true;
                let cleared = Cleared { at_ms: now_ms, is_own: true, is_recorded };
                self.cleared.insert(*part, cleared);
            }
        }
        if is_cleared {
            self.judge(now_ms);
        }
        is_cleared
    }

    /// Adds what a process tells. Returns whether anything was new.
    pub fn merge(&mut self, report: &CrashReport, source: ReportSource, now_ms: u64) -> bool {
        let is_own = source == ReportSource::OwnRegistration;
        let is_recorded = source != ReportSource::Process;
        let mut is_changed = false;
        for (part, at_ms) in report.answered_at_ms.iter().take(REPORT_LIMIT) {
            let at_ms = (*at_ms).min(now_ms);
            let new = Cleared { at_ms: 0, is_own, is_recorded };
            let known = self.cleared.entry(*part).or_insert(new);
            if known.at_ms < at_ms {
                *known = Cleared { at_ms, is_own, is_recorded };
                self.answered.note(*part, at_ms);
                self.clear(*part, at_ms);
                is_changed = true;
            } else if !is_own && known.at_ms - at_ms < SAME_ANSWER_MS {
                known.is_own = false;
            }
        }
        for crash in report.crashes.iter().take(REPORT_LIMIT) {
            is_changed |= self.add(crash, is_own, is_recorded, now_ms);
        }
        if is_changed {
            self.judge(now_ms);
        }
        is_changed
    }

    /// Returns what this process tells others: what it has seen.
    pub fn report(&self) -> CrashReport {
        let crashes = self.crashes.values().filter(|known| known.is_own);
        let cleared = self.cleared.iter().filter(|(_, cleared)| cleared.is_own);
        self.bounded_report(crashes, cleared)
    }

    /// Returns what this process has the platform keep: what it has seen of suspected and blamed parts, or
    /// could not tell others directly, and what counts against blamed parts that it keeps the
    /// evidence of.
    pub fn record(&self, keeps: impl Fn(PartNumber) -> bool) -> CrashReport {
        let is_kept = |known: &&KnownCrash| {
            let mut parts = known.crash.parts.keys();
            known.is_own && (known.is_recorded || self.is_basis(&known.crash))
                || parts.any(|part| self.is_blamed(*part) && keeps(*part))
        };
        let crashes = self.crashes.values().filter(is_kept);
        let is_needed = |(_, it): &(&PartNumber, &Cleared)| it.is_own && it.is_recorded;
        self.bounded_report(crashes, self.cleared.iter().filter(is_needed))
    }

    fn bounded_report<'a>(
        &self,
        crashes: impl Iterator<Item = &'a KnownCrash>,
        cleared: impl Iterator<Item = (&'a PartNumber, &'a Cleared)>,
    ) -> CrashReport {
        let mut crashes: Vec<&TargetCrash> = crashes.map(|known| &known.crash).collect();
        crashes.sort_by_key(|crash| std::cmp::Reverse((self.is_basis(crash), crash.ended_at_ms)));
        let mut answered: Vec<(PartNumber, u64)> =
            cleared.map(|(part, cleared)| (*part, cleared.at_ms)).collect();
        answered.sort_by_key(|(_, at_ms)| std::cmp::Reverse(*at_ms));
        CrashReport {
            crashes: crashes.into_iter().take(REPORT_LIMIT).cloned().collect(),
            answered_at_ms: answered.into_iter().take(REPORT_LIMIT).collect(),
        }
    }

    /// Records that some process could not be told directly what this one has seen, so that the platform
    /// has to keep the ends that speak against a part without any whole response.
    pub fn note_untold(&mut self) {
        let answered = &self.answered;
        for known in self.crashes.values_mut().filter(|known| known.is_own) {
            let mut parts = known.crash.parts.keys();
            known.is_recorded |= parts.any(|part| answered.last_ms(*part).is_none());
        }
    }

    /// Judges a request by the shared parts of its prompt.
    pub fn verdict(&self, parts: &[PartNumber], now_ms: u64) -> PartVerdict {
        let blamed = parts.iter().filter_map(|part| {
            let times = self.verdicts.blamed.get(part)?;
            let tried_until_ms = self.trials.get(part).copied().unwrap_or(0);
            Some((times.due_at_ms.max(tried_until_ms), *part, times.pause))
        });
        if let Some((due_at_ms, part, trial_pause)) = blamed.max() {
            let until_trial = Duration::from_millis(due_at_ms.saturating_sub(now_ms));
            return PartVerdict::Blamed { part, until_trial, trial_pause };
        }
        let suspect = parts.iter().find(|part| self.verdicts.suspects.contains(part));
        suspect.map_or(PartVerdict::Free, |part| PartVerdict::Suspect(*part))
    }

    /// Records that a request with a blamed part is tried, here or elsewhere. This process tries no
    /// further one before `pause` has passed, whatever becomes of it.
    pub fn note_trial(&mut self, part: PartNumber, pause: Duration, now_ms: u64) {
        self.trials.insert(part, now_ms.saturating_add(milliseconds(pause)));
    }

    /// Returns the blamed parts.
    pub fn blamed(&self) -> impl Iterator<Item = PartNumber> + '_ {
        self.verdicts.blamed.keys().copied()
    }

    fn is_blamed(&self, part: PartNumber) -> bool {
        self.verdicts.blamed.contains_key(&part)
    }

    /// Returns whether an end counts against a suspected or blamed part.
    fn is_basis(&self, crash: &TargetCrash) -> bool {
        let is_named = |part| self.is_blamed(part) || self.verdicts.suspects.contains(&part);
        crash.parts.keys().any(|part| is_named(*part))
    }

    /// Adds an end, without the parts that were answered since. Returns whether anything was new.
    fn add(&mut self, crash: &TargetCrash, is_own: bool, is_recorded: bool, now_ms: u64) -> bool {
        // A clock that is ahead must not outlast the answers that clear its evidence.
        let ended_at_ms = crash.ended_at_ms.min(now_ms);
        let is_open = |(part, _): &(&PartNumber, &PartDepth)| {
            let cleared = self.cleared.get(part).map(|it| it.at_ms);
            cleared.max(self.answered.last_ms(**part)).is_none_or(|at_ms| at_ms < ended_at_ms)
        };
        let parts: BTreeMap<PartNumber, PartDepth> =
            crash.parts.iter().filter(is_open).map(|(part, depth)| (*part, *depth)).collect();
        if parts.is_empty() || ended_at_ms.saturating_add(LIFETIME_MS) < now_ms {
            return false;
        }
        let key = (crash.target.clone(), crash.started_at_ms);
        let known = self.crashes.entry(key).or_insert_with(|| KnownCrash {
            crash: TargetCrash { ended_at_ms, parts: BTreeMap::new(), ..crash.clone() },
            is_own,
            is_recorded,
        });
        known.is_recorded |= is_recorded;
        let mut is_new = is_own && !known.is_own;
        known.is_own |= is_own;
        for (part, depth) in parts {
            if known.crash.parts.len() < PARTS_LIMIT {
                is_new |= known.crash.parts.insert(part, depth).is_none();
            }
        }
        is_new
    }

    /// Removes a part from the ends up to a time. Returns `None` if it counted against none, else whether
    /// the platform may have some of them.
    fn clear(&mut self, part: PartNumber, at_ms: u64) -> Option<bool> {
        let mut cleared = None;
        for KnownCrash { crash, is_recorded, .. } in self.crashes.values_mut() {
            if crash.ended_at_ms <= at_ms && crash.parts.remove(&part).is_some() {
                cleared = Some(cleared.unwrap_or(false) || *is_recorded);
            }
        }
        cleared
    }

    fn judge(&mut self, now_ms: u64) {
        self.crashes.retain(|_, KnownCrash { crash, .. }| {
            !crash.parts.is_empty() && crash.ended_at_ms + LIFETIME_MS >= now_ms
        });
        self.cleared.retain(|_, cleared| cleared.at_ms + LIFETIME_MS >= now_ms);
        self.trials.retain(|_, until_ms| now_ms < *until_ms);
        while self.crashes.len() > CRASHES_LIMIT {
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, known)| (self.is_basis(&known.crash), known.crash.ended_at_ms));
            let Some(key) = oldest.map(|(key, _)| key.clone()) else { break };
            self.crashes.remove(&key);
        }
        while self.cleared.len() > CRASHES_LIMIT {
            let oldest = self.cleared.iter().min_by_key(|(_, cleared)| cleared.at_ms);
            let Some(part) = oldest.map(|(part, _)| *part) else { break };
            self.cleared.remove(&part);
        }
        let crashes = self.crashes.values().map(|known| &known.crash);
        self.verdicts = judge(crashes, &self.answered);
    }
}
