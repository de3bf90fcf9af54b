//! The claim protocol of one shard: which claims are granted, and which platform calls that takes.
//! Does no I/O.

use crate::{
    claim::KeyDigest,
    events::{
        Action, Call, CallResult, FoundObject, Input, ListedNumber, Reply, Time, WaitReply,
        WaiterId,
    },
    index::Index,
    pending::Pending,
    settings::ClaimSettings,
    tail::Tail,
};
use skylarkpick_interface::StoreRevision;
use skylarkpick_protocol::stored::ClaimBatch;
use std::{collections::BTreeMap, time::Duration};

/// Maximum number of objects that one call reads.
const READ_LIMIT: u64 = 16;
/// Consecutive failed calls after which pending claims are refused.
const FAILURES_LIMIT: u32 = 3;
/// Delay after a failed call; doubles with each consecutive failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between two deletions.
const DELETE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after another process's object during which the tail is read before each write, since a
/// write to a number that is in use costs a call and fails.
const OTHER_WRITER_WINDOW: Duration = Duration::from_secs(1);
/// Reason that claims are refused with once the tail is no longer fresh.
const STALE_TAIL_REASON: &str = "the process was paused and must reload the claim log";

/// The claim protocol of one shard. Deterministic: the same inputs, call results and times lead to
/// the same actions and replies.
///
/// ```
/// use skylarkpick_claims::{
///     Action, Call, CallResult, ClaimReply, ClaimSettings, Input, Reply, ShardStateMachine, Time,
/// };
/// use skylarkpick_interface::StoreRevision;
/// use skylarkpick_protocol::stored::Claimed;
/// use std::time::Duration;
/// let now = Time { since_boot: Duration::from_secs(5), wall_ms: 1_000_000 };
/// let mut shard = ShardStateMachine::open(ClaimSettings::new("entry-1"));
/// let (claim_id, key) = ([1; 16], [2; 32]);
/// shard.handle(Input::Claim { claim_id, key, claimed: Claimed::default() }, now);
/// assert_eq!(shard.next_action(now), Action::Call(Call::List { after: None }));
/// shard.complete_call(CallResult::Listed(Vec::new()), now);
/// assert!(matches!(shard.next_action(now), Action::Call(Call::Put { number: 0, .. })));
/// let version = StoreRevision { era: 0, number: 17 };
/// shard.complete_call(CallResult::Written(version), now);
/// assert_eq!(shard.take_replies(), [Reply::Claim(claim_id, ClaimReply::Granted)]);
/// ```
#[derive(Debug)]
pub struct ShardStateMachine {
    settings: ClaimSettings,
    index: Index,
    pending: Pending,
    tail: Tail,
    waiters: BTreeMap<WaiterId, KeyDigest>,
    replies: Vec<Reply>,
    /// Call in flight, and when it was sent.
    in_flight: Option<(Call, Duration)>,
    /// Whether the listing is complete.
    is_listed: bool,
    must_read: bool,
    /// Until when another process is expected to append too.
    other_writer_until: Duration,
    /// Whether the last read found that the next number is free.
    is_at_end: bool,
    /// Number of objects to read next; doubles while reads find objects.
    read_count: u64,
    /// Number of an object that cannot be decoded, after which every claim is refused.
    undecodable: Option<u64>,
    failures: u32,
    retry_at: Duration,
    next_put_at: Duration,
    next_poll_at: Duration,
    next_delete_at: Duration,
}

impl ShardStateMachine {
    /// Creates the state of a shard whose log has not been read yet.
    pub fn open(settings: ClaimSettings) -> ShardStateMachine {
        ShardStateMachine {
            settings,
            index: Index::default(),
            pending: Pending::default(),
            tail: Tail::default(),
            waiters: BTreeMap::new(),
            replies: Vec::new(),
            in_flight: None,
            is_listed: false,
            must_read: false,
            other_writer_until: Duration::ZERO,
            is_at_end: false,
            read_count: 1,
            undecodable: None,
            failures: 0,
            retry_at: Duration::ZERO,
            next_put_at: Duration::ZERO,
            next_poll_at: Duration::ZERO,
            next_delete_at: Duration::ZERO,
        }
    }

    /// Returns the state of the keys.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Returns the replies since the last call.
    pub fn take_replies(&mut self) -> Vec<Reply> {
        std::mem::take(&mut self.replies)
    }

    /// Handles a request of the process; replies are in [`ShardStateMachine::take_replies`].
    pub fn handle(&mut self, input: Input, now: Time) {
        match input {
            Input::Claim { claim_id, key, claimed } => {
                self.pending.claim(claim_id, key, claimed, now.since_boot);
            }
            Input::Abandon { claim_id, key } => self.pending.abandon(claim_id, key, now.since_boot),
            Input::Finish { claim_id, key, outcome } => {
                self.pending.finish(claim_id, key, outcome, now.since_boot);
            }
            Input::Wait { waiter, key } => {
                self.waiters.insert(waiter, key);
            }
            Input::StopWaiting { waiter } => {
                self.waiters.remove(&waiter);
            }
        }
        self.resolve(now);
    }

