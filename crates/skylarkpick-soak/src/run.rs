//! Runs the soak with one seed: starts the fleet and its clients, injects the faults, and checks
//! the outcome.

use crate::{
    brittle_times::Brittleness,
    checks::{Finding, ROUTE_TIMEOUT, check_history},
    clients::{Clients, MAIN_KEY, SharedClientState, plain_request},
    ended_targets::REPLACEMENT_TIME,
    history::{Call, Disturbance, DisturbanceScope, History, TargetCut},
    plan::{CrashingPart, FaultPlan, PlannedFault},
    process::NodeProcess,
    proxy::FaultProxy,
    setup::{key_from_now, start_process},
    store_faults::WrittenObjects,
    target::{Target, inject_link_fault, start_target},
    target_links::TargetLinks,
};
use anyhow::Context;
use skylarkpick_platform_standin::{
    AnswerFaults, ArrivalLog, CrashingRequest, EchoTarget, ObjectServer, TestClient,
};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Minimum number of targets; a fleet with more processes has one target for each process.
const TARGETS_FLOOR: usize = 4;
/// Time after the last fault within which all valid requests must be served again, as the users
/// require.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Time for which the load continues after the recovery.
const STABLE_PERIOD: Duration = Duration::from_secs(4);
/// Time within which all processes must be ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a target says that it leaves before its record does; longer than the drain limit.
const LEAVING_NOTICE: Duration = Duration::from_millis(3_500);
/// Interval at which the readiness is checked at the start.
const START_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of the run with one seed.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the fault plan and the load.
    pub seed: u64,
    /// Time within which all faults start.
    pub fault_window: Duration,
    /// Number of entry processes.
    pub processes: usize,
    /// Program that is started with the command `node` for each entry process.
    pub program: PathBuf,
    /// Folder for the fault plan, settings and logs; created if it does not exist.
    pub folder: PathBuf,
    /// Second octet N of the loopback addresses `127.N.1.x` of the processes. Soaks that run
    /// concurrently need different ones; see [`crate::LoopbackNetwork`].
    pub loopback_network: u8,
}

/// Outcome of the run with one seed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Client calls.
    pub calls: usize,
    /// Client calls that got status 200.
    pub served: usize,
    /// Runs of requests on targets.
    pub runs: usize,
    /// Streams that clients took up again.
    pub taken_up: usize,
    /// Streams that clients took up again and that went on.
    pub continued: usize,
    /// Injected faults.
    pub faults: usize,
    /// Violations of the rules.
    pub findings: Vec<Finding>,
}

/// Runs the soak with one seed, and checks what clients received and what targets ran.
///
/// # Errors
/// When a process cannot be started, or is not ready in time.
///
/// ```no_run
/// use skylarkpick_soak::{SoakSettings, run_seed};
/// use std::time::Duration;
/// # async fn soak() -> anyhow::Result<()> {
/// let report = run_seed(SoakSettings {
///     seed: 1,
///     fault_window: Duration::from_secs(10),
///     processes: 4,
///     program: "target/release/skylarkpick".into(),
///     folder: "soak".into(),
///     loopback_network: 9,
/// })
/// .await?;
/// assert!(report.findings.is_empty());
/// # Ok(())
/// # }
/// ```
pub async fn run_seed(settings: SoakSettings) -> anyhow::Result<SoakReport> {
    let targets = settings.processes.max(TARGETS_FLOOR);
    let plan = FaultPlan::draw(settings.seed, settings.fault_window, settings.processes, targets);
    let fleet = Fleet::start(&settings, &plan).await?;
    fleet.wait_until_ready().await?;
    let clients = Clients::spawn(settings.seed, &fleet.fronts());
    let started_at = Instant::now();
    fleet.lock().changes.started_at = started_at;
    write_plan(&settings.folder, &plan)?;
    let mut supervisor = JoinSet::new();
    supervisor.spawn(fleet.clone().replace_ended_targets());
    let mut injections = JoinSet::new();
    for (at, fault) in plan.faults.clone() {
        let (fleet, shared) = (fleet.clone(), clients.shared.clone());
        injections.spawn(async move {
            sleep_until(started_at + at).await;
            fleet.inject(fault, &shared).await
        });
    }
    while let Some(injection) = injections.join_next().await {
        injection??;
    }
    let stable_since = Instant::now() + RECOVERY_TIME;
    sleep_until(stable_since + STABLE_PERIOD).await;
    let calls = clients.stop().await;
    let history = fleet.history(calls, stable_since);
    for process in &fleet.processes {
        process.end().await;
    }
    let taken_up = || history.calls.iter().filter(|call| call.request.resumes.is_some());
    Ok(SoakReport {
        calls: history.calls.len(),
        taken_up: taken_up().count(),
        continued: taken_up().filter(|call| call.is_stream_begun()).count(),
        served: history.calls.iter().filter(|call| call.response.status == Some(200)).count(),
        runs: history.arrivals.iter().filter(|arrival| arrival.has_run).count(),
        faults: plan.faults.len(),
        findings: check_history(&history),
    })
}

