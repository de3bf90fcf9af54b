//! Whether every caller got the tokens of its own answer, each once and in order.

use super::{Guarantee, Verdicts};
use crate::{
    callers::{Ended, Record, Sent},
    simulation::Simulation,
};
use skylarkpick_standin::expected_token;

pub(super) fn judge(simulation: &Simulation, verdicts: &mut Verdicts) {
    for (id, record) in simulation.callers.records().iter() {
        let fault = match &record.sent {
            Sent::Completion { prompt, answer_tokens, .. } => {
                completion_fault(record, prompt, *answer_tokens)
            }
            Sent::Call { .. } => reply_fault(record),
        };
        if let Some(fault) = fault {
            verdicts.break_promise(Guarantee::WholeOwnAnswer, format!("request {id} {fault}"));
        }
    }
}

fn completion_fault(record: &Record, prompt: &str, answer_tokens: u64) -> Option<String> {
    let version = record.weight_version.unwrap_or_default();
    for (offset, text) in record.tokens.iter().enumerate() {
        if *text != expected_token(prompt, version, offset as u64) {
            return Some(format!("got {text:?} as token {offset} of its answer"));
        }
    }
    let whole = record.ended == Some(Ended::Whole);
    (whole && record.tokens.len() as u64 != answer_tokens)
        .then(|| format!("got {} tokens as its whole answer", record.tokens.len()))
}

fn reply_fault(record: &Record) -> Option<String> {
    let Some(Ended::Reply { body, .. }) = &record.ended else { return None };
    let reply: serde_json::Value = serde_json::from_slice(body).ok()?;
    let account = reply["account"].as_str()?;
    (account != record.account).then(|| format!("of {} got a reply of {account}", record.account))
}
