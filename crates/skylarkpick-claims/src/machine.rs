//! Decides for one shard of the claim log.

use crate::{
    claim::KeyDigest,
    events::{
        Answer, Call, FoundObject, Input, ListedNumber, Next, Reply, Time, WaitReply, WaiterId,
    },
    index::Index,
    pending::Pending,
    settings::ClaimSettings,
    tail::Tail,
};
use skylarkpick_protocol::stored::ClaimBatch;
use std::{collections::BTreeMap, time::Duration};

/// Objects read at once while a shard's log is loaded.
const LOAD_COUNT: u64 = 16;
/// Failed calls in a row after which waiting claims are refused.
const FAILURES_LIMIT: u32 = 3;
/// Wait after the first failed call; doubles with each further one.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(50);
/// Longest wait after a failed call.
const LONGEST_RETRY_WAIT: Duration = Duration::from_secs(1);
/// Time between two deletions.
const DELETE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after another process's object for which the tail is read before each write.
const SHARED_TIME: Duration = Duration::from_secs(1);
const STALE: &str = "the process was paused and has to read the claim log anew";

/// Decides for one shard of the claim log. The same events always lead to the same decisions.
///
/// ```
/// use skylarkpick_claims::{
///     Answer, Call, ClaimReply, ClaimSettings, Input, Next, Reply, ShardMachine, Time,
/// };
/// use skylarkpick_protocol::stored::Claimed;
/// use std::time::Duration;
/// let now = Time { since_boot: Duration::from_secs(5), wall_ms: 1_000_000 };
/// let mut machine = ShardMachine::open(ClaimSettings::new("entry-1"));
/// let (claim_id, key) = ([1; 16], [2; 32]);
/// machine.handle(Input::Claim { claim_id, key, claimed: Claimed::default() }, now);
/// assert_eq!(machine.next(now), Next::Call(Call::List { after: None }));
/// machine.answer(Answer::Listed(Vec::new()), now);
/// assert!(matches!(machine.next(now), Next::Call(Call::Put { number: 0, .. })));
/// machine.answer(Answer::Written(17), now);
/// assert_eq!(machine.take_replies(), [Reply::Claim(claim_id, ClaimReply::Granted)]);
/// ```
#[derive(Debug)]
pub struct ShardMachine {
    settings: ClaimSettings,
    index: Index,
    pending: Pending,
    tail: Tail,
    waiters: BTreeMap<WaiterId, KeyDigest>,
    replies: Vec<Reply>,
    in_flight: Option<(Call, Duration)>,
    is_loaded: bool,
    must_read: bool,
    /// Until when another process is expected to append also.
    shared_until: Duration,
    /// Whether the last call found that the next number is free.
    is_at_end: bool,
    /// Objects to read next; grows while there are more.
    read_count: u64,
    unreadable: Option<u64>,
    failures: u32,
    retry_at: Duration,
    put_due: Duration,
    poll_due: Duration,
    delete_due: Duration,
}

impl ShardMachine {
    /// Opens a shard of which nothing is known yet.
    pub fn open(settings: ClaimSettings) -> ShardMachine {
        ShardMachine {
            settings,
            index: Index::default(),
            pending: Pending::default(),
            tail: Tail::default(),
            waiters: BTreeMap::new(),
            replies: Vec::new(),
            in_flight: None,
            is_loaded: false,
            must_read: false,
            shared_until: Duration::ZERO,
            is_at_end: false,
            read_count: 1,
            unreadable: None,
            failures: 0,
            retry_at: Duration::ZERO,
            put_due: Duration::ZERO,
            poll_due: Duration::ZERO,
            delete_due: Duration::ZERO,
        }
    }

    /// What is known of the keys.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Answers for claimants and those who wait, each given once.
    pub fn take_replies(&mut self) -> Vec<Reply> {
        std::mem::take(&mut self.replies)
    }

