//! Checks that non-idempotent calls run at most once.

use super::{Guarantee, Violations};
use crate::{
    clients::{Outcome, SentRequest},
    simulation::Simulation,
};
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check(simulation: &Simulation, violations: &mut Violations) {
    let mut runs: BTreeMap<(String, Vec<u8>), u64> = BTreeMap::new();
    for target in simulation.services.values() {
        for call in target.ledger() {
            *runs.entry((call.account, call.body)).or_default() += 1;
        }
    }
    for ((account, body), count) in &runs {
        if *count > 1 {
            let body = String::from_utf8_lossy(body);
            let detail = format!("the call {body} of {account} ran {count} times");
            violations.add(Guarantee::AtMostOnce, detail);
        }
    }
    check_responses(simulation, violations);
}

/// All responses to calls with the same idempotency key must be the same.
fn check_responses(simulation: &Simulation, violations: &mut Violations) {
    let mut responses: BTreeMap<(String, String), BTreeSet<Vec<u8>>> = BTreeMap::new();
    for record in simulation.clients.records().values() {
        let SentRequest::Call { key: Some(key), .. } = &record.sent else { continue };
        if let Some(Outcome::Response { body, .. }) = &record.outcome {
            let name = (record.account.clone(), key.clone());
            responses.entry(name).or_default().insert(body.clone());
        }
    }
    for ((account, key), bodies) in responses {
        if bodies.len() > 1 {
            let detail = format!(
                "{} different responses to calls of {account} with key {key}",
                bodies.len()
            );
            violations.add(Guarantee::AtMostOnce, detail);
        }
    }
}
