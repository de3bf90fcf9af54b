//! Several processes on one shard under random faults, held against a plain model: at most one
//! request of a key is sent within the retention, and "not run" is never said of one that was.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use skylarkpick_claims::{
    Answer, Call, ClaimId, ClaimReply, ClaimSettings, FoundObject, Input, ListedNumber, Next, Ran,
    Reply, ShardMachine, Time, WaitReply,
};
use skylarkpick_protocol::stored::{self, ClaimBatch, Claimed, Outcome};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const SEED: u64 = 20_261_203;
const PROCESSES: usize = 3;
const RETENTION: Duration = Duration::from_secs(60);
const KEYS: u8 = 3;

/// What happens next to one process.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Claims a key.
    Claim(u8),
    /// Waits for the outcome of a key.
    Wait(u8),
    /// Takes in the answer to its call, and makes the next call with this fate.
    Step(Fate),
    /// Sends the request of its oldest grant.
    Send,
    /// Reports the outcome of its oldest grant.
    Finish(Ran),
    /// Dies and starts anew.
    Restart,
    /// Time passes for all, in milliseconds.
    Pass(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Ordinary,
    Away,
    LostBefore,
    LostAfter,
    /// Arrives this many seconds after its sender gave it up.
    Late(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let fate = prop_oneof![
        12 => Just(Fate::Ordinary),
        1 => Just(Fate::Away),
        1 => Just(Fate::LostBefore),
        1 => Just(Fate::LostAfter),
        1 => (0..100_u64).prop_map(Fate::Late),
    ];
    let ran = prop_oneof![Just(Ran::NotRun), Just(Ran::Ran), Just(Ran::Unknown)];
    prop_oneof![
        4 => (0..KEYS).prop_map(Event::Claim),
        1 => (0..KEYS).prop_map(Event::Wait),
        16 => fate.prop_map(Event::Step),
        8 => Just(Event::Send),
        2 => ran.prop_map(Event::Finish),
        1 => Just(Event::Restart),
        3 => (1..500_u64).prop_map(Event::Pass),
        1 => (1_000..40_000_u64).prop_map(Event::Pass),
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
    machine: ShardMachine,
    answer: Option<Answer>,
    grants: Vec<Grant>,
    started_at: Duration,
}

struct LateWrite {
    due: Duration,
    number: u64,
    batch: ClaimBatch,
}

/// The platform, the processes, and what an observer of both knows.
struct World {
    now: Duration,
    objects: BTreeMap<u64, (u64, ClaimBatch)>,
    version: u64,
    late: Vec<LateWrite>,
    processes: Vec<Process>,
    claims: u64,
    keys: BTreeMap<ClaimId, [u8; 32]>,
    created: BTreeMap<ClaimId, Duration>,
    answered: BTreeSet<ClaimId>,
    said_not_run: BTreeSet<ClaimId>,
    sent: BTreeMap<ClaimId, Duration>,
    granted: BTreeSet<ClaimId>,
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
        machine: ShardMachine::open(settings()),
        answer: None,
        grants: Vec::new(),
        started_at: now,
    }
}

fn key_digest(key: u8) -> [u8; 32] {
    [key; 32]
}

impl World {
    fn open() -> World {
        World {
            now: Duration::from_secs(1_000),
            objects: BTreeMap::new(),
            version: 0,
            late: Vec::new(),
            processes: (0..PROCESSES).map(|_| process(Duration::from_secs(1_000))).collect(),
            claims: 0,
            keys: BTreeMap::new(),
            created: BTreeMap::new(),
            answered: BTreeSet::new(),
            said_not_run: BTreeSet::new(),
            sent: BTreeMap::new(),
            granted: BTreeSet::new(),
            replayed: 0,
        }
    }

    /// Time on the clocks of a process, whose boot clock began with its start.
    fn time(&self, index: usize) -> Time {
        Time {
            since_boot: self.now - self.processes[index].started_at + Duration::from_secs(1),
            wall_ms: self.now.as_millis() as u64,
        }
    }

    fn happen(&mut self, index: usize, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Claim(key) => {
                self.claim(index, key_digest(key));
            }
            Event::Wait(key) => {
                self.claims += 1;
                let input = Input::Wait { waiter: self.claims, key: key_digest(key) };
                let time = self.time(index);
                self.processes[index].machine.handle(input, time);
            }
            Event::Step(fate) => self.step(index, fate),
            Event::Send => self.send(index)?,
            Event::Finish(ran) => self.finish(index, ran),
            Event::Restart => self.processes[index] = process(self.now),
            Event::Pass(milliseconds) => {
                self.now += Duration::from_millis(milliseconds);
                self.land();
            }
        }
        self.take_replies(index)
    }

    fn claim(&mut self, index: usize, key: [u8; 32]) -> ClaimId {
        self.claims += 1;
        let mut claim_id = ClaimId::default();
        claim_id[..8].copy_from_slice(&self.claims.to_be_bytes());
        self.keys.insert(claim_id, key);
        self.created.insert(claim_id, self.now);
        let claimed = Claimed { time_allowed_ms: 5_000, ..Claimed::default() };
        let time = self.time(index);
        self.processes[index].machine.handle(Input::Claim { claim_id, key, claimed }, time);
        claim_id
    }

    fn step(&mut self, index: usize, fate: Fate) {
        let time = self.time(index);
        if let Some(answer) = self.processes[index].answer.take() {
            self.processes[index].machine.answer(answer, time);
        }
        if let Next::Call(call) = self.processes[index].machine.next(time) {
            let answer = self.call(call, fate);
            self.processes[index].answer = Some(answer);
        }
    }

    fn call(&mut self, call: Call, fate: Fate) -> Answer {
        let is_write = matches!(call, Call::Put { .. } | Call::Delete { .. });
        if fate == Fate::Away || (!is_write && fate != Fate::Ordinary) {
            return Answer::Failed("away".to_string());
        }
        if fate == Fate::LostBefore {
            return Answer::Unknown("lost".to_string());
        }
        if let (Fate::Late(seconds), Call::Put { number, batch }) = (fate, &call) {
            let due = self.now + Duration::from_secs(seconds);
            self.late.push(LateWrite { due, number: *number, batch: batch.clone() });
            return Answer::Unknown("late".to_string());
        }
        let answer = self.carry_out(call);
        if fate == Fate::Ordinary { answer } else { Answer::Unknown("lost".to_string()) }
    }

    fn carry_out(&mut self, call: Call) -> Answer {
        match call {
            Call::List { after } => {
                let numbers =
                    self.objects.keys().filter(|number| after.is_none_or(|it| **number > it));
                let lines = numbers.map(|number| ListedNumber { number: *number, more: true });
                let mut lines: Vec<_> = lines.take(3).collect();
                if lines.len() < 3 {
                    lines.iter_mut().for_each(|line| line.more = false);
                }
                Answer::Listed(lines)
            }
            Call::Get { number, count } => {
                let found = (number..number + count).map(|number| {
                    let (version, batch) = self.objects.get(&number)?;
                    Some(FoundObject { version: *version, batch: Some(batch.clone()) })
                });
                Answer::Found(found.collect())
            }
            Call::Put { number, batch } => self.put(number, batch),
            Call::Delete { number, version } => {
                if self.objects.get(&number).is_some_and(|(current, _)| *current == version) {
                    self.objects.remove(&number);
                }
                Answer::Deleted
            }
        }
    }

    fn put(&mut self, number: u64, batch: ClaimBatch) -> Answer {
        if self.objects.contains_key(&number) {
            return Answer::Conflict;
        }
        self.version += 1;
        self.objects.insert(number, (self.version, batch));
        Answer::Written(self.version)
    }

    fn land(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|it| it.due <= now);
        self.late = rest;
        let due: Vec<LateWrite> = due;
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
        prop_assert!(!self.said_not_run.contains(&grant.claim_id), "said not run, then sent");
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
            (false, _) => Input::GiveUp { claim_id, key },
            (true, ran) => {
                let ran = if ran == Ran::Unknown { stored::Ran::Unknown } else { stored::Ran::Ran };
                let outcome = Outcome { ran: ran.into(), ..Outcome::default() };
                Input::Finish { claim_id, key, outcome }
            }
        };
        process.machine.handle(input, time);
    }

    fn take_replies(&mut self, index: usize) -> Result<(), TestCaseError> {
        for reply in self.processes[index].machine.take_replies() {
            match reply {
                Reply::Claim(claim_id, reply) => self.take_claim_reply(index, claim_id, reply)?,
                Reply::Wait(_, WaitReply::Ended { ran, claim_id, .. }) => {
                    self.replayed += 1;
                    self.check_told(claim_id, ran)?;
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
        prop_assert!(self.answered.insert(claim_id), "a claim was answered twice");
        match reply {
            ClaimReply::Granted => {
                self.granted.insert(claim_id);
                let usable_until = self.time(index).since_boot + RETENTION / 4;
                let key = self.keys[&claim_id];
                let grant = Grant { claim_id, key, usable_until, is_sent: false };
                self.processes[index].grants.push(grant);
            }
            ClaimReply::Away(_) => {
                self.said_not_run.insert(claim_id);
            }
            ClaimReply::Ended { claim_id, .. } => {
                self.replayed += 1;
                self.check_told(claim_id, Ran::Ran)?;
            }
            _ => {}
        }
        Ok(())
    }

    /// What a repeat is told about a claim must be true, now and later.
    fn check_told(&mut self, claim_id: ClaimId, ran: Ran) -> Result<(), TestCaseError> {
        let was_sent = self.sent.contains_key(&claim_id);
        match ran {
            Ran::NotRun => {
                prop_assert!(!was_sent, "told not run, but it was sent");
                self.said_not_run.insert(claim_id);
            }
            Ran::Ran => prop_assert!(was_sent, "told ran, but it was never sent"),
            Ran::Unknown => {}
        }
        Ok(())
    }

    /// Without faults, every process gets a fresh key granted.
    fn check_calm(&mut self) -> Result<(), TestCaseError> {
        for index in 0..PROCESSES {
            // The last call of the troubled time may still fail, and refuse what waits for it.
            self.happen(index, Event::Step(Fate::Ordinary))?;
            self.happen(index, Event::Pass(2_000))?;
            let claim_id = self.claim(index, key_digest(100 + index as u8));
            for _ in 0..400 {
                self.happen(index, Event::Step(Fate::Ordinary))?;
                self.happen(index, Event::Pass(20))?;
            }
            prop_assert!(self.granted.contains(&claim_id), "process {index} gets no grant");
        }
        Ok(())
    }
}

fn run(events: &[(usize, Event)]) -> Result<(usize, usize, usize), TestCaseError> {
    let mut world = World::open();
    for (index, event) in events {
        world.happen(*index, *event)?;
    }
    world.check_calm()?;
    Ok((world.granted.len(), world.sent.len(), world.replayed))
}

#[test]
fn a_key_is_sent_at_most_once_and_not_run_is_true() {
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
    println!("{granted} grants, {sent} sent, {replayed} told of an earlier claim");
    assert!(sent > 2_000 && replayed > 1_000, "the schedules exercise too little");
}
