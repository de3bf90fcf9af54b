//! The first configuration of a scenario's fleet.

use super::fleet::FleetPlan;
use crate::names;
use serde_json::{Value, json};

/// Document of the first configuration.
pub(super) fn document(plan: &FleetPlan) -> Value {
    let mut accounts = json!({});
    for account in names::ACCOUNTS {
        accounts[account] = json!({});
    }
    let mut centres = json!({});
    for (index, centre) in plan.centres.iter().enumerate() {
        centres[centre] = data_centre(plan, index, centre);
    }
    json!({
        "accounts": accounts,
        "models": {names::MODEL: {"weight_version": 1, "serving": "ordinary"}},
        "serving": {"ordinary": {"deadline_ms": 30_000, "loads_limit": plan.loads_limit}},
        "services": {names::SERVICE: {"not_repeatable": ["POST /bookings"]}},
        "data_centres": centres,
    })
}

fn data_centre(plan: &FleetPlan, centre_index: usize, centre: &str) -> Value {
    let mut runners = json!({});
    for index in 1..=plan.runners {
        runners[names::runner(centre, index)] = json!({
            "address": names::address(centre_index, 1, index),
            "model": names::MODEL,
            "checks_fencing": !plan.ignores_fencing,
        });
    }
    let mut stores = json!({});
    for index in 1..=plan.stores {
        stores[names::store(centre, index)] = json!({
            "address": names::address(centre_index, 2, index),
            "link_bytes_per_second": plan.store.link_bytes_per_second,
        });
    }
    let mut services = json!({});
    for index in 1..=plan.services {
        services[names::service(centre, index)] = json!({
            "address": names::address(centre_index, 3, index),
            "service": names::SERVICE,
        });
    }
    json!({"region": "region", "runners": runners, "stores": stores, "services": services})
}
