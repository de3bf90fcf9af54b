//! Candidates against a plain model: never two that may order at the same moment.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use skylarkpick_lease::{LeaseMachine, LeaseRecord, LeaseSettings, Step, WriteAnswer};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
const SEED: u64 = 20_261_203;

/// What befalls a candidate in one tick.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Ordinary,
    Paused,
    Cut,
    LostBefore,
    LostAfter,
    Late,
    SlowAnswer,
    Order,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        12 => Just(Fate::Ordinary),
        2 => Just(Fate::Paused),
        3 => Just(Fate::Cut),
        1 => Just(Fate::LostBefore),
        2 => Just(Fate::LostAfter),
        1 => Just(Fate::Late),
        1 => Just(Fate::SlowAnswer),
        6 => Just(Fate::Order),
    ]
}

/// A fate that lasts some ticks, as pauses and outages do.
fn fates() -> impl Strategy<Value = Vec<Fate>> {
    prop::collection::vec((fate(), 1..40_usize), 40..80).prop_map(|stretches| {
        stretches
            .into_iter()
            .flat_map(|(fate, ticks)| {
                let long = matches!(fate, Fate::Paused | Fate::Cut | Fate::Ordinary);
                std::iter::repeat_n(fate, if long { ticks } else { 1 })
            })
            .collect()
    })
}

/// Ticks that a slow answer takes; its sender waits for it and does nothing else.
const SLOW_ANSWER_TICKS: usize = 45;

/// A candidate, and the answer that it waits for.
struct Candidate {
    machine: LeaseMachine,
    answer: Option<(usize, WriteAnswer)>,
}

/// A write on its way that takes effect some ticks after its sender gave it up.
struct LateWrite {
    due_tick: usize,
    expected: Option<u64>,
    record: LeaseRecord,
}

#[derive(Default)]
struct Object {
    version: u64,
    record: Option<LeaseRecord>,
}

impl Object {
    fn current(&self) -> Option<u64> {
        self.record.as_ref().map(|_| self.version)
    }

    fn write(&mut self, expected: Option<u64>, record: &LeaseRecord) -> WriteAnswer {
        if self.current() != expected {
            return WriteAnswer::Conflict;
        }
        self.version += 1;
        self.record = Some(record.clone());
        WriteAnswer::Written(self.version)
    }
}

/// An order: its sender, its fencing number, and the ticks during which it may take effect.
struct SentOrder {
    sender: usize,
    fencing_number: u64,
    ends_at: Duration,
}

fn candidate(index: usize) -> Candidate {
    let settings = LeaseSettings::new("leases/test", &format!("entry-{index}"));
    let machine = LeaseMachine::open(settings, &format!("entry-{index}"));
    Candidate { machine, answer: None }
}

/// Runs three candidates through their fates; gives the number of orders sent.
fn run(all_fates: &[Vec<Fate>]) -> Result<usize, TestCaseError> {
    let mut candidates: Vec<_> = (0..all_fates.len()).map(candidate).collect();
    let (mut object, mut late, mut orders) = (Object::default(), Vec::new(), Vec::new());
    let ticks = all_fates.iter().map(Vec::len).max().unwrap_or_default();
    for tick in 0..ticks {
        let now = TICK * tick as u32;
        take_effect(&mut late, tick, &mut object);
        for (index, fates) in all_fates.iter().enumerate() {
            let fate = fates.get(tick).copied().unwrap_or(Fate::Ordinary);
            // Each candidate's clock started at another time.
            let local = now + Duration::from_secs(1_000 * index as u64);
            if fate != Fate::Paused {
                advance(&mut candidates[index], local, fate, tick, &mut object, &mut late);
            }
            if fate == Fate::Order {
                send_order(&candidates[index].machine, index, now, local, &mut orders)?;
            }
        }
        let believers = (0..candidates.len()).filter(|index| {
            let local = now + Duration::from_secs(1_000 * *index as u64);
            candidates[*index].machine.permit(local).is_some()
        });
        prop_assert!(believers.count() <= 1, "two candidates may order at {now:?}");
    }
    Ok(orders.len())
}

