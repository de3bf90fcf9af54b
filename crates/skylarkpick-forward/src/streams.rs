//! Keeps which software version began each stream, here and at other processes.
//!
//! While a service has had one software version for as long as a stream may last, nothing has to be
//! kept. Otherwise a few processes keep a record of each stream, so that a client can come back at
//! any process.

mod knowledge;
#[cfg(test)]
mod tests;

use crate::{
    fleet::FleetWatcher,
    forwarding::milliseconds,
    log::request_log,
    node_state::{AssignmentGuard, NodeState},
    peers::{Notice, PeerRequest, PeerResponse, StreamRecord},
};
use futures::{StreamExt, stream::FuturesUnordered};
use skylarkpick_interface::{
    ClientAttemptId, DataCentreId, RegisteredEntry, ServiceName, SoftwareVersion, StreamOrigin,
};
use skylarkpick_schedule::{StreamFingerprint, stream_keepers, stream_keepers_to_ask};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time within which other processes have to tell who began a stream. Between data centres of one
/// region an answer takes some milliseconds, and the client waits.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a request to another process. A request that times out closes the connection, on which
/// others may wait, so it is longer than [`LOOKUP_TIMEOUT`].
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which records are shared that have become necessary after their stream began.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);

/// Attempts of a process that has just started to learn which software versions others have seen,
/// and the pause before each. Its first reads and its peer network take about a second.
const HISTORY_ATTEMPTS: u32 = 8;
const HISTORY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of processes that are asked in an attempt.
const HISTORY_SOURCES: usize = 3;

/// What a process knows of the software version that began a stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StreamKnowledge {
    /// The run that began the stream.
    Began(StreamOrigin),
    /// The service has had only this version for as long as a stream may last.
    OnlyVersion(SoftwareVersion),
    /// The service has had several versions within that time.
    SeveralVersions,
    /// Nothing.
    Nothing,
}

/// Software version that may go on with a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamVersion {
    /// Service that began the stream; `None` if only its version is known.
    pub(crate) service: Option<ServiceName>,
    /// The version.
    pub(crate) version: SoftwareVersion,
}

/// Keeps and looks up which software version began each stream.
pub(crate) struct StreamRegistry {
    pub(crate) node_state: Arc<NodeState>,
    pub(crate) watcher: Arc<FleetWatcher>,
    pub(crate) data_centre: DataCentreId,
}

impl StreamRegistry {
    /// Records that the run of an assignment begins a stream, or goes on with it. `attempt` brought
    /// the first event; `is_only_service` tells whether its route has no other service. Returns the
    /// run, or `None` if the software version of its target is not certain.
    pub(crate) fn note_run(
        &self,
        attempt: &ClientAttemptId,
        service: &ServiceName,
        is_only_service: bool,
        guard: &AssignmentGuard,
    ) -> Option<StreamOrigin> {
        let origin = self.origin(service, guard)?;
        let stream = StreamFingerprint::of(attempt);
        let must_share = !is_only_service || !self.node_state.has_only_version(service);
        let is_unshared = !must_share || !self.can_share();
        self.node_state.note_stream(stream, origin.clone(), is_unshared);
        if !is_unshared {
            self.share(vec![StreamRecord { stream, origin: origin.clone() }]);
        }
        Some(origin)
    }

    /// Returns the run of an assignment whose response has just begun, or `None` if the software
    /// version of its target is not certain.
    fn origin(&self, service: &ServiceName, guard: &AssignmentGuard) -> Option<StreamOrigin> {
        let assignment = &guard.assignment;
        let origin = StreamOrigin {
            service: service.clone(),
            target: assignment.target.clone(),
            started_at_ms: assignment.started_at_ms,
            software_version: assignment.software_version.clone()?,
            began_at_ms: self.node_state.wall_ms(),
        };
        self.node_state.software_version_of_run(&origin).map(|_| origin)
    }

    /// Returns whether a response that has just begun is certainly of a target on a software version.
    pub(crate) fn is_on_version(&self, guard: &AssignmentGuard, version: &str) -> bool {
        let origin = self.origin(&ServiceName::new(), guard);
        origin.is_some_and(|origin| origin.software_version == version)
    }

    /// Returns the software version at which a run wrote its events, if it is certain.
    pub(crate) fn version_of(&self, origin: &StreamOrigin) -> Option<SoftwareVersion> {
        self.node_state.software_version_of_run(origin)
    }

