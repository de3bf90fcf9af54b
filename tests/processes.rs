//! The binary as separate processes: an entry process before stand-ins, over loopback.

#![allow(clippy::unwrap_used, reason = "a helper of a test fails the test")]

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    path::PathBuf,
    process::{Child, ChildStderr, Command, Stdio},
    time::Duration,
};

/// Longest wait for a piece of an answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// Most memory that an idle entry process may take.
const IDLE_MEMORY_LIMIT_KB: u64 = 64 * 1_024;
/// Text that must not be seen in any log or dump.
const PROMPT: &str = "orbit-prompt-marker";
const TOKEN: &str = "cubesat-token-marker";
const OPERATOR_TOKEN: &str = "ground-token-marker";

/// A process of the binary that is killed when dropped.
struct Process {
    child: Child,
    address: String,
    messages: BufReader<ChildStderr>,
    seen: String,
}

impl Process {
    /// Starts the binary and waits until it says where it listens.
    fn spawn(arguments: &[&str]) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_skylarkpick"))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut messages = BufReader::new(child.stderr.take().unwrap());
        let mut seen = String::new();
        let address = loop {
            let mut line = String::new();
            assert_ne!(messages.read_line(&mut line).unwrap(), 0, "{arguments:?} ended: {seen}");
            seen.push_str(&line);
            if let Some(address) = line.trim_end().strip_prefix("listening on ") {
                break address.to_string();
            }
            let value: Value = serde_json::from_str(&line).unwrap_or_default();
            if value["payload"] == "listening" {
                break value["kv"]["address"].as_str().unwrap().to_string();
            }
        };
        Process { child, address, messages, seen }
    }

    fn terminate(&self) {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
    }

    /// Waits for the end; gives the exit code, the results and the messages.
    fn end(mut self) -> (Option<i32>, String, String) {
        let mut results = String::new();
        self.child.stdout.take().unwrap().read_to_string(&mut results).unwrap();
        self.messages.read_to_string(&mut self.seen).unwrap();
        let code = self.child.wait().unwrap().code();
        (code, results, std::mem::take(&mut self.seen))
    }

    /// Resident memory, from `/proc`.
    fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Already ended in most tests.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The answer to a request: what came, piece by piece.
struct Answer(BufReader<TcpStream>);

impl Answer {
    fn ask(address: &str, method: &str, path: &str, token: &str, body: &str) -> Answer {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {token}\r\n\
             connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(head.as_bytes()).unwrap();
        Answer(BufReader::new(stream))
    }

    /// Reads until a line contains `text`; gives everything read.
    fn read_until(&mut self, text: &str) -> String {
        let mut read = String::new();
        loop {
            let mut line = String::new();
            assert_ne!(self.0.read_line(&mut line).unwrap(), 0, "no {text:?} in {read}");
            read.push_str(&line);
            if line.contains(text) {
                return read;
            }
        }
    }

    fn rest(mut self) -> String {
        let mut rest = String::new();
        self.0.read_to_string(&mut rest).unwrap();
        rest
    }
}

/// Hash of a token, as the command gives it.
fn hash(token: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_skylarkpick"))
        .args(["token", "--environment", "TOKEN"])
        .env("TOKEN", token)
        .output()
        .unwrap();
    String::from_utf8(output.stdout).unwrap().trim_end().to_string()
}

/// Stand-ins, an entry process, and the folder of their files.
struct Fleet {
    entry: Process,
    runner: Process,
    _platform: Process,
    _folder: Folder,
}

