//! Whether cached blocks were sound, and of the account's own making.

use super::{Guarantee, Verdicts};
use crate::{
    callers::{Record, Sent},
    simulation::Simulation,
};
use skylarkpick_standin::RunRecord;
use std::collections::BTreeMap;

/// Bytes of prompt that a cached token stands for.
const BYTES_PER_TOKEN: usize = 4;

pub(super) fn judge(simulation: &Simulation, verdicts: &mut Verdicts) {
    let records = simulation.callers.records();
    let mut runs: Vec<RunRecord> =
        simulation.runners.values().flat_map(|target| target.ledger()).collect();
    runs.sort_by_key(|run| run.started_at);
    for (index, run) in runs.iter().enumerate() {
        if !run.used_valid_context {
            let detail = format!("run {} computed over corrupt context", run.run_id);
            verdicts.break_promise(Guarantee::SoundContext, detail);
        }
        if run.cached_tokens > 0 && !has_source(run, &runs[..index], &records) {
            let detail = format!(
                "run {} of {} got {} cached tokens that its account never computed with weight \
                 version {}",
                run.run_id, run.account, run.cached_tokens, run.weight_version
            );
            verdicts.break_promise(Guarantee::AccountsApart, detail);
        }
    }
}

/// Whether an earlier run of the same account and weights computed what this one got cached.
fn has_source(run: &RunRecord, before: &[RunRecord], records: &BTreeMap<String, Record>) -> bool {
    let Some(prompt) = prompt(run, records) else { return true };
    let cached = prompt.len().min(run.cached_tokens as usize * BYTES_PER_TOKEN);
    before.iter().any(|earlier| {
        earlier.account == run.account
            && earlier.weight_version == run.weight_version
            && prompt_starts(earlier, records, &prompt.as_bytes()[..cached])
    })
}

fn prompt_starts(run: &RunRecord, records: &BTreeMap<String, Record>, start: &[u8]) -> bool {
    prompt(run, records).is_some_and(|prompt| prompt.as_bytes().starts_with(start))
}

fn prompt<'a>(run: &RunRecord, records: &'a BTreeMap<String, Record>) -> Option<&'a str> {
    match &records.get(&run.request_id)?.sent {
        Sent::Completion { prompt, .. } => Some(prompt),
        Sent::Call { .. } => None,
    }
}
