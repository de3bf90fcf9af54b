//! Starts the binary as an entry process in front of stand-ins.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a helper of a test fails the test")]
#![allow(dead_code, reason = "each test uses some of the helpers")]

use rustix::{
    io::Errno,
    process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit},
    thread::{CpuSet, sched_getaffinity, sched_setaffinity},
};
use skylarkpick_platform_standin::{
    AfterRequest, BodyRead, ClientRequest, Conduct, FleetLimits, NodeLocation, ObjectServer,
    TargetState, TestClient, node_settings, registration, success_answer,
};
use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// Timeout of a step; far above its normal duration, so that only a test that hangs fails.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Port of a VM on which its process serves metrics.
const METRICS_PORT: u16 = 9_464;
pub const SECOND: Duration = Duration::from_secs(1);

/// An entry process of the binary and its files.
pub struct Process {
    child: Child,
    location: NodeLocation,
    folder: PathBuf,
}

/// How a process starts.
struct Start<'a> {
    name: &'a str,
    has_peer_links: bool,
    /// Lines that are added to its settings.
    settings: &'a str,
    address_space_bytes: Option<usize>,
}

impl Default for Start<'_> {
    fn default() -> Self {
        Start { name: "entry-1", has_peer_links: false, settings: "", address_space_bytes: None }
    }
}

impl Process {
    /// Starts a process with these lines added to its settings, and waits until it serves requests.
    pub async fn start(objects: &ObjectServer, more_settings: &str) -> Process {
        Process::start_with(objects, Start { settings: more_settings, ..Start::default() }).await
    }

    /// Starts a process whose address space is limited.
    pub async fn start_in_address_space(objects: &ObjectServer, size_bytes: usize) -> Process {
        let address_space_bytes = Some(size_bytes);
        Process::start_with(objects, Start { address_space_bytes, ..Start::default() }).await
    }

    /// Starts one of several processes that reach each other.
    pub async fn start_linked(objects: &ObjectServer, name: &str, more_settings: &str) -> Process {
        let start =
            Start { name, has_peer_links: true, settings: more_settings, ..Start::default() };
        Process::start_with(objects, start).await
    }

    async fn start_with(objects: &ObjectServer, start: Start<'_>) -> Process {
        let process = Process::spawn(objects, start);
        let served = async {
            for number in 0.. {
                let sent = request(format!("first-{number}"), "write", SECOND, 0);
                if process.send(sent).await.1 == Some(200) {
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, served).await.expect("the process serves");
        process
    }

    /// Starts one of several processes that reach each other, without waiting until it serves.
    pub fn spawn_linked(objects: &ObjectServer, name: &str) -> Process {
        Process::spawn(objects, Start { name, has_peer_links: true, ..Start::default() })
    }

    fn spawn(objects: &ObjectServer, start: Start<'_>) -> Process {
        let Start { name, has_peer_links, settings: more_settings, address_space_bytes } = start;
        static NUMBER: AtomicU8 = AtomicU8::new(100);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        let location = NodeLocation {
            name: name.to_string(),
            data_centre: "mnl-a".to_string(),
            address: IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, number)),
            platform: objects.address(),
            has_peer_links,
        };
        let folder = format!("skylarkpick-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let limits = FleetLimits {
            drain: SECOND * 2,
            grace: SECOND * 6,
            configuration: SECOND * 2,
            weights: SECOND * 12,
        };
        let settings = folder.join("settings.conf");
        let text = node_settings(&location, &limits) + more_settings;
        std::fs::write(&settings, text).unwrap();
        let log = File::create(folder.join("log")).unwrap();
        let program = env!("CARGO_BIN_EXE_skylarkpick");
        let mut command = match address_space_bytes {
            Some(bytes) => {
                let mut shell = Command::new("sh");
                let kilobytes = (bytes / 1_024).to_string();
                shell.args(["-c", "ulimit -v $0 && exec \"$@\"", &kilobytes, program]);
                shell
            }
            None => Command::new(program),
        };
        let child = command
            .arg("node")
            .env("SKYLARKPICK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Process { child, location, folder }
    }

    /// Returns whether the process reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let response = get(self.location.ready_address(), "/readiness").await;
        response.is_ok_and(|response| response.starts_with("HTTP/1.1 200 "))
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the largest resident memory so far.
    pub fn peak_resident_bytes(&self) -> usize {
        self.status_bytes("VmHWM:")
    }

    /// Returns the size of the address space.
    pub fn address_space_bytes(&self) -> usize {
        self.status_bytes("VmSize:")
    }

    /// Returns the largest address space so far. Reserved memory counts, which is not resident.
    pub fn peak_address_space_bytes(&self) -> usize {
        self.status_bytes("VmPeak:")
    }

    /// Returns a size from `/proc`.
    fn status_bytes(&self, name: &str) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1_024
    }

