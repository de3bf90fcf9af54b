//! Runs the binary as entry processes, of which one is stopped while a data centre is evacuated, and
//! looks at which targets get requests.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a helper of a test fails the test")]

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use skylarkpick_platform_standin::{
    ArrivalLog, ClientRequest, EchoTarget, FleetLimits, NodeLocation, ObjectServer, RouteSpec,
    TargetState, TestClient, configuration, node_settings, registration,
};
use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};

/// Timeout of a step; far above its normal duration, so that only a test that hangs fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);
/// Time after which no request of a process in contact reaches an evacuated data centre.
const BOUND: Duration = Duration::from_secs(5);
/// Time without disturbance after which a process counts as in contact.
const CONTACT_WINDOW: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const ROUTE: RouteSpec = RouteSpec {
    name: "read",
    kind: "idempotent",
    attempts: 3,
    is_resumable: false,
    timeout: Duration::from_secs(4),
    target_latency: RouteSpec::TARGET_LATENCY,
};

/// An entry process of the binary in `mnl-a`, and its files.
struct Process {
    child: Child,
    location: NodeLocation,
    folder: PathBuf,
}

impl Process {
    fn spawn(objects: &ObjectServer, number: u8) -> Process {
        let [.., high, low] = std::process::id().to_be_bytes();
        let location = NodeLocation {
            name: format!("entry-{number}"),
            data_centre: "mnl-a".to_string(),
            address: IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, 200 + number)),
            platform: objects.address(),
            has_peer_links: true,
        };
        let folder =
            std::env::temp_dir().join(format!("evacuated-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let limits = FleetLimits {
            drain: 2 * SECOND,
            grace: 6 * SECOND,
            configuration: 2 * SECOND,
            weights: 12 * SECOND,
        };
        let bound = format!("bounds.evacuationMs={}\n", BOUND.as_millis());
        let settings = folder.join("settings.conf");
        std::fs::write(&settings, node_settings(&location, &limits) + &bound).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_skylarkpick"))
            .arg("node")
            .env("SKYLARKPICK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Process { child, location, folder }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Sends a request and returns the status of its response.
    async fn send(&self) -> Option<u16> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let request = ClientRequest {
            attempt_id: format!("a{number}"),
            method: "POST".to_string(),
            path: format!("/read/{number}"),
            key: "k1".to_string(),
            deadline: 3 * SECOND,
            resumes: None,
            last_event_id: None,
            parts: Vec::new(),
            body: "b".to_string(),
        };
        let mut client = TestClient::open(self.location.front_address());
        client.send(&request, STEP_TIMEOUT).await.status
    }

    /// Sends requests one after another until the time is over. Returns those that were not served.
    async fn send_until(&self, until: Instant) -> Vec<Option<u16>> {
        let mut failures = Vec::new();
        while Instant::now() < until {
            let status = self.send().await;
            failures.extend((status != Some(200)).then_some(status));
            sleep(POLL_INTERVAL).await;
        }
        failures
    }

    /// Sends requests until a target of a data centre gets one.
    async fn send_until_reached(&self, log: &ArrivalLog, data_centre: &str) {
        let since = Instant::now();
        let reached = async {
            while !reached_since(log, since).contains(data_centre) {
                self.send().await;
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(STEP_TIMEOUT, reached).await.expect(data_centre);
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

/// Returns the data centres, after which targets are named, that have got requests since then.
fn reached_since(log: &ArrivalLog, since: Instant) -> BTreeSet<String> {
    let arrivals = log.arrivals().into_iter().filter(|arrival| arrival.at > since);
    arrivals.map(|arrival| arrival.target).collect()
}

/// Guards against requests to an evacuated data centre from a process that was stopped when the
/// evacuation began, and against requests of the other one that get no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_that_was_stopped_meanwhile_sends_an_evacuated_data_centre_no_requests() {
    let objects = Arc::new(ObjectServer::start().await.unwrap());
    objects.state.put("config", "main", configuration(3, &[ROUTE], &["k1".to_string()]));
    let log = ArrivalLog::default();
    let mut targets = Vec::new();
    for name in ["mnl-a", "mnl-b"] {
        let target = EchoTarget::start(name, "v1", 64, log.clone()).await.unwrap();
        let (address, started_at_ms) = (target.address, target.started_at_ms);
        let mut record = registration(address, TargetState::Ready, started_at_ms, Some("v1"));
        record["zone"] = json!(name);
        objects.state.put("servers", name, record);
        targets.push(target);
    }
    let (running, stopped) = (Process::spawn(&objects, 1), Process::spawn(&objects, 2));
    for process in [&running, &stopped] {
        process.send_until_reached(&log, "mnl-a").await;
    }
    stopped.signal(Signal::STOP);
    objects.state.put("evacuations", "mnl-a", json!({}));
    let evacuated_at = Instant::now();
    let failures = running.send_until(evacuated_at + BOUND + SECOND).await;
    assert_eq!(failures, [], "of the process that runs");
    let expected = BTreeSet::from(["mnl-b".to_string()]);
    assert_eq!(reached_since(&log, evacuated_at + BOUND), expected);
    stopped.signal(Signal::CONT);
    let in_contact_at = Instant::now() + CONTACT_WINDOW;
    let failures = stopped.send_until(in_contact_at + 2 * SECOND).await;
    assert_eq!(failures, [], "of the process that was stopped");
    assert_eq!(reached_since(&log, in_contact_at), expected);
    objects.state.remove("evacuations", "mnl-a");
    for process in [&running, &stopped] {
        process.send_until_reached(&log, "mnl-a").await;
    }
}
