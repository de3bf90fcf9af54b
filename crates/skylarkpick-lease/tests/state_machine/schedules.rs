//! What happens to the candidates and to the store, tick by tick.

use crate::model::{AnswerAcrossReturn, DEFAULT_TIMING, SHORT_TIMING, Timing};
use proptest::prelude::*;

/// What happens to a candidate in one tick.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TickEvent {
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
    /// A write takes effect; its candidate gets no response, which it learns later.
    LostResponse,
    /// A write gets no response and takes effect 30 ticks later.
    DelayedWrite,
    /// A read is answered or a write takes effect, and the response arrives later.
    SlowResponse,
    /// The platform responds at once, and the candidate sends an order if it may.
    Order,
}

impl TickEvent {
    pub(crate) fn is_partitioned(self) -> bool {
        matches!(self, TickEvent::Partitioned | TickEvent::PartitionedOrder)
    }
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
pub(crate) fn schedule() -> impl Strategy<Value = Vec<TickEvent>> {
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

/// A return of the store from an older copy, which raises its era.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreReturn {
    pub(crate) tick: usize,
    /// Candidate before whose turn in the tick the store returns.
    pub(crate) before_candidate: usize,
    pub(crate) copy_age_ticks: usize,
    /// Numbers that writes of other objects take after the return.
    pub(crate) other_writes: u64,
}

/// The schedules of three candidates and the returns of their store.
#[derive(Clone, Debug)]
pub(crate) struct ReturnSchedule {
    pub(crate) events: Vec<Vec<TickEvent>>,
    pub(crate) returns: Vec<StoreReturn>,
    pub(crate) last_return: StoreReturn,
    pub(crate) answer_across_return: AnswerAcrossReturn,
    pub(crate) learns_from_other_calls: bool,
    pub(crate) timing: Timing,
}

fn store_return() -> impl Strategy<Value = StoreReturn> {
    // Copies are some seconds old. With no other writes, the numbers since are issued again.
    let other_writes = prop_oneof![3 => Just(0), 1 => 1..40_u64];
    (0..800_usize, 0..3_usize, 0..60_usize, other_writes).prop_map(
        |(tick, before_candidate, copy_age_ticks, other_writes)| StoreReturn {
            tick,
            before_candidate,
            copy_age_ticks,
            other_writes,
        },
    )
}

pub(crate) fn return_schedule() -> impl Strategy<Value = ReturnSchedule> {
    // Half of the returns are followed by another one within three seconds.
    let second = prop::option::of(1..30_usize);
    let pair = (store_return(), second).prop_map(|(first, delay_ticks)| {
        let second = delay_ticks.map(|ticks| StoreReturn { tick: first.tick + ticks, ..first });
        std::iter::once(first).chain(second).collect::<Vec<StoreReturn>>()
    });
    let answer = prop_oneof![
        Just(AnswerAcrossReturn::WrittenThen),
        Just(AnswerAcrossReturn::WrittenNow),
        Just(AnswerAcrossReturn::Conflict),
        Just(AnswerAcrossReturn::Lost),
    ];
    let returns = prop::collection::vec(pair, 1..5).prop_map(|pairs| pairs.concat());
    let timing = prop_oneof![1 => Just(DEFAULT_TIMING), 2 => Just(SHORT_TIMING)];
    let events = prop::collection::vec(schedule(), 3);
    let parts = (events, returns, store_return(), answer, any::<bool>(), timing);
    parts.prop_map(|(events, returns, last_return, answer_across_return, learns, timing)| {
        ReturnSchedule {
            events,
            returns,
            last_return,
            answer_across_return,
            learns_from_other_calls: learns,
            timing,
        }
    })
}
