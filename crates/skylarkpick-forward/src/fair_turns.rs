//! Turns of the requests that wait for capacity, where clients send more than they are asked to.
//!
//! [`FairWaiting`] decides whose turn it is. This module wakes that request, and has all others give way
//! until it has tried.

use crate::{
    forwarding::UNKNOWN_WAIT,
    log::request_log,
    node_state::{CAPACITY_POLL, NodeState},
};
use skylarkpick_interface::{AccountId, ServingAccount};
use skylarkpick_schedule::{
    Assignment, FairWaiting, PlacementDecision, PlacementPrompt, PlacementRequest, UnplacedReason,
    WaiterId, WaitingClass,
};
use skylarkpick_telemetry::{WAITING_TURNS, metrics};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::{sync::Notify, time::Instant};

/// Turns of the requests that wait in this process.
#[derive(Default)]
pub(crate) struct FairTurns {
    has_pressing_clients: AtomicBool,
    state: Mutex<TurnState>,
}

#[derive(Default)]
struct TurnState {
    waiting: FairWaiting,
    /// Wakes each waiting request when it is its turn.
    wakers: BTreeMap<WaiterId, Arc<Notify>>,
    last_round: Option<Instant>,
}

impl TurnState {
    fn wake(&self, waiter: Option<WaiterId>) {
        if let Some(waker) = waiter.and_then(|waiter| self.wakers.get(&waiter)) {
            waker.notify_one();
        }
    }

    /// Wakes the request of a class whose turn it is.
    fn wake_next(&self, class: &WaitingClass) {
        self.wake(self.waiting.next(class));
    }
}

impl FairTurns {
    /// Sets whether clients may send more than they are asked to. Until then, they don't.
    pub(crate) fn set_pressing(&self, has_pressing_clients: bool) {
        self.has_pressing_clients.store(has_pressing_clients, Ordering::SeqCst);
    }

    /// Returns the turn of a request, which always has it unless clients are pressing and requests carry
    /// the keys of accounts. Requests without an account share one turn.
    pub(crate) fn open_turn(
        self: &Arc<Self>,
        uses_accounts: bool,
        account: Option<&ServingAccount>,
        request: &PlacementRequest,
        answer_by: Instant,
    ) -> FairTurn {
        if !uses_accounts || !self.has_pressing_clients.load(Ordering::SeqCst) {
            return FairTurn(None);
        }
        let prompt_cost =
            |it: &PlacementPrompt| it.prompt_tokens.saturating_add(it.answer_tokens_limit);
        FairTurn(Some(Turn {
            turns: self.clone(),
            class: (request.service.clone(), request.rank),
            account: account.map(|it| it.account.clone()).unwrap_or_default(),
            cost: request.prompt.as_ref().map_or(1, prompt_cost).max(1),
            answer_by,
            waiter: None,
            has_tried: false,
            is_served: false,
            is_shed: false,
        }))
    }

    /// Has the waiting requests try again, one after the other, since capacity may have become free.
    pub(crate) fn begin_round(&self) {
        let mut state = self.lock();
        if state.wakers.is_empty() {
            return;
        }
        state.last_round = Some(Instant::now());
        for waiter in state.waiting.begin_round() {
            state.wake(Some(waiter));
        }
    }

    /// Begins a round unless one has begun just now: capacity may become free without notice.
    fn begin_due_round(&self) {
        let last_round = self.lock().last_round;
        if last_round.is_none_or(|at| at.elapsed() >= CAPACITY_POLL) {
            self.begin_round();
        }
    }

    fn lock(&self) -> MutexGuard<'_, TurnState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Turn of one request, which it leaves when dropped. Without fair sharing, it always has the turn.
pub(crate) struct FairTurn(Option<Turn>);

struct Turn {
    turns: Arc<FairTurns>,
    class: WaitingClass,
    account: AccountId,
    cost: u64,
    /// Time by which its response has to start.
    answer_by: Instant,
    /// Its place among the waiting requests, once it has waited.
    waiter: Option<(WaiterId, Arc<Notify>)>,
    /// Whether it found no room before it began to wait.
    has_tried: bool,
    /// Whether it has been counted as served.
    is_served: bool,
    /// Whether it was refused to make room for others, since its response would start too late.
    is_shed: bool,
}

impl Turn {
    fn id(&self) -> Option<WaiterId> {
        self.waiter.as_ref().map(|(id, _)| *id)
    }

    /// Returns whether other requests of its service and rank wait.
    fn has_others_waiting(&self) -> bool {
        let own = usize::from(self.waiter.is_some());
        self.turns.lock().waiting.len_of(&self.class) > own
    }