/// Writes the fault plan beside the logs, for the analysis of findings.
fn write_plan(folder: &Path, plan: &FaultPlan) -> anyhow::Result<()> {
    let lines =
        plan.faults.iter().map(|(at, fault)| format!("{:.3} s {fault:?}\n", at.as_secs_f64()));
    let links = if plan.has_peer_links { "" } else { "0.000 s NoPeerLinks until the end\n" };
    let path = folder.join("faults.txt");
    std::fs::write(&path, format!("{links}{}", lines.collect::<String>()))
        .with_context(|| format!("{} cannot be written", path.display()))
}

/// The processes, targets and platform of a run.
pub(crate) struct Fleet {
    pub(crate) objects: ObjectServer,
    /// The platform as each process sees it.
    _views: Vec<ObjectServer>,
    platform_links: Vec<FaultProxy>,
    target_links: Vec<Arc<TargetLinks>>,
    has_peer_links: bool,
    processes: Vec<NodeProcess>,
    pub(crate) arrivals: ArrivalLog,
    state: Mutex<FleetState>,
}

pub(crate) struct FleetState {
    pub(crate) targets: Vec<Target>,
    next_target: u64,
    pub(crate) configuration_version: u64,
    /// Part of a prompt that ends targets, while one does.
    pub(crate) crashing_part: Option<CrashingPart>,
    /// Request that ends targets, after the first such fault.
    pub(crate) crashing_request: Option<CrashingRequest>,
    /// Faults of the answers of all targets.
    pub(crate) answer_faults: AnswerFaults,
    /// How brittle the targets are, while they are.
    pub(crate) brittleness: Option<Brittleness>,
    /// What the operator and the targets have written to the platform.
    pub(crate) written: WrittenObjects,
    /// The part of the history that the fleet records itself: disturbances and changes.
    pub(crate) changes: History,
}

impl Fleet {
    /// Starts the processes, and one target of each of the plan's software versions.
    async fn start(settings: &SoakSettings, plan: &FaultPlan) -> anyhow::Result<Arc<Fleet>> {
        std::fs::create_dir_all(&settings.folder)
            .with_context(|| format!("{} cannot be created", settings.folder.display()))?;
        let objects = ObjectServer::start().await?;
        let arrivals = ArrivalLog::default();
        let mut state = FleetState {
            targets: Vec::new(),
            next_target: 0,
            configuration_version: 0,
            crashing_part: None,
            crashing_request: None,
            answer_faults: AnswerFaults::default(),
            brittleness: None,
            written: WrittenObjects::default(),
            changes: History::begin(),
        };
        state.change_keys(&objects, |keys| keys.push(key_from_now(MAIN_KEY)));
        for version in &plan.software_versions {
            state.next_target += 1;
            let target =
                start_target(state.next_target, version, Some(*version), &arrivals).await?;
            state.add_target(&objects, &target, version);
            state.targets.push(target);
        }
        let (mut platform_links, mut processes) = (Vec::new(), Vec::new());
        let (mut target_links, mut views): (Vec<_>, Vec<ObjectServer>) = Default::default();
        for index in 0..settings.processes {
            let links = TargetLinks::open();
            // Only cuts need links of each process: their ports may be used again by other soaks.
            let platform = if plan.has_cuts() {
                views.push(objects.start_view(links.clone()).await?);
                views[index].address()
            } else {
                objects.address()
            };
            target_links.push(links);
            let link = FaultProxy::bind(platform).await?;
            processes.push(start_process(settings, index, link.address, plan.has_peer_links)?);
            platform_links.push(link);
        }
        let state = Mutex::new(state);
        Ok(Arc::new(Fleet {
            objects,
            _views: views,
            platform_links,
            target_links,
            has_peer_links: plan.has_peer_links,
            processes,
            arrivals,
            state,
        }))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn fronts(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|process| process.location.front_address()).collect()
    }

