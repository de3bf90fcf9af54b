//! Property tests of the lease protocol with three candidates that are paused, started again,
//! partitioned from the platform, or get no response to writes that take effect at once or later. At
//! no time may two candidates be allowed to send orders, and those of two machines stay apart.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use skylarkpick_lease::{Action, LeaseRecord, LeaseSettings, LeaseStateMachine, WriteOutcome};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
const SEED: u64 = 20_261_203;

/// What happens to a candidate in one tick.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TickEvent {
    /// The platform responds at once.
    Normal,
    /// The process doesn't run.
    Paused,
    /// The process is killed, and started again in the next tick.
    Restarted,
    /// The platform is unreachable: reads fail and nothing is written.
    Partitioned,
    /// The platform is unreachable, and the candidate sends an order if it may.
    PartitionedOrder,
    /// A write is lost before it takes effect, and gets no response.
    LostRequest,
    /// A write takes effect; its candidate gets no response, which it learns
    /// `SLOW_RESPONSE_TICKS` later.
    LostResponse,
    /// A write gets no response and takes effect 30 ticks later.
    DelayedWrite,
    /// A write takes effect, and its response arrives `SLOW_RESPONSE_TICKS` later.
    SlowResponse,
    /// The platform responds at once, and the candidate sends an order if it may.
    Order,
}

fn tick_event() -> impl Strategy<Value = TickEvent> {
    prop_oneof![
        12 => Just(TickEvent::Normal),
        2 => Just(TickEvent::Paused),
        2 => Just(TickEvent::Restarted),
        3 => Just(TickEvent::Partitioned),
        2 => Just(TickEvent::PartitionedOrder),
        1 => Just(TickEvent::LostRequest),
        2 => Just(TickEvent::LostResponse),
        1 => Just(TickEvent::DelayedWrite),
        1 => Just(TickEvent::SlowResponse),
        6 => Just(TickEvent::Order),
    ]
}

/// The events of one candidate, tick by tick. Pauses, partitions and normal operation last for
/// several ticks.
fn schedule() -> impl Strategy<Value = Vec<TickEvent>> {
    prop::collection::vec((tick_event(), 1..40_usize), 40..80).prop_map(|periods| {
        periods
            .into_iter()
            .flat_map(|(event, ticks)| {
                let long = matches!(
                    event,
                    TickEvent::Normal
                        | TickEvent::Partitioned
                        | TickEvent::PartitionedOrder
                        | TickEvent::Paused
                );
                std::iter::repeat_n(event, if long { ticks } else { 1 })
            })
            .collect()
    })
}

/// Ticks until a slow response; meanwhile its candidate does nothing else.
const SLOW_RESPONSE_TICKS: usize = 45;

struct Candidate {
    state_machine: LeaseStateMachine,
    /// Outcome of the write in flight, and the tick at which the candidate receives it.
    pending: Option<(usize, WriteOutcome)>,
}

/// A write that takes effect some ticks after its sender got no response.
struct DelayedWrite {
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

