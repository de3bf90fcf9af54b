//! Evidence from the ends of targets, of this process and of others.

use super::{
    answered::AnsweredCauses,
    verdict::{CrashVerdict, MOMENT_MS, SUSPECT_CRASHES, Verdicts, judge, milliseconds},
};
use skylarkpick_interface::{CrashCause, CrashReport, RequestNumber, TargetCrash, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// Ends that are kept, mostly at less than 1 KB each.
const CRASHES_LIMIT: usize = 256;
/// Parts, and requests, that are kept of one end. A target runs up to 64 requests at once, few of which
/// it has just begun to answer.
const CAUSES_LIMIT: usize = 64;
/// Ends, parts answered since and requests answered since in the report of one process.
const REPORT_LIMIT: usize = 32;
/// Time after which an end is forgotten.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(60 * 60);
const LIFETIME_MS: u64 = EVIDENCE_LIFETIME.as_secs() * 1_000;
/// Greatest difference between wall clocks of processes, by which a send may be later than it is
/// dated.
const CLOCK_MARGIN_MS: u64 = 100;

/// Difference between the times of two answers from which one process more need not tell the second.
const SAME_ANSWER_MS: u64 = 1_000;

/// A start of a target.
type TargetStart = (TargetId, u64);

/// Ends of targets, with the requests that they were about to answer and the parts of their prompts. All
/// times are wall-clock times in Unix milliseconds.
///
/// Merging is commutative and idempotent, so that reports may arrive in any order, and again.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<TargetStart, KnownCrash>,
    answered: AnsweredCauses,
    /// What was answered after ends that counted against it; told to others.
    cleared: BTreeMap<CrashCause, Cleared>,
    verdicts: Verdicts,
    /// Times until which this process tries a cause no more.
    trials: BTreeMap<CrashCause, u64>,
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
    /// Records an end of a target that this process has seen now. Returns whether anything of it was
    /// not known yet.
    ///
    /// ```
    /// use skylarkpick_interface::{CrashCause, TargetCrash};
    /// use skylarkpick_schedule::{CrashEvidence, CrashVerdict};
    /// let (bad, sound) = (CrashCause::Part(7), CrashCause::Part(8));
    /// let mut evidence = CrashEvidence::default();
    /// for (target, ended_at_ms) in [("i-1", 1_000), ("i-2", 2_000), ("i-3", 3_000)] {
    ///     evidence.note_crash(&TargetCrash {
    ///         target: target.to_string(),
    ///         started_at_ms: 0,
    ///         ended_at_ms,
    ///         parts: [(7, 1), (8, 0)].into(),
    ///         requests: [].into(),
    ///     });
    ///     evidence.note_answer(&[sound], ended_at_ms + 100);
    /// }
    /// let verdict = evidence.verdict(&[bad], 4_000);
    /// assert!(matches!(verdict, CrashVerdict::Blamed { cause, .. } if cause == bad));
    /// assert_eq!(evidence.verdict(&[sound], 4_000), CrashVerdict::Free);
    /// ```
    pub fn note_crash(&mut self, crash: &TargetCrash) -> bool {
        let is_new = self.add(crash, true, false, crash.ended_at_ms);
        self.judge(crash.ended_at_ms);
        is_new
    }

    /// Returns a time before which a request that is sent now was not sent, by the clocks of all
    /// processes.
    ///
    /// ```
    /// assert!(skylarkpick_schedule::CrashEvidence::default().sent_after_ms(7, 1_000) < 1_000);
    /// ```
    pub fn sent_after_ms(&self, request: RequestNumber, now_ms: u64) -> u64 {
        let cause = CrashCause::Request(request);
        let known_ms = self.ends_of(cause).map(|crash| crash.ended_at_ms).max();
        known_ms.unwrap_or(0).min(now_ms).max(now_ms.saturating_sub(CLOCK_MARGIN_MS))
    }

    /// Returns the time of the first end that counts against a part or request.
    ///
    /// ```
    /// use skylarkpick_interface::CrashCause;
    /// let evidence = skylarkpick_schedule::CrashEvidence::default();
    /// assert_eq!(evidence.first_end_ms(CrashCause::Part(7)), None);
    /// ```
    pub fn first_end_ms(&self, cause: CrashCause) -> Option<u64> {
        self.ends_of(cause).map(|crash| crash.ended_at_ms).min()
    }

    /// Returns whether an end counts against one of these.
    ///
    /// ```
    /// use skylarkpick_interface::CrashCause;
    /// let evidence = skylarkpick_schedule::CrashEvidence::default();
    /// assert!(!evidence.has_ends_of(&[CrashCause::Part(7)]));
    /// ```
    pub fn has_ends_of(&self, causes: &[CrashCause]) -> bool {
        causes.iter().any(|cause| self.ends_of(*cause).next().is_some())
    }

    /// Records a whole response to a request with these causes. Returns whether other processes should
    /// know, since it clears one.
    pub fn note_answer(&mut self, causes: &[CrashCause], now_ms: u64) -> bool {
        let mut is_told = false;
        for cause in causes {
            let ends = self.ends_of(*cause).count();
            self.answered.note(*cause, now_ms);
            let cleared = self.clear(*cause, now_ms);
            // Nobody needs to know of a request that mostly comes only once.
            let is_repeated = self.answered.is_repeated(*cause) || ends >= SUSPECT_CRASHES;
            if let (Some(is_recorded), true) = (cleared, is_repeated) {
                is_told = true;
                self.answered.note_repeated(*cause, now_ms);
                let cleared = Cleared { at_ms: now_ms, is_own: true, is_recorded };
                self.cleared.insert(*cause, cleared);
            }
        }
        if is_told {
            self.judge(now_ms);
        }
        is_told
    }

    /// Adds what a process tells. Returns whether anything was new.
    pub fn merge(&mut self, report: &CrashReport, source: ReportSource, now_ms: u64) -> bool {
        let is_own = source == ReportSource::OwnRegistration;
        let is_recorded = source != ReportSource::Process;
        let mut is_changed = false;
        let parts = report.answered_at_ms.iter().take(REPORT_LIMIT);
        let parts = parts.map(|(part, at_ms)| (CrashCause::Part(*part), *at_ms));
        let requests = report.answered_requests_at_ms.iter().take(REPORT_LIMIT);
        let requests = requests.map(|(request, at_ms)| (CrashCause::Request(*request), *at_ms));
        for (cause, at_ms) in parts.chain(requests) {
            let at_ms = at_ms.min(now_ms);
            let new = Cleared { at_ms: 0, is_own, is_recorded };
            let known = self.cleared.entry(cause).or_insert(new);
            if known.at_ms < at_ms {
                *known = Cleared { at_ms, is_own, is_recorded };
                self.answered.note_repeated(cause, at_ms);
                self.clear(cause, at_ms);
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

    /// Returns what this process has the platform keep: what it has seen of suspected and blamed causes, or
    /// could not tell others directly, and what counts against blamed ones that it keeps the evidence of.
    pub fn record(&self, keeps: impl Fn(CrashCause) -> bool) -> CrashReport {
        let is_kept = |known: &&KnownCrash| {
            let mut causes = known.crash.causes();
            known.is_own && (known.is_recorded || self.is_basis(&known.crash))
                || causes.any(|cause| self.is_blamed(cause) && keeps(cause))
        };
        let crashes = self.crashes.values().filter(is_kept);
        let is_needed = |(_, it): &(&CrashCause, &Cleared)| it.is_own && it.is_recorded;
        self.bounded_report(crashes, self.cleared.iter().filter(is_needed))
    }

    fn bounded_report<'a>(
        &self,
        crashes: impl Iterator<Item = &'a KnownCrash>,
        cleared: impl Iterator<Item = (&'a CrashCause, &'a Cleared)>,
    ) -> CrashReport {
        let crashes = crashes.map(|known| &known.crash);
        let mut crashes: Vec<&TargetCrash> =
            crashes.filter(|crash| crash.causes().next().is_some()).collect();
        crashes.sort_by_key(|crash| std::cmp::Reverse((self.is_basis(crash), crash.ended_at_ms)));
        let mut answered: Vec<(CrashCause, u64)> =
            cleared.map(|(cause, cleared)| (*cause, cleared.at_ms)).collect();
        answered.sort_by_key(|(_, at_ms)| std::cmp::Reverse(*at_ms));
        let parts = answered.iter().filter_map(|(cause, at_ms)| match cause {
            CrashCause::Part(part) => Some((*part, *at_ms)),
            CrashCause::Request(_) => None,
        });
        let requests = answered.iter().filter_map(|(cause, at_ms)| match cause {
            CrashCause::Request(request) => Some((*request, *at_ms)),
            CrashCause::Part(_) => None,
        });
        CrashReport {
            crashes: crashes.into_iter().take(REPORT_LIMIT).cloned().collect(),
            answered_at_ms: parts.take(REPORT_LIMIT).collect(),
            answered_requests_at_ms: requests.take(REPORT_LIMIT).collect(),
        }
    }

    /// Records that some process could not be told directly what this one has seen, so that the platform
    /// has to keep the ends that speak against a cause without any whole response.
    pub fn note_untold(&mut self) {
        let answered = &self.answered;
        for known in self.crashes.values_mut().filter(|known| known.is_own) {
            let mut causes = known.crash.causes();
            known.is_recorded |= causes.any(|cause| answered.last_ms(cause).is_none());
        }
    }

    /// Judges a request by what may be the reason why it ends targets: itself, or a shared part of its
    /// prompt.
    pub fn verdict(&self, causes: &[CrashCause], now_ms: u64) -> CrashVerdict {
        let blamed = causes.iter().filter_map(|cause| {
            let times = self.verdicts.blamed.get(cause)?;
            let tried_until_ms = self.trials.get(cause).copied().unwrap_or(0);
            Some((times.due_at_ms.max(tried_until_ms), *cause, times.pause))
        });
        if let Some((due_at_ms, cause, trial_pause)) = blamed.max() {
            let until_trial = Duration::from_millis(due_at_ms.saturating_sub(now_ms));
            return CrashVerdict::Blamed { cause, until_trial, trial_pause };
        }
        let suspect = causes.iter().find(|cause| self.verdicts.suspects.contains(cause));
        suspect.map_or(CrashVerdict::Free, |cause| CrashVerdict::Suspect(*cause))
    }

    /// Records that a request with a blamed cause is tried, here or elsewhere. This process tries no
    /// further one before `pause` has passed, whatever becomes of it.
    pub fn note_trial(&mut self, cause: CrashCause, pause: Duration, now_ms: u64) {
        self.trials.insert(cause, now_ms.saturating_add(milliseconds(pause)));
    }

    /// Returns what is blamed.
    pub fn blamed(&self) -> impl Iterator<Item = CrashCause> + '_ {
        self.verdicts.blamed.keys().copied()
    }

    fn is_blamed(&self, cause: CrashCause) -> bool {
        self.verdicts.blamed.contains_key(&cause)
    }

    /// Returns the ends that count against a part or request.
    fn ends_of(&self, cause: CrashCause) -> impl Iterator<Item = &TargetCrash> {
        let crashes = self.crashes.values().map(|known| &known.crash);
        crashes.filter(move |crash| crash.has_cause(cause))
    }

    /// Returns whether an end counts against a suspected or blamed cause.
    fn is_basis(&self, crash: &TargetCrash) -> bool {
        let is_named = |cause| self.is_blamed(cause) || self.verdicts.suspects.contains(&cause);
        crash.causes().any(is_named)
    }

    /// Adds an end, without what was answered since. Returns whether anything was new.
    fn add(&mut self, crash: &TargetCrash, is_own: bool, is_recorded: bool, now_ms: u64) -> bool {
        // A clock that is ahead must not outlast the answers that clear its evidence.
        let ended_at_ms = crash.ended_at_ms.min(now_ms);
        let is_open = |cause| {
            let cleared = self.cleared.get(&cause).map(|it| it.at_ms);
            cleared.max(self.answered.last_ms(cause)).is_none_or(|at_ms| at_ms < ended_at_ms)
        };
        let parts = crash.parts.iter().filter(|(part, _)| is_open(CrashCause::Part(**part)));
        let parts: Vec<_> = parts.map(|(part, depth)| (*part, *depth)).collect();
        let requests = crash.requests.iter();
        let requests = requests.filter(|(request, _)| is_open(CrashCause::Request(**request)));
        let requests: Vec<_> =
            requests.map(|(request, at_ms)| (*request, ended_at_ms.min(*at_ms))).collect();
        let is_explained = parts.is_empty() && requests.is_empty();
        if is_explained || ended_at_ms.saturating_add(LIFETIME_MS) < now_ms {
            return false;
        }
        let key = (crash.target.clone(), crash.started_at_ms);
        let known = self.crashes.entry(key).or_insert_with(|| KnownCrash {
            crash: TargetCrash {
                target: crash.target.clone(),
                started_at_ms: crash.started_at_ms,
                ended_at_ms,
                parts: BTreeMap::new(),
                requests: BTreeMap::new(),
            },
            is_own,
            is_recorded,
        });
        // The first process that saw it, unless a clock is far off.
        if known.crash.ended_at_ms.saturating_sub(ended_at_ms) < MOMENT_MS {
            known.crash.ended_at_ms = known.crash.ended_at_ms.min(ended_at_ms);
        }
        known.is_recorded |= is_recorded;
        let mut is_new = is_own && !known.is_own;
        known.is_own |= is_own;
        for (part, depth) in parts {
            if known.crash.parts.len() < CAUSES_LIMIT {
                is_new |= known.crash.parts.insert(part, depth).is_none();
            }
        }
        let known = &mut known.crash.requests;
        for (request, sent_after_ms) in requests {
            if let Some(known_ms) = known.get_mut(&request) {
                is_new |= *known_ms < sent_after_ms;
                *known_ms = sent_after_ms.max(*known_ms);
            } else if known.len() < CAUSES_LIMIT {
                is_new |= known.insert(request, sent_after_ms).is_none();
            }
        }
        is_new
    }

    /// Removes a cause from the ends up to a time. Returns `None` if it counted against none, else whether
    /// the platform may have some of them.
    fn clear(&mut self, cause: CrashCause, at_ms: u64) -> Option<bool> {
        let mut cleared = None;
        for KnownCrash { crash, is_recorded, .. } in self.crashes.values_mut() {
            if crash.ended_at_ms <= at_ms && crash.remove_cause(cause) {
                cleared = Some(cleared.unwrap_or(false) || *is_recorded);
            }
        }
        cleared
    }

    fn judge(&mut self, now_ms: u64) {
        self.crashes.retain(|_, KnownCrash { crash, .. }| {
            crash.causes().next().is_some() && crash.ended_at_ms + LIFETIME_MS >= now_ms
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
            let Some(cause) = oldest.map(|(cause, _)| *cause) else { break };
            self.cleared.remove(&cause);
        }
        let crashes = self.crashes.values().map(|known| &known.crash);
        self.verdicts = judge(crashes, &self.answered);
    }
}
