//! What targets and stores said in their responses: pauses, departures, limits, and that they are
//! brittle.

use super::limits::{EntryList, KeptLimit, bounded};
use skylarkpick_interface::{RegisteredTarget, RequestLimit, ServiceName, TargetId};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Longest pause that is kept, so that a mistake in its value does not exclude a target for good.
const PAUSE_LIMIT: Duration = Duration::from_secs(600);
/// Number of addresses that are kept: twice the targets of a fleet of the planned size.
const ADDRESSES_LIMIT: usize = 2_048;
/// Time after a response that names a limit in which another process's word does not end it: its own
/// response may be older.
const OWN_WORD_TIME: Duration = Duration::from_millis(500);
/// Time for which a target counts as brittle after it or another process last said so. Processes that
/// hear it say so again several times within it.
const BRITTLE_LIFETIME: Duration = Duration::from_secs(10);
/// Time after which a process tells others again that a target is brittle, if no other has.
const BRITTLE_TELL_INTERVAL: Duration = Duration::from_secs(1);

/// What was said, by address. It does not live with the records of targets: a record that is removed
/// and written again changes nothing, but another start of the target does.
#[derive(Clone, Debug, Default)]
pub(super) struct HeardSignals {
    heard: BTreeMap<SocketAddr, Heard>,
    entries: EntryList,
    /// For each service with brittle targets, when one of them was last said to be.
    brittle_services: BTreeMap<ServiceName, Duration>,
}

#[derive(Clone, Debug)]
struct Heard {
    /// Target that said it, if one was registered at the address.
    incarnation: Option<Incarnation>,
    paused_until: Duration,
    /// For one start of a target, leaving is never undone.
    is_leaving: bool,
    limit: Option<KeptLimit>,
    brittle: Option<BrittleWord>,
    heard_at: Duration,
}

/// Last word on whether a target is brittle.
#[derive(Clone, Debug)]
struct BrittleWord {
    service: ServiceName,
    is_brittle: bool,
    said_at: Duration,
    /// Time at which this process last heard it in a response.
    heard_at: Option<Duration>,
    /// Time at which this process or another one last told it to others.
    told_at: Option<Duration>,
}

/// Target between two starts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Incarnation {
    target: TargetId,
    started_at_ms: u64,
}

/// What became of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// It is as before.
    None,
    /// This limit is kept now.
    Kept(RequestLimit),
    /// There is none any more.
    Ended,
}

impl Incarnation {
    pub(super) fn open(target: &str, started_at_ms: u64) -> Incarnation {
        Incarnation { target: target.to_string(), started_at_ms }
    }

    fn is_of(&self, registration: &RegisteredTarget) -> bool {
        self.target == registration.id && self.started_at_ms == registration.started_at_ms
    }
}

impl Heard {
    fn is_of(&self, target: &RegisteredTarget) -> bool {
        self.incarnation.as_ref().is_none_or(|it| it.is_of(target))
    }

    /// Returns the rest of the pause.
    fn pause_rest(&self, now: Duration) -> Option<Duration> {
        self.paused_until.checked_sub(now).filter(|rest| !rest.is_zero())
    }

    fn open_limit(&self, now: Duration) -> Option<&KeptLimit> {
        self.limit.as_ref().filter(|limit| !limit.is_expired(now))
    }
}

impl BrittleWord {
    fn is_expired(&self, now: Duration) -> bool {
        now >= self.said_at + BRITTLE_LIFETIME
    }
}

/// Returns the name by which processes divide the limit of a target.
fn share_name(address: SocketAddr, incarnation: Option<&Incarnation>) -> String {
    incarnation.map_or_else(|| address.to_string(), |it| it.target.clone())
}

impl HeardSignals {
    /// Keeps a pause that was asked for at `now`. A shorter one does not end an earlier one. Returns
    /// the length that is kept.
    pub(super) fn note_pause(
        &mut self,
        address: SocketAddr,
        incarnation: Option<Incarnation>,
        pause: Duration,
        now: Duration,
    ) -> Duration {
        let kept = pause.min(PAUSE_LIMIT);
        let heard = entry(&mut self.heard, address, incarnation, now);
        heard.paused_until = heard.paused_until.max(now + kept);
        kept
    }

    /// Keeps that a target leaves. Returns whether that was not known yet.
    pub(super) fn note_leaving(
        &mut self,
        address: SocketAddr,
        incarnation: Incarnation,
        now: Duration,
    ) -> bool {
        let heard = entry(&mut self.heard, address, Some(incarnation), now);
        !std::mem::replace(&mut heard.is_leaving, true)
    }

    /// Keeps a limit that was named at `now`.
    pub(super) fn note_limit(
        &mut self,
        address: SocketAddr,
        incarnation: Option<Incarnation>,
        limit: RequestLimit,
        now: Duration,
    ) -> LimitChange {
        let limit = bounded(limit);
        let name = share_name(address, incarnation.as_ref());
        let heard = entry(&mut self.heard, address, incarnation, now);
        let known = heard.limit.as_mut().filter(|known| !known.is_expired(now));
        let change = match &known {
            Some(known) if known.limit() == limit => LimitChange::None,
            _ => LimitChange::Kept(limit),
        };
        match known {
            Some(known) => known.rename(&name, limit, &self.entries, now),
            None => heard.limit = Some(KeptLimit::open(&name, limit, &self.entries, now)),
        }
        change
    }