    /// Waits until each process has served a request.
    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for (index, address) in self.fronts().into_iter().enumerate() {
            let request = plain_request(format!("start-{index}"), "/read/start".to_string());
            while TestClient::open(address).send(&request, ROUTE_TIMEOUT).await.status != Some(200)
            {
                anyhow::ensure!(Instant::now() < until, "process {index} does not serve requests");
                sleep(START_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Injects a fault and waits for its end.
    async fn inject(
        &self,
        fault: PlannedFault,
        clients: &Arc<SharedClientState>,
    ) -> anyhow::Result<()> {
        let from = Instant::now();
        match fault {
            PlannedFault::Kill { process } => self.processes[process].kill(),
            PlannedFault::Terminate { process } => self.processes[process].terminate(),
            PlannedFault::Reload { process } => self.processes[process].reload(),
            PlannedFault::Pause { process, span } => {
                self.processes[process].pause();
                sleep(span).await;
                self.processes[process].resume();
                self.record_disturbance(DisturbanceScope::Process(process), from);
            }
            PlannedFault::PlatformLink { process, fault, span } => {
                inject_link_fault(&self.platform_links[process], fault, span).await;
                self.record_disturbance(DisturbanceScope::Process(process), from);
            }
            PlannedFault::TargetLink { target, fault, span } => {
                let (name, link) = {
                    let target = &self.lock().targets[target];
                    (target.name.clone(), target.proxy.clone())
                };
                inject_link_fault(&link, fault, span).await;
                self.lock().changes.link_faults.push((name, from, Instant::now()));
                self.record_disturbance(DisturbanceScope::TargetLink, from);
            }
            PlannedFault::CutOff { processes, fault, span } => {
                for links in &self.target_links[..processes] {
                    links.set_fault(Some(fault)).await;
                }
                sleep(span).await;
                for links in &self.target_links[..processes] {
                    links.set_fault(None).await;
                }
                let until = Instant::now();
                // Without links between the processes, nobody can serve for another.
                if self.has_peer_links {
                    self.lock().changes.cuts.push(TargetCut { processes, from, until });
                }
                self.record_disturbance(DisturbanceScope::TargetLink, from);
            }
            PlannedFault::Store { fault, span } => {
                self.inject_object_api_fault(clients, fault, span).await;
            }
            PlannedFault::RestartTarget { target, version } => {
                self.restart_target(target, version).await?;
                self.record_disturbance(DisturbanceScope::Target, from);
            }
            PlannedFault::ReplaceTarget { target, version } => {
                self.replace_targets(target..target + 1, version).await?;
                self.record_disturbance(DisturbanceScope::Target, from);
            }
            PlannedFault::Release { version } => {
                let targets = 0..self.lock().targets.len();
                self.replace_targets(targets, version).await?;
                self.record_disturbance(DisturbanceScope::Target, from);
            }
            PlannedFault::UnversionedTarget { version, span } => {
                self.run_unversioned_target(version, span).await?;
                self.record_disturbance(DisturbanceScope::Target, from);
            }
            PlannedFault::CutAnswers { target, span } => {
                self.change_answers(target, span, EchoTarget::set_cuts_answers).await;
                self.record_disturbance(DisturbanceScope::Target, from);
            }
            PlannedFault::TargetPauses { target, pause, span } => {
                let change = |service: &EchoTarget, is_on: bool| {
                    service.set_pause(is_on.then_some(pause));
                };
                self.change_answers(target, span, change).await;
                self.record_disturbance(DisturbanceScope::Target, from);
            }
            PlannedFault::TargetLeaves { target, version } => {
                self.lock().targets[target].service.leave();
                sleep(LEAVING_NOTICE).await;
                self.replace_targets(target..target + 1, version).await?;
                self.record_disturbance(DisturbanceScope::Target, from);
            }
            PlannedFault::EndTargets => {
                self.lock().targets.iter().for_each(|target| target.service.end());
                sleep(REPLACEMENT_TIME).await;
                self.record_disturbance(DisturbanceScope::AllTargets, from);
            }
            PlannedFault::LimitRequests { target, limits, span } => {
                for limit in limits {
                    let change = |service: &EchoTarget, is_on: bool| {
                        service.set_limit(is_on.then_some(limit));
                    };
                    self.change_answers(target, span / 2, change).await;
                }
                self.record_disturbance(DisturbanceScope::Target, from);
            }
            PlannedFault::CrashingPart { part, span } => {
                self.inject_crashing_part(clients, part, span).await;
                self.record_disturbance(DisturbanceScope::Target, from);
            }
            PlannedFault::CrashingRequest { kind, method, span } => {
                self.inject_crashing_request(clients, kind, method, span).await;
            }
            PlannedFault::BrittleTargets { number, room, span } => {
                self.make_targets_brittle(clients, number, room, span).await;
            }
            PlannedFault::FaultyAnswers { faults, span } => {
                self.make_answers_faulty(clients, faults, span).await;
            }
            PlannedFault::ChangeKeys => clients.set_changed_key(&self.change_keys()),
        }
        Ok(())
    }

    pub(crate) fn record_disturbance(&self, scope: DisturbanceScope, from: Instant) {
        let until = Instant::now();
        self.lock().changes.disturbances.push(Disturbance { scope, from, until });
    }

    pub(crate) fn next_target(&self) -> u64 {
        let mut state = self.lock();
        state.next_target += 1;
        state.next_target
    }

    /// Collects the history of the processes, targets and clients. Requests of the readiness check
    /// are left out.
    fn history(&self, calls: Vec<Call>, stable_since: Instant) -> History {
        let mut history = self.lock().changes.clone();
        for process in &self.processes {
            let (ends, disturbances) = process.exits_and_disturbances();
            history.process_ends.extend(ends);
            history.disturbances.extend(disturbances);
        }
        let arrivals = self.arrivals.arrivals().into_iter();
        history.arrivals = arrivals.filter(|it| !it.attempt_id.starts_with("start-")).collect();
        history.calls = calls;
        history.stable_since = Some(stable_since);
        history
    }
}
