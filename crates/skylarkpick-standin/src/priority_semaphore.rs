//! Admits a limited number of holders, by priority and then by arrival.

use skylarkpick_interface::Priority;
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::sync::oneshot;

/// Admits a limited number of holders, by priority and then by arrival.
#[derive(Clone)]
pub struct PrioritySemaphore {
    state: Arc<Mutex<State>>,
}

struct State {
    free: u32,
    arrivals: u64,
    waiting: BTreeMap<(Reverse<Priority>, u64), oneshot::Sender<SemaphorePermit>>,
}

/// A holder's place, given back on drop.
pub struct SemaphorePermit {
    semaphore: PrioritySemaphore,
}

impl PrioritySemaphore {
    /// Opens a gate with `places` places.
    pub fn open(places: u32) -> PrioritySemaphore {
        let state = State { free: places, arrivals: 0, waiting: BTreeMap::new() };
        PrioritySemaphore { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a place.
    pub async fn acquire(&self, priority: Priority) -> SemaphorePermit {
        let receiver = {
            let mut state = self.lock();
            if state.free > 0 {
                state.free -= 1;
                return SemaphorePermit { semaphore: self.clone() };
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let order = (Reverse(priority), state.arrivals);
            state.waiting.insert(order, sender);
            receiver
        };
        match receiver.await {
            Ok(place) => place,
            // The sender lives in the gate's own state, which this call keeps alive.
            Err(_) => unreachable!("a gate dropped a waiter"),
        }
    }

    /// Holders that wait.
    pub fn waiting(&self) -> usize {
        self.lock().waiting.values().filter(|waiter| !waiter.is_closed()).count()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn give_back(&self) {
        loop {
            let next = {
                let mut state = self.lock();
                match state.waiting.pop_first() {
                    Some((_, waiter)) => waiter,
                    None => {
                        state.free += 1;
                        return;
                    }
                }
            };
            match next.send(SemaphorePermit { semaphore: self.clone() }) {
                Ok(()) => return,
                // The waiter has gone: forget the place that it did not take, and try the next.
                Err(place) => std::mem::forget(place),
            }
        }
    }
}

impl Drop for SemaphorePermit {
    fn drop(&mut self) {
        self.semaphore.give_back();
    }
}
