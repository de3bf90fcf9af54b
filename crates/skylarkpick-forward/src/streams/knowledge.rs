//! What this process itself knows of the software versions that began streams.

use super::StreamKnowledge;
use crate::node_state::NodeState;
use skylarkpick_interface::{ServiceName, SoftwareVersion, StreamOrigin};
use skylarkpick_schedule::{SoftwareHistory, StreamFingerprint, software_version_of_run};
use std::{collections::BTreeMap, time::Duration};

impl NodeState {
    /// Records the run that began a stream.
    pub(crate) fn note_stream(
        &self,
        stream: StreamFingerprint,
        origin: StreamOrigin,
        is_unshared: bool,
    ) {
        self.lock().stream_origins.note(stream, origin, is_unshared, self.now());
    }

    /// Returns what this process knows of the software version that began a stream.
    pub(crate) fn stream_knowledge(
        &self,
        stream: Option<StreamFingerprint>,
        service: &str,
        window: Duration,
    ) -> StreamKnowledge {
        let state = self.lock();
        let now = self.now();
        let origin = stream.and_then(|stream| state.stream_origins.get(stream, now));
        if let Some(origin) = origin {
            return StreamKnowledge::Began(origin.clone());
        }
        let versions = &state.software_versions;
        match versions.only_version(service, window, now) {
            Some(version) => StreamKnowledge::OnlyVersion(version),
            None if versions.has_several(service, window, now) => StreamKnowledge::SeveralVersions,
            None => StreamKnowledge::Nothing,
        }
    }

    /// Adds the software versions that another process has seen. Returns whether what is known now
    /// reaches back as far as a stream of any route may last.
    pub(crate) fn extend_software_history(&self, history: &SoftwareHistory) -> bool {
        let mut state = self.lock();
        let (now, window) = (self.now(), state.stream_window());
        state.software_versions.extend_history(history, now);
        let known = state.software_versions.history(now);
        known.is_some_and(|known| known.known_for >= window)
    }

    /// Returns whether a service has had only one software version for as long as a stream of any
    /// route may last, so that nobody has to keep where its streams began.
    pub(crate) fn has_only_version(&self, service: &str) -> bool {
        let state = self.lock();
        let window = state.stream_window();
        state.software_versions.only_version(service, window, self.now()).is_some()
    }

    /// Returns whether a target of a service may have restarted on another software version without
    /// this process knowing: the service has several, and the registrations are not current.
    pub(crate) fn may_miss_restarts(&self, service: &str) -> bool {
        let state = self.lock();
        let (versions, now) = (&state.software_versions, self.now());
        !versions.is_current(now) && versions.has_several(service, state.stream_window(), now)
    }

    /// Returns whether a target of a service has run another software version within the time
    /// `window`, as far as this process knows.
    pub(crate) fn has_seen_other_version(
        &self,
        service: &str,
        version: &str,
        window: Duration,
    ) -> bool {
        let state = self.lock();
        state.software_versions.has_seen_other(service, version, window, self.now())
    }

    /// Returns the software version at which a run wrote its events, if it is certain.
    pub(crate) fn software_version_of_run(&self, origin: &StreamOrigin) -> Option<SoftwareVersion> {
        let state = self.lock();
        let target = state.placement.targets().get(&origin.target);
        software_version_of_run(origin, target.map(|it| &it.registration))
    }

    /// Returns the streams of this process that other processes have to know from now on.
    pub(crate) fn take_streams_to_share(&self) -> Vec<(StreamFingerprint, StreamOrigin)> {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let window = state.stream_window();
        let versions = &state.software_versions;
        let mut services: BTreeMap<ServiceName, bool> = BTreeMap::new();
        let must_share = |origin: &StreamOrigin| match services.get(&origin.service) {
            Some(must_share) => *must_share,
            None => {
                let must_share = versions.only_version(&origin.service, window, now).is_none();
                services.insert(origin.service.clone(), must_share);
                must_share
            }
        };
        state.stream_origins.take_unshared(must_share, now)
    }
}
