//! Targets and requests of tests on what targets say in their responses.

use super::{Placement, PlacementDecision, PlacementRequest};
use skylarkpick_interface::{RegisteredTarget, ServiceKind};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

pub(super) const SERVICE: &str = "book-api";

pub(super) fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index], 80))
}

pub(super) fn registered(index: u8, started_at_ms: u64) -> RegisteredTarget {
    RegisteredTarget {
        id: format!("i-{index}"),
        service: SERVICE.to_string(),
        address: address(index),
        data_centre: "mnl-a".to_string(),
        slots: 6,
        is_draining: false,
        weights: BTreeMap::new(),
        started_at_ms,
        software_version: Some("v1".to_string()),
        cold_remaining: None,
    }
}

/// Returns a placement with this many targets.
pub(super) fn fleet(targets: u8) -> Placement {
    let mut placement = Placement::open(Duration::from_secs(10));
    placement.set_services(&BTreeMap::from([(SERVICE.to_string(), ServiceKind::Plain)]));
    for index in 1..=targets {
        placement.set_target(registered(index, 1));
    }
    placement
}

/// Returns a request that avoids these targets.
pub(super) fn request(avoid: &[u8]) -> PlacementRequest {
    PlacementRequest {
        service: SERVICE.to_string(),
        data_centre: "mnl-a".to_string(),
        prompt: None,
        rank: 0,
        is_continuation: false,
        software_version: None,
        avoid: avoid.iter().map(|index| format!("i-{index}")).collect(),
        max_wait: Duration::from_secs(1),
    }
}

pub(super) fn choose(placement: &Placement, avoid: &[u8], now: Duration) -> PlacementDecision {
    placement.choose(&request(avoid), now)
}
