//! `call`: a client calls the plain service.

use super::{ARRIVAL_DELAY, Step, started_simulation};
use crate::{
    arguments::Arguments,
    clients::{RequestRecord, SentRequest},
    error::StepError,
    names,
    simulation::Simulation,
};
use async_trait::async_trait;
use skylarkpick_entry::CallRequest;

/// A client calls the plain service.
pub(super) struct CallStep;

#[async_trait(?Send)]
impl Step for CallStep {
    fn name(&self) -> &'static str {
        "call"
    }

    fn usage(&self) -> &'static str {
        "call id=ID entry=PROCESS [key=KEY] [account=ACCOUNT] [body=WORD] [path=WORD] \
         [method=METHOD] [deadline_ms=N]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let id: String = arguments.take("id", "a name")?;
        let process: String = arguments.take("entry", "an entry process")?;
        let key: Option<String> = arguments.take_optional("key", "a key")?;
        let account = arguments.take_or("account", "an account", names::ACCOUNTS[0].to_string())?;
        let name = key.clone().unwrap_or_else(|| id.clone());
        let body: String = arguments.take_or("body", "a text", format!("booking-{name}"))?;
        let path = arguments.take_or("path", "a word", "bookings".to_string())?;
        let method = arguments.take_or("method", "a method", "POST".to_string())?;
        let deadline = arguments.take_time("deadline_ms")?;
        arguments.finish()?;
        let entry = simulation.entry(&process)?;
        let sent = SentRequest::Call { key: key.clone(), body: body.clone().into_bytes() };
        simulation
            .clients
            .records()
            .insert(id.clone(), RequestRecord::open(&account, &process, sent));
        let request = CallRequest {
            request_id: id,
            account,
            service: names::SERVICE.to_string(),
            method,
            path: format!("/{path}"),
            body: body.into_bytes(),
            idempotency_key: key,
            deadline,
        };
        simulation.clients.call(entry.entry.clone(), entry.control.clone(), request);
        tokio::time::sleep(ARRIVAL_DELAY).await;
        Ok(String::new())
    }
}
