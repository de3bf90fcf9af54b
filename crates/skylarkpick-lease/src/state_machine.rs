//! The lease protocol of one candidate: when to read and write the lease object, and when the
//! holder may send an order. Does no I/O.

use crate::{fencing::fencing_number, record::LeaseRecord, settings::LeaseSettings};
use skylarkpick_interface::{FencingNumber, StoreEra, StoreRevision};
use std::time::Duration;

/// What the caller does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the object and pass the result to [`LeaseStateMachine::observe_read`] or
    /// [`LeaseStateMachine::observe_read_failure`].
    Read,
    /// Write the object conditionally and pass the result to [`LeaseStateMachine::observe_write`].
    Write {
        /// Version that the object must have; `None` if it must not exist.
        expected: Option<StoreRevision>,
        /// Content to write.
        record: LeaseRecord,
    },
    /// Call [`LeaseStateMachine::next_action`] again at this time since boot.
    WaitUntil(Duration),
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    Written(StoreRevision),
    /// The object had another version; nothing was written.
    Conflict,
    /// Nothing was written.
    NotWritten,
    /// No response: the write may have taken effect, or may still do so.
    Unknown,
}

/// A held lease, whether or not orders may be sent already.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tenure {
    /// Fencing number of the lease.
    pub fencing_number: FencingNumber,
    /// Remaining term.
    pub remaining: Duration,
    /// Time until orders may be sent; zero if they may be sent now.
    pub order_pause: Duration,
}

/// Permission to send one order now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Fencing number to send with the order.
    pub fencing_number: FencingNumber,
    /// Remaining term.
    pub remaining: Duration,
}

/// State of one candidate. All times are since boot on the candidate's own clock.
#[derive(Clone, Debug)]
pub struct LeaseStateMachine {
    settings: LeaseSettings,
    nonce_prefix: String,
    write_count: u64,
    /// Writes that may have taken effect, or may still do so.
    unresolved_writes: Vec<SentWrite>,
    held: Option<HeldLease>,
    /// Object found by the last read, unless it was an unresolved write of this candidate.
    observed: Option<ObservedLease>,
    next_read_at: Duration,
    next_write_at: Duration,
    /// Whether the next action must be a read.
    must_read: bool,
    /// Whether this candidate leaves the lease to others, unless its own machine held it last.
    is_standing_by: bool,
    /// Whether it leaves the lease to others.
    stands_back: bool,
    has_read: bool,
    released: bool,
    /// Latest era of the store that is known. The rest of the state is of this era.
    era: StoreEra,
    era_learned_at: Duration,
}

#[derive(Clone, Debug)]
struct SentWrite {
    nonce: String,
    sent_at: Duration,
    orders_from: Duration,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    version: StoreRevision,
    fencing_number: FencingNumber,
    term_started_at: Duration,
    /// Time from which orders are far enough from those of other machines.
    orders_from: Duration,
}

#[derive(Clone, Debug)]
struct ObservedLease {
    version: StoreRevision,
    first_seen_at: Duration,
    record: LeaseRecord,
}

impl LeaseStateMachine {
    /// Creates the state of a candidate that has read nothing yet. `nonce_prefix` must be unique for each start
    /// of a process.
    ///
    /// ```
    /// use skylarkpick_interface::StoreRevision;
    /// use skylarkpick_lease::{Action, LeaseSettings, LeaseStateMachine, WriteOutcome};
    /// use std::time::Duration;
    /// let settings = LeaseSettings::new("leases/planner/mnl-a", "entry-1");
    /// let mut candidate = LeaseStateMachine::open(settings, "entry-1-7f");
    /// let now = Duration::from_secs(100);
    /// assert_eq!(candidate.next_action(now), Action::Read);
    /// candidate.observe_read(now, None);
    /// assert!(matches!(candidate.next_action(now), Action::Write { expected: None, .. }));
    /// let version = StoreRevision { era: 0, number: 12 };
    /// candidate.observe_write(now, WriteOutcome::Written(version));
    /// assert_eq!(candidate.permit(now).map(|permit| permit.fencing_number), Some(12));
    /// assert_eq!(candidate.permit(now + Duration::from_secs(5)), None);
    /// ```
    pub fn open(settings: LeaseSettings, nonce_prefix: &str) -> LeaseStateMachine {
        LeaseStateMachine {
            settings,
            nonce_prefix: nonce_prefix.to_string(),
            write_count: 0,
            unresolved_writes: Vec::new(),
            held: None,
            observed: None,
            next_read_at: Duration::ZERO,
            next_write_at: Duration::ZERO,
            must_read: true,
            is_standing_by: false,
            stands_back: false,
            has_read: false,
            released: false,
            era: 0,
            era_learned_at: Duration::ZERO,
        }
    }

    /// Makes this candidate read the object once and then wait for [`LeaseStateMachine::compete`].
    /// It competes by itself if its own machine held the lease last.
    #[must_use]
    pub fn standing_by(mut self) -> LeaseStateMachine {
        self.is_standing_by = true;
        self
    }

