//! `close` and `take_up`: a caller closes its connection, and takes the stream up again.

use super::{Step, WAY_IN, started};
use crate::{
    arguments::Arguments,
    callers::{Record, Taking},
    error::StepError,
    simulation::Simulation,
};
use async_trait::async_trait;

/// A caller closes its connection.
pub(super) struct CloseStep;
/// A caller takes a stream up again, through any entry process.
pub(super) struct TakeUpStep;

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
        let simulation = started(simulation)?;
        let id: String = arguments.take("id", "a request")?;
        arguments.finish()?;
        find(simulation, &id)?;
        simulation.callers.close(&id);
        tokio::time::sleep(WAY_IN).await;
        Ok(String::new())
    }
}

#[async_trait(?Send)]
impl Step for TakeUpStep {
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
        let simulation = started(simulation)?;
        let id: String = arguments.take("id", "a name")?;
        let of: String = arguments.take("of", "a request")?;
        let process: String = arguments.take("entry", "an entry process")?;
        let first = find(simulation, &of)?;
        let account = arguments.take_or("account", "an account", first.account.clone())?;
        let altered = arguments.take_flag("altered");
        arguments.finish()?;
        let token = first.resume_token.clone();
        let mut token = token.ok_or_else(|| StepError::UnknownName(format!("token of {of}")))?;
        if altered {
            token = alter(&token);
        }
        let offset = first.tokens.len() as u64;
        let record =
            Record { account: account.clone(), entry: process.clone(), ended: None, ..first };
        let entry = simulation.entry(&process)?;
        simulation.callers.records().insert(id.clone(), record);
        let taking = Taking { account, token, offset };
        simulation.callers.take_up(entry.entry.clone(), entry.life.clone(), &id, taking);
        tokio::time::sleep(WAY_IN).await;
        Ok(String::new())
    }
}

fn find(simulation: &Simulation, id: &str) -> Result<Record, StepError> {
    simulation.callers.record(id).ok_or_else(|| StepError::UnknownName(id.to_string()))
}

/// Changes one character in the middle of a token.
fn alter(token: &str) -> String {
    let middle = token.len() / 2;
    let changed = |(index, character): (usize, char)| match (index == middle, character) {
        (true, 'A') => 'B',
        (true, _) => 'A',
        (false, character) => character,
    };
    token.chars().enumerate().map(changed).collect()
}
