//! Checks that each client receives the tokens of its own response, each once and in order.

use super::{Guarantee, Violations};
use crate::{
    clients::{Outcome, RequestRecord, SentRequest},
    simulation::Simulation,
};
use skylarkpick_standin::expected_token;

pub(super) fn check(simulation: &Simulation, violations: &mut Violations) {
    for (id, record) in simulation.clients.records().iter() {
        let error = match &record.sent {
            SentRequest::Completion { prompt, response_tokens, .. } => {
                completion_error(record, prompt, *response_tokens)
            }
            SentRequest::Call { .. } => call_error(record),
        };
        if let Some(error) = error {
            violations.add(Guarantee::WholeOwnAnswer, format!("request {id} {error}"));
        }
    }
}

fn completion_error(record: &RequestRecord, prompt: &str, response_tokens: u64) -> Option<String> {
    let version = record.weight_version.unwrap_or_default();
    for (offset, text) in record.tokens.iter().enumerate() {
        if *text != expected_token(prompt, version, offset as u64) {
            return Some(format!("received {text:?} as token {offset} of its response"));
        }
    }
    let is_complete = record.outcome == Some(Outcome::Complete);
    (is_complete && record.tokens.len() as u64 != response_tokens)
        .then(|| format!("received a complete response of {} tokens", record.tokens.len()))
}

fn call_error(record: &RequestRecord) -> Option<String> {
    let Some(Outcome::Response { body, .. }) = &record.outcome else { return None };
    let reply: serde_json::Value = serde_json::from_slice(body).ok()?;
    let account = reply["account"].as_str()?;
    (account != record.account)
        .then(|| format!("of {} received a response for {account}", record.account))
}