    /// Takes in what the process wants.
    pub fn handle(&mut self, input: Input, now: Time) {
        match input {
            Input::Claim { claim_id, key, claimed } => {
                self.pending.claim(claim_id, key, claimed, now.since_boot);
            }
            Input::GiveUp { claim_id, key } => self.pending.give_up(claim_id, key, now.since_boot),
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
        self.settle(now);
    }

    /// Chooses what to do next. A returned call counts as sent at `now`.
    pub fn next(&mut self, now: Time) -> Next {
        self.expire(now);
        if self.in_flight.is_some() {
            return Next::Wait(self.pending.next_timeout(&self.settings));
        }
        match self.next_call(now) {
            Some(call) => {
                self.in_flight = Some((call.clone(), now.since_boot));
                Next::Call(call)
            }
            None => Next::Wait(self.next_wake(now)),
        }
    }

    /// Takes in the answer to the call under way.
    pub fn answer(&mut self, answer: Answer, now: Time) {
        let Some((call, sent_at)) = self.in_flight.take() else { return };
        let is_tail_call = matches!(call, Call::Get { .. } | Call::Put { .. });
        if is_tail_call && !self.tail.is_fresh(now.since_boot, &self.settings) {
            self.reload();
            return;
        }
        if !matches!(answer, Answer::Failed(_) | Answer::Unknown(_)) {
            self.failures = 0;
        }
        match (call, answer) {
            (Call::List { after }, Answer::Listed(lines)) => self.list(after, &lines, sent_at),
            (Call::Get { .. }, Answer::Found(objects)) => self.read(objects, sent_at, now),
            (Call::Put { batch, .. }, Answer::Written(version)) => {
                self.apply(&batch, version, true, now);
                self.tail.confirm(sent_at);
            }
            (Call::Put { .. }, Answer::Conflict) => self.must_read = true,
            (Call::Delete { .. }, _) => {}
            (Call::Put { .. }, Answer::Unknown(why)) => {
                self.pending.observe_in_doubt();
                self.must_read = true;
                self.fail(&why, now);
            }
            (Call::Put { .. }, Answer::Failed(why)) => {
                self.pending.observe_not_written();
                self.fail(&why, now);
            }
            (_, Answer::Failed(why) | Answer::Unknown(why)) => self.fail(&why, now),
            (_, other) => self.fail(&format!("unexpected answer {other:?}"), now),
        }
        self.settle(now);
    }

    fn next_call(&mut self, now: Time) -> Option<Call> {
        let has_work = self.has_work();
        if now.since_boot < self.retry_at || self.unreadable.is_some() {
            return None;
        }
        if !self.is_loaded {
            return has_work.then_some(Call::List { after: self.tail.listed_end.checked_sub(1) });
        }
        let number = self.tail.next_number;
        if number < self.tail.listed_end {
            let count = (self.tail.listed_end - number).min(LOAD_COUNT);
            return Some(Call::Get { number, count });
        }
        if has_work && !self.tail.is_fresh(now.since_boot, &self.settings) {
            self.reload();
            return Some(Call::List { after: None });
        }
        let must_poll = !self.waiters.is_empty() && now.since_boot >= self.poll_due;
        let must_confirm = has_work && self.tail.is_ageing(now.since_boot, &self.settings);
        if self.must_read || must_poll || must_confirm || self.pending.wants_read() {
            return Some(Call::Get { number, count: self.read_count });
        }
        if self.put_time().is_some_and(|at| now.since_boot >= at) {
            if now.since_boot < self.shared_until && !self.is_at_end {
                return Some(Call::Get { number, count: self.read_count });
            }
            let batch = self.pending.compose(number, &self.index, &self.settings, now);
            if !batch.entries.is_empty() {
                self.is_at_end = false;
                self.put_due = now.since_boot + self.settings.batch_interval;
                return Some(Call::Put { number, batch });
            }
        }
        self.next_deletion(now)
    }

    fn put_time(&self) -> Option<Duration> {
        self.pending.due_at(&self.settings).map(|at| at.max(self.put_due))
    }

    fn has_work(&self) -> bool {
        !self.pending.is_empty() || !self.waiters.is_empty() || self.pending.is_unsettled()
    }

    fn next_deletion(&mut self, now: Time) -> Option<Call> {
        if now.since_boot < self.delete_due {
            return None;
        }
        self.delete_due = now.since_boot + DELETE_INTERVAL;
        let expired = self.tail.take_expired(&self.settings, now)?;
        Some(Call::Delete { number: expired.number, version: expired.version })
    }

    fn next_wake(&self, now: Time) -> Option<Duration> {
        let poll = (!self.waiters.is_empty()).then_some(self.poll_due);
        let put = self.put_time();
        let retry = self.has_work().then_some(self.retry_at);
        let timeout = self.pending.next_timeout(&self.settings);
        let ahead = |at: &Duration| *at > now.since_boot;
        let expiry = self.tail.next_expiry(&self.settings).map(|at| at.max(self.delete_due));
        let wakes = [poll, put, retry, timeout, expiry];
        wakes.into_iter().flatten().filter(ahead).min()
    }

    /// Refuses claims that waited too long and forgets keys past their retention.
    fn expire(&mut self, now: Time) {
        if let Some(horizon) = now.since_boot.checked_sub(self.settings.claim_timeout()) {
            let why = "the claim was not confirmed in time";
            self.replies.extend(self.pending.refuse(Some(horizon), why));
        }
        if let Some(horizon) = now.since_boot.checked_sub(self.settings.retention) {
            self.index.forget_before(horizon);
        }
    }

    fn list(&mut self, after: Option<u64>, lines: &[ListedNumber], sent_at: Duration) {
        if after.is_none() {
            self.tail.next_number = lines.first().map_or(0, |line| line.number);
            self.tail.listed_end = self.tail.next_number;
        }
        for line in lines {
            if line.number > self.tail.listed_end {
                // What came before a gap is past its retention.
                self.tail.next_number = line.number;
            }
            self.tail.listed_end = line.number + 1;
        }
        self.tail.confirm(sent_at);
        self.is_loaded = !lines.last().is_some_and(|line| line.more);
    }

    fn read(&mut self, objects: Vec<Option<FoundObject>>, sent_at: Duration, now: Time) {
        self.is_at_end = false;
        self.read_count = (self.read_count * 2).min(LOAD_COUNT);
        for object in objects {
            match object {
                Some(FoundObject { version, batch: Some(batch) }) => {
                    self.apply(&batch, version, false, now);
                    self.shared_until = now.since_boot + SHARED_TIME;
                }
                Some(FoundObject { batch: None, .. }) => {
                    self.unreadable = Some(self.tail.next_number);
                    return;
                }
                // An object that was listed and is gone was past its retention.
                None if self.tail.next_number < self.tail.listed_end => self.tail.next_number += 1,
                None => {
                    self.must_read = false;
                    self.is_at_end = true;
                    self.read_count = 1;
                    self.tail.confirm(sent_at);
                    self.poll_due = now.since_boot + self.settings.poll_interval;
                    return;
                }
            }
        }
    }

    fn apply(&mut self, batch: &ClaimBatch, version: u64, is_own: bool, now: Time) {
        self.index.apply(self.tail.next_number, batch, now.since_boot);
        self.tail.advance(version, is_own, now);
    }

    /// Forgets the log and the claims that may be in it, whose place in it proves nothing.
    fn reload(&mut self) {
        self.replies.extend(self.pending.refuse_put(STALE));
        self.index = Index::default();
        self.tail.reset();
        self.is_loaded = false;
        self.must_read = false;
    }

    fn fail(&mut self, why: &str, now: Time) {
        self.failures = self.failures.saturating_add(1);
        let factor = 1 << (self.failures - 1).min(10);
        let wait = (FIRST_RETRY_WAIT * factor).min(LONGEST_RETRY_WAIT);
        self.retry_at = now.since_boot + wait;
        if self.failures >= FAILURES_LIMIT {
            self.replies.extend(self.pending.refuse(None, why));
        }
    }

    fn settle(&mut self, now: Time) {
        if let Some(number) = self.unreadable {
            let why = format!("object {number} of the claim log cannot be read");
            self.replies.extend(self.pending.refuse(None, &why));
            return;
        }
        let is_current = self.is_loaded && self.tail.next_number >= self.tail.listed_end;
        if !is_current {
            return;
        }
        let replies = self.pending.settle(&self.tail, &self.index, &self.settings, now);
        self.replies.extend(replies);
        self.answer_waiters();
    }

    fn answer_waiters(&mut self) {
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