    /// Ends the limit of a target whose response to a request that was sent at `sent_at` names none.
    pub(super) fn note_no_limit(
        &mut self,
        address: SocketAddr,
        incarnation: &Incarnation,
        sent_at: Duration,
    ) -> LimitChange {
        let heard = self.heard.get_mut(&address);
        let heard = heard.filter(|it| it.incarnation.as_ref() == Some(incarnation));
        let ended = heard.and_then(|it| it.limit.take_if(|limit| limit.named_at() <= sent_at));
        ended.map_or(LimitChange::None, |_| LimitChange::Ended)
    }

    /// Ends the limit of a target that names none any more, as another process says.
    pub(super) fn end_limit(&mut self, target: &RegisteredTarget, now: Duration) -> LimitChange {
        let heard = self.heard.get_mut(&target.address).filter(|it| it.is_of(target));
        let is_older = |limit: &mut KeptLimit| limit.named_at() + OWN_WORD_TIME <= now;
        let ended = heard.and_then(|it| it.limit.take_if(is_older));
        ended.map_or(LimitChange::None, |_| LimitChange::Ended)
    }

    /// Applies another list of entry processes to all shares.
    pub(super) fn set_entries(&mut self, entries: EntryList, now: Duration) {
        self.entries = entries;
        for (address, heard) in &mut self.heard {
            let name = share_name(*address, heard.incarnation.as_ref());
            if let Some(limit) = &mut heard.limit {
                limit.update_share(&name, &self.entries, now);
            }
        }
    }

    /// Returns the time for which a target wants no request from this process: the rest of a pause,
    /// or until its share in a limit has room.
    pub(super) fn wait(&self, target: &RegisteredTarget, now: Duration) -> Option<Duration> {
        let heard = self.heard_of(target)?;
        let limited = heard.open_limit(now).and_then(|limit| limit.wait(now));
        heard.pause_rest(now).max(limited)
    }

    /// Returns the rest of the pause that a target asked for. A pause without a known target binds
    /// whichever is registered at its address.
    pub(super) fn pause_rest(&self, target: &RegisteredTarget, now: Duration) -> Option<Duration> {
        self.heard_of(target)?.pause_rest(now)
    }

    /// Returns the rest of the pause at an address that is no registered target's.
    pub(super) fn pause_rest_at(&self, address: &SocketAddr, now: Duration) -> Option<Duration> {
        self.heard.get(address)?.pause_rest(now)
    }

    /// Takes a request from this process's share in the limit of a target, if it names one.
    ///
    /// # Errors
    /// Returns the time to wait if there is no room.
    pub(super) fn take_share(
        &mut self,
        address: SocketAddr,
        incarnation: &Incarnation,
        now: Duration,
    ) -> Result<(), Duration> {
        let heard = self.heard.get_mut(&address);
        let heard = heard.filter(|it| it.incarnation.as_ref().is_none_or(|it| it == incarnation));
        let limit = heard.and_then(|it| it.limit.as_mut()).filter(|limit| !limit.is_expired(now));
        limit.map_or(Ok(()), |limit| limit.take(now))
    }

    pub(super) fn is_limited(&self, target: &RegisteredTarget, now: Duration) -> bool {
        self.heard_of(target).is_some_and(|heard| heard.open_limit(now).is_some())
    }

    /// Keeps that a target is brittle, as its response says. Returns whether that was not known yet.
    pub(super) fn note_brittle(&mut self, target: &RegisteredTarget, now: Duration) -> bool {
        self.set_brittle(target, true, now, |word| word.heard_at = Some(now))
    }

    /// Keeps that a target is not brittle, as its response to a request that was sent at `sent_at`
    /// says. Returns whether it counted as brittle.
    pub(super) fn note_not_brittle(
        &mut self,
        target: &RegisteredTarget,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let is_older = self.word_of(target, now).is_none_or(|word| word.said_at <= sent_at);
        is_older && self.end_brittle(target, now, |word| word.heard_at = Some(now))
    }

    /// Keeps what another process says, unless this one has just heard the target itself. Returns
    /// whether that changes anything.
    pub(super) fn merge_brittle(
        &mut self,
        target: &RegisteredTarget,
        is_brittle: bool,
        now: Duration,
    ) -> bool {
        let is_contradicted = self.word_of(target, now).is_some_and(|word| {
            word.is_brittle != is_brittle
                && word.heard_at.is_some_and(|at| now < at + OWN_WORD_TIME)
        });
        match is_brittle {
            _ if is_contradicted => false,
            true => self.set_brittle(target, true, now, |word| word.told_at = Some(now)),
            false => self.end_brittle(target, now, |_| {}),
        }
    }

