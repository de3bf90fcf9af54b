//! Runs the planner in a background task and reports its state.

use super::{
    load_slots::LoadSlots,
    order::{OrderContext, execute_order},
    reconciler::{PlannedOrder, Reconciler},
};
use crate::{
    active_configuration::ActiveConfiguration, entry_parts::EntryParts, router_actor::RouterActor,
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

/// Time between two reconciliation passes.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the lease is held without a renewal.
const LEASE_TERM: Duration = Duration::from_secs(12);
/// Maximum time for a runner to respond to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two renewals by the holder.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of the lease by a process that does not hold it.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// State of a lease as this process last read it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LeaseState {
    /// Key of the platform object that stores the lease.
    pub key: String,
    /// Holder in the last record that was read.
    pub last_holder: Option<String>,
    /// Fencing number, while the lease permits this process to send orders.
    pub fencing_number: Option<FencingNumber>,
    /// Time left in the term, while the lease permits this process to send orders.
    pub remaining_ms: u64,
}

/// State of the planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PlannerState {
    /// Lease of the data centre's planner.
    pub lease: LeaseState,
    /// Runners for which an order of this process is in progress.
    pub orders_under_way: BTreeSet<RunnerId>,
    /// Runners whose load is deferred, and why; empty without the lease.
    pub waiting: BTreeMap<RunnerId, RolloutWait>,
    /// Why the last reconciliation pass failed.
    pub held_up: Option<String>,
}

/// Handle to the running planner of an entry process. Dropping it stops the planner.
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
        active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
        router: ActorRef<RouterActor>,
    ) -> Planner {
        let shared = Arc::new(Shared::default());
        let (stop, stopped) = watch::channel(false);
        let data_centre = parts.settings.data_centre.clone();
        let settings = lease_settings(&data_centre, &parts.settings.entry_id);
        let (platform, clock) = (parts.platform.clone(), parts.clock.clone());
        let load_slots = LoadSlots::open(platform.clone(), clock.clone(), &data_centre);
        let task = PlannerTask {
            lease: Arc::new(Lease::spawn(platform, clock, settings, parts.seed)),
            reconciler: Reconciler {
                data_centre,
                active_configuration,
                router,
                connector: parts.connector.clone(),
            },
            load_slots: Arc::new(load_slots),
            shared: shared.clone(),
            orders: JoinSet::new(),
        };
        let task = tokio::spawn(task.run(stopped));
        Planner { shared, stop, task }
    }

    /// Stops sending orders and releases the lease once the orders in progress have ended.
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

fn lease_settings(data_centre: &str, entry_id: &str) -> LeaseSettings {
    LeaseSettings {
        term: LEASE_TERM,
        order_timeout: ORDER_TIMEOUT,
        renewal_interval: RENEWAL_INTERVAL,
        poll_interval: POLL_INTERVAL,
        ..LeaseSettings::new(&format!("leases/planner/{data_centre}"), entry_id)
    }
}

/// The planner's background task.
struct PlannerTask {
    lease: Arc<Lease>,
    reconciler: Reconciler,
    load_slots: Arc<LoadSlots>,
    shared: Arc<Shared>,
    orders: JoinSet<()>,
}

impl PlannerTask {
    async fn run(mut self, mut stopped: watch::Receiver<bool>) {
        while !*stopped.borrow_and_update() {
            self.reconcile().await;
            tokio::select! {
                () = tokio::time::sleep(RECONCILE_INTERVAL) => {}
                _ = stopped.changed() => {}
            }
        }
        while self.orders.join_next().await.is_some() {}
        if let Ok(lease) = Arc::try_unwrap(self.lease) {
            lease.release().await;
        }
        self.shared.lock().lease = LeaseState::default();
    }

    async fn reconcile(&mut self) {
        while self.orders.try_join_next().is_some() {}
        self.record_lease();
        if self.lease.permit().is_none() {
            self.shared.lock().waiting.clear();
            return;
        }
        let in_progress = self.shared.lock().orders_under_way.clone();
        let orders = match self.reconciler.plan(&self.load_slots, &in_progress).await {
            Ok(plan) => {
                let mut state = self.shared.lock();
                state.held_up = None;
                state.waiting = plan.waiting;
                plan.orders
            }
            Err(reason) => {
                self.shared.lock().held_up = Some(reason);
                return;
            }
        };
        for order in orders {
            self.start(order);
        }
    }

    fn start(&mut self, order: PlannedOrder) {
        let name = order.runner.clone();
        self.shared.lock().orders_under_way.insert(name.clone());
        let context = OrderContext {
            lease: self.lease.clone(),
            load_slots: self.load_slots.clone(),
            runner: self.reconciler.connector.runner(&order.address),
            timeout: ORDER_TIMEOUT,
        };
        let shared = self.shared.clone();
        self.orders.spawn(async move {
            execute_order(context, order).await;
            shared.lock().orders_under_way.remove(&name);
        });
    }

    fn record_lease(&self) {
        let status = self.lease.status();
        self.shared.lock().lease = LeaseState {
            key: status.key,
            last_holder: status.last_holder,
            fencing_number: status.fencing_number,
            remaining_ms: u64::try_from(status.remaining.as_millis()).unwrap_or(u64::MAX),
        };
    }
}