    /// Finds the software version of the stream that `attempt` began at most `window` ago, if it is
    /// certain. `service` is taken for the one that began it if there is no record. Asks other
    /// processes if this one doesn't know it.
    pub(crate) async fn find(
        &self,
        attempt: Option<&ClientAttemptId>,
        service: &ServiceName,
        window: Duration,
    ) -> Option<StreamVersion> {
        let stream = attempt.map(|attempt| StreamFingerprint::of(attempt));
        match self.node_state.stream_knowledge(stream, service, window) {
            StreamKnowledge::Began(origin) => return self.recorded(origin),
            StreamKnowledge::OnlyVersion(version) => {
                return Some(StreamVersion { service: None, version });
            }
            StreamKnowledge::SeveralVersions | StreamKnowledge::Nothing => {}
        }
        let others = self.watcher.records.other_entries();
        let any_stream = StreamFingerprint::of("");
        let asked = stream_keepers_to_ask(&others, stream.unwrap_or(any_stream));
        let request = PeerRequest::StreamOrigin { stream, service: service.clone(), window };
        let mut responses: FuturesUnordered<_> =
            asked.iter().map(|entry| self.ask(entry.address, &request)).collect();
        let until = Instant::now() + LOOKUP_TIMEOUT;
        let mut only_version: Option<SoftwareVersion> = None;
        let mut is_contradictory = false;
        // A timeout ends the look-up with what is known by then.
        while let Ok(Some(knowledge)) = tokio::time::timeout_at(until, responses.next()).await {
            match knowledge {
                StreamKnowledge::Began(origin) => return self.recorded(origin),
                StreamKnowledge::OnlyVersion(version) => {
                    is_contradictory |= only_version.as_ref().is_some_and(|it| *it != version);
                    only_version = Some(version);
                }
                StreamKnowledge::SeveralVersions => is_contradictory = true,
                StreamKnowledge::Nothing => {}
            }
        }
        let has_seen_other =
            |version: &str| self.node_state.has_seen_other_version(service, version, window);
        let version = only_version.filter(|it| !is_contradictory && !has_seen_other(it))?;
        Some(StreamVersion { service: None, version })
    }

    fn recorded(&self, origin: StreamOrigin) -> Option<StreamVersion> {
        let version = self.version_of(&origin)?;
        Some(StreamVersion { service: Some(origin.service), version })
    }

    async fn ask(&self, address: SocketAddr, request: &PeerRequest) -> StreamKnowledge {
        let client = &self.watcher.peer_client;
        match client.ask(&address.to_string(), request, PEER_TIMEOUT).await {
            Ok(PeerResponse::StreamBegan(origin)) => StreamKnowledge::Began(origin),
            Ok(PeerResponse::OnlySoftwareVersion(version)) => StreamKnowledge::OnlyVersion(version),
            Ok(PeerResponse::SeveralSoftwareVersions) => StreamKnowledge::SeveralVersions,
            Ok(_) => StreamKnowledge::Nothing,
            Err(error) => {
                spdlog::debug!("failed to ask another entry process for a stream", kv: {
                    address:, error = error.as_str(),
                });
                StreamKnowledge::Nothing
            }
        }
    }

    /// Returns whether other processes can be told.
    fn can_share(&self) -> bool {
        let has_network = self.watcher.peer_client.network().is_some();
        has_network && !self.watcher.records.other_entries().is_empty()
    }

    /// Sends records to the processes that keep them, without waiting for the delivery.
    fn share(&self, records: Vec<StreamRecord>) {
        let others = self.watcher.records.other_entries();
        let mut notices: BTreeMap<SocketAddr, (RegisteredEntry, Vec<StreamRecord>)> =
            BTreeMap::new();
        for record in records {
            for keeper in stream_keepers(&others, record.stream, &self.data_centre) {
                let notice = notices.entry(keeper.address);
                let (_, streams) = notice.or_insert_with(|| (keeper.clone(), Vec::new()));
                streams.push(record.clone());
            }
        }
        for (keeper, streams) in notices.into_values() {
            self.watcher.peer_client.send_notice([keeper], &Notice::StreamsBegan { streams });
        }
    }
}

/// Takes over from other processes which software versions they have seen, since this process has
/// seen none before its start. Ends once that reaches back as far as a stream may last.
pub(crate) async fn take_over_history(registry: Arc<StreamRegistry>) {
    let client = &registry.watcher.peer_client;
    for _ in 0..HISTORY_ATTEMPTS {
        tokio::time::sleep(HISTORY_INTERVAL).await;
        for address in registry.watcher.records.random_entries(HISTORY_SOURCES) {
            let response = client.ask(&address, &PeerRequest::SoftwareHistory, PEER_TIMEOUT).await;
            let Ok(PeerResponse::SoftwareHistory(history)) = response else { continue };
            if registry.node_state.extend_software_history(&history) {
                spdlog::info!("software versions taken over from another entry process", kv: {
                    address = address.as_str(), known_for_ms = milliseconds(history.known_for),
                });
                return;
            }
        }
    }
    spdlog::info!(
        "no other entry process knows the software versions for as long as a stream lasts"
    );
}

/// Shares the records of streams once their service may have several software versions.
pub(crate) async fn share_streams(registry: Arc<StreamRegistry>) {
    loop {
        tokio::time::sleep(SHARE_INTERVAL).await;
        if !registry.can_share() {
            continue;
        }
        let records = registry.node_state.take_streams_to_share();
        if !records.is_empty() {
            request_log!("records of streams shared", kv: { streams = records.len() });
            let records = records.into_iter();
            registry
                .share(records.map(|(stream, origin)| StreamRecord { stream, origin }).collect());
        }
    }
}
