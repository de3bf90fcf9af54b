//! Checks that runs use only valid cached blocks, and only those of their own client account.

use super::{Guarantee, Violations};
use crate::{
    clients::{RequestRecord, SentRequest},
    simulation::Simulation,
};
use skylarkpick_standin::RunRecord;
use std::collections::BTreeMap;

/// Prompt size of a cached token.
const BYTES_PER_TOKEN: usize = 4;

pub(super) fn check(simulation: &Simulation, violations: &mut Violations) {
    let records = simulation.clients.records();
    let mut runs: Vec<RunRecord> =
        simulation.runners.values().flat_map(|target| target.ledger()).collect();
    runs.sort_by_key(|run| run.started_at);
    for (index, run) in runs.iter().enumerate() {
        if !run.used_valid_context {
            let detail = format!("run {} computed over corrupt context", run.run_id);
            violations.add(Guarantee::SoundContext, detail);
        }
        if run.cached_tokens > 0 && !has_source(run, &runs[..index], &records) {
            let detail = format!(
                "run {} of {} used {} cached tokens that its account never computed with weight \
                 version {}",
                run.run_id, run.account, run.cached_tokens, run.weight_version
            );
            violations.add(Guarantee::AccountsApart, detail);
        }
    }
}

/// Whether an earlier run of the same account and weight version computed the cached part of the
/// prompt.
fn has_source(
    run: &RunRecord,
    earlier_runs: &[RunRecord],
    records: &BTreeMap<String, RequestRecord>,
) -> bool {
    let Some(prompt) = prompt(run, records) else { return true };
    let cached = prompt.len().min(run.cached_tokens as usize * BYTES_PER_TOKEN);
    earlier_runs.iter().any(|earlier| {
        earlier.account == run.account
            && earlier.weight_version == run.weight_version
            && prompt_starts_with(earlier, records, &prompt.as_bytes()[..cached])
    })
}

fn prompt_starts_with(
    run: &RunRecord,
    records: &BTreeMap<String, RequestRecord>,
    start: &[u8],
) -> bool {
    prompt(run, records).is_some_and(|prompt| prompt.as_bytes().starts_with(start))
}

fn prompt<'a>(run: &RunRecord, records: &'a BTreeMap<String, RequestRecord>) -> Option<&'a str> {
    match &records.get(&run.request_id)?.sent {
        SentRequest::Completion { prompt, .. } => Some(prompt),
        SentRequest::Call { .. } => None,
    }
}