    /// Has the system refuse memory once the address space is larger by this than it is now.
    pub fn limit_address_space(&self, more_bytes: usize) {
        let most = u64::try_from(self.address_space_bytes() + more_bytes).unwrap();
        let limit = Rlimit { current: Some(most), maximum: Some(most) };
        prlimit(Some(Pid::from_child(&self.child)), Resource::As, limit).unwrap();
    }

    /// Returns the number of open descriptors, from `/proc`.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Returns the bytes of request bodies that arrive, from the metrics.
    pub async fn arriving_body_bytes(&self) -> u64 {
        let address = SocketAddr::new(self.location.address, METRICS_PORT);
        let response = get(address, "/metrics").await.unwrap();
        let name = "skylarkpick_bodies_held_bytes{kind=\"arriving\"} ";
        let value = response.lines().find_map(|line| line.strip_prefix(name));
        value.expect("the gauge is there").trim().parse().unwrap()
    }

    /// Leaves the process half of a core, which it shares with a thread that is always busy.
    pub fn share_core(&self) -> BusyThread {
        let allowed = sched_getaffinity(None).unwrap();
        let core = (0..CpuSet::MAX_CPU).find(|core| allowed.is_set(*core)).unwrap();
        let mut shared = CpuSet::new();
        shared.set(core);
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        for task in tasks {
            let id = task.unwrap().file_name().to_str().unwrap().parse().unwrap();
            // A thread that has ended in the meantime needs no core.
            let result = sched_setaffinity(Pid::from_raw(id), &shared);
            assert!(matches!(result, Ok(()) | Err(Errno::SRCH)), "{result:?}");
        }
        BusyThread::spawn(shared)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap()
    }

    pub fn front(&self) -> SocketAddr {
        self.location.front_address()
    }

    pub async fn send(&self, request: ClientRequest) -> (ClientRequest, Option<u16>) {
        send(self.front(), request).await
    }

    /// Waits until the process has exited; returns whether it did so as asked.
    pub async fn wait(&mut self) -> bool {
        let exited = async {
            loop {
                if let Some(status) = self.child.try_wait().unwrap() {
                    return status.success();
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, exited).await.expect("the process exits")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // A folder that cannot be removed does not affect other tests.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Thread that uses up a core until dropped.
pub struct BusyThread {
    is_stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl BusyThread {
    fn spawn(core: CpuSet) -> BusyThread {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = is_stopped.clone();
        let thread = thread::spawn(move || {
            sched_setaffinity(None, &core).unwrap();
            while !stopped.load(Ordering::Relaxed) {
                std::hint::spin_loop();
            }
        });
        BusyThread { is_stopped, thread: Some(thread) }
    }
}

impl Drop for BusyThread {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked left the process more of the core.
            let _ = thread.join();
        }
    }
}

/// Sends a GET request on a connection of its own; returns the response with its head.
async fn get(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response)
}

/// Returns a request of the client account `acme`.
pub fn request(
    id: String,
    route: &str,
    deadline: Duration,
    body_size_bytes: usize,
) -> ClientRequest {
    ClientRequest {
        method: "POST".to_string(),
        path: format!("/{route}/{id}"),
        key: "k1".to_string(),
        deadline,
        resumes: None,
        last_event_id: None,
        parts: Vec::new(),
        body: "b".repeat(body_size_bytes),
        attempt_id: id,
    }
}

/// Sends a request on a connection of its own; returns it with the status of its response.
pub async fn send(address: SocketAddr, request: ClientRequest) -> (ClientRequest, Option<u16>) {
    let response = TestClient::open(address).send(&request, STEP_TIMEOUT).await;
    (request, response.status)
}

/// Registers a target of the service `svc`.
pub fn register(objects: &ObjectServer, name: &str, address: SocketAddr, started_at_ms: u64) {
    let record = registration(address, TargetState::Ready, started_at_ms, Some("v1"));
    objects.state.put("servers", name, record);
}

/// What a target does with a request that it runs at once.
pub fn quick() -> Conduct {
    Conduct {
        reads: BodyRead::Whole,
        runs: true,
        work: Duration::ZERO,
        answer: Some(success_answer("ran")),
        then: AfterRequest::Keep(Duration::ZERO),
    }
}