fn take_effect(late: &mut Vec<LateWrite>, tick: usize, object: &mut Object) {
    let (due, rest) = late.drain(..).partition(|write: &LateWrite| write.due_tick <= tick);
    *late = rest;
    let due: Vec<LateWrite> = due;
    for write in due {
        object.write(write.expected, &write.record);
    }
}

fn advance(
    candidate: &mut Candidate,
    now: Duration,
    fate: Fate,
    tick: usize,
    object: &mut Object,
    late: &mut Vec<LateWrite>,
) {
    let machine = &mut candidate.machine;
    match candidate.answer {
        Some((due_tick, _)) if tick < due_tick => return,
        Some((_, answer)) => machine.observe_write(answer),
        None => {}
    }
    candidate.answer = None;
    for _ in 0..3 {
        match machine.step(now) {
            Step::WaitUntil(_) => return,
            Step::Read if matches!(fate, Fate::Cut) => machine.observe_read_failure(now),
            Step::Read => {
                let found = object.record.clone().map(|record| (object.version, record));
                machine.observe_read(now, found);
            }
            Step::Write { expected, record } => {
                if matches!(fate, Fate::SlowAnswer | Fate::LostAfter) {
                    let written = object.write(expected, &record);
                    let lost = fate == Fate::LostAfter;
                    let answer = if lost { WriteAnswer::Unknown } else { written };
                    candidate.answer = Some((tick + SLOW_ANSWER_TICKS, answer));
                    return;
                }
                let answer = match fate {
                    Fate::Cut => WriteAnswer::NotWritten,
                    Fate::LostBefore => WriteAnswer::Unknown,
                    Fate::Late => {
                        late.push(LateWrite { due_tick: tick + 30, expected, record });
                        WriteAnswer::Unknown
                    }
                    _ => object.write(expected, &record),
                };
                machine.observe_write(answer);
            }
        }
    }
}

/// Sends an order if the lease permits it, and holds it against those of other candidates.
fn send_order(
    machine: &LeaseMachine,
    sender: usize,
    now: Duration,
    local: Duration,
    orders: &mut Vec<SentOrder>,
) -> Result<(), TestCaseError> {
    let Some(permit) = machine.permit(local) else { return Ok(()) };
    for other in orders.iter().filter(|other| other.sender != sender) {
        prop_assert!(other.ends_at <= now, "an order of another holder may still take effect");
        prop_assert!(other.fencing_number < permit.fencing_number, "the number did not grow");
    }
    let ends_at = now + Duration::from_secs(2);
    orders.push(SentOrder { sender, fencing_number: permit.fencing_number, ends_at });
    Ok(())
}

#[test]
fn never_two_candidates_may_order_at_once() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let mut orders = 0;
    TestRunner::new(config)
        .run(&prop::collection::vec(fates(), 3), |all_fates| run(&all_fates).map(|_| ()))
        .unwrap();
    // Without faults the lease is of use: orders are sent.
    let calm = vec![vec![Fate::Order; 200]; 2];
    orders += run(&calm).unwrap();
    assert!(orders > 150, "{orders} orders in 200 ticks");
}

#[test]
fn any_bytes_are_read_as_a_lease_that_ends() {
    let config = Config {
        cases: 5_000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let record = (any::<u64>(), any::<u64>(), any::<bool>()).prop_map(|(term, order, released)| {
        format!(
            "{{\"holder\":\"h\",\"nonce\":\"n\",\"term_ms\":{term},\"order_timeout_ms\":{order},\
             \"released\":{released}}}"
        )
        .into_bytes()
    });
    let content = prop_oneof![record, prop::collection::vec(any::<u8>(), 0..200)];
    TestRunner::new(config)
        .run(&content, |content| {
            let mut machine = candidate(0).machine;
            let now = Duration::from_secs(100);
            machine.observe_read(now, Some((1, LeaseRecord::read(&content))));
            // The longest wait: five minutes of a term, and as much for an order.
            let mut candidate = Candidate { machine, answer: None };
            let (mut object, mut late) = (Object::default(), Vec::new());
            object.write(None, &LeaseRecord::read(&content));
            for second in 0..605 {
                let at = now + Duration::from_secs(second);
                advance(&mut candidate, at, Fate::Ordinary, 0, &mut object, &mut late);
            }
            prop_assert!(candidate.machine.permit(now + Duration::from_secs(604)).is_some());
            Ok(())
        })
        .unwrap();
}
