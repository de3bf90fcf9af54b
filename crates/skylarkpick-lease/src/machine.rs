//! Decides when to write the lease object and whether an order may be given.

use crate::{record::LeaseRecord, settings::LeaseSettings};
use skylarkpick_interface::{FencingNumber, ObjectVersion};
use std::time::Duration;

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Read the object and hand the answer to [`LeaseMachine::observe_read`].
    Read,
    /// Write the object conditionally and hand the answer to [`LeaseMachine::observe_write`].
    Write {
        /// Version that the object must be at; `None` for a new object.
        expected: Option<ObjectVersion>,
        /// Content to write.
        record: LeaseRecord,
    },
    /// Ask again at this time since boot.
    WaitUntil(Duration),
}

/// Answer to a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteAnswer {
    /// The write took effect and made this version.
    Written(ObjectVersion),
    /// The object was at another version: nothing was written.
    Conflict,
    /// Nothing was written.
    NotWritten,
    /// No answer: the write may have taken effect, or may still do so.
    Unknown,
}

/// Permission to send one order now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Number to put on the order.
    pub fencing_number: FencingNumber,
    /// What is left of the term.
    pub remaining: Duration,
}

/// Decides for one candidate. All times are times since boot of the candidate's own clock.
#[derive(Clone, Debug)]
pub struct LeaseMachine {
    settings: LeaseSettings,
    nonce_prefix: String,
    writes: u64,
    /// Writes that may have taken effect, or may still do so.
    in_doubt: Vec<SentWrite>,
    held: Option<Held>,
    seen: Option<Seen>,
    read_due: Duration,
    write_due: Duration,
    read_first: bool,
    released: bool,
}

#[derive(Clone, Debug)]
struct SentWrite {
    nonce: String,
    sent_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    version: ObjectVersion,
    counted_from: Duration,
}

#[derive(Clone, Debug)]
struct Seen {
    version: ObjectVersion,
    first_seen_at: Duration,
    record: LeaseRecord,
}

impl LeaseMachine {
    /// Opens a candidate that knows nothing yet. `nonce_prefix` must be unique for each start.
    ///
    /// ```
    /// use skylarkpick_lease::{LeaseMachine, LeaseSettings, Step, WriteAnswer};
    /// use std::time::Duration;
    /// let settings = LeaseSettings::new("leases/planner/mnl-a", "entry-1");
    /// let mut machine = LeaseMachine::open(settings, "entry-1-7f");
    /// let now = Duration::from_secs(100);
    /// assert_eq!(machine.step(now), Step::Read);
    /// machine.observe_read(now, None);
    /// assert!(matches!(machine.step(now), Step::Write { expected: None, .. }));
    /// machine.observe_write(WriteAnswer::Written(12));
    /// assert_eq!(machine.permit(now).map(|permit| permit.fencing_number), Some(12));
    /// assert_eq!(machine.permit(now + Duration::from_secs(5)), None);
    /// ```
    pub fn open(settings: LeaseSettings, nonce_prefix: &str) -> LeaseMachine {
        LeaseMachine {
            settings,
            nonce_prefix: nonce_prefix.to_string(),
            writes: 0,
            in_doubt: Vec::new(),
            held: None,
            seen: None,
            read_due: Duration::ZERO,
            write_due: Duration::ZERO,
            read_first: true,
            released: false,
        }
    }

    /// Chooses what to do next. A returned write counts as sent at `now`.
    pub fn step(&mut self, now: Duration) -> Step {
        if self.read_first {
            return self.read(now);
        }
        if let Some(held) = self.held {
            if now < self.write_due {
                return Step::WaitUntil(self.write_due);
            }
            return self.send(now, Some(held.version), false);
        }
        if now >= self.read_due {
            return self.read(now);
        }
        let Some(free_at) = self.free_at().filter(|_| !self.released) else {
            return Step::WaitUntil(self.read_due);
        };
        let write_at = free_at.max(self.write_due);
        if now < write_at {
            return Step::WaitUntil(write_at.min(self.read_due));
        }
        let expected = self.seen.as_ref().map(|seen| seen.version);
        self.send(now, expected, false)
    }

