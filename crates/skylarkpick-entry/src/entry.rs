//! A running entry process without its HTTP listeners.

use crate::{
    active_configuration::ActiveConfiguration,
    admission::{AdmissionHandle, refresh_targets as refresh_admission_targets},
    claimed_call::open_claims,
    completion::{self, CompletionStream},
    configuration_actor::{ConfigurationActor, Install},
    context::ContextManager,
    entry_parts::EntryParts,
    failure::Failure,
    peers::{ConfigurationStatus, Peers},
    planner::Planner,
    request::{CallRequest, CallResponse, CompletionRequest},
    router_actor::{ReadCandidates, RouterActor},
    service_call,
    state_dump::{RunnerState, StateDump},
    streams::{self, CountRetained, ResumeKey, RetentionActor},
};
use kameo::{actor::Spawn, prelude::ActorRef};
use skylarkpick_claims::ClaimLog;
use skylarkpick_config::{
    ConfigurationClient, ConfigurationRecord, Patch, PatchOutcome, ReadError,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, task::JoinSet};

/// Handle to a running entry process without its HTTP listeners. Dropping the last handle stops it.
#[derive(Clone)]
pub struct Entry {
    pub(crate) shared: Arc<Shared>,
}

/// State shared by the requests in flight.
pub(crate) struct Shared {
    pub(crate) parts: EntryParts,
    pub(crate) active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(crate) router: ActorRef<RouterActor>,
    pub(crate) context: ContextManager,
    pub(crate) resume_key: ResumeKey,
    pub(crate) retention: ActorRef<RetentionActor>,
    pub(crate) admission: AdmissionHandle,
    pub(crate) in_flight_requests: AtomicU64,
    /// Round-robin counter over the instances of services.
    pub(crate) next_service_instance: AtomicU64,
    pub(crate) claims: ClaimLog,
    configuration: ActorRef<ConfigurationActor>,
    /// Reads and patches the configuration on the platform.
    keeper: ConfigurationClient,
    draining: AtomicBool,
    _tasks: JoinSet<()>,
    pub(crate) peers: Peers,
    planner: Planner,
}

