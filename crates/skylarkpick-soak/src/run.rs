//! One seed from start to end.

use crate::{
    callers::{Callers, MAIN_KEY},
    history::{Call, CallKind, Disturbance, Disturbed, HeldKey, History},
    judge::{CONFIGURATION_BOUND, DRAIN_BOUND, Finding, GRACE, ROUTE_TIMEOUT, judge},
    plan::{FaultPlan, LinkFault, PlannedFault, StoreFault},
    process::{NodeProcess, ProcessParts},
    proxy::FaultProxy,
};
use anyhow::Context;
use serde_json::{Value, json};
use skylarkpick_platform_standin::{
    ArrivalLog, ClientRequest, EchoTarget, FaultMode, FleetLimits, NodeLocation, ObjectServer,
    RouteSpec, TargetState, TestClient, configuration, node_settings, registration,
};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Fewest targets of a seed; a larger fleet has one for each process.
const TARGETS_FLOOR: usize = 4;
/// Requests that a target runs at once.
const TARGET_SLOTS: usize = 6;
/// Time after the last fault from which everything is served, by the users' pages.
const RECOVERY: Duration = Duration::from_secs(15);
/// Calm time that is played after that.
const CALM_SPAN: Duration = Duration::from_secs(4);
/// Time in which all processes must be ready at first.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Pause between two looks whether they are.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a target that leaves still lives, past the time in which it may get requests.
const LEAVING_SLACK: Duration = Duration::from_secs(1);
/// Time that new weights have; the soak changes none.
const WEIGHTS_BOUND: Duration = Duration::from_secs(12);

/// What a seed is played with.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the faults and the load.
    pub seed: u64,
    /// Time in which faults begin.
    pub span: Duration,
    /// Entry processes.
    pub processes: usize,
    /// Program whose command `node` is run.
    pub program: PathBuf,
    /// Folder for settings and logs; made if it is not there.
    pub folder: PathBuf,
    /// Second number of the loopback addresses, 127.N, which no other soak uses meanwhile.
    pub network: u8,
}

/// What came of a seed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Calls of clients.
    pub calls: usize,
    /// Calls that were served.
    pub served: usize,
    /// Requests that targets ran.
    pub runs: usize,
    /// Faults that were played.
    pub faults: usize,
    /// What did not hold.
    pub findings: Vec<Finding>,
}

/// Plays one seed and judges what was seen.
///
/// # Errors
/// When the processes cannot be started, or are not ready in time.
///
/// ```no_run
/// use skylarkpick_soak::{SoakSettings, run_seed};
/// use std::time::Duration;
/// # async fn play() -> anyhow::Result<()> {
/// let report = run_seed(SoakSettings {
///     seed: 1,
///     span: Duration::from_secs(10),
///     processes: 4,
///     program: "target/release/skylarkpick".into(),
///     folder: "soak".into(),
///     network: 9,
/// })
/// .await?;
/// assert!(report.findings.is_empty());
/// # Ok(())
/// # }
/// ```
pub async fn run_seed(settings: SoakSettings) -> anyhow::Result<SoakReport> {
    let targets = settings.processes.max(TARGETS_FLOOR);
    let plan = FaultPlan::draw(settings.seed, settings.span, settings.processes, targets);
    let world = World::start(&settings, targets).await?;
    world.wait_until_ready().await?;
    let callers = Callers::spawn(settings.seed, &world.fronts());
    let began = Instant::now();
    world.lock().changes.began = began;
    write_plan(&settings.folder, &plan)?;
    let mut steps = JoinSet::new();
    for (at, fault) in plan.faults.clone() {
        let (world, desk) = (world.clone(), callers.desk.clone());
        steps.spawn(async move {
            sleep_until(began + at).await;
            if let Some(key) = world.play(fault).await? {
                desk.set_changed_key(&key);
            }
            anyhow::Ok(())
        });
    }
    while let Some(step) = steps.join_next().await {
        step??;
    }
    let calm_since = Instant::now() + RECOVERY;
    sleep_until(calm_since + CALM_SPAN).await;
    let calls = callers.stop().await;
    let history = world.history(calls, calm_since);
    Ok(SoakReport {
        calls: history.calls.len(),
        served: history.calls.iter().filter(|call| call.answer.status == Some(200)).count(),
        runs: history.arrivals.iter().filter(|arrival| arrival.has_run).count(),
        faults: plan.faults.len(),
        findings: judge(&history),
    })
}

/// Leaves the faults beside the logs, for whoever traces a finding.
fn write_plan(folder: &Path, plan: &FaultPlan) -> anyhow::Result<()> {
    let lines =
        plan.faults.iter().map(|(at, fault)| format!("{:.3} s {fault:?}\n", at.as_secs_f64()));
    let path = folder.join("faults.txt");
    std::fs::write(&path, lines.collect::<String>())
        .with_context(|| format!("{} cannot be written", path.display()))
}

/// One target with the link to it.
struct TargetPlace {
    name: String,
    proxy: Arc<FaultProxy>,
    service: EchoTarget,
    started_at_ms: u64,
}

