//! Candidates in virtual time, the store that they share, and the orders that they send.

use crate::schedules::{StoreReturn, TickEvent};
use proptest::prelude::*;
use skylarkpick_interface::StoreRevision;
use skylarkpick_lease::{
    Action, LeaseRecord, LeaseSettings, LeaseStateMachine, WriteOutcome, fencing_number,
};
use std::time::Duration;

pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Ticks until a slow response; meanwhile its candidate does nothing else.
const SLOW_RESPONSE_TICKS: usize = 45;
/// Ticks until a write without a response takes effect.
const WRITE_DELAY_TICKS: usize = 30;
/// Ticks after which no response and no write of a schedule is outstanding.
const SETTLING_TICKS: usize = SLOW_RESPONSE_TICKS + WRITE_DELAY_TICKS;

/// Times of a lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    pub(crate) term: Duration,
    pub(crate) order_timeout: Duration,
    pub(crate) renewal_interval: Duration,
    pub(crate) poll_interval: Duration,
}

/// The defaults of [`LeaseSettings::new`].
pub(crate) const DEFAULT_TIMING: Timing = Timing {
    term: Duration::from_secs(6),
    order_timeout: Duration::from_secs(2),
    renewal_interval: Duration::from_secs(1),
    poll_interval: Duration::from_secs(1),
};

/// So short that the holder changes often, also between a copy and the return to it.
pub(crate) const SHORT_TIMING: Timing = Timing {
    term: Duration::from_millis(1_500),
    order_timeout: Duration::from_millis(400),
    renewal_interval: Duration::from_millis(500),
    poll_interval: Duration::from_millis(500),
};

/// Which orders the lease keeps apart, and for how long.
pub(crate) struct Separation {
    pub(crate) tells_machines_apart: bool,
    pub(crate) machine_gap: Duration,
}

pub(crate) const SEPARATIONS: [Separation; 4] = [
    Separation { tells_machines_apart: false, machine_gap: Duration::ZERO },
    Separation { tells_machines_apart: true, machine_gap: Duration::ZERO },
    Separation { tells_machines_apart: true, machine_gap: Duration::from_secs(3) },
    // So long that processes are killed while they wait for its end.
    Separation { tells_machines_apart: true, machine_gap: Duration::from_secs(10) },
];

/// How a candidate learns the result of a write that took effect in an era that it didn't know, or
/// whose era ended before the response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AnswerAcrossReturn {
    /// The response tells that the object was written, and names the era of the write.
    WrittenThen,
    /// The response tells that the object was written, and names the store's era by then.
    WrittenNow,
    /// The response counts as a conflict, since it is of another era than expected.
    Conflict,
    /// The response is lost.
    Lost,
}

/// A start of the process on a machine.
#[derive(Clone, Copy, PartialEq)]
struct Sender {
    machine: usize,
    start: usize,
}

struct Candidate {
    state_machine: LeaseStateMachine,
    sender: Sender,
    /// Era of the last response.
    known_era: u64,
    /// Response in flight, and the tick at which the candidate receives it.
    pending: Option<(usize, Response)>,
}

struct Response {
    /// Era that the response names.
    era: u64,
    content: ResponseContent,
}

enum ResponseContent {
    Read(Option<(StoreRevision, LeaseRecord)>),
    Write(WriteOutcome),
}

/// A write that takes effect some ticks after its sender got no response.
struct DelayedWrite {
    due_tick: usize,
    expected: Option<u64>,
    record: LeaseRecord,
}

/// An order that may take effect until `ends_at`.
struct SentOrder {
    sender: Sender,
    fencing_number: u64,
    ends_at: Duration,
}

/// The object in the store, and the copies from which the store may return.
#[derive(Default)]
struct Store {
    era: u64,
    content: StoreContent,
    /// Content at the start of each tick.
    copies: Vec<StoreContent>,
}

#[derive(Clone, Default)]
struct StoreContent {
    /// Last number that the store issued.
    number: u64,
    object: Option<(u64, LeaseRecord)>,
}

impl Store {
    fn write(&mut self, expected: Option<u64>, record: &LeaseRecord) -> WriteOutcome {
        let (era, content) = (self.era, &mut self.content);
        if content.object.as_ref().map(|(number, _)| *number) != expected {
            return WriteOutcome::Conflict;
        }
        content.number += 1;
        content.object = Some((content.number, record.clone()));
        WriteOutcome::Written(StoreRevision { era, number: content.number })
    }