    /// Returns whether a target counts as brittle. One that has said nothing since its start does if
    /// others of its service are.
    pub(super) fn is_brittle(&self, target: &RegisteredTarget, now: Duration) -> bool {
        self.is_service_brittle(&target.service, now)
            && self.word_of(target, now).is_none_or(|word| word.is_brittle)
    }

    /// Returns whether any target of a service counts as brittle.
    pub(super) fn is_service_brittle(&self, service: &str, now: Duration) -> bool {
        self.brittle_services.get(service).is_some_and(|said_at| now < *said_at + BRITTLE_LIFETIME)
    }

    /// Returns the registered targets among these of which others are to be told that they are brittle,
    /// and records that they are.
    pub(super) fn take_brittle_to_tell<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a RegisteredTarget>,
        now: Duration,
    ) -> Vec<&'a RegisteredTarget> {
        if self.brittle_services.is_empty() {
            return Vec::new();
        }
        let is_recent =
            |at: Option<Duration>| at.is_some_and(|at| now < at + BRITTLE_TELL_INTERVAL);
        let is_due = |target: &&RegisteredTarget| {
            let heard = self.heard.get_mut(&target.address).filter(|heard| heard.is_of(target));
            let word = heard.and_then(|heard| heard.brittle.as_mut());
            let due =
                word.filter(|it| it.is_brittle && is_recent(it.heard_at) && !is_recent(it.told_at));
            due.map(|word| word.told_at = Some(now)).is_some()
        };
        targets.filter(is_due).collect()
    }

    /// Returns the services of which a target has been said to be brittle.
    pub(super) fn brittle_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.brittle_services.keys()
    }

    fn word_of(&self, target: &RegisteredTarget, now: Duration) -> Option<&BrittleWord> {
        self.heard_of(target)?.brittle.as_ref().filter(|word| !word.is_expired(now))
    }

    fn end_brittle(
        &mut self,
        target: &RegisteredTarget,
        now: Duration,
        mark: impl FnOnce(&mut BrittleWord),
    ) -> bool {
        // Without a brittle target of the service, silence means the same.
        if !self.brittle_services.contains_key(&target.service) {
            return false;
        }
        let was_brittle = self.is_brittle(target, now);
        self.set_brittle(target, false, now, mark);
        was_brittle
    }

    fn set_brittle(
        &mut self,
        target: &RegisteredTarget,
        is_brittle: bool,
        now: Duration,
        mark: impl FnOnce(&mut BrittleWord),
    ) -> bool {
        let was_brittle = self.word_of(target, now).is_some_and(|word| word.is_brittle);
        let incarnation = Incarnation::open(&target.id, target.started_at_ms);
        let heard = entry(&mut self.heard, target.address, Some(incarnation), now);
        let word = heard.brittle.get_or_insert_with(|| BrittleWord {
            service: target.service.clone(),
            is_brittle,
            said_at: now,
            heard_at: None,
            told_at: None,
        });
        (word.is_brittle, word.said_at) = (is_brittle, now);
        mark(word);
        if is_brittle {
            self.brittle_services.insert(target.service.clone(), now);
        } else {
            self.update_brittle_service(&target.service, now);
        }
        was_brittle != is_brittle
    }

    fn update_brittle_service(&mut self, service: &str, now: Duration) {
        let words = self.heard.values().filter_map(|heard| heard.brittle.as_ref());
        let live = words.filter(|it| it.service == service && it.is_brittle && !it.is_expired(now));
        match live.map(|word| word.said_at).max() {
            Some(said_at) => self.brittle_services.insert(service.to_string(), said_at),
            None => self.brittle_services.remove(service),
        };
    }

    pub(super) fn is_leaving(&self, target: &RegisteredTarget) -> bool {
        self.heard_of(target).is_some_and(|heard| heard.is_leaving)
    }

    /// Returns whether anything was said at an address.
    pub(super) fn is_known(&self, address: &SocketAddr) -> bool {
        self.heard.contains_key(address)
    }

    fn heard_of(&self, target: &RegisteredTarget) -> Option<&Heard> {
        self.heard.get(&target.address).filter(|heard| heard.is_of(target))
    }
}

/// Returns what is kept of an address, which begins anew with another target or another start.
fn entry(
    heard: &mut BTreeMap<SocketAddr, Heard>,
    address: SocketAddr,
    incarnation: Option<Incarnation>,
    now: Duration,
) -> &mut Heard {
    if heard.len() >= ADDRESSES_LIMIT && !heard.contains_key(&address) {
        let oldest = heard.iter().min_by_key(|(_, heard)| heard.heard_at);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            heard.remove(&address);
        }
    }
    let known = heard.get(&address).and_then(|heard| heard.incarnation.as_ref());
    if known.is_some() && known != incarnation.as_ref() {
        heard.remove(&address);
    }
    let heard = heard.entry(address).or_insert_with(|| Heard {
        incarnation: None,
        paused_until: Duration::ZERO,
        is_leaving: false,
        limit: None,
        brittle: None,
        heard_at: now,
    });
    heard.heard_at = now;
    heard.incarnation = incarnation;
    heard
}
