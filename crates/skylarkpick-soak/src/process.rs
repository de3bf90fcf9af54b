//! A process that is signalled, and started again when it ends.

use crate::history::{Disturbance, Disturbed, ProcessEnd};
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

/// Pause before a process that ended is started again, as the platform's supervisor makes it.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two looks whether a process has ended.
const LOOK_PAUSE: Duration = Duration::from_millis(10);
/// Time after its grace period at which a process is killed.
const KILL_AFTER: Duration = Duration::from_secs(12);
/// Time that a process has to be ready after its start.
const START_SPAN: Duration = Duration::from_secs(3);

/// What a process is started with.
#[derive(Clone, Debug)]
pub(crate) struct ProcessParts {
    pub(crate) index: usize,
    pub(crate) program: PathBuf,
    pub(crate) place: NodeLocation,
    pub(crate) settings: PathBuf,
    pub(crate) log: PathBuf,
}

/// A process under its supervisor. Dropping it kills the process.
pub(crate) struct NodeProcess {
    pub(crate) place: NodeLocation,
    state: Arc<Mutex<ProcessState>>,
    supervisor: JoinHandle<()>,
}

struct ProcessState {
    child: Child,
    terminated: Option<Instant>,
    killed: Option<Instant>,
    ends: Vec<ProcessEnd>,
    disturbances: Vec<Disturbance>,
}

impl NodeProcess {
    /// Starts the process and its supervisor.
    pub(crate) fn spawn(parts: ProcessParts) -> anyhow::Result<NodeProcess> {
        let state = Arc::new(Mutex::new(ProcessState {
            child: start(&parts)?,
            terminated: None,
            killed: None,
            ends: Vec::new(),
            disturbances: Vec::new(),
        }));
        let place = parts.place.clone();
        let supervisor = tokio::spawn(supervise(parts, state.clone()));
        Ok(NodeProcess { place, state, supervisor })
    }

    pub(crate) fn kill(&self) {
        let mut state = lock(&self.state);
        // Noted before it happens: clients see the end of a process before its supervisor does.
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

    /// How its lives ended, and what that disturbed.
    pub(crate) fn seen(&self) -> (Vec<ProcessEnd>, Vec<Disturbance>) {
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
    /// Signals the process, unless it has ended: a child that was not waited for keeps its id.
    /// Gives whether it was signalled.
    fn signal(&self, signal: Signal) -> bool {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        id.is_some_and(|id| kill_process(id, signal).is_ok())
    }
}

async fn supervise(parts: ProcessParts, state: Arc<Mutex<ProcessState>>) {
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        let Some(end) = look(&parts, &mut lock(&state)) else { continue };
        tokio::time::sleep(RESTART_PAUSE).await;
        let child = loop {
            match start(&parts) {
                Ok(child) => break child,
                // The machine may be out of something for a moment.
                Err(_) => tokio::time::sleep(RESTART_PAUSE).await,
            }
        };
        let mut state = lock(&state);
        state.child = child;
        let is_planned = end.terminated.is_some() && end.killed.is_none();
        let index = parts.index;
        state.disturbances.push(Disturbance {
            what: if is_planned { Disturbed::Planned(index) } else { Disturbed::Process(index) },
            from: end.terminated.into_iter().chain(end.killed).min().unwrap_or(end.at),
            until: Instant::now() + START_SPAN,
        });
    }
}

/// Looks whether the process has ended, and kills one that should have long ago.
fn look(parts: &ProcessParts, state: &mut ProcessState) -> Option<ProcessEnd> {
    if state.terminated.is_some_and(|at| at.elapsed() > KILL_AFTER) {
        state.signal(Signal::KILL);
    }
    let status = state.child.try_wait().ok().flatten()?;
    let end = ProcessEnd {
        process: parts.index,
        at: Instant::now(),
        terminated: state.terminated.take(),
        killed: state.killed.take(),
        is_success: status.success(),
    };
    state.ends.push(end.clone());
    Some(end)
}

fn start(parts: &ProcessParts) -> anyhow::Result<Child> {
    let log = open_log(&parts.log)?;
    let child = Command::new(&parts.program)
        .arg("node")
        .env("SKYLARKPICK_CONFIG", &parts.settings)
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