    /// Returns the next action. A returned call counts as sent at `now`.
    pub fn next_action(&mut self, now: Time) -> Action {
        self.expire(now);
        if self.in_flight.is_some() {
            return Action::Wait(self.pending.next_timeout(&self.settings));
        }
        match self.next_call(now) {
            Some(call) => {
                self.in_flight = Some((call.clone(), now.since_boot));
                Action::Call(call)
            }
            None => Action::Wait(self.next_wake(now)),
        }
    }

    /// Applies the result of the call in flight.
    pub fn complete_call(&mut self, result: CallResult, now: Time) {
        let Some((call, sent_at)) = self.in_flight.take() else { return };
        let is_tail_call = matches!(call, Call::Get { .. } | Call::Put { .. });
        if is_tail_call && !self.tail.is_fresh(now.since_boot, &self.settings) {
            self.reload();
            return;
        }
        if !matches!(result, CallResult::Failed(_) | CallResult::Unknown(_)) {
            self.failures = 0;
        }
        match (call, result) {
            (Call::List { after }, CallResult::Listed(entries)) => {
                self.apply_listing(after, &entries, sent_at);
            }
            (Call::Get { .. }, CallResult::Found(objects)) => {
                self.apply_read(objects, sent_at, now)
            }
            (Call::Put { batch, .. }, CallResult::Written(version)) => {
                self.append(&batch, version, true, now);
                self.tail.confirm(sent_at);
            }
            (Call::Put { .. }, CallResult::Conflict) => self.must_read = true,
            (Call::Delete { .. }, _) => {}
            (Call::Put { .. }, CallResult::Unknown(reason)) => {
                self.pending.observe_in_doubt();
                self.must_read = true;
                self.fail(&reason, now);
            }
            (Call::Put { .. }, CallResult::Failed(reason)) => {
                self.pending.observe_not_written();
                self.fail(&reason, now);
            }
            (_, CallResult::Failed(reason) | CallResult::Unknown(reason)) => {
                self.fail(&reason, now)
            }
            (_, other) => self.fail(&format!("unexpected result {other:?}"), now),
        }
        self.resolve(now);
    }

    fn next_call(&mut self, now: Time) -> Option<Call> {
        let has_work = self.has_work();
        if now.since_boot < self.retry_at || self.undecodable.is_some() {
            return None;
        }
        if !self.is_listed {
            return has_work.then_some(Call::List { after: self.tail.listed_end.checked_sub(1) });
        }
        let number = self.tail.next_number;
        if number < self.tail.listed_end {
            let count = (self.tail.listed_end - number).min(READ_LIMIT);
            return Some(Call::Get { number, count });
        }
        if has_work && !self.tail.is_fresh(now.since_boot, &self.settings) {
            self.reload();
            return Some(Call::List { after: None });
        }
        let must_poll = !self.waiters.is_empty() && now.since_boot >= self.next_poll_at;
        let must_confirm = has_work && self.tail.needs_confirmation(now.since_boot, &self.settings);
        if self.must_read || must_poll || must_confirm || self.pending.needs_tail_read() {
            return Some(Call::Get { number, count: self.read_count });
        }
        if self.put_time().is_some_and(|at| now.since_boot >= at) {
            if now.since_boot < self.other_writer_until && !self.is_at_end {
                return Some(Call::Get { number, count: self.read_count });
            }
            let batch = self.pending.compose(number, &self.index, &self.settings, now);
            if !batch.entries.is_empty() {
                self.is_at_end = false;
                self.next_put_at = now.since_boot + self.settings.batch_interval;
                return Some(Call::Put { number, batch });
            }
        }
        self.next_deletion(now)
    }

    fn put_time(&self) -> Option<Duration> {
        self.pending.due_at(&self.settings).map(|at| at.max(self.next_put_at))
    }

    fn has_work(&self) -> bool {
        !self.pending.is_empty() || !self.waiters.is_empty() || self.pending.may_have_written()
    }

    fn next_deletion(&mut self, now: Time) -> Option<Call> {
        if now.since_boot < self.next_delete_at {
            return None;
        }
        self.next_delete_at = now.since_boot + DELETE_INTERVAL;
        let expired = self.tail.take_expired(&self.settings, now)?;
        Some(Call::Delete { number: expired.number, version: expired.version })
    }

