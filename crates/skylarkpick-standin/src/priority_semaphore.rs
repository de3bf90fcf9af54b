//! A semaphore that grants permits by priority, then in order of arrival.

use skylarkpick_interface::Priority;
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::sync::oneshot;

/// A semaphore that grants permits by priority, then in order of arrival.
#[derive(Clone)]
pub struct PrioritySemaphore {
    state: Arc<Mutex<State>>,
}

struct State {
    available: u32,
    arrivals: u64,
    /// Waiters by priority, highest first, and by the number of their arrival.
    waiters: BTreeMap<(Reverse<Priority>, u64), oneshot::Sender<SemaphorePermit>>,
}

/// A permit, released on drop.
pub struct SemaphorePermit {
    semaphore: PrioritySemaphore,
}

impl PrioritySemaphore {
    /// Opens a semaphore with this number of permits.
    pub fn open(permits: u32) -> PrioritySemaphore {
        let state = State { available: permits, arrivals: 0, waiters: BTreeMap::new() };
        PrioritySemaphore { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a permit.
    pub async fn acquire(&self, priority: Priority) -> SemaphorePermit {
        let receiver = {
            let mut state = self.lock();
            if state.available > 0 {
                state.available -= 1;
                return SemaphorePermit { semaphore: self.clone() };
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let order = (Reverse(priority), state.arrivals);
            state.waiters.insert(order, sender);
            receiver
        };
        match receiver.await {
            Ok(permit) => permit,
            // The sender is held in the state of the semaphore, which outlives this call.
            Err(_) => unreachable!("the semaphore dropped a waiter"),
        }
    }

    /// Returns the number of callers that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.lock().waiters.values().filter(|waiter| !waiter.is_closed()).count()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self) {
        loop {
            let next = {
                let mut state = self.lock();
                match state.waiters.pop_first() {
                    Some((_, waiter)) => waiter,
                    None => {
                        state.available += 1;
                        return;
                    }
                }
            };
            match next.send(SemaphorePermit { semaphore: self.clone() }) {
                Ok(()) => return,
                // The waiter was cancelled. Its permit is forgotten, since a drop would release it
                // a second time, and goes to the next waiter.
                Err(permit) => std::mem::forget(permit),
            }
        }
    }
}

impl Drop for SemaphorePermit {
    fn drop(&mut self) {
        self.semaphore.release();
    }
}
