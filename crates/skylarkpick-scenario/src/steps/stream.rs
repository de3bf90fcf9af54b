//! `close` and `take_up`: a caller closes its connection, and takes the stream up again.

use super::{Step, WAY_IN, world_of};
use crate::{
    arguments::Arguments,
    callers::{Record, Taking},
    error::StepError,
    world::World,
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
        world: &mut Option<World>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let world = world_of(world)?;
        let id: String = arguments.take("id", "a request")?;
        arguments.finish()?;
        find(world, &id)?;
        world.callers.close(&id);
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
        world: &mut Option<World>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let world = world_of(world)?;
        let id: String = arguments.take("id", "a name")?;
        let of: String = arguments.take("of", "a request")?;
        let process: String = arguments.take("entry", "an entry process")?;
        let first = find(world, &of)?;
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
        let entry = world.entry(&process)?;
        world.callers.records().insert(id.clone(), record);
        let taking = Taking { account, token, offset };
        world.callers.take_up(entry.entry.clone(), entry.life.clone(), &id, taking);
        tokio::time::sleep(WAY_IN).await;
        Ok(String::new())
    }
}

fn find(world: &World, id: &str) -> Result<Record, StepError> {
    world.callers.record(id).ok_or_else(|| StepError::UnknownName(id.to_string()))
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
