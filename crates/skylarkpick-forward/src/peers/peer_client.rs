//! Client for other entry processes: fetches platform records and sends notices.

use super::{
    messages::{Notice, PeerRequest, PeerResponse},
    notice_log::NoticeLog,
};
use crate::fleet::FleetRecords;
use skylarkpick_interface::{FleetTopic, PeerNetwork, RegisteredEntry};
use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Timeout of a request, in addition to the wait that it specifies.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of processes from which records are fetched at the same time.
const PEERS_PER_FETCH: usize = 2;
/// Number of processes that are asked at the same time for what the platform may have lost.
const PEERS_PER_RETAINED_FETCH: usize = 3;

/// How old the records of another process were when it responded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchedAge {
    /// Time since it last knew them to be current.
    pub(crate) verified: Duration,
    /// Time since it began the latest call whose response it had applied, if it said so.
    pub(crate) complete: Option<Duration>,
}

/// Result of a fetch of records from another process.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RecordsFetch {
    /// Its records are current as of this age.
    Current(FetchedAge),
    /// It responded, but its records are of an earlier era or it has none.
    Outdated,
    /// It did not respond.
    NoResponse,
}

impl RecordsFetch {
    /// Returns the age of the records if they are current.
    pub(crate) fn current_age(self) -> Option<FetchedAge> {
        match self {
            RecordsFetch::Current(age) => Some(age),
            RecordsFetch::Outdated | RecordsFetch::NoResponse => None,
        }
    }

    /// Returns whether the process responded, whatever its records.
    pub(crate) fn has_response(self) -> bool {
        !matches!(self, RecordsFetch::NoResponse)
    }
}

/// Client for other entry processes. Every call fails until the network is set.
#[derive(Default)]
pub(crate) struct PeerClient {
    network: OnceLock<Arc<dyn PeerNetwork>>,
    /// Whether others have been asked for what the platform's store may have lost before this process
    /// started.
    has_asked_retained: AtomicBool,
    /// Notices that this process passes on, if it is a relay.
    pub(crate) notices: NoticeLog,
}

impl PeerClient {
    /// Sets the network. A process has only one, for as long as it runs.
    pub(crate) fn set_network(&self, network: Arc<dyn PeerNetwork>) {
        let _ = self.network.set(network);
    }

    pub(crate) fn network(&self) -> Option<&Arc<dyn PeerNetwork>> {
        self.network.get()
    }

    /// Returns whether another process has responded with what it retains since the serving document
    /// is known, or whether that is no longer waited for.
    pub(crate) fn has_asked_retained(&self) -> bool {
        self.has_asked_retained.load(Ordering::SeqCst)
    }

    /// Records that another process has responded with what it retains, or that its response is no
    /// longer waited for.
    pub(crate) fn note_asked_retained(&self, has_responded: bool) {
        if !self.has_asked_retained.swap(true, Ordering::SeqCst) {
            spdlog::info!("requests may be rejected by the serving document", kv: {
                has_responded,
            });
        }
    }

    /// Sends a notice to all other entry processes without waiting for its delivery: to each of
    /// them, or in a larger fleet to the relays, from which the others fetch it.
    pub(crate) fn broadcast(&self, records: &FleetRecords, notice: &Notice) {
        self.pass_on(records, notice);
        self.send_notice(records.notice_receivers(), notice);
    }

    /// Keeps a notice for the followers of this process, if it is a relay of a fleet in which notices
    /// go through relays.
    pub(super) fn pass_on(&self, records: &FleetRecords, notice: &Notice) {
        // Streams are kept by those that they are sent to.
        let is_for_all = !matches!(notice, Notice::StreamsBegan { .. });
        if is_for_all && records.is_relay() && records.relays_notices() {
            self.notices.append(notice.clone());
        }
    }

