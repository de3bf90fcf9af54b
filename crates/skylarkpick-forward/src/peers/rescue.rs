//! Asks other entry processes for records while the platform turns this one away.

use super::messages::{Question, Reply};
use crate::fleet::Recorder;
use skylarkpick_interface::{FleetTopic, PeerNetwork};
use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

/// Longest wait for another process.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Processes that are asked at a time.
const ASKED_COUNT: usize = 2;

/// Asks other entry processes for records while the platform turns this one away.
#[derive(Default)]
pub(crate) struct PeerRescue {
    network: OnceLock<Arc<dyn PeerNetwork>>,
}

impl PeerRescue {
    /// Uses a network from now on; one process has one, for as long as it runs.
    pub(crate) fn set_network(&self, network: Arc<dyn PeerNetwork>) {
        let _ = self.network.set(network);
    }

    pub(crate) fn network(&self) -> Option<&Arc<dyn PeerNetwork>> {
        self.network.get()
    }

    /// Takes over newer records of a topic from a few other processes. Gives whether one of them
    /// answered.
    pub(crate) async fn ask(&self, recorder: &Recorder, topic: FleetTopic) -> bool {
        let Some(network) = self.network.get() else { return false };
        let asked = recorder.some_entries(ASKED_COUNT);
        let answers = asked.iter().map(|address| {
            let since = recorder.revision(topic);
            ask_records(&**network, address, topic, since)
        });
        let mut has_answer = false;
        for reply in futures::future::join_all(answers).await.into_iter().flatten() {
            has_answer = true;
            if let Reply::Records(news) = reply
                && recorder.replace(topic, &news)
            {
                spdlog::info!("records taken over from another entry process", kv: {
                    topic:, revision = news.revision,
                });
            }
        }
        has_answer
    }
}

async fn ask_records(
    network: &dyn PeerNetwork,
    address: &str,
    topic: FleetTopic,
    since: u64,
) -> Option<Reply> {
    let question = serde_json::to_vec(&Question::Records { topic, since }).ok()?;
    match network.ask(address, question, ASK_TIMEOUT).await {
        Ok(answer) => serde_json::from_slice(&answer).ok(),
        Err(error) => {
            spdlog::debug!("another entry process gave no records", kv: { address, error: });
            None
        }
    }
}
