//! Judges parts of prompts and requests by the ends of targets.

use super::answered::AnsweredCauses;
use crate::placement::rendezvous_weight;
use skylarkpick_interface::{CrashCause, PartNumber, RegisteredEntry, TargetCrash};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Ends of targets within this time count once: a fault that ends many targets together says little
/// about what they ran. Covers the differences between wall clocks of processes.
pub(super) const MOMENT_MS: u64 = 250;
/// Time in which targets that end together have ended, so that a request that is sent after the first
/// end reaches none of them.
const TOGETHER_MS: u64 = 20;
/// Number of moments from which a cause is blamed. The users allow three ended targets for a request,
/// and five for a part.
const BLAME_MOMENTS: usize = 3;
/// The same for a cause that was answered before the first of them.
const ANSWERED_BLAME_MOMENTS: usize = 4;
/// Ends that a cause without any whole response is preferred by, when two explain the same ends.
const NEVER_ANSWERED_BONUS: usize = 2;
/// Number of ended targets from which a cause without any whole response is a suspect.
pub(super) const SUSPECT_CRASHES: usize = 2;
/// Ends of targets up to which a blamed cause is tried again soon: the evidence is weak.
const WEAK_CRASHES: usize = 4;
/// Time between the last end of a target and a trial of a cause with weak evidence.
const WEAK_TRIAL_PAUSE: Duration = Duration::from_secs(5);
/// The same for a cause with more. Doubles with each moment beyond those for a blame.
const TRIAL_PAUSE: Duration = Duration::from_secs(60);
/// Longest time between two trials. Below the lifetime of evidence, so that a cause that goes on ending
/// targets stays blamed.
const TRIAL_PAUSE_LIMIT: Duration = Duration::from_secs(900);

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// Nothing speaks against it.
    Free,
    /// This may be why targets ended: requests with it go one at a time, and only once.
    Suspect(CrashCause),
    /// This is taken for the reason. After the time, one request may be tried.
    Blamed {
        /// The part or request.
        cause: CrashCause,
        /// Time until the next trial; zero if it is due.
        until_trial: Duration,
        /// Time between two trials, if the outcome of the first stays unknown.
        trial_pause: Duration,
    },
}

/// When a blamed cause is tried.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialTimes {
    /// Wall-clock time in Unix milliseconds from which it may be.
    pub(super) due_at_ms: u64,
    /// Time between two trials.
    pub(super) pause: Duration,
}

/// Judgement on all causes.
#[derive(Clone, Debug, Default)]
pub(super) struct Verdicts {
    pub(super) blamed: BTreeMap<CrashCause, TrialTimes>,
    pub(super) suspects: BTreeSet<CrashCause>,
}

/// Ends of targets, and the causes that have some which no other cause explains yet.
#[derive(Clone)]
struct OpenCrashes {
    /// Times of the ends, ascending.
    times_ms: Vec<u64>,
    causes: BTreeMap<CrashCause, OpenCause>,
}

#[derive(Clone)]
struct OpenCause {
    /// Of two causes of the same ends, the greater one is shared by fewer requests.
    specificity: u16,
    was_answered: bool,
    ends: Vec<CauseEnd>,
}

/// An end that counts against a cause.
#[derive(Clone, Copy)]
struct CauseEnd {
    /// Place in the list of times.
    index: usize,
    /// Time before which the request was not sent; unknown for the requests with a part.
    sent_after_ms: Option<u64>,
}

