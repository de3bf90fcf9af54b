//! Sends one load order to a runner and waits until the load has ended.

use super::{
    load_slots::LoadSlots,
    reconciler::{PlannedOrder, STATUS_TIMEOUT},
};
use skylarkpick_interface::{Order, OrderError, OrderKind, Runner, RunnerStatus};
use skylarkpick_lease::Lease;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout};

/// Time between two reads of the status of a runner that is loading.
const STATUS_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time to wait for a load to end.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// What is needed to execute an order.
pub(super) struct OrderContext {
    pub(super) lease: Arc<Lease>,
    pub(super) load_slots: Arc<LoadSlots>,
    pub(super) runner: Arc<dyn Runner>,
    pub(super) timeout: Duration,
}

/// Acquires a load slot, sends the order, waits until the runner has finished loading and releases
/// the slot. Does nothing when all slots are taken.
pub(super) async fn execute_order(context: OrderContext, planned: PlannedOrder) {
    let (runner, weight_version) = (&planned.runner, planned.weight_version);
    if !context.load_slots.acquire(runner, weight_version, planned.loads_limit).await {
        return;
    }
    if send_order(&context, &planned).await {
        wait_until_loaded(&context).await;
    }
    context.load_slots.release(&planned.runner).await;
}

/// Sends the order unless it is no longer needed; returns whether the runner may be loading.
async fn send_order(context: &OrderContext, planned: &PlannedOrder) -> bool {
    let Some(status) = status(context).await else { return false };
    let is_loaded =
        status.model == planned.model && status.weight_version == planned.weight_version;
    if status.loading.is_some() || status.leaving || is_loaded {
        return false;
    }
    // Checked last: the remaining lease term must cover the timeout of the order.
    let Some(permit) = context.lease.permit() else { return false };
    let order = Order {
        fencing_number: permit.fencing_number,
        kind: OrderKind::Load {
            model: planned.model.clone(),
            weight_version: planned.weight_version,
            adapters: planned.adapters.clone(),
        },
    };
    let outcome = timeout(context.timeout, context.runner.order(order)).await;
    let outcome = outcome.unwrap_or_else(|_| Err(OrderError::Unknown("timed out".to_string())));
    if let Err(error) = &outcome {
        spdlog::warn!("an order to load weights was not confirmed", kv: {
            runner = planned.runner.as_str(), error = error.to_string().as_str(),
        });
    }
    matches!(outcome, Ok(()) | Err(OrderError::Unknown(_)))
}

async fn wait_until_loaded(context: &OrderContext) {
    let deadline = Instant::now() + LOAD_TIMEOUT;
    while Instant::now() < deadline {
        if status(context).await.is_some_and(|status| status.loading.is_none()) {
            return;
        }
        tokio::time::sleep(STATUS_READ_INTERVAL).await;
    }
}

async fn status(context: &OrderContext) -> Option<RunnerStatus> {
    timeout(STATUS_TIMEOUT, context.runner.status()).await.ok()?.ok()
}