/// Processes, targets and the platform of one seed.
struct World {
    objects: ObjectServer,
    platform_links: Vec<FaultProxy>,
    processes: Vec<NodeProcess>,
    arrivals: ArrivalLog,
    state: Mutex<WorldState>,
}

struct WorldState {
    targets: Vec<TargetPlace>,
    next_target: u64,
    version: u64,
    changes: History,
}

impl World {
    async fn start(settings: &SoakSettings, targets: usize) -> anyhow::Result<Arc<World>> {
        std::fs::create_dir_all(&settings.folder)
            .with_context(|| format!("{} cannot be made", settings.folder.display()))?;
        let objects = ObjectServer::start().await?;
        let arrivals = ArrivalLog::default();
        let mut state = WorldState {
            targets: Vec::new(),
            next_target: 0,
            version: 0,
            changes: History::begin(),
        };
        state.change_keys(&objects, |keys| keys.push(held_now(MAIN_KEY)));
        for _ in 0..targets {
            state.next_target += 1;
            state.targets.push(new_target(state.next_target, &objects, &arrivals).await?);
        }
        let (mut platform_links, mut processes) = (Vec::new(), Vec::new());
        for index in 0..settings.processes {
            let link = FaultProxy::bind(objects.address()).await?;
            processes.push(start_process(settings, index, link.address)?);
            platform_links.push(link);
        }
        let state = Mutex::new(state);
        Ok(Arc::new(World { objects, platform_links, processes, arrivals, state }))
    }

