//! An entry process under a supervisor, which restarts it when it exits.

use crate::history::{Disturbance, DisturbanceScope, ProcessEnd};
use rustix::process::{Pid, Signal, kill_process};
use skylarkpick_platform_standin::NodeLocation;
use std::{
    fs::File,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    process::{Child, Command},
    task::JoinHandle,
    time::Instant,
};

/// Delay before a process that exited is restarted, the same as on the platform.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the supervisor checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after SIGTERM at which a process that still runs is killed; longer than its grace period.
const KILL_DELAY: Duration = Duration::from_secs(12);
/// Time within which a process must be ready after its start.
const READY_LIMIT: Duration = Duration::from_secs(3);

/// The program, settings and log file of a process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessSettings {
    pub(crate) index: usize,
    pub(crate) program: PathBuf,
    pub(crate) location: NodeLocation,
    pub(crate) settings_file: PathBuf,
    pub(crate) log_file: PathBuf,
}

/// A process with its supervisor. Dropping it kills the process.
pub(crate) struct NodeProcess {
    pub(crate) location: NodeLocation,
    state: Arc<Mutex<ProcessState>>,
    supervisor: JoinHandle<()>,
}

struct ProcessState {
    child: Child,
    /// When the running process was sent SIGTERM.
    terminated: Option<Instant>,
    /// When a planned fault killed the running process.
    killed: Option<Instant>,
    ends: Vec<ProcessEnd>,
    disturbances: Vec<Disturbance>,
}

impl NodeProcess {
    /// Starts the process and its supervisor.
    pub(crate) fn spawn(settings: ProcessSettings) -> anyhow::Result<NodeProcess> {
        let state = Arc::new(Mutex::new(ProcessState {
            child: start(&settings)?,
            terminated: None,
            killed: None,
            ends: Vec::new(),
            disturbances: Vec::new(),
        }));
        let location = settings.location.clone();
        let supervisor = tokio::spawn(supervise(settings, state.clone()));
        Ok(NodeProcess { location, state, supervisor })
    }

    pub(crate) fn kill(&self) {
        let mut state = lock(&self.state);
        // The time is taken before the signal, since clients notice the exit of the process before
        // its supervisor does.
        let now = Instant::now();
        if state.signal(Signal::KILL) {
            state.killed = Some(now);
        }
    }

    pub(crate) fn terminate(&self) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        if state.terminated.is_none() && state.signal(Signal::TERM) {
            state.terminated = Some(now);
        }
    }

    pub(crate) fn reload(&self) {
        lock(&self.state).signal(Signal::HUP);
    }

    pub(crate) fn pause(&self) {
        lock(&self.state).signal(Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        lock(&self.state).signal(Signal::CONT);
    }

    /// Kills the process for good and waits until it has exited, so that its addresses are free.
    pub(crate) async fn end(&self) {
        self.supervisor.abort();
        lock(&self.state).signal(Signal::KILL);
        while lock(&self.state).child.try_wait().is_ok_and(|status| status.is_none()) {
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Returns the exits of the process so far, and the disturbances that they caused.
    pub(crate) fn exits_and_disturbances(&self) -> (Vec<ProcessEnd>, Vec<Disturbance>) {
        let state = lock(&self.state);
        (state.ends.clone(), state.disturbances.clone())
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.supervisor.abort();
        lock(&self.state).signal(Signal::KILL);
    }
}

impl ProcessState {
    /// Sends a signal to the process unless its exit was collected; until then the system does not
    /// reuse its id. Returns whether the signal was sent.
    fn signal(&self, signal: Signal) -> bool {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        id.is_some_and(|id| kill_process(id, signal).is_ok())
    }
}

async fn supervise(settings: ProcessSettings, state: Arc<Mutex<ProcessState>>) {
    loop {
        tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        let Some(end) = poll_exit(&settings, &mut lock(&state)) else { continue };
        tokio::time::sleep(RESTART_DELAY).await;
        let child = loop {
            match start(&settings) {
                Ok(child) => break child,
                // The machine may lack a resource for a moment, so the start is retried.
                Err(_) => tokio::time::sleep(RESTART_DELAY).await,
            }
        };
        let mut state = lock(&state);
        state.child = child;
        let is_planned = end.terminated.is_some() && end.killed.is_none();
        let index = settings.index;
        state.disturbances.push(Disturbance {
            scope: if is_planned {
                DisturbanceScope::PlannedRestart(index)
            } else {
                DisturbanceScope::Process(index)
            },
            from: end.terminated.into_iter().chain(end.killed).min().unwrap_or(end.at),
            until: Instant::now() + READY_LIMIT,
        });
    }
}

/// Returns the exit of the process if it has exited. Kills a process that ignores SIGTERM for too
/// long.
fn poll_exit(settings: &ProcessSettings, state: &mut ProcessState) -> Option<ProcessEnd> {
    if state.terminated.is_some_and(|at| at.elapsed() > KILL_DELAY) {
        state.signal(Signal::KILL);
    }
    let status = state.child.try_wait().ok().flatten()?;
    let end = ProcessEnd {
        process: settings.index,
        at: Instant::now(),
        terminated: state.terminated.take(),
        killed: state.killed.take(),
        is_success: status.success(),
    };
    state.ends.push(end.clone());
    Some(end)
}

fn start(settings: &ProcessSettings) -> anyhow::Result<Child> {
    let log = open_log(&settings.log_file)?;
    let child = Command::new(&settings.program)
        .arg("node")
        .env("SKYLARKPICK_CONFIG", &settings.settings_file)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()?;
    Ok(child)
}

fn open_log(path: &Path) -> std::io::Result<File> {
    File::options().append(true).create(true).open(path)
}

fn lock(state: &Mutex<ProcessState>) -> MutexGuard<'_, ProcessState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