    /// Takes in that a read got no answer.
    pub fn observe_read_failure(&mut self, now: Duration) {
        self.read_due = now + self.settings.poll_interval;
    }

    /// Takes in an answered read, `None` for a missing object, which arrived at `now`.
    pub fn observe_read(&mut self, now: Duration, found: Option<(ObjectVersion, LeaseRecord)>) {
        self.read_due = now + self.settings.poll_interval;
        let Some((version, record)) = found else {
            self.held = None;
            self.seen = None;
            return;
        };
        if let Some(own) = self.in_doubt.iter().find(|sent| sent.nonce == record.nonce) {
            self.hold(version, own.sent_at);
            return;
        }
        if self.held.is_some_and(|held| held.version != version) {
            self.held = None;
        }
        if self.seen.as_ref().is_none_or(|seen| seen.version != version) {
            self.seen = Some(Seen { version, first_seen_at: now, record });
        }
    }

    /// Takes in the answer to the last write.
    pub fn observe_write(&mut self, answer: WriteAnswer) {
        match answer {
            WriteAnswer::Written(version) => {
                let Some(sent) = self.in_doubt.pop() else { return };
                self.hold(version, sent.sent_at);
            }
            WriteAnswer::NotWritten => {
                self.in_doubt.pop();
            }
            WriteAnswer::Conflict => {
                self.in_doubt.pop();
                self.held = None;
                self.read_first = true;
            }
            // The term of the last known write stands, whatever became of this one.
            WriteAnswer::Unknown => self.read_first = true,
        }
    }

    /// Permission for one order at `now`, if the rest of the term covers its whole timeout.
    pub fn permit(&self, now: Duration) -> Option<Permit> {
        let held = self.held.filter(|_| !self.released)?;
        let ends_at = held.counted_from + self.settings.term();
        let remaining = ends_at.checked_sub(now)?;
        let covered = remaining >= self.settings.order_timeout;
        covered.then_some(Permit { fencing_number: held.version, remaining })
    }

    /// Gives the lease back; the caller has no order under way. Gives the write to send, if any.
    pub fn release(&mut self, now: Duration) -> Option<Step> {
        self.released = true;
        let held = self.held.take()?;
        Some(self.send(now, Some(held.version), true))
    }

    /// Holder by what was seen last.
    pub fn last_holder(&self) -> Option<&str> {
        if self.held.is_some() {
            return Some(&self.settings.holder);
        }
        self.seen.as_ref().filter(|seen| !seen.record.released).map(|seen| &*seen.record.holder)
    }

    /// When the lease may be taken: at once if it was never taken or was given back.
    fn free_at(&self) -> Option<Duration> {
        match &self.seen {
            None => Some(Duration::ZERO),
            Some(seen) => Some(seen.first_seen_at + seen.record.wait(&self.settings)),
        }
    }

    fn hold(&mut self, version: ObjectVersion, counted_from: Duration) {
        self.in_doubt.clear();
        self.seen = None;
        if self.released {
            return;
        }
        self.held = Some(Held { version, counted_from });
        self.write_due = counted_from + self.settings.renewal_interval;
    }

    fn read(&mut self, now: Duration) -> Step {
        self.read_first = false;
        self.read_due = now + self.settings.poll_interval;
        Step::Read
    }

    fn send(&mut self, now: Duration, expected: Option<ObjectVersion>, released: bool) -> Step {
        self.writes += 1;
        let nonce = format!("{}-{}", self.nonce_prefix, self.writes);
        self.write_due = now + self.settings.poll_interval;
        let record = LeaseRecord::new(&self.settings, &nonce, released);
        let term = self.settings.term();
        self.in_doubt.retain(|sent| now < sent.sent_at + term);
        self.in_doubt.push(SentWrite { nonce, sent_at: now });
        Step::Write { expected, record }
    }
}