    fn read(&self) -> Option<(StoreRevision, LeaseRecord)> {
        let (number, record) = self.content.object.clone()?;
        Some((StoreRevision { era: self.era, number }, record))
    }

    fn apply(&mut self, store_return: &StoreReturn) {
        let copy = self.copies.len().saturating_sub(1 + store_return.copy_age_ticks);
        self.content = self.copies.get(copy).cloned().unwrap_or_default();
        self.content.number += store_return.other_writes;
        self.era += 1;
    }
}

/// Candidates on one machine each, and what happens around them.
pub(crate) struct Model<'a> {
    separation: &'a Separation,
    timing: Timing,
    answer_across_return: AnswerAcrossReturn,
    /// Whether other calls tell a candidate the era as soon as the store is reachable.
    pub(crate) learns_from_other_calls: bool,
    store: Store,
    candidates: Vec<Candidate>,
    delayed: Vec<DelayedWrite>,
    orders: Vec<SentOrder>,
    tick: usize,
}

fn candidate(sender: Sender, separation: &Separation, timing: &Timing) -> Candidate {
    let name = format!("entry-{}", sender.machine);
    let machine = separation.tells_machines_apart.then(|| name.clone());
    let machine_gap = separation.machine_gap;
    let settings = LeaseSettings {
        machine,
        machine_gap,
        term: timing.term,
        order_timeout: timing.order_timeout,
        renewal_interval: timing.renewal_interval,
        poll_interval: timing.poll_interval,
        ..LeaseSettings::new("leases/test", &name)
    };
    let nonce_prefix = format!("{name}-{}", sender.start);
    let state_machine = LeaseStateMachine::open(settings, &nonce_prefix);
    Candidate { state_machine, sender, known_era: 0, pending: None }
}

impl Candidate {
    /// Returns the time of the machine's clock. Each machine's clock started at another time.
    fn local_time(&self, tick: usize) -> Duration {
        TICK * tick as u32 + Duration::from_secs(1_000 * self.sender.machine as u64)
    }

    fn has_permit(&self, tick: usize) -> bool {
        self.state_machine.permit(self.local_time(tick)).is_some()
    }

    fn learn_era(&mut self, now: Duration, era: u64) {
        self.known_era = self.known_era.max(era);
        self.state_machine.observe_era(now, era);
    }

    fn receive(&mut self, now: Duration, response: Response) {
        let is_lost = matches!(
            response.content,
            ResponseContent::Write(WriteOutcome::NotWritten | WriteOutcome::Unknown)
        );
        // Otherwise a version tells the era.
        let has_version = matches!(
            response.content,
            ResponseContent::Read(Some(_)) | ResponseContent::Write(WriteOutcome::Written(_))
        );
        if !is_lost && !has_version {
            self.learn_era(now, response.era);
        }
        if has_version {
            self.known_era = self.known_era.max(response.era);
        }
        match response.content {
            ResponseContent::Read(found) => self.state_machine.observe_read(now, found),
            ResponseContent::Write(outcome) => self.state_machine.observe_write(now, outcome),
        }
    }
}