    fn write(&mut self, expected: Option<u64>, record: &LeaseRecord) -> WriteOutcome {
        if self.current() != expected {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        self.record = Some(record.clone());
        WriteOutcome::Written(self.version)
    }
}

/// An order that may take effect until `ends_at`.
struct SentOrder {
    sender: Sender,
    fencing_number: u64,
    ends_at: Duration,
}

/// A start of the process on a machine.
#[derive(Clone, Copy, PartialEq)]
struct Sender {
    machine: usize,
    start: usize,
}

/// Which orders the lease keeps apart, and for how long.
struct Separation {
    tells_machines_apart: bool,
    machine_gap: Duration,
}

const SEPARATIONS: [Separation; 4] = [
    Separation { tells_machines_apart: false, machine_gap: Duration::ZERO },
    Separation { tells_machines_apart: true, machine_gap: Duration::ZERO },
    Separation { tells_machines_apart: true, machine_gap: Duration::from_secs(3) },
    // So long that processes are killed while they wait for its end.
    Separation { tells_machines_apart: true, machine_gap: Duration::from_secs(10) },
];

fn candidate(sender: Sender, separation: &Separation) -> Candidate {
    let name = format!("entry-{}", sender.machine);
    let machine = separation.tells_machines_apart.then(|| name.clone());
    let machine_gap = separation.machine_gap;
    let settings =
        LeaseSettings { machine, machine_gap, ..LeaseSettings::new("leases/test", &name) };
    let nonce_prefix = format!("{name}-{}", sender.start);
    let state_machine = LeaseStateMachine::open(settings, &nonce_prefix);
    Candidate { state_machine, pending: None }
}

/// Runs one machine per schedule and returns the number of orders sent.
fn run(schedules: &[Vec<TickEvent>], separation: &Separation) -> Result<usize, TestCaseError> {
    let mut senders: Vec<Sender> =
        (0..schedules.len()).map(|machine| Sender { machine, start: 0 }).collect();
    let mut candidates: Vec<_> =
        senders.iter().map(|sender| candidate(*sender, separation)).collect();
    let (mut object, mut delayed, mut orders) = (Object::default(), Vec::new(), Vec::new());
    let ticks = schedules.iter().map(Vec::len).max().unwrap_or_default();
    for tick in 0..ticks {
        let now = TICK * tick as u32;
        apply_due_writes(&mut delayed, tick, &mut object);
        for (index, schedule) in schedules.iter().enumerate() {
            let event = schedule.get(tick).copied().unwrap_or(TickEvent::Normal);
            // Each machine's clock started at another time.
            let local = now + Duration::from_secs(1_000 * index as u64);
            match event {
                TickEvent::Paused => {}
                TickEvent::Restarted => {
                    senders[index].start += 1;
                    candidates[index] = candidate(senders[index], separation);
                }
                _ => advance(&mut candidates[index], local, event, tick, &mut object, &mut delayed),
            }
            if matches!(event, TickEvent::Order | TickEvent::PartitionedOrder) {
                let state_machine = &candidates[index].state_machine;
                send_order(state_machine, senders[index], separation, now, local, &mut orders)?;
            }
        }
        let holders = (0..candidates.len()).filter(|index| {
            let local = now + Duration::from_secs(1_000 * *index as u64);
            candidates[*index].state_machine.permit(local).is_some()
        });
        prop_assert!(holders.count() <= 1, "two candidates may order at {now:?}");
    }
    Ok(orders.len())
}

fn apply_due_writes(delayed: &mut Vec<DelayedWrite>, tick: usize, object: &mut Object) {
    let (due, rest) = delayed.drain(..).partition(|write: &DelayedWrite| write.due_tick <= tick);
    *delayed = rest;
    let due: Vec<DelayedWrite> = due;
    for write in due {
        object.write(write.expected, &write.record);
    }
}

fn is_partitioned(event: TickEvent) -> bool {
    matches!(event, TickEvent::Partitioned | TickEvent::PartitionedOrder)
}

fn advance(
    candidate: &mut Candidate,
    now: Duration,
    event: TickEvent,
    tick: usize,
    object: &mut Object,
    delayed: &mut Vec<DelayedWrite>,
) {
    let state_machine = &mut candidate.state_machine;
    match candidate.pending {
        Some((due_tick, _)) if tick < due_tick => return,
        Some((_, outcome)) => state_machine.observe_write(outcome),
        None => {}
    }
    candidate.pending = None;
    for _ in 0..3 {
        match state_machine.next_action(now) {
            Action::WaitUntil(_) => return,
            Action::Read if is_partitioned(event) => state_machine.observe_read_failure(now),
            Action::Read => {
                let found = object.record.clone().map(|record| (object.version, record));
                state_machine.observe_read(now, found);
            }
            Action::Write { expected, record } => {
                if matches!(event, TickEvent::SlowResponse | TickEvent::LostResponse) {
                    let written = object.write(expected, &record);
                    let lost = event == TickEvent::LostResponse;
                    let outcome = if lost { WriteOutcome::Unknown } else { written };
                    candidate.pending = Some((tick + SLOW_RESPONSE_TICKS, outcome));
                    return;
                }
                let outcome = match event {
                    event if is_partitioned(event) => WriteOutcome::NotWritten,
                    TickEvent::LostRequest => WriteOutcome::Unknown,
                    TickEvent::DelayedWrite => {
                        delayed.push(DelayedWrite { due_tick: tick + 30, expected, record });
                        WriteOutcome::Unknown
                    }
                    _ => object.write(expected, &record),
                };
                state_machine.observe_write(outcome);
            }
        }
    }
}

/// Sends an order if the candidate has a permit, and checks it against the orders of the others.
fn send_order(
    state_machine: &LeaseStateMachine,
    sender: Sender,
    separation: &Separation,
    now: Duration,
    local: Duration,
    orders: &mut Vec<SentOrder>,
) -> Result<(), TestCaseError> {
    let Some(permit) = state_machine.permit(local) else { return Ok(()) };
    for other in orders.iter().filter(|other| other.sender != sender) {
        let is_other_machine = other.sender.machine != sender.machine;
        let gap = if is_other_machine { separation.machine_gap } else { Duration::ZERO };
        prop_assert!(
            other.ends_at + gap <= now,
            "an order of another holder may still take effect, or is too recent"
        );
        prop_assert!(
            other.fencing_number < permit.fencing_number,
            "the fencing number did not grow"
        );
    }
    let ends_at = now + Duration::from_secs(2);
    orders.push(SentOrder { sender, fencing_number: permit.fencing_number, ends_at });
    Ok(())
}

#[test]
fn never_permits_orders_of_two_candidates_at_once() {
    for separation in &SEPARATIONS {
        let config = Config {
            cases: 2_000,
            failure_persistence: None,
            rng_algorithm: RngAlgorithm::ChaCha,
            rng_seed: RngSeed::Fixed(SEED),
            ..Config::default()
        };
        let schedules = prop::collection::vec(schedule(), 3);
        TestRunner::new(config)
            .run(&schedules, |schedules| run(&schedules, separation).map(|_| ()))
            .unwrap();
        // Without faults the lease is held, and its holder sends orders.
        let gap_ticks = separation.machine_gap.as_millis() / TICK.as_millis();
        let fault_free = vec![vec![TickEvent::Order; 200 + gap_ticks as usize]; 2];
        let orders = run(&fault_free, separation).unwrap();
        assert!(orders > 150, "{orders} orders in 200 ticks after the gap");
    }
}

#[test]
fn any_content_is_taken_over_within_the_longest_wait() {
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
            let sender = Sender { machine: 0, start: 0 };
            let mut state_machine = candidate(sender, &SEPARATIONS[0]).state_machine;
            let now = Duration::from_secs(100);
            state_machine.observe_read(now, Some((1, LeaseRecord::decode(&content))));
            // The longest wait is five minutes for the term and five minutes for an order.
            let mut candidate = Candidate { state_machine, pending: None };
            let (mut object, mut delayed) = (Object::default(), Vec::new());
            object.write(None, &LeaseRecord::decode(&content));
            for second in 0..605 {
                let at = now + Duration::from_secs(second);
                advance(&mut candidate, at, TickEvent::Normal, 0, &mut object, &mut delayed);
            }
            prop_assert!(candidate.state_machine.permit(now + Duration::from_secs(604)).is_some());
            Ok(())
        })
        .unwrap();
}
