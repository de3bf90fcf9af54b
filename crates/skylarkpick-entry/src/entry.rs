//! An entry process without its doors.

use crate::{
    active_configuration::ActiveConfiguration,
    admission::{Desk, follow_targets as follow_admission},
    claimed_call::open_claims,
    completion::{self, CompletionStream},
    configuration_actor::{ConfigurationActor, Install},
    context::ContextKeeper,
    failure::Failure,
    parts::EntryParts,
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
    ConfigurationKeeper, ConfigurationRecord, Patch, PatchOutcome, ReadError,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, task::JoinSet};

/// A running entry process without its doors. Dropping the last handle stops it.
#[derive(Clone)]
pub struct Entry {
    pub(crate) shared: Arc<Shared>,
}

/// What the requests under way share.
pub(crate) struct Shared {
    pub(crate) parts: EntryParts,
    pub(crate) active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(crate) router: ActorRef<RouterActor>,
    pub(crate) context: ContextKeeper,
    pub(crate) resume_key: ResumeKey,
    pub(crate) retention: ActorRef<RetentionActor>,
    pub(crate) admission: Desk,
    pub(crate) in_flight_requests: AtomicU64,
    pub(crate) next_service_instance: AtomicU64,
    pub(crate) claims: ClaimLog,
    configuration: ActorRef<ConfigurationActor>,
    keeper: ConfigurationKeeper,
    draining: AtomicBool,
    _tasks: JoinSet<()>,
    pub(crate) peers: Peers,
    planner: Planner,
}

impl Entry {
    /// Starts the actors of an entry process.
    pub fn spawn(parts: EntryParts) -> Entry {
        let (sender, in_force) = watch::channel(Arc::new(ActiveConfiguration::default()));
        let configuration = ConfigurationActor::spawn(ConfigurationActor::open(sender));
        let router = RouterActor::spawn(RouterActor::open(&parts.settings.data_centre, parts.seed));
        let admission = Desk::spawn(parts.clock.clone(), router.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(follow_admission(router.clone(), admission.actor()));
        let peers = Peers::spawn(&parts, in_force.clone(), configuration.clone(), router.clone());
        let keeper = ConfigurationKeeper::open(parts.platform.clone(), parts.clock.clone());
        let window = Duration::from_millis(parts.settings.limits.resume_window_ms);
        let resume_key = parts.resume_key.clone();
        let claims = open_claims(&parts);
        let context = ContextKeeper::spawn(&parts, in_force.clone(), router.clone(), &peers);
        let planner = Planner::spawn(&parts, in_force.clone(), router.clone());
        let retention = RetentionActor::spawn(RetentionActor::open(window));
        peers.register_retention(retention.clone());
        let shared = Shared {
            context,
            resume_key: resume_key.unwrap_or_else(|| ResumeKey::from_seed(parts.seed)),
            retention,
            parts,
            active_configuration: in_force,
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

    /// The configuration in force.
    pub fn active_configuration(&self) -> Arc<ActiveConfiguration> {
        self.shared.active_configuration.borrow().clone()
    }

    /// Whether the process should get new requests.
    pub fn is_ready(&self) -> bool {
        !self.shared.draining.load(Ordering::SeqCst) && self.active_configuration().version > 0
    }

    /// Fails the readiness check from now on and leaves the membership; requests under way go on.
    pub fn drain(&self) {
        if !self.shared.draining.swap(true, Ordering::SeqCst) {
            self.shared.peers.leave();
            self.shared.planner.stop();
        }
    }

    /// The other entry processes, as this one knows them.
    pub fn peers(&self) -> &Peers {
        &self.shared.peers
    }

    /// Which version is in force where, as far as this process knows.
    pub async fn configuration_status(&self) -> ConfigurationStatus {
        self.shared.peers.configuration_status().await
    }

    /// Requests that have no answer yet.
    pub fn in_flight_requests(&self) -> u64 {
        self.shared.in_flight_requests.load(Ordering::SeqCst)
    }

    /// Answers a prompt. Dropping the stream cancels the run.
    ///
    /// # Errors
    /// A refusal, with nothing sent.
    pub fn complete(&self, request: CompletionRequest) -> Result<CompletionStream, Failure> {
        completion::begin(self.shared.clone(), request)
    }

    /// Takes a stream up again from answer position `offset`, with the token that came with it.
    /// Dropping the new stream cancels the run, unless the request was resumable.
    ///
    /// # Errors
    /// When the token was altered, has expired or belongs to another account, or when the runner
    /// cannot be named any more.
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
    /// With whether the call ran.
    pub async fn call(&self, request: CallRequest) -> Result<CallResponse, Failure> {
        service_call::call(&self.shared, request).await
    }

    /// Applies an operator's patch.
    pub async fn patch(&self, patch: &Patch, author: &str) -> PatchOutcome {
        let outcome = self.shared.keeper.patch(patch, author).await;
        if matches!(outcome, PatchOutcome::Accepted(_))
            && let Ok(record) = self.shared.keeper.read().await
        {
            // A stopped actor means that the process ends.
            let _ = self.shared.configuration.ask(Install(record)).await;
        }
        outcome
    }

    /// Reads the configuration in the platform.
    ///
    /// # Errors
    /// When the platform is away or the object cannot be read.
    pub async fn read_configuration(&self) -> Result<ConfigurationRecord, ReadError> {
        self.shared.keeper.read().await
    }

    /// What the router knows of the runners.
    #[cfg(test)]
    pub(crate) async fn candidates(
        &self,
    ) -> std::collections::BTreeMap<String, skylarkpick_schedule::Candidate> {
        self.shared.router.ask(ReadCandidates).await.unwrap_or_default()
    }

    /// Dumps the state of the process, without secrets.
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