    /// Lets a candidate that stands by compete for the lease. What it has read counts.
    pub fn compete(&mut self) {
        self.is_standing_by = false;
    }

    /// Sets whether this candidate stands back: it lets a lease that it holds lapse, and doesn't acquire
    /// one.
    ///
    /// ```
    /// use skylarkpick_interface::StoreRevision;
    /// use skylarkpick_lease::{Action, LeaseSettings, LeaseStateMachine, WriteOutcome};
    /// use std::time::Duration;
    /// let settings = LeaseSettings::new("leases/planner/mnl-a", "entry-1");
    /// let mut holder = LeaseStateMachine::open(settings, "entry-1-7f");
    /// let now = Duration::from_secs(100);
    /// holder.next_action(now);
    /// holder.observe_read(now, None);
    /// holder.next_action(now);
    /// holder.observe_write(now, WriteOutcome::Written(StoreRevision { era: 0, number: 12 }));
    /// holder.stand_back(true);
    /// let Action::WaitUntil(lapsed_at) = holder.next_action(now) else { panic!("it is not renewed") };
    /// assert!(holder.permit(lapsed_at).is_none());
    /// ```
    pub fn stand_back(&mut self, stands_back: bool) {
        self.stands_back = stands_back;
    }

    /// Returns the next action. A returned write counts as sent at `now`, which is when its term
    /// starts.
    pub fn next_action(&mut self, now: Duration) -> Action {
        if self.must_read {
            return self.read(now);
        }
        if self.stands_back {
            return self.lapse(now);
        }
        if let Some(held) = self.held {
            if now < self.next_write_at {
                return Action::WaitUntil(self.next_write_at);
            }
            return self.write(now, Some(held.version), false);
        }
        if self.is_standing_by && self.has_read && !self.succeeds_own_machine() {
            return Action::WaitUntil(now + self.settings.poll_interval);
        }
        if now >= self.next_read_at {
            return self.read(now);
        }
        if self.released {
            return Action::WaitUntil(self.next_read_at);
        }
        let write_at = self.free_at().max(self.next_write_at);
        if now < write_at {
            return Action::WaitUntil(write_at.min(self.next_read_at));
        }
        let expected = self.observed.as_ref().map(|observed| observed.version);
        self.write(now, expected, false)
    }

    /// Waits for the end of a held lease, and then until the candidate no longer stands back. What it
    /// knew of the lease counts no more then.
    fn lapse(&mut self, now: Duration) -> Action {
        let ends_at = self.held.map(|held| held.term_started_at + self.settings.term());
        match ends_at {
            Some(ends_at) if now < ends_at => Action::WaitUntil(ends_at),
            Some(_) => {
                self.held = None;
                self.read(now)
            }
            None => Action::WaitUntil(now + self.settings.poll_interval),
        }
    }