/// Judges the causes: the one that explains most ends is blamed for all of them, then the next, as
/// long as the ends that are left suffice. One that was never answered is blamed as well if all of its
/// ends suffice and others leave one of them open: else two causes with common ends would acquit each
/// other in turn. Suspects are found among the rest.
pub(super) fn judge<'a>(
    crashes: impl Iterator<Item = &'a TargetCrash>,
    answered: &AnsweredCauses,
) -> Verdicts {
    let mut open = OpenCrashes::of(crashes, answered);
    let all = open.clone();
    let mut blamed = Vec::new();
    while let Some(strongest) = open.take_strongest(OpenCrashes::blame_weight) {
        blamed.push(strongest);
    }
    blamed.extend(all.beside(&blamed));
    let mut rest = all;
    let mut verdicts = Verdicts::default();
    for (cause, explained) in blamed {
        let last_ms = explained.ends.last().map_or(0, |last| open.times_ms[last.index]);
        let pause = trial_pause(explained.ends.len(), open.moments(&explained));
        let due_at_ms = last_ms.saturating_add(milliseconds(pause));
        verdicts.blamed.insert(cause, TrialTimes { due_at_ms, pause });
        rest.causes.remove(&cause);
        // One request doesn't acquit its parts, which others may share.
        if matches!(cause, CrashCause::Part(_)) {
            rest.remove_ends(&explained.ends);
        }
    }
    verdicts.suspects = rest.take_suspected_requests();
    while let Some((part, _)) = rest.take_strongest(OpenCrashes::suspect_weight) {
        verdicts.suspects.insert(part);
    }
    verdicts
}

impl OpenCrashes {
    fn of<'a>(
        crashes: impl Iterator<Item = &'a TargetCrash>,
        answered: &AnsweredCauses,
    ) -> OpenCrashes {
        let mut crashes: Vec<&TargetCrash> = crashes.collect();
        crashes.sort_by_key(|crash| crash.ended_at_ms);
        let mut ends: Vec<(CrashCause, u16, CauseEnd)> = Vec::new();
        for (index, crash) in crashes.iter().enumerate() {
            for (part, depth) in &crash.parts {
                let end = CauseEnd { index, sent_after_ms: None };
                ends.push((CrashCause::Part(*part), u16::from(*depth), end));
            }
            for (request, sent_after_ms) in &crash.requests {
                let end = CauseEnd { index, sent_after_ms: Some(*sent_after_ms) };
                ends.push((CrashCause::Request(*request), u16::MAX, end));
            }
        }
        ends.sort_by_key(|(cause, _, end)| (*cause, end.index));
        // One end alone has no effect.
        let repeated = ends
            .chunk_by(|(first, ..), (second, ..)| first == second)
            .filter(|ends| ends.len() >= SUSPECT_CRASHES);
        let causes = repeated.filter_map(|ends| {
            let (cause, specificity, _) = *ends.first()?;
            let was_answered = answered.last_ms(cause).is_some();
            let ends = ends.iter().map(|(.., end)| *end).collect();
            Some((cause, OpenCause { specificity, was_answered, ends }))
        });
        OpenCrashes {
            times_ms: crashes.iter().map(|crash| crash.ended_at_ms).collect(),
            causes: causes.collect(),
        }
    }

    /// Takes the cause that weighs most, with the ends that it explains.
    fn take_strongest(
        &mut self,
        weight: impl Fn(&OpenCrashes, &OpenCause) -> Option<usize>,
    ) -> Option<(CrashCause, OpenCause)> {
        let weighed = self.causes.iter().filter_map(|(key, cause)| {
            let weight = weight(self, cause)?;
            Some(((weight, cause.ends.len(), cause.specificity, Reverse(*key)), *key))
        });
        let (_, strongest) = weighed.max()?;
        let explained = self.causes.remove(&strongest)?;
        self.remove_ends(&explained.ends);
        Some((strongest, explained))
    }

    /// Returns the causes that were never answered, suffice for blame and have an end that none of the
    /// blamed ones explains.
    fn beside(&self, blamed: &[(CrashCause, OpenCause)]) -> Vec<(CrashCause, OpenCause)> {
        let explained: BTreeSet<usize> =
            blamed.iter().flat_map(|(_, cause)| &cause.ends).map(|end| end.index).collect();
        let is_beside = |(key, cause): &(&CrashCause, &OpenCause)| {
            !cause.was_answered
                && blamed.iter().all(|(blamed, _)| blamed != *key)
                && cause.ends.iter().any(|end| !explained.contains(&end.index))
                && self.blame_weight(cause).is_some()
        };
        let beside = self.causes.iter().filter(is_beside);
        beside.map(|(key, cause)| (*key, cause.clone())).collect()
    }

    /// Removes ends that are explained.
    fn remove_ends(&mut self, explained: &[CauseEnd]) {
        for cause in self.causes.values_mut() {
            let is_open = |end: &CauseEnd| {
                explained.binary_search_by_key(&end.index, |end| end.index).is_err()
            };
            cause.ends.retain(is_open);
        }
    }

    /// Takes all requests, and returns those that are suspects.
    fn take_suspected_requests(&mut self) -> BTreeSet<CrashCause> {
        let mut suspects = BTreeSet::new();
        let causes = std::mem::take(&mut self.causes);
        for (key, cause) in causes {
            match key {
                CrashCause::Part(_) => {
                    self.causes.insert(key, cause);
                }
                CrashCause::Request(_) if self.suspect_weight(&cause).is_some() => {
                    suspects.insert(key);
                }
                CrashCause::Request(_) => {}
            }
        }
        suspects
    }

    /// Returns how much speaks for blaming a cause, if that suffices.
    fn blame_weight(&self, cause: &OpenCause) -> Option<usize> {
        if cause.ends.len() < BLAME_MOMENTS {
            return None;
        }
        let moments = self.moments(cause);
        let (floor, bonus) = match cause.was_answered {
            true => (ANSWERED_BLAME_MOMENTS, 0),
            false => (BLAME_MOMENTS, NEVER_ANSWERED_BONUS),
        };
        (moments >= floor).then_some(moments + bonus)
    }

    /// Returns how much speaks for suspecting a cause, if that suffices.
    fn suspect_weight(&self, cause: &OpenCause) -> Option<usize> {
        let is_suspect = !cause.was_answered && cause.ends.len() >= SUSPECT_CRASHES;
        is_suspect.then_some(cause.ends.len())
    }

    /// Returns the number of moments in which targets ended.
    ///
    /// Targets that end together don't run what is sent after the first end, so if a request was, each end
    /// of the moment counts. That does not apply to requests that were answered before, like polls, which
    /// are everywhere when targets end one after the other for another reason.
    fn moments(&self, cause: &OpenCause) -> usize {
        let mut count = 0;
        let mut ends = &cause.ends[..];
        while let Some((first, later)) = ends.split_first() {
            let first_ms = self.times_ms[first.index];
            let since_first_ms = |end: &CauseEnd| self.times_ms[end.index] - first_ms;
            let together = later.iter().take_while(|end| since_first_ms(end) < MOMENT_MS).count();
            let is_repeated = |end: &CauseEnd| {
                since_first_ms(end) >= TOGETHER_MS
                    && end.sent_after_ms.is_some_and(|sent_ms| sent_ms >= first_ms)
            };
            let counts_each = !cause.was_answered && later[..together].iter().any(is_repeated);
            count += if counts_each { 1 + together } else { 1 };
            ends = &later[together..];
        }
        count
    }
}