/// A folder that goes when dropped.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that stays behind harms nothing.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Fleet {
    fn spawn(name: &str) -> Fleet {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let write = |file: &str, value: &Value| {
            let path = folder.join(file);
            std::fs::write(&path, value.to_string()).unwrap();
            path.display().to_string()
        };
        let runner = Process::spawn(&["stand-in", "runner", "--model", "tala-llm"]);
        let configuration = json!({
            "accounts": {
                "cubesat": {"token_hashes": [hash(TOKEN)]},
                "ground": {"role": "operator", "token_hashes": [hash(OPERATOR_TOKEN)]},
            },
            "models": {"tala-llm": {"weight_version": 1, "serving": "quick"}},
            "serving": {"quick": {}},
            "data_centres": {"mnl-a": {"runners": {
                "runner-1": {"address": runner.address, "model": "tala-llm"},
            }}},
        });
        let configuration = write("configuration.json", &configuration);
        let platform = Process::spawn(&["stand-in", "platform", "--configuration", &configuration]);
        let settings = json!({
            "entry_id": "entry-1",
            "data_centre": "mnl-a",
            "http_address": "127.0.0.1:0",
            "platform_address": platform.address,
            "limits": {"drain_notice_ms": 200},
        });
        let entry = Process::spawn(&["entry", &write("settings.json", &settings)]);
        let fleet = Fleet { entry, runner, _platform: platform, _folder: Folder(folder) };
        fleet.wait_ready();
        fleet
    }

    fn ask(&self, method: &str, path: &str, token: &str, body: &str) -> Answer {
        Answer::ask(&self.entry.address, method, path, token, body)
    }

    fn stream(&self, tokens: u64) -> Answer {
        let body = json!({
            "model": "tala-llm", "prompt": PROMPT, "max_tokens": tokens, "stream": true,
        });
        self.ask("POST", "/v1/completions", TOKEN, &body.to_string())
    }

    fn state(&self) -> String {
        self.ask("GET", "/state", OPERATOR_TOKEN, "").rest()
    }

    fn wait_for_load(&self, text: &str) {
        for _ in 0..1_000 {
            if Answer::ask(&self.runner.address, "GET", "/v1/load", "", "").rest().contains(text) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the runner never reports {text}");
    }

    fn wait_ready(&self) {
        let is_ready = || {
            let is_ready = self.ask("GET", "/ready", "", "").rest().starts_with("HTTP/1.1 200");
            is_ready && self.state().contains("\"weight_version\":1")
        };
        for _ in 0..1_000 {
            if is_ready() {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the entry process is not ready");
    }
}

#[test]
fn an_entry_process_keeps_its_secrets_and_its_size() {
    let fleet = Fleet::spawn("secrets");
    let memory_kb = fleet.entry.memory_kb();
    assert!(memory_kb < IDLE_MEMORY_LIMIT_KB, "{memory_kb} KB at rest");
    let mut answer = fleet.stream(3);
    let request_id = answer.read_until("x-request-id: ");
    let request_id = request_id.rsplit("x-request-id: ").next().unwrap().trim_end().to_string();
    assert!(answer.rest().contains("data: [DONE]"));
    let refused = fleet.ask("POST", "/v1/completions", TOKEN, PROMPT).rest();
    assert!(refused.starts_with("HTTP/1.1 400"), "{refused}");
    let refused = fleet.ask("GET", &format!("/{PROMPT}"), OPERATOR_TOKEN, "").rest();
    assert!(refused.starts_with("HTTP/1.1 404"), "{refused}");
    let state = fleet.state();
    assert!(state.contains("runner-1"), "{state}");

    fleet.entry.terminate();
    let (code, results, messages) = fleet.entry.end();
    assert_eq!((code, results.as_str()), (Some(0), ""));
    for secret in [PROMPT, TOKEN, OPERATOR_TOKEN, &hash(TOKEN), &hash(OPERATOR_TOKEN)] {
        assert!(!messages.contains(secret), "{secret} in {messages}");
        assert!(!state.contains(secret), "{secret} in {state}");
    }
    let mut about_request = Vec::new();
    for line in messages.lines() {
        let value: Value = serde_json::from_str(line).unwrap_or_else(|_| panic!("{line}"));
        if value["kv"]["request_id"] == request_id {
            assert_eq!(value["kv"]["account"], "cubesat", "{line}");
            about_request.push(value);
        }
    }
    assert!(about_request.iter().any(|line| line["kv"]["attempt"] == 1), "{messages}");
    assert!(about_request.iter().any(|line| line["kv"]["status"] == 200), "{messages}");
}

#[test]
fn sigterm_cuts_off_no_stream() {
    let fleet = Fleet::spawn("drain");
    let mut answer = fleet.stream(100);
    let begun = answer.read_until("id: 2");
    assert!(!begun.contains("[DONE]"));
    fleet.entry.terminate();
    let rest = answer.rest();
    assert!(rest.contains("id: 99\n") && rest.contains("data: [DONE]"), "{rest}");
    let (code, _, messages) = fleet.entry.end();
    assert_eq!(code, Some(0), "{messages}");
    assert!(messages.contains("draining"), "{messages}");
}

#[test]
fn closing_the_connection_cancels_the_run_at_the_runner() {
    let fleet = Fleet::spawn("cancel");
    let mut answer = fleet.stream(100_000);
    // Load reports lag, so the run has to be seen in one before its end can be.
    fleet.wait_for_load("\"active_runs\":1");
    answer.read_until("id: 2");
    drop(answer);
    fleet.wait_for_load("\"active_runs\":0");
    fleet.runner.terminate();
    let (_, ledger, _) = fleet.runner.end();
    let run: Value = serde_json::from_str(ledger.trim_end()).unwrap();
    assert_eq!(run["finished"], "cancelled", "{ledger}");
    assert_eq!(run["account"], "cubesat", "{ledger}");
}
