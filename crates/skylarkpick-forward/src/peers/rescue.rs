//! Asks other entry processes for records while the platform turns this one away.

use super::messages::{Notice, Question, Reply};
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

    /// Tells all other entry processes, without waiting for any of them.
    pub(crate) fn tell_all(&self, recorder: &Recorder, notice: &Notice) {
        let Some(network) = self.network.get() else { return };
        // A notice of strings and numbers always serializes.
        let message = serde_json::to_vec(notice).unwrap_or_default();
        for entry in recorder.other_entries() {
            let (network, message) = (network.clone(), message.clone());
            tokio::spawn(async move {
                let address = entry.address.to_string();
                if let Err(error) = network.send(&address, message).await {
                    spdlog::debug!("a notice was not delivered", kv: {
                        address = address.as_str(), error:,
                    });
                }
            });
        }
    }

    /// Takes over newer records of a topic from a few other processes. Gives whether one of them
    /// answered.
    pub(crate) async fn ask(&self, recorder: &Recorder, topic: FleetTopic) -> bool {
        let asked = recorder.some_entries(ASKED_COUNT);
        let answers =
            asked.iter().map(|address| self.ask_one(address, recorder, topic, Duration::ZERO));
        let answers = futures::future::join_all(answers).await;
        answers.iter().flatten().count() > 0
    }

    /// Takes over newer records of a topic from one process, which may wait for some. Gives the
    /// time since its records were last known to be the newest.
    pub(crate) async fn ask_one(
        &self,
        address: &str,
        recorder: &Recorder,
        topic: FleetTopic,
        wait: Duration,
    ) -> Option<Duration> {
        let network = self.network.get()?;
        let since = recorder.revision(topic);
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let question = Question::Records { topic, since, wait_ms };
        match ask_peer(&**network, address, &question, wait + ASK_TIMEOUT).await {
            Ok(Reply::Records(told)) => {
                let (revision, age) = (told.news.revision, Duration::from_millis(told.age_ms));
                if recorder.take_over(topic, &told) && !told.news.records.is_empty() {
                    spdlog::info!("records taken over from another entry process", kv: {
                        topic:, revision, address,
                    });
                }
                Some(age)
            }
            Ok(_) => None,
            Err(error) => {
                spdlog::debug!("another entry process gave no records", kv: {
                    address, error = error.as_str(),
                });
                None
            }
        }
    }
}

/// Asks another process and reads its reply.
pub(super) async fn ask_peer(
    network: &dyn PeerNetwork,
    address: &str,
    question: &Question,
    timeout: Duration,
) -> Result<Reply, String> {
    // A question of numbers always serializes.
    let message = serde_json::to_vec(question).unwrap_or_default();
    let answer =
        network.request(address, message, timeout).await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&answer).map_err(|error| error.to_string())
}