    /// Sends a notice to entry processes without waiting for its delivery.
    pub(crate) fn send_notice(
        &self,
        receivers: impl IntoIterator<Item = RegisteredEntry>,
        notice: &Notice,
    ) {
        let Some(network) = self.network.get() else { return };
        // A notice of strings and numbers always serializes.
        let message = serde_json::to_vec(notice).unwrap_or_default();
        for entry in receivers {
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

    /// Sends a notice as [`PeerClient::broadcast`] does. Returns whether all receivers have taken it
    /// within `timeout`; the two relays of a data centre each take it.
    pub(crate) async fn deliver(
        &self,
        records: &FleetRecords,
        notice: &Notice,
        timeout: Duration,
    ) -> bool {
        self.pass_on(records, notice);
        let receivers = records.notice_receivers();
        let Some(network) = self.network.get() else { return false };
        // A notice of strings and numbers always serializes.
        let message = serde_json::to_vec(notice).unwrap_or_default();
        let sends = receivers.into_iter().map(|entry| {
            let (network, message) = (network.clone(), message.clone());
            async move {
                let address = entry.address.to_string();
                let sent = tokio::time::timeout(timeout, network.send(&address, message)).await;
                matches!(sent, Ok(Ok(())))
            }
        });
        futures::future::join_all(sends).await.into_iter().all(|is_sent| is_sent)
    }

    /// Sends a request to another process and returns the response.
    pub(crate) async fn ask(
        &self,
        address: &str,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, String> {
        let network = self.network.get().ok_or("the peer network is not open yet")?;
        send_request(&**network, address, request, timeout).await
    }

    /// Fetches and applies newer records of a topic from a few random processes. Returns whether
    /// one of them responded.
    pub(crate) async fn fetch_from_any(&self, records: &FleetRecords, topic: FleetTopic) -> bool {
        let peers = records.random_entries(PEERS_PER_FETCH);
        let responses =
            peers.iter().map(|address| self.fetch_records(address, records, topic, Duration::ZERO));
        let responses = futures::future::join_all(responses).await;
        responses.iter().flatten().count() > 0
    }

    /// Fetches the serving document and the desired weights from a few random processes, and applies
    /// what is newer than known. Returns whether one of them responded.
    pub(crate) async fn fetch_retained(
        &self,
        records: &FleetRecords,
        serving: Option<u64>,
    ) -> bool {
        let Some(network) = self.network.get() else { return false };
        let request = PeerRequest::Retained { serving_version: serving };
        let peers = records.random_entries(PEERS_PER_RETAINED_FETCH);
        let requests = peers.iter().map(|address| {
            let request = &request;
            async move { send_request(&**network, address, request, REQUEST_TIMEOUT).await }
        });
        let mut has_responded = false;
        for response in futures::future::join_all(requests).await {
            match response {
                Ok(PeerResponse::Retained(retained)) => {
                    records.apply_retained(&retained);
                    has_responded = true;
                }
                // A process that doesn't know the request.
                Ok(_) => has_responded = true,
                Err(error) => {
                    spdlog::debug!("failed to fetch what another entry process retains", kv: {
                        error = error.as_str(),
                    });
                }
            }
        }
        // What arrives before the serving document has been read is not applied.
        if has_responded && serving.is_some() {
            self.note_asked_retained(true);
        }
        has_responded
    }

    /// Asks one process how old its records of a topic are, without fetching them: the time since it last
    /// knew them to be current. Returns `None` if it has none or does not respond.
    pub(crate) async fn records_age(
        &self,
        address: &str,
        records: &FleetRecords,
        topic: FleetTopic,
    ) -> Option<Duration> {
        // No record is newer than that.
        let request = PeerRequest::Records { topic, since: u64::MAX, era: None, wait_ms: 0 };
        match self.ask(address, &request, REQUEST_TIMEOUT).await {
            Ok(PeerResponse::Records(response)) => Some(Duration::from_millis(response.age_ms)),
            Ok(_) => {
                records.note_nothing(address, topic);
                None
            }
            Err(error) => {
                spdlog::debug!("failed to ask another entry process for its records", kv: {
                    address, error = error.as_str(),
                });
                None
            }
        }
    }

    /// Fetches and applies newer records of a topic from one process, which may wait for some up to
    /// `wait`. Returns how old the records of that process were, or `None` if it did not respond or
    /// its records are not current.
    pub(crate) async fn fetch_records(
        &self,
        address: &str,
        records: &FleetRecords,
        topic: FleetTopic,
        wait: Duration,
    ) -> Option<FetchedAge> {
        self.request_records(address, records, topic, wait).await.current_age()
    }

    /// Does the same, and also tells whether a process without current records responded.
    pub(crate) async fn request_records(
        &self,
        address: &str,
        records: &FleetRecords,
        topic: FleetTopic,
        wait: Duration,
    ) -> RecordsFetch {
        let Some(network) = self.network.get() else { return RecordsFetch::NoResponse };
        let since = records.revision(topic);
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let era = Some(since.era);
        let request = PeerRequest::Records { topic, since: since.number, era, wait_ms };
        match send_request(&**network, address, &request, wait + REQUEST_TIMEOUT).await {
            Ok(PeerResponse::Records(fetched)) => {
                let revision = fetched.update.revision;
                let age = FetchedAge {
                    verified: Duration::from_millis(fetched.age_ms),
                    complete: fetched.complete_age_ms.map(Duration::from_millis),
                };
                let has_records = !fetched.update.records.is_empty();
                if records.apply_peer_records(topic, &fetched) && has_records {
                    spdlog::info!("applied records of another entry process", kv: {
                        topic:, revision:, address,
                    });
                }
                records.note_heard_era(revision.era);
                // Records of an earlier era say nothing about the present.
                if revision.era >= records.revision(topic).era {
                    RecordsFetch::Current(age)
                } else {
                    RecordsFetch::Outdated
                }
            }
            Ok(_) => {
                records.note_nothing(address, topic);
                RecordsFetch::Outdated
            }
            Err(error) => {
                spdlog::debug!("failed to fetch records from another entry process", kv: {
                    address, error = error.as_str(),
                });
                RecordsFetch::NoResponse
            }
        }
    }
}

/// Sends a request to another process and decodes the response.
pub(super) async fn send_request(
    network: &dyn PeerNetwork,
    address: &str,
    request: &PeerRequest,
    timeout: Duration,
) -> Result<PeerResponse, String> {
    // A request of numbers always serializes.
    let message = serde_json::to_vec(request).unwrap_or_default();
    let response =
        network.request(address, message, timeout).await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&response).map_err(|error| error.to_string())
}
