//! The initial configuration of the simulated fleet.

use super::fleet::FleetSettings;
use crate::names;
use serde_json::{Value, json};

/// Returns the initial configuration document.
pub(super) fn document(settings: &FleetSettings) -> Value {
    let mut accounts = json!({});
    for account in names::ACCOUNTS {
        accounts[account] = json!({});
    }
    let mut data_centres = json!({});
    for (index, data_centre) in settings.data_centres.iter().enumerate() {
        data_centres[data_centre] = data_centre_document(settings, index, data_centre);
    }
    json!({
        "accounts": accounts,
        "models": {names::MODEL: {"weight_version": 1, "serving": "ordinary"}},
        "serving": {"ordinary": {"deadline_ms": 30_000, "loads_limit": settings.loads_limit}},
        "services": {names::SERVICE: {"not_repeatable": ["POST /bookings"]}},
        "data_centres": data_centres,
    })
}

fn data_centre_document(
    settings: &FleetSettings,
    data_centre_index: usize,
    data_centre: &str,
) -> Value {
    let mut runners = json!({});
    for index in 1..=settings.runners {
        runners[names::runner(data_centre, index)] = json!({
            "address": names::address(data_centre_index, 1, index),
            "model": names::MODEL,
            "checks_fencing": !settings.ignores_fencing,
        });
    }
    let mut stores = json!({});
    for index in 1..=settings.stores {
        stores[names::store(data_centre, index)] = json!({
            "address": names::address(data_centre_index, 2, index),
            "link_bytes_per_second": settings.store.link_bytes_per_second,
        });
    }
    let mut services = json!({});
    for index in 1..=settings.services {
        services[names::service(data_centre, index)] = json!({
            "address": names::address(data_centre_index, 3, index),
            "service": names::SERVICE,
        });
    }
    json!({"region": "region", "runners": runners, "stores": stores, "services": services})
}