    /// Begins to wait, unless it does already. Returns what wakes it.
    fn join(&mut self) -> Arc<Notify> {
        if let Some((_, waker)) = &self.waiter {
            return waker.clone();
        }
        let waker: Arc<Notify> = Arc::default();
        let mut state = self.turns.lock();
        let id = state.waiting.begin(&self.class, &self.account, self.cost);
        state.wakers.insert(id, waker.clone());
        if self.has_tried {
            state.waiting.note_no_room(&self.class, &self.account, id);
        }
        state.wake_next(&self.class);
        drop(state);
        self.waiter = Some((id, waker.clone()));
        waker
    }

    /// Stops waiting, and passes the turn on.
    fn leave(&mut self) {
        if let Some((id, _)) = self.waiter.take() {
            let mut state = self.turns.lock();
            state.waiting.end(&self.class, &self.account, id);
            state.wakers.remove(&id);
            state.wake_next(&self.class);
        }
    }

    /// Waits until it is the request's turn, or until `until`.
    async fn wait(&mut self, until: Instant) {
        let waker = self.join();
        let until = until.min(Instant::now() + CAPACITY_POLL);
        if tokio::time::timeout_at(until, waker.notified()).await.is_err() {
            self.turns.begin_due_round();
        }
    }

    fn note_decision(&mut self, decision: &PlacementDecision) {
        match decision {
            PlacementDecision::Assigned(_) => {
                if !std::mem::replace(&mut self.is_served, true) {
                    let mut state = self.turns.lock();
                    state.waiting.note_served(&self.class, &self.account, self.cost);
                    drop(state);
                    count_turn("served");
                }
                self.leave();
            }
            PlacementDecision::Unplaced(_) => {
                count_turn("no_room");
                self.has_tried = true;
                if let Some(id) = self.id() {
                    let mut state = self.turns.lock();
                    state.waiting.note_no_room(&self.class, &self.account, id);
                    state.wake_next(&self.class);
                }
            }
        }
    }
}

impl FairTurn {
    /// Returns whether the request was refused to make room for others.
    pub(crate) fn is_shed(&self) -> bool {
        self.0.as_ref().is_some_and(|turn| turn.is_shed)
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.leave();
    }
}

impl NodeState {
    /// Chooses a target as [`NodeState::choose`] does, once it is the request's turn.
    pub(crate) fn choose_in_turn(
        &self,
        request: &PlacementRequest,
        has_waited: bool,
        turn: &mut FairTurn,
    ) -> PlacementDecision {
        let Some(turn) = turn.0.as_mut().filter(|_| !request.is_continuation) else {
            return self.choose(request, has_waited);
        };
        let (may_try, ahead) = {
            let state = turn.turns.lock();
            let may_try = state.waiting.may_try(&turn.class, turn.id());
            (may_try, state.waiting.count_ahead(&turn.class, &turn.account, turn.cost))
        };
        if !may_try && let Some(why) = self.wait_for_others(request, ahead) {
            count_turn("gave_way");
            if turn.waiter.is_none() {
                request_log!("request gives way to those of other accounts", kv: {
                    service = request.service.as_str(),
                    account = turn.account.as_str(),
                    rank = request.rank,
                    ahead,
                });
            }
            return PlacementDecision::Unplaced(why);
        }
        // It is its turn, as if it had waited for it.
        let decision = self.choose_behind(request, true, Some(ahead));
        if let PlacementDecision::Assigned(assignment) = &decision
            && self.is_too_late(request, assignment, turn)
        {
            count_turn("shed");
            turn.is_shed = true;
            turn.leave();
            return PlacementDecision::Unplaced(UnplacedReason::Full { wait: UNKNOWN_WAIT });
        }
        turn.note_decision(&decision);
        decision
    }

    /// Returns whether a request that was never sent would take the room of others that wait, although
    /// its response can't start in time.
    fn is_too_late(
        &self,
        request: &PlacementRequest,
        assignment: &Assignment,
        turn: &Turn,
    ) -> bool {
        let is_late = || {
            let least = self.lock().placement.least_answer_time(&request.service, assignment);
            least.is_some_and(|least| Instant::now() + least > turn.answer_by)
        };
        request.prompt.is_some() && !turn.is_served && turn.has_others_waiting() && is_late()
    }

    /// Waits as [`NodeState::wait_for_capacity`] does, but in turn.
    pub(crate) async fn wait_in_turn(
        self: &Arc<Self>,
        request: &PlacementRequest,
        until: Instant,
        turn: &mut FairTurn,
    ) {
        let Some(turn) = &mut turn.0 else { return self.wait_for_capacity(request, until).await };
        let _waiting = self.count_waiting(request);
        turn.wait(until).await;
    }
}

fn count_turn(end: &'static str) {
    metrics().count(&WAITING_TURNS, &[("end", end)]);
}