impl Entry {
    /// Starts the actors of an entry process.
    pub fn spawn(parts: EntryParts) -> Entry {
        let (sender, active_configuration) =
            watch::channel(Arc::new(ActiveConfiguration::default()));
        let configuration = ConfigurationActor::spawn(ConfigurationActor::open(sender));
        let router = RouterActor::spawn(RouterActor::open(&parts.settings.data_centre, parts.seed));
        let admission = AdmissionHandle::spawn(parts.clock.clone(), router.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(refresh_admission_targets(router.clone(), admission.actor()));
        let peers = Peers::spawn(
            &parts,
            active_configuration.clone(),
            configuration.clone(),
            router.clone(),
        );
        let keeper = ConfigurationClient::open(parts.platform.clone(), parts.clock.clone());
        let resume_window = Duration::from_millis(parts.settings.limits.resume_window_ms);
        let resume_key = parts.resume_key.clone();
        let claims = open_claims(&parts);
        let context =
            ContextManager::spawn(&parts, active_configuration.clone(), router.clone(), &peers);
        let planner = Planner::spawn(&parts, active_configuration.clone(), router.clone());
        let retention = RetentionActor::spawn(RetentionActor::open(resume_window));
        peers.register_retention(retention.clone());
        let shared = Shared {
            context,
            resume_key: resume_key.unwrap_or_else(|| ResumeKey::from_seed(parts.seed)),
            retention,
            parts,
            active_configuration,
            router,
            admission,
            in_flight_requests: AtomicU64::new(0),
            next_service_instance: AtomicU64::new(0),
            claims,
            configuration,
            keeper,
            draining: AtomicBool::new(false),
            _tasks: tasks,
            peers,
            planner,
        };
        Entry { shared: Arc::new(shared) }
    }

    /// Returns the active configuration.
    pub fn active_configuration(&self) -> Arc<ActiveConfiguration> {
        self.shared.active_configuration.borrow().clone()
    }

    /// Returns whether the process is ready for new requests.
    pub fn is_ready(&self) -> bool {
        !self.shared.draining.load(Ordering::SeqCst) && self.active_configuration().version > 0
    }

    /// Starts draining: the readiness check fails and the process leaves the membership, while the
    /// requests in flight continue.
    pub fn drain(&self) {
        if !self.shared.draining.swap(true, Ordering::SeqCst) {
            self.shared.peers.leave();
            self.shared.planner.stop();
        }
    }

    /// Returns the handle to the membership of entry processes.
    pub fn peers(&self) -> &Peers {
        &self.shared.peers
    }

    /// Returns which configuration version each process has, as far as this one knows.
    pub async fn configuration_status(&self) -> ConfigurationStatus {
        self.shared.peers.configuration_status().await
    }

    /// Returns the number of requests in flight.
    pub fn in_flight_requests(&self) -> u64 {
        self.shared.in_flight_requests.load(Ordering::SeqCst)
    }

    /// Starts a completion. Dropping the stream cancels the run, unless the request is resumable.
    ///
    /// # Errors
    /// When the request is refused; nothing was sent to a target then.
    pub fn complete(&self, request: CompletionRequest) -> Result<CompletionStream, Failure> {
        completion::start(self.shared.clone(), request)
    }

    /// Resumes a stream from position `offset` of the response, with the resume token that the
    /// stream sent. Dropping the new stream cancels the run, unless the request was resumable.
    ///
    /// # Errors
    /// When the token is forged, has expired or belongs to another account, or when its runner is
    /// no longer known.
    pub fn resume(
        &self,
        account: &str,
        token: &str,
        offset: u64,
    ) -> Result<CompletionStream, Failure> {
        streams::resume(&self.shared, account, token, offset)
    }

    /// Makes a call to a plain service.
    ///
    /// # Errors
    /// When there is no response; the failure states whether the call ran.
    pub async fn call(&self, request: CallRequest) -> Result<CallResponse, Failure> {
        service_call::call(&self.shared, request).await
    }

    /// Applies an operator's patch.
    pub async fn patch(&self, patch: &Patch, author: &str) -> PatchOutcome {
        let outcome = self.shared.keeper.patch(patch, author).await;
        if matches!(outcome, PatchOutcome::Accepted(_))
            && let Ok(record) = self.shared.keeper.read().await
        {
            // Fails only while the process is exiting.
            let _ = self.shared.configuration.ask(Install(record)).await;
        }
        outcome
    }

    /// Reads the configuration from the platform.
    ///
    /// # Errors
    /// When the platform is unavailable or the object is invalid.
    pub async fn read_configuration(&self) -> Result<ConfigurationRecord, ReadError> {
        self.shared.keeper.read().await
    }

    /// Returns the router's tracked state of the runners.
    #[cfg(test)]
    pub(crate) async fn candidates(
        &self,
    ) -> std::collections::BTreeMap<String, skylarkpick_schedule::Candidate> {
        self.shared.router.ask(ReadCandidates).await.unwrap_or_default()
    }

    /// Returns the state dump of the process, without secrets.
    pub async fn state(&self) -> StateDump {
        let candidates = self.shared.router.ask(ReadCandidates).await.unwrap_or_default();
        StateDump {
            entry_id: self.shared.parts.settings.entry_id.clone(),
            data_centre: self.shared.parts.settings.data_centre.clone(),
            configuration_version: self.active_configuration().version,
            is_ready: self.is_ready(),
            requests_under_way: self.in_flight_requests(),
            context: self.shared.context.state().await,
            runs_retained: self.shared.retention.ask(CountRetained).await.unwrap_or_default(),
            peers: self.shared.peers.state().await,
            planner: self.shared.planner.state(),
            runners: candidates.into_iter().map(RunnerState::from).collect(),
            admission: self.shared.admission.state().await,
        }
    }
}
