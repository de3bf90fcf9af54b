//! Decides which request bodies have room.

use super::limits::BodyLimits;
use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

/// Number of a body in its ledger.
pub type BodyId = u64;

/// Room of all request bodies of a process: of those that arrive, and of those that are kept until their
/// requests have ended.
///
/// Addresses clients that send many large bodies at once, or leave them unfinished. Short bodies have a
/// part of the room of their own, so that large ones can't keep ordinary requests out. A body that
/// arrives at its pace is never ended for another one; those that don't lose their room to others, the
/// largest and oldest first.
#[derive(Debug)]
pub struct BodyLedger {
    limits: BodyLimits,
    bodies: BTreeMap<BodyId, HeldBody>,
    next_id: BodyId,
    use_bytes: BodyUse,
}

/// Bytes that are held, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BodyUse {
    /// Of bodies that arrive.
    pub arriving_bytes: usize,
    /// Of complete bodies whose requests have not ended.
    pub kept_bytes: usize,
    /// Of bodies of either kind that are not short.
    pub long_bytes: usize,
}

/// There is no room for further bytes of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no room for the body among those of other requests")]
pub struct NoRoom;

#[derive(Debug)]
struct HeldBody {
    held_bytes: usize,
    arrived_bytes: usize,
    began: Duration,
    last: Duration,
    is_complete: bool,
}

impl BodyLedger {
    /// Opens a ledger without bodies.
    ///
    /// ```
    /// use skylarkpick_schedule::{BodyLedger, BodyLimits, NoRoom};
    /// use std::time::Duration;
    /// let mut ledger = BodyLedger::open(BodyLimits::of_memory(160_000_000));
    /// let body = ledger.begin(Duration::ZERO);
    /// assert_eq!(ledger.grow(body, 50_000_000, Duration::ZERO), Err(NoRoom));
    /// assert_eq!(ledger.grow(body, 4_194_304, Duration::ZERO), Ok(vec![]));
    /// ledger.complete(body);
    /// assert_eq!(ledger.use_bytes().kept_bytes, 4_194_304);
    /// ledger.end(body);
    /// assert_eq!(ledger.use_bytes().kept_bytes, 0);
    /// ```
    pub fn open(limits: BodyLimits) -> BodyLedger {
        BodyLedger { limits, bodies: BTreeMap::new(), next_id: 0, use_bytes: BodyUse::default() }
    }

    /// Returns the bytes that are held.
    pub fn use_bytes(&self) -> BodyUse {
        self.use_bytes
    }

    /// Adds a body, whose head has just arrived.
    pub fn begin(&mut self, now: Duration) -> BodyId {
        let id = self.next_id;
        self.next_id += 1;
        let body =
            HeldBody { held_bytes: 0, arrived_bytes: 0, began: now, last: now, is_complete: false };
        self.bodies.insert(id, body);
        id
    }

    /// Records bytes of a body that have arrived.
    pub fn note_arrived(&mut self, id: BodyId, bytes: usize, now: Duration) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.arrived_bytes += bytes;
            body.last = now;
        }
    }

    /// Returns the time at which a body is too slow, whether or not room is short; `None` if it has lost
    /// its room.
    pub fn due(&self, id: BodyId) -> Option<Duration> {
        let body = self.bodies.get(&id)?;
        Some(self.limits.pace.due(body.began, body.last, body.arrived_bytes))
    }

    /// Gives a body more room. Returns the bodies that lose theirs for it, which have to be dropped.
    ///
    /// # Errors
    /// Returns an error if there is no room, also without the bodies that have fallen behind their pace.
    /// Nothing changes then.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now: Duration) -> Result<Vec<BodyId>, NoRoom> {
        let before_bytes = self.bodies.get(&id).ok_or(NoRoom)?.held_bytes;
        let after_bytes = before_bytes + bytes;
        let mut ended = Vec::new();
        let mut rest = self.use_bytes;
        if !self.fits(&rest, before_bytes, after_bytes) {
            for (other, held_bytes) in self.behind(id, now) {
                rest.arriving_bytes -= held_bytes;
                rest.long_bytes -= self.long_bytes(held_bytes);
                ended.push(other);
                if self.fits(&rest, before_bytes, after_bytes) {
                    break;
                }
            }
            if !self.fits(&rest, before_bytes, after_bytes) {
                return Err(NoRoom);
            }
        }
        for other in &ended {
            self.end(*other);
        }
        self.resize(id, after_bytes);
        Ok(ended)
    }

    /// Gives back the room of a body beyond this size.
    pub fn shrink(&mut self, id: BodyId, held_bytes: usize) {
        if self.bodies.get(&id).is_some_and(|body| held_bytes < body.held_bytes) {
            self.resize(id, held_bytes);
        }
    }

    /// Records that a body is complete. It keeps its room until it ends.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id).filter(|body| !body.is_complete) {
            body.is_complete = true;
            self.use_bytes.arriving_bytes -= body.held_bytes;
            self.use_bytes.kept_bytes += body.held_bytes;
        }
    }

    /// Removes a body.
    pub fn end(&mut self, id: BodyId) {
        self.resize(id, 0);
        self.bodies.remove(&id);
    }

    fn resize(&mut self, id: BodyId, held_bytes: usize) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        let before_bytes = std::mem::replace(&mut body.held_bytes, held_bytes);
        let is_complete = body.is_complete;
        let kind_bytes = match is_complete {
            true => &mut self.use_bytes.kept_bytes,
            false => &mut self.use_bytes.arriving_bytes,
        };
        *kind_bytes = *kind_bytes - before_bytes + held_bytes;
        self.use_bytes.long_bytes =
            self.use_bytes.long_bytes - self.long_bytes(before_bytes) + self.long_bytes(held_bytes);
    }

    fn long_bytes(&self, held_bytes: usize) -> usize {
        if held_bytes > self.limits.short_body_bytes { held_bytes } else { 0 }
    }

    /// Returns whether a body may grow.
    fn fits(&self, rest: &BodyUse, before_bytes: usize, after_bytes: usize) -> bool {
        let total_bytes = rest.arriving_bytes + rest.kept_bytes - before_bytes + after_bytes;
        let after_long_bytes = self.long_bytes(after_bytes);
        let long_bytes = rest.long_bytes - self.long_bytes(before_bytes) + after_long_bytes;
        total_bytes <= self.limits.total_bytes
            && (after_long_bytes == 0 || long_bytes <= self.limits.long_bytes)
    }

    /// Returns the other bodies that have fallen behind their pace, the largest first, of those the
    /// oldest, with their sizes.
    fn behind(&self, id: BodyId, now: Duration) -> Vec<(BodyId, usize)> {
        let pace = self.limits.pressed_pace;
        let is_behind = |body: &HeldBody| {
            !body.is_complete && pace.due(body.began, body.last, body.arrived_bytes) <= now
        };
        let behind = self.bodies.iter().filter(|(other, body)| **other != id && is_behind(body));
        let mut behind: Vec<_> = behind.map(|(other, body)| (*other, body.held_bytes)).collect();
        // Ids grow with the time at which bodies began.
        behind.sort_by_key(|(other, held_bytes)| (Reverse(*held_bytes), *other));
        behind
    }
}