impl<'a> Model<'a> {
    pub(crate) fn open(
        candidate_count: usize,
        separation: &'a Separation,
        timing: Timing,
        answer_across_return: AnswerAcrossReturn,
    ) -> Model<'a> {
        let sender = |machine| Sender { machine, start: 0 };
        Model {
            separation,
            timing,
            answer_across_return,
            learns_from_other_calls: false,
            store: Store::default(),
            candidates: (0..candidate_count)
                .map(|it| candidate(sender(it), separation, &timing))
                .collect(),
            delayed: Vec::new(),
            orders: Vec::new(),
            tick: 0,
        }
    }

    /// Runs one machine per schedule, and returns the number of orders sent.
    pub(crate) fn run(
        &mut self,
        schedules: &[Vec<TickEvent>],
        returns: &[StoreReturn],
    ) -> Result<usize, TestCaseError> {
        let ticks = schedules.iter().map(Vec::len).max().unwrap_or_default();
        for _ in 0..ticks {
            let due: Vec<&StoreReturn> = returns.iter().filter(|it| it.tick == self.tick).collect();
            self.run_tick(schedules, &due)?;
        }
        Ok(self.orders.len())
    }

    /// Lets the store return once all faults are over. A candidate then has a permit again once the
    /// term and the longer of order timeout and gap have passed since it learned the era.
    pub(crate) fn return_without_faults(
        &mut self,
        store_return: &StoreReturn,
    ) -> Result<(), TestCaseError> {
        for _ in 0..SETTLING_TICKS {
            self.run_tick(&[], &[])?;
        }
        self.run_tick(&[], &[store_return])?;
        let Timing { term, order_timeout, poll_interval, .. } = self.timing;
        let wait = term + order_timeout.max(self.separation.machine_gap);
        let learned = if self.learns_from_other_calls { Duration::ZERO } else { poll_interval };
        let limit = learned + wait + TICK;
        let ticks = limit.as_millis() / TICK.as_millis();
        for _ in 0..ticks {
            self.run_tick(&[], &[])?;
        }
        prop_assert!(self.is_held(), "no permit within the bound after a return");
        Ok(())
    }

    fn run_tick(
        &mut self,
        schedules: &[Vec<TickEvent>],
        due_returns: &[&StoreReturn],
    ) -> Result<(), TestCaseError> {
        self.store.copies.push(self.store.content.clone());
        self.apply_due_writes();
        for index in 0..self.candidates.len() {
            for store_return in due_returns.iter().filter(|it| it.before_candidate == index) {
                self.store.apply(store_return);
            }
            let event = schedules.get(index).and_then(|schedule| schedule.get(self.tick));
            let event = event.copied().unwrap_or(TickEvent::Normal);
            match event {
                TickEvent::Paused => {}
                TickEvent::Restarted => {
                    let sender = self.candidates[index].sender;
                    let sender = Sender { start: sender.start + 1, ..sender };
                    self.candidates[index] = candidate(sender, self.separation, &self.timing);
                }
                _ => self.advance(index, event),
            }
            if matches!(event, TickEvent::Order | TickEvent::PartitionedOrder) {
                self.send_order(index)?;
            }
        }
        for candidate in &self.candidates {
            let Some(permit) = candidate.state_machine.permit(candidate.local_time(self.tick))
            else {
                continue;
            };
            let first = fencing_number(StoreRevision { era: candidate.known_era, number: 0 });
            prop_assert!(first <= Some(permit.fencing_number), "a lease outlived its era");
        }
        let holders = self.candidates.iter().filter(|it| it.has_permit(self.tick)).count();
        prop_assert!(holders <= 1, "two candidates may order at once");
        self.tick += 1;
        Ok(())
    }

    fn apply_due_writes(&mut self) {
        let is_due = |write: &DelayedWrite| write.due_tick <= self.tick;
        let (due, rest): (Vec<_>, Vec<_>) = self.delayed.drain(..).partition(is_due);
        self.delayed = rest;
        for write in due {
            self.store.write(write.expected, &write.record);
        }
    }

    /// Lets a candidate do what is due.
    fn advance(&mut self, index: usize, event: TickEvent) {
        let candidate = &mut self.candidates[index];
        let now = candidate.local_time(self.tick);
        if self.learns_from_other_calls && !event.is_partitioned() {
            candidate.learn_era(now, self.store.era);
        }
        if candidate.pending.as_ref().is_some_and(|(due_tick, _)| self.tick < *due_tick) {
            return;
        }
        if let Some((_, response)) = candidate.pending.take() {
            let (known_era, store_era) = (candidate.known_era, self.store.era);
            let response = self.answer_across_return.apply(response, known_era, store_era);
            candidate.receive(now, response);
        }
        let due_tick = self.tick + SLOW_RESPONSE_TICKS;
        for _ in 0..3 {
            let candidate = &mut self.candidates[index];
            let content = match candidate.state_machine.next_action(now) {
                Action::WaitUntil(_) => return,
                Action::Read if event.is_partitioned() => {
                    candidate.state_machine.observe_read_failure(now);
                    continue;
                }
                Action::Read => ResponseContent::Read(self.store.read()),
                Action::Write { .. } if event.is_partitioned() => {
                    ResponseContent::Write(WriteOutcome::NotWritten)
                }
                Action::Write { .. } if event == TickEvent::LostRequest => {
                    ResponseContent::Write(WriteOutcome::Unknown)
                }
                Action::Write { expected, record } if event == TickEvent::DelayedWrite => {
                    let due_tick = self.tick + WRITE_DELAY_TICKS;
                    let expected = expected.map(|it| it.number);
                    self.delayed.push(DelayedWrite { due_tick, expected, record });
                    ResponseContent::Write(WriteOutcome::Unknown)
                }
                Action::Write { expected, record } => {
                    let outcome = self.store.write(expected.map(|it| it.number), &record);
                    let is_lost = event == TickEvent::LostResponse;
                    ResponseContent::Write(if is_lost { WriteOutcome::Unknown } else { outcome })
                }
            };
            let response = Response { era: self.store.era, content };
            let is_read = matches!(response.content, ResponseContent::Read(_));
            let is_slow =
                event == TickEvent::SlowResponse || (event == TickEvent::LostResponse && !is_read);
            if is_slow {
                candidate.pending = Some((due_tick, response));
                return;
            }
            let (known_era, store_era) = (candidate.known_era, self.store.era);
            let response = self.answer_across_return.apply(response, known_era, store_era);
            candidate.receive(now, response);
        }
    }

    /// Sends an order if the candidate has a permit, and checks it against the orders before.
    fn send_order(&mut self, index: usize) -> Result<(), TestCaseError> {
        let candidate = &self.candidates[index];
        let (now, sender) = (TICK * self.tick as u32, candidate.sender);
        let local = candidate.local_time(self.tick);
        let Some(permit) = candidate.state_machine.permit(local) else { return Ok(()) };
        for other in &self.orders {
            if other.sender == sender {
                prop_assert!(
                    other.fencing_number <= permit.fencing_number,
                    "the fencing number of one holder fell"
                );
                continue;
            }
            let is_other_machine = other.sender.machine != sender.machine;
            let gap = if is_other_machine { self.separation.machine_gap } else { Duration::ZERO };
            prop_assert!(
                other.ends_at + gap <= now,
                "an order of another holder may still take effect, or is too recent"
            );
            // A target that checks numbers rejects a lower one, and takes an equal one for the other
            // holder's.
            prop_assert!(
                other.fencing_number < permit.fencing_number,
                "the fencing number did not grow"
            );
        }
        let ends_at = now + self.timing.order_timeout;
        self.orders.push(SentOrder { sender, fencing_number: permit.fencing_number, ends_at });
        Ok(())
    }

    /// Stores a record, and returns a model of one candidate that finds it.
    pub(crate) fn with_record(separation: &'a Separation, record: &LeaseRecord) -> Model<'a> {
        let mut model = Model::open(1, separation, DEFAULT_TIMING, AnswerAcrossReturn::WrittenThen);
        model.store.write(None, record);
        model
    }

    /// Lets a second pass without faults.
    pub(crate) fn run_second(&mut self) {
        for index in 0..self.candidates.len() {
            self.advance(index, TickEvent::Normal);
        }
        self.tick += 10;
    }

    pub(crate) fn is_held(&self) -> bool {
        self.candidates.iter().any(|it| it.has_permit(self.tick))
    }
}

impl AnswerAcrossReturn {
    /// Returns what a candidate receives of a response that is delivered now.
    fn apply(self, response: Response, known_era: u64, store_era: u64) -> Response {
        let ResponseContent::Write(WriteOutcome::Written(version)) = response.content else {
            return response;
        };
        if response.era == known_era && response.era == store_era {
            return response;
        }
        let (era, outcome) = match self {
            AnswerAcrossReturn::WrittenThen => (response.era, WriteOutcome::Written(version)),
            AnswerAcrossReturn::WrittenNow => {
                let version = StoreRevision { era: store_era, ..version };
                (store_era, WriteOutcome::Written(version))
            }
            AnswerAcrossReturn::Conflict => (store_era, WriteOutcome::Conflict),
            AnswerAcrossReturn::Lost => (store_era, WriteOutcome::Unknown),
        };
        Response { era, content: ResponseContent::Write(outcome) }
    }
}