    fn lock(&self) -> MutexGuard<'_, WorldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|process| process.place.front_address()).collect()
    }

    /// Waits until each process has served a request.
    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let until = Instant::now() + START_LIMIT;
        for (index, address) in self.fronts().into_iter().enumerate() {
            let request = ClientRequest {
                attempt_id: format!("start-{index}"),
                path: "/read/start".to_string(),
                key: MAIN_KEY.to_string(),
                deadline: ROUTE_TIMEOUT,
            };
            while TestClient::open(address).send(&request, ROUTE_TIMEOUT).await.status != Some(200)
            {
                anyhow::ensure!(Instant::now() < until, "process {index} serves nothing");
                sleep(START_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Plays one fault to its end; gives the key that it added or revoked.
    async fn play(&self, fault: PlannedFault) -> anyhow::Result<Option<String>> {
        let from = Instant::now();
        match fault {
            PlannedFault::Kill { process } => self.processes[process].kill(),
            PlannedFault::Terminate { process } => self.processes[process].terminate(),
            PlannedFault::Reload { process } => self.processes[process].reload(),
            PlannedFault::Pause { process, span } => {
                self.processes[process].pause();
                sleep(span).await;
                self.processes[process].resume();
                self.note(Disturbed::Process(process), from);
            }
            PlannedFault::PlatformLink { process, fault, span } => {
                play_link(&self.platform_links[process], fault, span).await;
                self.note(Disturbed::Process(process), from);
            }
            PlannedFault::TargetLink { target, fault, span } => {
                let link = self.lock().targets[target].proxy.clone();
                play_link(&link, fault, span).await;
                self.note(Disturbed::Target, from);
            }
            PlannedFault::Store { fault, span } => {
                self.play_store(fault, span).await;
                self.note(Disturbed::Platform, from);
            }
            PlannedFault::RestartTarget { target } => {
                self.restart_target(target).await?;
                self.note(Disturbed::Target, from);
            }
            PlannedFault::ReplaceTarget { target } => {
                self.replace_target(target).await?;
                self.note(Disturbed::Target, from);
            }
            PlannedFault::ChangeKeys => return Ok(Some(self.change_keys())),
        }
        Ok(None)
    }

    fn note(&self, what: Disturbed, from: Instant) {
        let until = Instant::now();
        self.lock().changes.disturbances.push(Disturbance { what, from, until });
    }

    async fn play_store(&self, fault: StoreFault, span: Duration) {
        let state = &self.objects.state;
        match fault {
            StoreFault::Refuse => state.set_fault_mode(FaultMode::RejectCalls),
            StoreFault::LoseAnswers => state.set_fault_mode(FaultMode::DropResponses),
            StoreFault::ForgetHistory => return state.compact_history(),
            StoreFault::UnreadableRecord => {
                state.put("servers", "unreadable", json!({ "service": 7, "state": [] }));
                sleep(span).await;
                return state.remove("servers", "unreadable");
            }
        }
        sleep(span).await;
        // Outages that overlap end together with the first of them.
        state.set_fault_mode(FaultMode::None);
    }

    /// A target crashes and starts again under its name.
    async fn restart_target(&self, index: usize) -> anyhow::Result<()> {
        let name = self.lock().targets[index].name.clone();
        let service = EchoTarget::start(&name, TARGET_SLOTS, self.arrivals.clone()).await?;
        let mut state = self.lock();
        let target = &mut state.targets[index];
        if target.name != name {
            // It was replaced meanwhile.
            return Ok(());
        }
        target.proxy.set_upstream(service.address);
        target.service = service;
        target.started_at_ms += 1;
        let record = target.registration(TargetState::Ready);
        self.objects.state.put("servers", &name, record);
        Ok(())
    }

    /// A target leaves while another one comes in its place.
    async fn replace_target(&self, index: usize) -> anyhow::Result<()> {
        let number = {
            let mut state = self.lock();
            state.next_target += 1;
            state.next_target
        };
        let new = new_target(number, &self.objects, &self.arrivals).await?;
        let old = {
            let mut state = self.lock();
            let old = std::mem::replace(&mut state.targets[index], new);
            let record = old.registration(TargetState::Draining);
            self.objects.state.put("servers", &old.name, record);
            state.changes.leaving.push((old.name.clone(), Instant::now()));
            old
        };
        sleep(DRAIN_BOUND + LEAVING_SLACK).await;
        self.objects.state.remove("servers", &old.name);
        Ok(())
    }

    /// Adds a key, or revokes the one added last; gives it.
    fn change_keys(&self) -> String {
        let mut state = self.lock();
        let newest = state.changes.keys.last().cloned();
        let revoked = newest.filter(|held| held.key != MAIN_KEY && held.until.is_none());
        let key = match &revoked {
            Some(held) => held.key.clone(),
            None => format!("key-{}", state.version),
        };
        state.change_keys(&self.objects, |keys| match (revoked, keys.last_mut()) {
            (Some(_), Some(last)) => last.until = Some(Instant::now()),
            _ => keys.push(held_now(&key)),
        });
        key
    }

    fn history(&self, calls: Vec<Call>, calm_since: Instant) -> History {
        let mut history = self.lock().changes.clone();
        for process in &self.processes {
            let (ends, disturbances) = process.seen();
            history.ends.extend(ends);
            history.disturbances.extend(disturbances);
        }
        let arrivals = self.arrivals.arrivals().into_iter();
        history.arrivals = arrivals.filter(|it| !it.attempt_id.starts_with("start-")).collect();
        history.calls = calls;
        history.calm_since = Some(calm_since);
        history
    }
}

impl TargetPlace {
    fn registration(&self, state: TargetState) -> Value {
        registration(self.proxy.address, state, self.started_at_ms)
    }
}

impl WorldState {
    fn change_keys(&mut self, objects: &ObjectServer, change: impl FnOnce(&mut Vec<HeldKey>)) {
        change(&mut self.changes.keys);
        self.version += 1;
        let held = self.changes.keys.iter().filter(|held| held.until.is_none());
        let keys: Vec<String> = held.map(|held| held.key.clone()).collect();
        objects.state.put("config", "main", configuration(self.version, &routes(), &keys));
    }
}

async fn new_target(
    number: u64,
    objects: &ObjectServer,
    arrivals: &ArrivalLog,
) -> anyhow::Result<TargetPlace> {
    let name = format!("i-{number}");
    let service = EchoTarget::start(&name, TARGET_SLOTS, arrivals.clone()).await?;
    let proxy = Arc::new(FaultProxy::bind(service.address).await?);
    let target = TargetPlace { name, proxy, service, started_at_ms: 1 };
    objects.state.put("servers", &target.name, target.registration(TargetState::Ready));
    Ok(target)
}

async fn play_link(link: &FaultProxy, fault: LinkFault, span: Duration) {
    link.set_fault(Some(fault));
    sleep(span).await;
    // Faults of one link that overlap end together with the first of them.
    link.set_fault(None);
}

fn start_process(
    settings: &SoakSettings,
    index: usize,
    platform: SocketAddr,
) -> anyhow::Result<NodeProcess> {
    let number = u8::try_from(index + 1).context("at most 255 processes")?;
    let name = format!("entry-{number}");
    let place = NodeLocation {
        name: name.clone(),
        data_centre: "mnl-a".to_string(),
        address: IpAddr::V4(Ipv4Addr::new(127, settings.network, 1, number)),
        platform,
    };
    let file = |ending: &str| -> PathBuf { settings.folder.join(format!("{name}.{ending}")) };
    let path = file("conf");
    std::fs::write(&path, node_settings(&place, &bounds()))
        .with_context(|| format!("{} cannot be written", path.display()))?;
    NodeProcess::spawn(ProcessParts {
        index,
        program: settings.program.clone(),
        place,
        settings: path,
        log: file("log"),
    })
}

fn bounds() -> FleetLimits {
    FleetLimits {
        drain: DRAIN_BOUND,
        grace: GRACE,
        configuration: CONFIGURATION_BOUND,
        weights: WEIGHTS_BOUND,
    }
}

fn routes() -> Vec<RouteSpec> {
    let route = |kind: CallKind| RouteSpec {
        name: kind.route(),
        kind: match kind {
            CallKind::Read => "idempotent",
            CallKind::Write => "non_idempotent",
            CallKind::Events => "streaming",
        },
        attempts: kind.attempts(),
        is_resumable: kind == CallKind::Events,
        timeout: ROUTE_TIMEOUT,
    };
    CallKind::ALL.into_iter().map(route).collect()
}

fn held_now(key: &str) -> HeldKey {
    HeldKey { key: key.to_string(), from: Instant::now(), until: None }
}
