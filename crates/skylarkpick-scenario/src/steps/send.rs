//! `send`: a caller sends a prompt.

use super::{Step, WAY_IN, world_of};
use crate::{
    arguments::{Arguments, bad_argument},
    callers::{Record, Sent},
    error::StepError,
    names,
    world::World,
};
use async_trait::async_trait;
use skylarkpick_entry::CompletionRequest;
use skylarkpick_interface::Priority;

/// Bytes of a block of prompt.
const BLOCK_SIZE_BYTES: usize = 1_024;

/// A caller sends a prompt.
pub(super) struct SendStep;

#[async_trait(?Send)]
impl Step for SendStep {
    fn name(&self) -> &'static str {
        "send"
    }

    fn usage(&self) -> &'static str {
        "send id=ID entry=PROCESS [account=ACCOUNT] [prompt=WORD] [blocks=N] [question=WORD] \
         [answer=TOKENS] [priority=low|normal|high] [deadline_ms=N]"
    }

    async fn run(
        &self,
        world: &mut Option<World>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let world = world_of(world)?;
        let id: String = arguments.take("id", "a name")?;
        let process: String = arguments.take("entry", "an entry process")?;
        let account = arguments.take_or("account", "an account", names::ACCOUNTS[0].to_string())?;
        let prompt = arguments.take_or("prompt", "a word", "catalogue".to_string())?;
        let blocks = arguments.take_or("blocks", "a count", 4)?;
        let question: String = arguments.take_or("question", "a text", id.clone())?;
        let answer_tokens = arguments.take_or("answer", "a count", 8)?;
        let priority = arguments.take_or("priority", "a priority", "normal".to_string())?;
        let deadline = arguments.take_time("deadline_ms")?;
        arguments.finish()?;
        let prompt = write_prompt(&prompt, blocks, &question);
        let entry = world.entry(&process)?;
        let in_force = entry.entry.in_force();
        let model = in_force.configuration.models.get(names::MODEL);
        let sent = Sent::Completion {
            prompt: prompt.clone(),
            answer_tokens,
            allowed_weight_versions: model
                .map_or_else(Vec::new, |model| model.usable_weight_versions()),
        };
        let request = CompletionRequest {
            request_id: id.clone(),
            account: account.clone(),
            model: names::MODEL.to_string(),
            adapter: None,
            prompt,
            answer_tokens_limit: answer_tokens,
            priority: read_priority(&priority)?,
            deadline,
            resumable: false,
        };
        world.callers.records().insert(id, Record::open(&account, &process, sent));
        world.callers.send(entry.entry.clone(), entry.life.clone(), request);
        tokio::time::sleep(WAY_IN).await;
        Ok(String::new())
    }
}

fn write_prompt(word: &str, blocks: usize, question: &str) -> String {
    let long =
        format!("{word} ").chars().cycle().take(blocks * BLOCK_SIZE_BYTES).collect::<String>();
    format!("{long}{question}")
}

fn read_priority(text: &str) -> Result<Priority, StepError> {
    match text {
        "low" => Ok(Priority::Low),
        "normal" => Ok(Priority::Normal),
        "high" => Ok(Priority::High),
        other => Err(bad_argument("priority", other, "low, normal or high")),
    }
}
