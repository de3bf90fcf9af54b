//! `send`: a caller sends a prompt.

use super::{Step, WAY_IN, started};
use crate::{
    arguments::{Arguments, bad_argument},
    callers::{Record, Sent},
    error::StepError,
    names,
    simulation::Simulation,
};
use async_trait::async_trait;
use skylarkpick_entry::CompletionRequest;
use skylarkpick_interface::Priority;
use std::time::Duration;

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
         [answer=TOKENS] [priority=low|normal|high] [deadline_ms=N] [resumable] [count=N]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started(simulation)?;
        let id: String = arguments.take("id", "a name")?;
        let process: String = arguments.take("entry", "an entry process")?;
        let count = arguments.take_or("count", "a count", 1)?;
        let sending = Sending::read(&mut arguments)?;
        arguments.finish()?;
        for index in 1..=count {
            let id = if count == 1 { id.clone() } else { format!("{id}-{index}") };
            sending.send(simulation, &process, id)?;
        }
        tokio::time::sleep(WAY_IN).await;
        Ok(String::new())
    }
}

/// What a caller sends.
struct Sending {
    account: String,
    prompt: String,
    blocks: usize,
    question: Option<String>,
    answer_tokens: u64,
    priority: Priority,
    deadline: Option<Duration>,
    resumable: bool,
}

impl Sending {
    fn read(arguments: &mut Arguments) -> Result<Sending, StepError> {
        let priority = arguments.take_or("priority", "a priority", "normal".to_string())?;
        Ok(Sending {
            account: arguments.take_or("account", "an account", names::ACCOUNTS[0].to_string())?,
            prompt: arguments.take_or("prompt", "a word", "catalogue".to_string())?,
            blocks: arguments.take_or("blocks", "a count", 4)?,
            question: arguments.take_optional("question", "a word")?,
            answer_tokens: arguments.take_or("answer", "a count", 8)?,
            priority: read_priority(&priority)?,
            deadline: arguments.take_time("deadline_ms")?,
            resumable: arguments.take_flag("resumable"),
        })
    }

    fn send(&self, simulation: &Simulation, process: &str, id: String) -> Result<(), StepError> {
        let question = self.question.as_ref().unwrap_or(&id);
        let prompt = write_prompt(&self.prompt, self.blocks, question);
        let entry = simulation.entry(process)?;
        let in_force = entry.entry.active_configuration();
        let model = in_force.configuration.models.get(names::MODEL);
        let sent = Sent::Completion {
            prompt: prompt.clone(),
            answer_tokens: self.answer_tokens,
            allowed_weight_versions: model
                .map_or_else(Vec::new, |model| model.usable_weight_versions()),
        };
        let request = CompletionRequest {
            request_id: id.clone(),
            account: self.account.clone(),
            model: names::MODEL.to_string(),
            adapter: None,
            prompt,
            answer_tokens_limit: self.answer_tokens,
            priority: self.priority,
            deadline: self.deadline,
            resumable: self.resumable,
        };
        simulation.callers.records().insert(id, Record::open(&self.account, process, sent));
        simulation.callers.send(entry.entry.clone(), entry.life.clone(), request);
        Ok(())
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
