//! `send`: a client sends completion requests.

use super::{ARRIVAL_DELAY, Step, started_simulation};
use crate::{
    arguments::{Arguments, bad_argument},
    clients::{RequestRecord, SentRequest},
    error::StepError,
    names,
    simulation::Simulation,
};
use async_trait::async_trait;
use skylarkpick_entry::CompletionRequest;
use skylarkpick_interface::Priority;
use std::time::Duration;

/// Prompt size of a cache block.
const BLOCK_SIZE_BYTES: usize = 1_024;

/// A client sends completion requests.
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
        let simulation = started_simulation(simulation)?;
        let id: String = arguments.take("id", "a name")?;
        let process: String = arguments.take("entry", "an entry process")?;
        let count = arguments.take_or("count", "a count", 1)?;
        let request = PromptRequest::read(&mut arguments)?;
        arguments.finish()?;
        for index in 1..=count {
            let id = if count == 1 { id.clone() } else { format!("{id}-{index}") };
            request.send(simulation, &process, id)?;
        }
        tokio::time::sleep(ARRIVAL_DELAY).await;
        Ok(String::new())
    }
}

/// The completion request that the arguments describe.
struct PromptRequest {
    account: String,
    prompt: String,
    blocks: usize,
    question: Option<String>,
    response_tokens: u64,
    priority: Priority,
    deadline: Option<Duration>,
    resumable: bool,
}

impl PromptRequest {
    fn read(arguments: &mut Arguments) -> Result<PromptRequest, StepError> {
        let priority = arguments.take_or("priority", "a priority", "normal".to_string())?;
        Ok(PromptRequest {
            account: arguments.take_or("account", "an account", names::ACCOUNTS[0].to_string())?,
            prompt: arguments.take_or("prompt", "a word", "catalogue".to_string())?,
            blocks: arguments.take_or("blocks", "a count", 4)?,
            question: arguments.take_optional("question", "a word")?,
            response_tokens: arguments.take_or("answer", "a count", 8)?,
            priority: read_priority(&priority)?,
            deadline: arguments.take_time("deadline_ms")?,
            resumable: arguments.take_flag("resumable"),
        })
    }

    fn send(&self, simulation: &Simulation, process: &str, id: String) -> Result<(), StepError> {
        let question = self.question.as_ref().unwrap_or(&id);
        let prompt = build_prompt(&self.prompt, self.blocks, question);
        let entry = simulation.entry(process)?;
        let active = entry.entry.active_configuration();
        let model = active.configuration.models.get(names::MODEL);
        let sent = SentRequest::Completion {
            prompt: prompt.clone(),
            response_tokens: self.response_tokens,
            allowed_weight_versions: model
                .map_or_else(Vec::new, |model| model.usable_weight_versions()),
        };
        let request = CompletionRequest {
            request_id: id.clone(),
            account: self.account.clone(),
            model: names::MODEL.to_string(),
            adapter: None,
            prompt,
            answer_tokens_limit: self.response_tokens,
            priority: self.priority,
            deadline: self.deadline,
            resumable: self.resumable,
        };
        simulation.clients.records().insert(id, RequestRecord::open(&self.account, process, sent));
        simulation.clients.send(entry.entry.clone(), entry.control.clone(), request);
        Ok(())
    }
}

/// Returns a prompt of the repeated word that fills the given number of cache blocks, followed by
/// the question.
fn build_prompt(word: &str, blocks: usize, question: &str) -> String {
    let context =
        format!("{word} ").chars().cycle().take(blocks * BLOCK_SIZE_BYTES).collect::<String>();
    format!("{context}{question}")
}

fn read_priority(text: &str) -> Result<Priority, StepError> {
    match text {
        "low" => Ok(Priority::Low),
        "normal" => Ok(Priority::Normal),
        "high" => Ok(Priority::High),
        other => Err(bad_argument("priority", other, "low, normal or high")),
    }
}
