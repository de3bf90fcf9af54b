//! Property test of the claim protocol: several processes on one shard, with random interleavings,
//! restarts and platform faults. Within the retention, at most one request of a key may be sent,
//! and a request that was sent may never be reported as not run.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use skylarkpick_claims::{
    Action, Call, CallResult, ClaimId, ClaimReply, ClaimSettings, FoundObject, Input, ListedNumber,
    Ran, Reply, ShardStateMachine, Time, WaitReply,
};
use skylarkpick_interface::StoreRevision;
use skylarkpick_protocol::stored::{self, ClaimBatch, Claimed, Outcome};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const SEED: u64 = 20_261_203;
const PROCESSES: usize = 3;
const RETENTION: Duration = Duration::from_secs(60);
const KEYS: u8 = 3;

/// An event of one process, or the passing of time.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Claims a key.
    Claim(u8),
    /// Waits for the outcome of a key.
    Wait(u8),
    /// Completes its call in flight, and makes the next call under this fault.
    Step(CallFault),
    /// Sends the request of its oldest unused grant.
    Send,
    /// Reports the outcome of its oldest grant.
    Finish(Ran),
    /// Crashes and restarts with empty state.
    Restart,
    /// Advances the time of all processes, in milliseconds.
    AdvanceTime(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CallFault {
    None,
    /// The platform is unavailable.
    Unavailable,
    /// A write is lost before it takes effect, and gets no response.
    RequestLost,
    /// A write takes effect, but its response is lost.
    ResponseLost,
    /// A write gets no response and takes effect this many seconds later.
    Delayed(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let fault = prop_oneof![
        12 => Just(CallFault::None),
        1 => Just(CallFault::Unavailable),
        1 => Just(CallFault::RequestLost),
        1 => Just(CallFault::ResponseLost),
        1 => (0..100_u64).prop_map(CallFault::Delayed),
    ];
    let ran = prop_oneof![Just(Ran::NotRun), Just(Ran::Ran), Just(Ran::Unknown)];
    prop_oneof![
        4 => (0..KEYS).prop_map(Event::Claim),
        1 => (0..KEYS).prop_map(Event::Wait),
        16 => fault.prop_map(Event::Step),
        8 => Just(Event::Send),
        2 => ran.prop_map(Event::Finish),
        1 => Just(Event::Restart),
        3 => (1..500_u64).prop_map(Event::AdvanceTime),
        1 => (1_000..40_000_u64).prop_map(Event::AdvanceTime),
    ]
}

/// A grant that the process still holds.
#[derive(Clone, Copy, Debug)]
struct Grant {
    claim_id: ClaimId,
    key: [u8; 32],
    usable_until: Duration,
    is_sent: bool,
}

struct Process {
    shard: ShardStateMachine,
    /// Result of the call in flight.
    pending_result: Option<CallResult>,
    grants: Vec<Grant>,
    started_at: Duration,
}

struct DelayedWrite {
    due: Duration,
    number: u64,
    batch: ClaimBatch,
}

/// The platform, the processes, and a record of what happened for the checks.
struct Simulation {
    now: Duration,
    objects: BTreeMap<u64, (StoreRevision, ClaimBatch)>,
    version: StoreRevision,
    delayed: Vec<DelayedWrite>,
    processes: Vec<Process>,
    /// Claims and waits so far, which number their ids.
    next_id: u64,
    keys: BTreeMap<ClaimId, [u8; 32]>,
    created: BTreeMap<ClaimId, Duration>,
    replied: BTreeSet<ClaimId>,
    reported_not_run: BTreeSet<ClaimId>,
    sent: BTreeMap<ClaimId, Duration>,
    granted: BTreeSet<ClaimId>,
    /// Replies that report the outcome of an earlier claim.
    replayed: usize,
}

fn settings() -> ClaimSettings {
    ClaimSettings {
        retention: RETENTION,
        batch_interval: Duration::ZERO,
        ..ClaimSettings::new("entry")
    }
}

fn process(now: Duration) -> Process {
    Process {
        shard: ShardStateMachine::open(settings()),
        pending_result: None,
        grants: Vec::new(),
        started_at: now,
    }
}

fn key_digest(key: u8) -> [u8; 32] {
    [key; 32]
}

impl Simulation {
    fn open() -> Simulation {
        Simulation {
            now: Duration::from_secs(1_000),
            objects: BTreeMap::new(),
            version: StoreRevision::default(),
            delayed: Vec::new(),
            processes: (0..PROCESSES).map(|_| process(Duration::from_secs(1_000))).collect(),
            next_id: 0,
            keys: BTreeMap::new(),
            created: BTreeMap::new(),
            replied: BTreeSet::new(),
            reported_not_run: BTreeSet::new(),
            sent: BTreeMap::new(),
            granted: BTreeSet::new(),
            replayed: 0,
        }
    }

    /// Returns the time on the clocks of a process, whose time since boot starts at 1 s.
    fn time(&self, index: usize) -> Time {
        Time {
            since_boot: self.now - self.processes[index].started_at + Duration::from_secs(1),
            wall_ms: self.now.as_millis() as u64,
        }
    }

    fn apply(&mut self, index: usize, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Claim(key) => {
                self.claim(index, key_digest(key));
            }
            Event::Wait(key) => {
                self.next_id += 1;
                let input = Input::Wait { waiter: self.next_id, key: key_digest(key) };
                let time = self.time(index);
                self.processes[index].shard.handle(input, time);
            }
            Event::Step(fault) => self.step(index, fault),
            Event::Send => self.send(index)?,
            Event::Finish(ran) => self.finish(index, ran),
            Event::Restart => self.processes[index] = process(self.now),
            Event::AdvanceTime(milliseconds) => {
                self.now += Duration::from_millis(milliseconds);
                self.apply_due_writes();
            }
        }
        self.take_replies(index)
    }

    fn claim(&mut self, index: usize, key: [u8; 32]) -> ClaimId {
        self.next_id += 1;
        let mut claim_id = ClaimId::default();
        claim_id[..8].copy_from_slice(&self.next_id.to_be_bytes());
        self.keys.insert(claim_id, key);
        self.created.insert(claim_id, self.now);
        let claimed = Claimed { time_allowed_ms: 5_000, ..Claimed::default() };
        let time = self.time(index);
        self.processes[index].shard.handle(Input::Claim { claim_id, key, claimed }, time);
        claim_id
    }

    fn step(&mut self, index: usize, fault: CallFault) {
        let time = self.time(index);
        if let Some(result) = self.processes[index].pending_result.take() {
            self.processes[index].shard.complete_call(result, time);
        }
        if let Action::Call(call) = self.processes[index].shard.next_action(time) {
            let result = self.call(call, fault);
            self.processes[index].pending_result = Some(result);
        }
    }

    fn call(&mut self, call: Call, fault: CallFault) -> CallResult {
        let is_write = matches!(call, Call::Put { .. } | Call::Delete { .. });
        if fault == CallFault::Unavailable || (!is_write && fault != CallFault::None) {
            return CallResult::Failed("unavailable".to_string());
        }
        if fault == CallFault::RequestLost {
            return CallResult::Unknown("lost".to_string());
        }
        if let (CallFault::Delayed(seconds), Call::Put { number, batch }) = (fault, &call) {
            let due = self.now + Duration::from_secs(seconds);
            self.delayed.push(DelayedWrite { due, number: *number, batch: batch.clone() });
            return CallResult::Unknown("delayed".to_string());
        }
        let result = self.execute(call);
        if fault == CallFault::None { result } else { CallResult::Unknown("lost".to_string()) }
    }

    fn execute(&mut self, call: Call) -> CallResult {
        match call {
            Call::List { after } => {
                let numbers =
                    self.objects.keys().filter(|number| after.is_none_or(|it| **number > it));
                let lines = numbers.map(|number| ListedNumber { number: *number, more: true });
                let mut lines: Vec<_> = lines.take(3).collect();
                if lines.len() < 3 {
                    lines.iter_mut().for_each(|line| line.more = false);
                }
                CallResult::Listed(lines)
            }
            Call::Get { number, count } => {
                let found = (number..number + count).map(|number| {
                    let (version, batch) = self.objects.get(&number)?;
                    Some(FoundObject { version: *version, batch: Some(batch.clone()) })
                });
                CallResult::Found(found.collect())
            }
            Call::Put { number, batch } => self.put(number, batch),
            Call::Delete { number, version } => {
                if self.objects.get(&number).is_some_and(|(current, _)| *current == version) {
                    self.objects.remove(&number);
                }
                CallResult::Deleted
            }
        }
    }

    fn put(&mut self, number: u64, batch: ClaimBatch) -> CallResult {
        if self.objects.contains_key(&number) {
            return CallResult::Conflict;
        }
        self.version.number += 1;
        self.objects.insert(number, (self.version, batch));
        CallResult::Written(self.version)
    }

    fn apply_due_writes(&mut self) {
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.delayed).into_iter().partition(|it| it.due <= now);
        self.delayed = rest;
        let due: Vec<DelayedWrite> = due;
        for write in due {
            self.put(write.number, write.batch);
        }
    }

    fn send(&mut self, index: usize) -> Result<(), TestCaseError> {
        let now = self.time(index).since_boot;
        let grants = &mut self.processes[index].grants;
        let Some(grant) = grants.iter_mut().find(|grant| !grant.is_sent) else { return Ok(()) };
        if now > grant.usable_until {
            return Ok(());
        }
        grant.is_sent = true;
        let grant = *grant;
        prop_assert!(
            !self.reported_not_run.contains(&grant.claim_id),
            "reported as not run, then sent"
        );
        for other in self.sent.keys().filter(|other| self.keys[*other] == grant.key) {
            let apart = self.now - self.created[other];
            prop_assert!(apart >= RETENTION, "sent twice, {apart:?} after the first claim");
        }
        self.sent.insert(grant.claim_id, self.now);
        Ok(())
    }

    fn finish(&mut self, index: usize, ran: Ran) {
        let time = self.time(index);
        let process = &mut self.processes[index];
        if process.grants.is_empty() {
            return;
        }
        let Grant { claim_id, key, is_sent, .. } = process.grants.remove(0);
        let input = match (is_sent, ran) {
            (false, _) => Input::Abandon { claim_id, key },
            (true, ran) => {
                let ran = if ran == Ran::Unknown { stored::Ran::Unknown } else { stored::Ran::Ran };
                let outcome = Outcome { ran: ran.into(), ..Outcome::default() };
                Input::Finish { claim_id, key, outcome }
            }
        };
        process.shard.handle(input, time);
    }

    fn take_replies(&mut self, index: usize) -> Result<(), TestCaseError> {
        for reply in self.processes[index].shard.take_replies() {
            match reply {
                Reply::Claim(claim_id, reply) => self.take_claim_reply(index, claim_id, reply)?,
                Reply::Wait(_, WaitReply::Ended { ran, claim_id, .. }) => {
                    self.replayed += 1;
                    self.check_reported(claim_id, ran)?;
                }
                Reply::Wait(..) | Reply::Appended(_) => {}
            }
        }
        Ok(())
    }

    fn take_claim_reply(
        &mut self,
        index: usize,
        claim_id: ClaimId,
        reply: ClaimReply,
    ) -> Result<(), TestCaseError> {
        prop_assert!(self.replied.insert(claim_id), "a claim got two replies");
        match reply {
            ClaimReply::Granted => {
                self.granted.insert(claim_id);
                let usable_until = self.time(index).since_boot + RETENTION / 4;
                let key = self.keys[&claim_id];
                let grant = Grant { claim_id, key, usable_until, is_sent: false };
                self.processes[index].grants.push(grant);
            }
            ClaimReply::NotConfirmed(_) => {
                self.reported_not_run.insert(claim_id);
            }
            ClaimReply::Ended { claim_id, .. } => {
                self.replayed += 1;
                self.check_reported(claim_id, Ran::Ran)?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Checks the reported outcome of a claim against what happened. A request reported as not run
    /// must not be sent later either.
    fn check_reported(&mut self, claim_id: ClaimId, ran: Ran) -> Result<(), TestCaseError> {
        let was_sent = self.sent.contains_key(&claim_id);
        match ran {
            Ran::NotRun => {
                prop_assert!(!was_sent, "reported as not run, but it was sent");
                self.reported_not_run.insert(claim_id);
            }
            Ran::Ran => prop_assert!(was_sent, "reported as run, but it was never sent"),
            Ran::Unknown => {}
        }
        Ok(())
    }

    /// Checks that without faults every process gets a grant for an unused key.
    fn check_grants_without_faults(&mut self) -> Result<(), TestCaseError> {
        for index in 0..PROCESSES {
            // The call in flight may still fail and lead to refusals.
            self.apply(index, Event::Step(CallFault::None))?;
            self.apply(index, Event::AdvanceTime(2_000))?;
            let claim_id = self.claim(index, key_digest(100 + index as u8));
            for _ in 0..400 {
                self.apply(index, Event::Step(CallFault::None))?;
                self.apply(index, Event::AdvanceTime(20))?;
            }
            prop_assert!(self.granted.contains(&claim_id), "process {index} got no grant");
        }
        Ok(())
    }
}

fn run(events: &[(usize, Event)]) -> Result<(usize, usize, usize), TestCaseError> {
    let mut simulation = Simulation::open();
    for (index, event) in events {
        simulation.apply(*index, *event)?;
    }
    simulation.check_grants_without_faults()?;
    Ok((simulation.granted.len(), simulation.sent.len(), simulation.replayed))
}

#[test]
fn sends_a_key_at_most_once_and_never_reports_a_sent_request_as_not_run() {
    let config = Config {
        cases: 1_500,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let events = prop::collection::vec((0..PROCESSES, event()), 100..500);
    let totals = std::cell::Cell::new((0, 0, 0));
    TestRunner::new(config)
        .run(&events, |events| {
            let (granted, sent, replayed) = run(&events)?;
            let total = totals.get();
            totals.set((total.0 + granted, total.1 + sent, total.2 + replayed));
            Ok(())
        })
        .unwrap();
    let (granted, sent, replayed) = totals.get();
    println!("{granted} grants, {sent} sent, {replayed} outcomes of earlier claims");
    assert!(
        sent > 2_000 && replayed > 1_000,
        "too few requests were sent or replayed to exercise the protocol"
    );
}
