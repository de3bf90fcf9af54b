//! Whether a call that may not be repeated ran at most once.

use super::{Guarantee, Verdicts};
use crate::{
    callers::{Ended, Sent},
    simulation::Simulation,
};
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn judge(simulation: &Simulation, verdicts: &mut Verdicts) {
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
            verdicts.break_promise(Guarantee::AtMostOnce, detail);
        }
    }
    judge_replies(simulation, verdicts);
}

/// Two answers under one key must be the same answer.
fn judge_replies(simulation: &Simulation, verdicts: &mut Verdicts) {
    let mut replies: BTreeMap<(String, String), BTreeSet<Vec<u8>>> = BTreeMap::new();
    for record in simulation.callers.records().values() {
        let Sent::Call { key: Some(key), .. } = &record.sent else { continue };
        if let Some(Ended::Reply { body, .. }) = &record.ended {
            let name = (record.account.clone(), key.clone());
            replies.entry(name).or_default().insert(body.clone());
        }
    }
    for ((account, key), bodies) in replies {
        if bodies.len() > 1 {
            let detail = format!("{} answers were given for key {key} of {account}", bodies.len());
            verdicts.break_promise(Guarantee::AtMostOnce, detail);
        }
    }
}
