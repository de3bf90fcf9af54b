//! Gives one order to one runner and stays with it to its end.

use super::{
    loads::Loads,
    look::{OrderDue, STATUS_TIMEOUT},
};
use skylarkpick_interface::{Order, OrderError, OrderKind, Runner, RunnerStatus};
use skylarkpick_lease::Lease;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout};

/// Time between two reads of a runner that loads.
const LOADING_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which a load is watched.
const LOAD_WATCH_LIMIT: Duration = Duration::from_secs(60);

/// What an order needs.
pub(super) struct OrderTools {
    pub(super) lease: Arc<Lease>,
    pub(super) loads: Arc<Loads>,
    pub(super) handle: Arc<dyn Runner>,
    pub(super) timeout: Duration,
}

/// Takes a place among the loads, gives the order and waits until the runner loads no more.
pub(super) async fn carry_out(tools: OrderTools, due: OrderDue) {
    if !tools.loads.take(&due.runner, due.weight_version, due.loads_limit).await {
        return;
    }
    if give(&tools, &due).await {
        wait_loaded(&tools).await;
    }
    tools.loads.give_back(&due.runner).await;
}

/// Gives the order, and tells whether the runner may load now.
async fn give(tools: &OrderTools, due: &OrderDue) -> bool {
    let Some(status) = status(tools).await else { return false };
    let is_in_place = status.model == due.model && status.weight_version == due.weight_version;
    if status.loading.is_some() || status.leaving || is_in_place {
        return false;
    }
    // The last look before sending: what is left of the term covers the order's whole time.
    let Some(permit) = tools.lease.permit() else { return false };
    let order = Order {
        fencing_number: permit.fencing_number,
        kind: OrderKind::Load {
            model: due.model.clone(),
            weight_version: due.weight_version,
            adapters: due.adapters.clone(),
        },
    };
    let outcome = timeout(tools.timeout, tools.handle.order(order)).await;
    let outcome = outcome.unwrap_or_else(|_| Err(OrderError::Unknown("no answer".to_string())));
    if let Err(error) = &outcome {
        spdlog::warn!("an order to load weights was not confirmed", kv: {
            runner = due.runner.as_str(), error = error.to_string().as_str(),
        });
    }
    matches!(outcome, Ok(()) | Err(OrderError::Unknown(_)))
}

async fn wait_loaded(tools: &OrderTools) {
    let deadline = Instant::now() + LOAD_WATCH_LIMIT;
    while Instant::now() < deadline {
        if status(tools).await.is_some_and(|status| status.loading.is_none()) {
            return;
        }
        tokio::time::sleep(LOADING_READ_INTERVAL).await;
    }
}

async fn status(tools: &OrderTools) -> Option<RunnerStatus> {
    timeout(STATUS_TIMEOUT, tools.handle.status()).await.ok()?.ok()
}