    fn next_wake(&self, now: Time) -> Option<Duration> {
        let poll = (!self.waiters.is_empty()).then_some(self.next_poll_at);
        let put = self.put_time();
        let retry = self.has_work().then_some(self.retry_at);
        let timeout = self.pending.next_timeout(&self.settings);
        let ahead = |at: &Duration| *at > now.since_boot;
        let expiry = self.tail.next_expiry(&self.settings).map(|at| at.max(self.next_delete_at));
        let wakes = [poll, put, retry, timeout, expiry];
        wakes.into_iter().flatten().filter(ahead).min()
    }

    /// Refuses claims past the claim timeout and removes keys past their retention.
    fn expire(&mut self, now: Time) {
        if let Some(horizon) = now.since_boot.checked_sub(self.settings.claim_timeout()) {
            let reason = "the claim was not confirmed in time";
            self.replies.extend(self.pending.refuse(Some(horizon), reason));
        }
        if let Some(horizon) = now.since_boot.checked_sub(self.settings.retention) {
            self.index.forget_before(horizon);
        }
    }

    fn apply_listing(&mut self, after: Option<u64>, entries: &[ListedNumber], sent_at: Duration) {
        if after.is_none() {
            self.tail.next_number = entries.first().map_or(0, |entry| entry.number);
            self.tail.listed_end = self.tail.next_number;
        }
        for entry in entries {
            if entry.number > self.tail.listed_end {
                // Numbers are missing only where objects were deleted, so everything before a gap
                // is past its retention.
                self.tail.next_number = entry.number;
            }
            self.tail.listed_end = entry.number + 1;
        }
        self.tail.confirm(sent_at);
        self.is_listed = !entries.last().is_some_and(|entry| entry.more);
    }

    fn apply_read(&mut self, objects: Vec<Option<FoundObject>>, sent_at: Duration, now: Time) {
        self.is_at_end = false;
        self.read_count = (self.read_count * 2).min(READ_LIMIT);
        for object in objects {
            match object {
                Some(FoundObject { version, batch: Some(batch) }) => {
                    self.append(&batch, version, false, now);
                    self.other_writer_until = now.since_boot + OTHER_WRITER_WINDOW;
                }
                Some(FoundObject { batch: None, .. }) => {
                    self.undecodable = Some(self.tail.next_number);
                    return;
                }
                // A listed object that no longer exists was deleted after its retention.
                None if self.tail.next_number < self.tail.listed_end => self.tail.next_number += 1,
                None => {
                    self.must_read = false;
                    self.is_at_end = true;
                    self.read_count = 1;
                    self.tail.confirm(sent_at);
                    self.next_poll_at = now.since_boot + self.settings.poll_interval;
                    return;
                }
            }
        }
    }

    fn append(&mut self, batch: &ClaimBatch, version: StoreRevision, is_own: bool, now: Time) {
        self.index.apply(self.tail.next_number, batch, now.since_boot);
        self.tail.advance(version, is_own, now);
    }

    /// Discards the log read so far and refuses the claims that may have been written to it: the
    /// number that they were written under may have been used and deleted before, so it doesn't
    /// prove that they came first.
    fn reload(&mut self) {
        self.replies.extend(self.pending.refuse_written(STALE_TAIL_REASON));
        self.index = Index::default();
        self.tail.reset();
        self.is_listed = false;
        self.must_read = false;
    }

    fn fail(&mut self, reason: &str, now: Time) {
        self.failures = self.failures.saturating_add(1);
        let factor = 1 << (self.failures - 1).min(10);
        let delay = (MIN_RETRY_DELAY * factor).min(MAX_RETRY_DELAY);
        self.retry_at = now.since_boot + delay;
        if self.failures >= FAILURES_LIMIT {
            self.replies.extend(self.pending.refuse(None, reason));
        }
    }

    /// Replies to the claims and waiters that the log decides, once it is read to its end.
    fn resolve(&mut self, now: Time) {
        if let Some(number) = self.undecodable {
            let reason = format!("object {number} of the claim log cannot be read");
            self.replies.extend(self.pending.refuse(None, &reason));
            return;
        }
        let is_current = self.is_listed && self.tail.next_number >= self.tail.listed_end;
        if !is_current {
            return;
        }
        let replies = self.pending.resolve(&self.tail, &self.index, &self.settings, now);
        self.replies.extend(replies);
        self.reply_to_waiters();
    }

    fn reply_to_waiters(&mut self) {
        let waiters = std::mem::take(&mut self.waiters);
        for (waiter, key) in waiters {
            let reply = match (self.pending.outcome_of(&key), self.index.get(&key)) {
                (Some(outcome), _) => Some(WaitReply::Outcome(outcome.clone())),
                (None, None) => Some(WaitReply::Forgotten),
                (None, Some(state)) => state.ended.map(|(ran, number)| WaitReply::Ended {
                    ran,
                    number,
                    claim_id: state.claim_id,
                }),
            };
            match reply {
                Some(reply) => self.replies.push(Reply::Wait(waiter, reply)),
                None => {
                    self.waiters.insert(waiter, key);
                }
            }
        }
    }
}
