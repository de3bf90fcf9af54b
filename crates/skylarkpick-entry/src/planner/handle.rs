//! Runs the planner and tells what it does.

use super::{
    loads::Loads,
    look::{Look, OrderDue},
    order::{OrderTools, carry_out},
};
use crate::{
    active_configuration::ActiveConfiguration, parts::EntryParts, router_actor::RouterActor,
};
use kameo::prelude::ActorRef;
use serde::Serialize;
use skylarkpick_interface::{FencingNumber, RunnerId};
use skylarkpick_lease::{Lease, LeaseSettings};
use skylarkpick_schedule::RolloutWait;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// Time between two looks at the runners.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time that the lease gives its holder.
const LEASE_TERM: Duration = Duration::from_secs(12);
/// Longest time for a runner to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two writes of the holder.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of a process that waits for the lease.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// A lease as this process sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LeaseState {
    /// Key of the platform object.
    pub key: String,
    /// Holder by what was seen last.
    pub last_holder: Option<String>,
    /// Fencing number, while this process may give orders.
    pub fencing_number: Option<FencingNumber>,
    /// What is left of the term, while this process may give orders.
    pub remaining_ms: u64,
}

/// What the planner does.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PlannerState {
    /// Lease of the data centre's planner.
    pub lease: LeaseState,
    /// Runners that this process has ordered and that have not answered.
    pub orders_under_way: BTreeSet<RunnerId>,
    /// Runners that should load other weights but wait, and why; empty without the lease.
    pub waiting: BTreeMap<RunnerId, RolloutWait>,
    /// Why the last look ended early.
    pub held_up: Option<String>,
}

/// The running planner of an entry process. Dropping it stops it.
pub(crate) struct Planner {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<PlannerState>,
}

impl Planner {
    pub(crate) fn spawn(
        parts: &EntryParts,
        in_force: watch::Receiver<Arc<ActiveConfiguration>>,
        router: ActorRef<RouterActor>,
    ) -> Planner {
        let shared = Arc::new(Shared::default());
        let (stop, stopped) = watch::channel(false);
        let centre = parts.settings.data_centre.clone();
        let settings = lease_settings(&centre, &parts.settings.entry_id);
        let (platform, clock) = (parts.platform.clone(), parts.clock.clone());
        let loads = Loads::open(platform.clone(), clock.clone(), &centre);
        let run = Run {
            lease: Arc::new(Lease::spawn(platform, clock, settings, parts.seed)),
            look: Look { centre, in_force, router, connector: parts.connector.clone() },
            loads: Arc::new(loads),
            shared: shared.clone(),
            orders: JoinSet::new(),
        };
        let task = tokio::spawn(run.go_on(stopped));
        Planner { shared, stop, task }
    }

    /// Gives no more orders, and gives the lease back once those under way are answered.
    pub(crate) fn stop(&self) {
        self.stop.send_replace(true);
    }

    pub(crate) fn state(&self) -> PlannerState {
        self.shared.lock().clone()
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, PlannerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn lease_settings(centre: &str, entry_id: &str) -> LeaseSettings {
    LeaseSettings {
        term: LEASE_TERM,
        order_timeout: ORDER_TIMEOUT,
        renewal_interval: RENEWAL_INTERVAL,
        poll_interval: POLL_INTERVAL,
        ..LeaseSettings::new(&format!("leases/planner/{centre}"), entry_id)
    }
}

struct Run {
    lease: Arc<Lease>,
    look: Look,
    loads: Arc<Loads>,
    shared: Arc<Shared>,
    orders: JoinSet<()>,
}

impl Run {
    async fn go_on(mut self, mut stopped: watch::Receiver<bool>) {
        while !*stopped.borrow_and_update() {
            self.take_look().await;
            tokio::select! {
                () = tokio::time::sleep(LOOK_INTERVAL) => {}
                _ = stopped.changed() => {}
            }
        }
        while self.orders.join_next().await.is_some() {}
        if let Ok(lease) = Arc::try_unwrap(self.lease) {
            lease.release().await;
        }
        self.shared.lock().lease = LeaseState::default();
    }

    async fn take_look(&mut self) {
        while self.orders.try_join_next().is_some() {}
        self.note_lease();
        if self.lease.permit().is_none() {
            self.shared.lock().waiting.clear();
            return;
        }
        let under_way = self.shared.lock().orders_under_way.clone();
        let due = match self.look.choose(&self.loads, &under_way).await {
            Ok(chosen) => {
                let mut state = self.shared.lock();
                state.held_up = None;
                state.waiting = chosen.waiting;
                chosen.orders
            }
            Err(why) => {
                self.shared.lock().held_up = Some(why);
                return;
            }
        };
        for order in due {
            self.begin(order);
        }
    }

    fn begin(&mut self, order: OrderDue) {
        let name = order.runner.clone();
        self.shared.lock().orders_under_way.insert(name.clone());
        let tools = OrderTools {
            lease: self.lease.clone(),
            loads: self.loads.clone(),
            handle: self.look.connector.runner(&order.address),
            timeout: ORDER_TIMEOUT,
        };
        let shared = self.shared.clone();
        self.orders.spawn(async move {
            carry_out(tools, order).await;
            shared.lock().orders_under_way.remove(&name);
        });
    }

    fn note_lease(&self) {
        let status = self.lease.status();
        self.shared.lock().lease = LeaseState {
            key: status.key,
            last_holder: status.last_holder,
            fencing_number: status.fencing_number,
            remaining_ms: u64::try_from(status.remaining.as_millis()).unwrap_or(u64::MAX),
        };
    }
}