    /// Applies the era that the store is in at `now`. In a new era the lease has ended, and what was read
    /// and written before counts no more. Returns whether it is a new one.
    ///
    /// ```
    /// use skylarkpick_interface::StoreRevision;
    /// use skylarkpick_lease::{LeaseSettings, LeaseStateMachine, WriteOutcome};
    /// use std::time::Duration;
    /// let settings = LeaseSettings::new("leases/planner/mnl-a", "entry-1");
    /// let mut candidate = LeaseStateMachine::open(settings, "entry-1-7f");
    /// let now = Duration::from_secs(100);
    /// candidate.next_action(now);
    /// candidate.observe_read(now, None);
    /// candidate.next_action(now);
    /// let version = StoreRevision { era: 0, number: 12 };
    /// candidate.observe_write(now, WriteOutcome::Written(version));
    /// assert!(candidate.permit(now).is_some());
    /// assert!(candidate.observe_era(now, 1));
    /// assert!(candidate.permit(now).is_none());
    /// assert!(!candidate.observe_era(now, 1));
    /// ```
    pub fn observe_era(&mut self, now: Duration, era: StoreEra) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.era_learned_at = now;
        self.held = None;
        self.observed = None;
        self.unresolved_writes.clear();
        self.has_read = false;
        self.must_read = true;
        true
    }

    /// Records that a read failed or got no response in time.
    pub fn observe_read_failure(&mut self, now: Duration) {
        self.next_read_at = now + self.settings.poll_interval;
    }

    /// Applies the result of a read that completed at `now`; `found` is `None` if the object
    /// doesn't exist.
    pub fn observe_read(&mut self, now: Duration, found: Option<(StoreRevision, LeaseRecord)>) {
        self.next_read_at = now + self.settings.poll_interval;
        let Some((version, record)) = found else {
            self.has_read = true;
            self.held = None;
            self.observed = None;
            return;
        };
        self.observe_era(now, version.era);
        if version.era < self.era {
            return;
        }
        self.has_read = true;
        self.must_read = false;
        if let Some(own) = self.unresolved_writes.iter().find(|sent| sent.nonce == record.nonce) {
            let own = own.clone();
            self.acquire(version, &own);
            return;
        }
        if self.held.is_some_and(|held| held.version != version) {
            self.held = None;
        }
        if self.observed.as_ref().is_none_or(|observed| observed.version != version) {
            self.observed = Some(ObservedLease { version, first_seen_at: now, record });
        }
    }

    /// Applies the outcome of the last write, which was known at `now`.
    pub fn observe_write(&mut self, now: Duration, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Written(version) => {
                // One that took effect in a later era may have replaced the record of another holder.
                // Nothing is left of a write that was sent in an earlier era.
                self.observe_era(now, version.era);
                let Some(sent) = self.unresolved_writes.pop() else { return };
                self.acquire(version, &sent);
            }
            WriteOutcome::NotWritten => {
                self.unresolved_writes.pop();
            }
            WriteOutcome::Conflict => {
                self.unresolved_writes.pop();
                self.held = None;
                self.must_read = true;
            }
            // The term of the last confirmed write stays valid, whether or not this one took effect.
            WriteOutcome::Unknown => self.must_read = true,
        }
    }

    /// Returns the lease if this candidate holds it at `now` and the remaining term covers the order
    /// timeout.
    pub fn tenure(&self, now: Duration) -> Option<Tenure> {
        let held = self.held.filter(|_| !self.released)?;
        let ends_at = held.term_started_at + self.settings.term();
        let remaining = ends_at.checked_sub(now)?;
        let covered = remaining >= self.settings.order_timeout;
        covered.then_some(Tenure {
            fencing_number: held.fencing_number,
            remaining,
            order_pause: held.orders_from.saturating_sub(now),
        })
    }

    /// Returns a permit for one order at `now` if this candidate holds the lease, the remaining term
    /// covers the order timeout, and the orders of other machines are long enough ago.
    pub fn permit(&self, now: Duration) -> Option<Permit> {
        let tenure = self.tenure(now).filter(|tenure| tenure.order_pause.is_zero())?;
        Some(Permit { fencing_number: tenure.fencing_number, remaining: tenure.remaining })
    }

    /// Releases the lease and returns the write to send, if the lease was held. The caller must
    /// have no order in flight.
    pub fn release(&mut self, now: Duration) -> Option<Action> {
        self.released = true;
        let version = self.held?.version;
        let action = self.write(now, Some(version), true);
        self.held = None;
        Some(action)
    }

    /// Returns the holder according to the last read or write, or `None` if there is none.
    pub fn last_holder(&self) -> Option<&str> {
        if self.held.is_some() {
            return Some(&self.settings.holder);
        }
        let observed = self.observed.as_ref().filter(|observed| !observed.record.released);
        observed.map(|observed| &*observed.record.holder)
    }

    /// Returns when this candidate may write: at once if the holder released the object, or if it
    /// doesn't exist and the store has never returned from an older copy.
    fn free_at(&self) -> Duration {
        match &self.observed {
            None if self.era == 0 => Duration::ZERO,
            None => self.era_learned_at + self.settings.term() + self.settings.order_timeout,
            Some(observed) => {
                let delay = observed.record.takeover_delay(&self.settings, self.era);
                observed.first_seen_at + delay
            }
        }
    }

    fn succeeds_own_machine(&self) -> bool {
        let observed = self.observed.as_ref();
        observed.is_some_and(|it| it.record.is_own_predecessor(&self.settings, self.era))
    }

    /// Returns the time from which orders may be sent under a write at `now`.
    fn orders_from(&self, now: Duration) -> Duration {
        match (&self.held, &self.observed) {
            (Some(held), _) => held.orders_from,
            (None, Some(observed)) => {
                observed.first_seen_at + observed.record.order_pause(&self.settings, self.era)
            }
            (None, None) => now + self.settings.machine_gap,
        }
    }

    fn acquire(&mut self, version: StoreRevision, sent: &SentWrite) {
        self.unresolved_writes.clear();
        self.observed = None;
        if self.released {
            return;
        }
        let Some(fencing_number) = fencing_number(version) else {
            self.held = None;
            self.must_read = true;
            return;
        };
        self.held = Some(HeldLease {
            version,
            fencing_number,
            term_started_at: sent.sent_at,
            orders_from: sent.orders_from,
        });
        self.next_write_at = sent.sent_at + self.settings.renewal_interval;
    }

    fn read(&mut self, now: Duration) -> Action {
        self.must_read = false;
        self.next_read_at = now + self.settings.poll_interval;
        Action::Read
    }

    fn write(&mut self, now: Duration, expected: Option<StoreRevision>, released: bool) -> Action {
        self.write_count += 1;
        let nonce = format!("{}-{}", self.nonce_prefix, self.write_count);
        self.next_write_at = now + self.settings.poll_interval;
        let orders_from = self.orders_from(now);
        let order_pause = orders_from.saturating_sub(now);
        let record = LeaseRecord::new(&self.settings, &nonce, released, order_pause, self.era);
        let term = self.settings.term();
        self.unresolved_writes.retain(|sent| now < sent.sent_at + term);
        self.unresolved_writes.push(SentWrite { nonce, sent_at: now, orders_from });
        Action::Write { expected, record }
    }
}