/// Returns the time between the last of these ends, or a trial, and the next trial.
fn trial_pause(crashes: usize, moments: usize) -> Duration {
    let doublings = u32::try_from(moments.saturating_sub(BLAME_MOMENTS)).unwrap_or(u32::MAX);
    let factor = 2_u32.saturating_pow(doublings.min(8));
    match crashes {
        ..=WEAK_CRASHES => WEAK_TRIAL_PAUSE,
        _ => TRIAL_PAUSE.saturating_mul(factor).min(TRIAL_PAUSE_LIMIT),
    }
}

pub(super) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the number of a part of a prompt.
///
/// ```
/// use skylarkpick_schedule::part_number;
/// assert_eq!(part_number("5c1e07a2"), part_number("5c1e07a2"));
/// assert_ne!(part_number("5c1e07a2"), part_number("91bd3f06"));
/// ```
pub fn part_number(part: &str) -> PartNumber {
    rendezvous_weight(part, "")
}

/// Returns the names of entry processes in the order in which they keep the evidence against a cause.
///
/// ```
/// use skylarkpick_interface::CrashCause;
/// use skylarkpick_schedule::evidence_keepers;
/// assert!(evidence_keepers(CrashCause::Part(7), &[]).is_empty());
/// ```
pub fn evidence_keepers(cause: CrashCause, entries: &[RegisteredEntry]) -> Vec<&str> {
    let number = cause.number().to_string();
    let mut names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
    names.sort_by_key(|name| Reverse(rendezvous_weight(&number, name)));
    names
}
