//! Runs the binary as two entry processes that start while entries of another writer stand in the
//! platform's store, and checks that they serve all the same.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a helper of a test fails the test")]

mod support;

use serde_json::json;
use skylarkpick_platform_standin::{
    Decide, ObjectServer, RouteSpec, RunLog, RunTarget, configuration,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use support::{POLL_INTERVAL, Process, SECOND, STEP_TIMEOUT, quick, register, request};
use tokio::time::sleep;

const TARGETS: usize = 5;
const PROCESSES: [&str; 2] = ["entry-1", "entry-2"];
/// Requests after the restart, which the processes get in turn.
const REQUESTS: usize = 24;
/// Entries of a page, so that each list of odd entries has several pages.
const PAGE_SIZE: usize = 3;
const ROUTE: RouteSpec = RouteSpec {
    name: "write",
    kind: "non_idempotent",
    attempts: 3,
    is_resumable: false,
    timeout: Duration::from_secs(15),
    target_latency: Duration::from_secs(5),
};

/// A kind of objects that another writer adds entries to.
struct Kind {
    name: &'static str,
    /// Start of the entries' names, so that they stand in the midst of the list.
    prefix: &'static str,
    /// Content of an entry that could be read but for `ODD`, the value of a field.
    content: &'static str,
}

const TARGET_KIND: Kind = Kind {
    name: "servers",
    prefix: "i-2",
    content: r#"{"service":"svc","address":"127.0.0.1:9","zone":"mnl-a","slots":ODD,"state":"ready",
        "coldRemainingMs":0,"sequence":1,"born":5,"models":[],"version":"v1"}"#,
};
const ENTRY_KIND: Kind = Kind {
    name: "skylarkpick-entries",
    prefix: "entry-1",
    content: r#"{"address":"127.0.0.1:9","zone":"mnl-a","cpuPercent":ODD}"#,
};
const WEIGHTS_KIND: Kind =
    Kind { name: "versions", prefix: "tala", content: r#"{"model":"odd","version":ODD}"# };
const CONFIGURATION_KIND: Kind = Kind {
    name: "config",
    prefix: "ma",
    content: r#"{"version":ODD,"routes":[],"services":[],"limits":{"headerBytes":1,"bodyBytes":1,
        "headerTimeoutMs":1,"idleTimeoutMs":1}}"#,
};
const EVACUATION_KIND: Kind =
    Kind { name: "evacuations", prefix: "mnl-b", content: r#"{"reason":ODD}"# };

/// Odd entries that stand in the list together.
struct Row {
    name: &'static str,
    /// End of each entry's name, and its content.
    entries: Vec<(String, Vec<u8>)>,
}

/// Ends of names that have a meaning in a URI, a log line or a label.
const NAME_ENDS: [&str; 22] = [
    "&", "&after=", "+", "#", "%", "%41", "%zz", "?", "?a=1", ";", " ", " a ", "=", "/", "/status",
    "..", "\"", "'", "\\", "\n", "é", "日本",
];

/// Contents that could be read under another name, each with its kind and name.
const MISPLACED: [(&str, &str, &str); 2] = [
    (
        "config",
        "mine",
        r#"{"version":99,"routes":[],"services":[],"limits":{"headerBytes":16384,"bodyBytes":1000,
            "headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#,
    ),
    ("versions", "mine", r#"{"model":"tala","version":99}"#),
];

impl Kind {
    /// Returns the content with this value of a field.
    fn with(&self, value: &[u8]) -> Vec<u8> {
        let (before, after) = self.content.split_once("ODD").unwrap();
        [before.as_bytes(), value, after.as_bytes()].concat()
    }

    fn rows(&self) -> Vec<Row> {
        let row = |name, contents: Vec<Vec<u8>>| {
            let numbered = contents.into_iter().enumerate();
            Row {
                name,
                entries: numbered.map(|(at, content)| (format!("-{at}"), content)).collect(),
            }
        };
        let fields = |values: &[&[u8]]| values.iter().map(|value| self.with(value)).collect();
        let nested = |levels| [b"[".repeat(levels), b"]".repeat(levels)].concat();
        let named = NAME_ENDS.map(|end| (end.to_string(), self.with(b"\"odd\"")));
        vec![
            row("none", Vec::new()),
            row(
                "nested deeply",
                [129, 20_000, 400_000]
                    .into_iter()
                    .flat_map(|levels| [nested(levels), self.with(&nested(levels))])
                    .collect(),
            ),
            Row { name: "names", entries: named.to_vec() },
            row(
                "numbers",
                fields(&[
                    b"12345678901234567890123456",
                    b"18446744073709551616",
                    b"1e400",
                    b"-5",
                    b"1.5",
                ]),
            ),
            row(
                "other types",
                [fields(&[b"null", b"[]", b"{}", b"\"odd\"", b"true"]), values()].concat(),
            ),
            row(
                "bytes",
                fields(&[
                    b"\"\xff\xfe\x80\"",
                    b"\"\\ud83d\"",
                    b"\"\x01\"",
                    b"\"\\q\"",
                    b"\"\\u00zz\"",
                    b"\"\\ud83d\xff\"",
                ]),
            ),
        ]
    }
}

/// Returns contents that are no objects.
fn values() -> Vec<Vec<u8>> {
    ["null", "[]", "\"odd\"", "7", "true"].map(|text| text.as_bytes().to_vec()).to_vec()
}

/// Targets that run each request at once.
fn start_targets(objects: &ObjectServer) -> Vec<RunTarget> {
    let decide: Decide = Arc::new(|_, _| quick());
    let start = |number: usize| {
        let (id, free) = (format!("i-{number}"), SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
        let target = RunTarget::start(free, &id, 5, RunLog::default(), decide.clone()).unwrap();
        register(objects, &id, target.address, 5);
        target
    };
    (0..TARGETS).map(start).collect()
}

/// Starts the store, with several entries of each kind of the operator and the targets.
async fn start_fleet() -> (ObjectServer, Vec<RunTarget>) {
    let objects = ObjectServer::start().await.unwrap();
    objects.state.set_page_size(PAGE_SIZE);
    objects.state.put("config", "main", configuration(3, &[ROUTE], &["k1".to_string()]));
    for model in ["sala", "tala", "vala"] {
        objects.state.put("versions", model, json!({ "model": model, "version": 1 }));
    }
    let targets = start_targets(&objects);
    (objects, targets)
}

fn start_processes(objects: &ObjectServer) -> Vec<Process> {
    PROCESSES.iter().map(|name| Process::spawn_linked(objects, name)).collect()
}

/// Waits until all processes are ready. Returns false if they have not become so.
async fn become_ready(processes: &[Process]) -> bool {
    let ready = async {
        for process in processes {
            while !process.is_ready().await {
                sleep(POLL_INTERVAL).await;
            }
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, ready).await.is_ok()
}

/// Adds entries beside sound ones, kills the processes and starts them again. Returns what is wrong
/// then.
async fn play(kind: &Kind, row: &Row) -> Option<String> {
    let named = row.entries.iter().map(|(end, content)| {
        let name = format!("{}{end}", kind.prefix);
        (kind.name, name, content.as_slice())
    });
    play_beside(&format!("{}, {}", kind.name, row.name), named).await
}

/// The same with entries of these kinds and names.
async fn play_beside<'a>(
    name: &str,
    entries: impl Iterator<Item = (&'a str, String, &'a [u8])>,
) -> Option<String> {
    let (objects, _targets) = start_fleet().await;
    let processes = start_processes(&objects);
    assert!(become_ready(&processes).await, "the processes become ready");
    for (kind, name, content) in entries {
        objects.state.put_raw(kind, &name, content);
    }
    drop(processes);
    let processes = start_processes(&objects);
    let is_ready = become_ready(&processes).await;
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        let sent = request(format!("r-{number}"), "write", SECOND * 10, 5);
        answers.push(processes[number % processes.len()].send(sent).await.1);
    }
    let served = answers.iter().filter(|status| **status == Some(200)).count();
    println!("{name}: ready {is_ready}, {served} of {REQUESTS} served");
    (!is_ready || served < REQUESTS)
        .then(|| format!("{name}: ready {is_ready}, {served} of {REQUESTS} served, {answers:?}"))
}

async fn play_all(kind: &Kind) {
    let mut failures = Vec::new();
    for row in kind.rows() {
        failures.extend(play(kind, &row).await);
    }
    assert!(failures.is_empty(), "{}: {failures:#?}", kind.name);
}

// Each of these guards against entries of another writer that keep a process that starts from serving.

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_beside_targets_stop_no_process() {
    play_all(&TARGET_KIND).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_beside_registrations_of_processes_stop_no_process() {
    play_all(&ENTRY_KIND).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_beside_desired_weights_stop_no_process() {
    play_all(&WEIGHTS_KIND).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_beside_the_configuration_stop_no_process() {
    play_all(&CONFIGURATION_KIND).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_beside_evacuations_stop_no_process() {
    play_all(&EVACUATION_KIND).await;
}

// Guards against a configuration or weights that another writer puts in force under a name of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn misplaced_contents_stop_no_process() {
    for (kind, name, content) in MISPLACED {
        let entry = (kind, name.to_string(), content.as_bytes());
        assert_eq!(play_beside(kind, [entry].into_iter()).await, None);
    }
}

/// Waits until each process has logged a text.
async fn wait_for_log(processes: &[Process], text: &str) {
    let logged = async {
        while !processes.iter().all(|process| process.log().contains(text)) {
            sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, logged).await.expect("the processes log it");
}

// Guards against a log that an entry of another writer fills or breaks: with a line for each of its
// heartbeats, with its name or with its content.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreadable_entry_is_logged_once_and_without_its_content() {
    let (objects, _targets) = start_fleet().await;
    let processes = start_processes(&objects);
    assert!(become_ready(&processes).await, "the processes become ready");
    let ends = ["-odd", "\"\n\\", "é&\u{0}", &"-long".repeat(10_000)];
    const ROUNDS: u32 = 4;
    for round in 0..ROUNDS {
        let content = String::from_utf8(TARGET_KIND.with(b"\"marked\"")).unwrap();
        let content = content.replace("\"sequence\":1", &format!("\"sequence\":{round}"));
        for end in ends {
            objects.state.put_raw("servers", &format!("i-2{end}"), content.as_bytes());
        }
        let last = format!("last-{round}");
        register(&objects, &last, SocketAddr::from((Ipv4Addr::LOCALHOST, 9)), 5);
        wait_for_log(&processes, &last).await;
    }
    for process in &processes {
        let log = process.log();
        assert!(!log.contains("marked"), "the content is not logged");
        let lines: Vec<serde_json::Value> = log
            .lines()
            .map(|line| serde_json::from_str(line).expect("each line is JSON"))
            .collect();
        let unreadable = lines.iter().filter(|it| it["payload"] == "invalid platform record");
        let mut names: Vec<&str> =
            unreadable.map(|it| it["kv"]["name"].as_str().unwrap()).collect();
        names.sort_unstable();
        let mut expected =
            ends.map(|end| format!("i-2{end}").chars().take(200).collect::<String>());
        expected.sort_unstable();
        assert_eq!(names, expected);
        assert!(log.lines().all(|line| line.len() < 2_000), "each line is bounded");
        assert!(!lines.iter().any(|it| it["payload"] == "target removed"), "none was a target");
    }
}
