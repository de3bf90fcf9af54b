//! `close` and `take_up`: a client closes its connection, and resumes the stream.

use super::{ARRIVAL_DELAY, Step, started_simulation};
use crate::{
    arguments::Arguments,
    clients::{RequestRecord, ResumeRequest},
    error::StepError,
    simulation::Simulation,
};
use async_trait::async_trait;

/// A client closes its connection.
pub(super) struct CloseStep;
/// A client resumes a stream through an entry process. With `altered`, its resume token is invalid.
pub(super) struct ResumeStreamStep;

#[async_trait(?Send)]
impl Step for CloseStep {
    fn name(&self) -> &'static str {
        "close"
    }

    fn usage(&self) -> &'static str {
        "close id=ID"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let id: String = arguments.take("id", "a request")?;
        arguments.finish()?;
        find_record(simulation, &id)?;
        simulation.clients.close(&id);
        tokio::time::sleep(ARRIVAL_DELAY).await;
        Ok(String::new())
    }
}

#[async_trait(?Send)]
impl Step for ResumeStreamStep {
    fn name(&self) -> &'static str {
        "take_up"
    }

    fn usage(&self) -> &'static str {
        "take_up id=ID of=ID entry=PROCESS [account=ACCOUNT] [altered]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let id: String = arguments.take("id", "a name")?;
        let of: String = arguments.take("of", "a request")?;
        let process: String = arguments.take("entry", "an entry process")?;
        let first = find_record(simulation, &of)?;
        let account = arguments.take_or("account", "an account", first.account.clone())?;
        let is_altered = arguments.take_flag("altered");
        arguments.finish()?;
        let token = first.resume_token.clone();
        let mut token = token.ok_or_else(|| StepError::UnknownName(format!("token of {of}")))?;
        if is_altered {
            token = alter_token(&token);
        }
        let offset = first.tokens.len() as u64;
        let record = RequestRecord {
            account: account.clone(),
            entry: process.clone(),
            outcome: None,
            ..first
        };
        let entry = simulation.entry(&process)?;
        simulation.clients.records().insert(id.clone(), record);
        let resume = ResumeRequest { account, token, offset };
        simulation.clients.resume(entry.entry.clone(), entry.control.clone(), &id, resume);
        tokio::time::sleep(ARRIVAL_DELAY).await;
        Ok(String::new())
    }
}

fn find_record(simulation: &Simulation, id: &str) -> Result<RequestRecord, StepError> {
    simulation.clients.record(id).ok_or_else(|| StepError::UnknownName(id.to_string()))
}

/// Changes one character in the middle of a token.
fn alter_token(token: &str) -> String {
    let middle = token.len() / 2;
    let changed = |(index, character): (usize, char)| match (index == middle, character) {
        (true, 'A') => 'B',
        (true, _) => 'A',
        (false, character) => character,
    };
    token.chars().enumerate().map(changed).collect()
}
