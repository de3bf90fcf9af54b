//! Runs the binary as separate processes over loopback, an entry process in front of stand-ins, and
//! checks its memory use, its logs, its graceful shutdown and the cancellation of runs.

#![allow(clippy::unwrap_used, reason = "a helper of a test fails the test")]

use rustix::{
    fs::{CWD, FileType, Mode, mknodat},
    process::{Pid, Signal, kill_process},
};
use serde_json::{Value, json};
use std::{
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    path::PathBuf,
    process::{Child, ChildStderr, Command, Stdio},
    time::Duration,
};

/// Maximum wait for the next bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bound for the resident memory of an idle entry process.
const IDLE_MEMORY_LIMIT_KB: u64 = 64 * 1_024;
/// The prompt and the tokens must not appear in any log or state dump.
const PROMPT: &str = "orbit-prompt-marker";
const TOKEN: &str = "cubesat-token-marker";
const OPERATOR_TOKEN: &str = "ground-token-marker";

/// A running process of the binary, killed on drop.
struct Process {
    child: Child,
    address: String,
    stderr: BufReader<ChildStderr>,
    /// Everything read from `stderr` so far.
    messages: String,
}

impl Process {
    /// Starts the binary and waits until it reports its listening address.
    fn spawn(arguments: &[&str]) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_skylarkpick"))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stderr = BufReader::new(child.stderr.take().unwrap());
        let mut messages = String::new();
        let address = loop {
            let mut line = String::new();
            assert_ne!(stderr.read_line(&mut line).unwrap(), 0, "{arguments:?} ended: {messages}");
            messages.push_str(&line);
            if let Some(address) = line.trim_end().strip_prefix("listening on ") {
                break address.to_string();
            }
            let value: Value = serde_json::from_str(&line).unwrap_or_default();
            if value["payload"] == "listening" {
                break value["kv"]["address"].as_str().unwrap().to_string();
            }
        };
        Process { child, address, stderr, messages }
    }

    fn terminate(&self) {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
    }

    /// Waits for the process to exit; returns its exit code, standard output and standard error.
    fn wait(mut self) -> (Option<i32>, String, String) {
        let mut output = String::new();
        self.child.stdout.take().unwrap().read_to_string(&mut output).unwrap();
        self.stderr.read_to_string(&mut self.messages).unwrap();
        let code = self.child.wait().unwrap().code();
        (code, output, std::mem::take(&mut self.messages))
    }

    /// Returns the resident memory, from `/proc`.
    fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited, as in most tests.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The response to an HTTP request, read incrementally.
struct Response(BufReader<TcpStream>);

impl Response {
    /// Sends a request and returns its response.
    fn request(address: &str, method: &str, path: &str, token: &str, body: &str) -> Response {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {token}\r\n\
             connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(head.as_bytes()).unwrap();
        Response(BufReader::new(stream))
    }

    /// Reads until a line contains `text`; returns everything read.
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

    /// Reads the remainder of the response.
    fn read_rest(mut self) -> String {
        let mut rest = String::new();
        self.0.read_to_string(&mut rest).unwrap();
        rest
    }
}

/// Returns the hash of a token, as `skylarkpick token` prints it.
fn hash(token: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_skylarkpick"))
        .args(["token", "--environment", "TOKEN"])
        .env("TOKEN", token)
        .output()
        .unwrap();
    String::from_utf8(output.stdout).unwrap().trim_end().to_string()
}

/// An entry process, its stand-ins, and the temporary folder with their files.
struct Fleet {
    entry: Process,
    runner: Process,
    _platform: Process,
    _folder: TemporaryFolder,
}

/// A folder that is removed on drop.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // A folder that cannot be removed does not affect other tests.
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
        let fleet = Fleet { entry, runner, _platform: platform, _folder: TemporaryFolder(folder) };
        fleet.wait_ready();
        fleet
    }

    fn request(&self, method: &str, path: &str, token: &str, body: &str) -> Response {
        Response::request(&self.entry.address, method, path, token, body)
    }

    /// Starts a streamed completion of the given number of tokens.
    fn stream(&self, tokens: u64) -> Response {
        let body = json!({
            "model": "tala-llm", "prompt": PROMPT, "max_tokens": tokens, "stream": true,
        });
        self.request("POST", "/v1/completions", TOKEN, &body.to_string())
    }

    fn state(&self) -> String {
        self.request("GET", "/state", OPERATOR_TOKEN, "").read_rest()
    }

    /// Waits until the runner's load report contains `text`.
    fn wait_for_load(&self, text: &str) {
        for _ in 0..1_000 {
            if Response::request(&self.runner.address, "GET", "/v1/load", "", "")
                .read_rest()
                .contains(text)
            {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the runner did not report {text}");
    }

    fn wait_ready(&self) {
        let is_ready = || {
            let is_ready =
                self.request("GET", "/ready", "", "").read_rest().starts_with("HTTP/1.1 200");
            is_ready && self.state().contains("\"weight_version\":1")
        };
        for _ in 0..1_000 {
            if is_ready() {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the entry process did not become ready");
    }
}

#[test]
fn logs_and_dumps_contain_no_secrets_and_idle_memory_is_bounded() {
    let fleet = Fleet::spawn("secrets");
    let memory_kb = fleet.entry.resident_kb();
    assert!(memory_kb < IDLE_MEMORY_LIMIT_KB, "{memory_kb} KB while idle");
    let mut response = fleet.stream(3);
    let request_id = response.read_until("x-request-id: ");
    let request_id = request_id.rsplit("x-request-id: ").next().unwrap().trim_end().to_string();
    assert!(response.read_rest().contains("data: [DONE]"));
    let refused = fleet.request("POST", "/v1/completions", TOKEN, PROMPT).read_rest();
    assert!(refused.starts_with("HTTP/1.1 400"), "{refused}");
    let refused = fleet.request("GET", &format!("/{PROMPT}"), OPERATOR_TOKEN, "").read_rest();
    assert!(refused.starts_with("HTTP/1.1 404"), "{refused}");
    let state = fleet.state();
    assert!(state.contains("runner-1"), "{state}");

    fleet.entry.terminate();
    let (code, output, messages) = fleet.entry.wait();
    assert_eq!((code, output.as_str()), (Some(0), ""));
    for secret in [PROMPT, TOKEN, OPERATOR_TOKEN, &hash(TOKEN), &hash(OPERATOR_TOKEN)] {
        assert!(!messages.contains(secret), "{secret} in {messages}");
        assert!(!state.contains(secret), "{secret} in {state}");
    }
    let mut request_lines = Vec::new();
    for line in messages.lines() {
        let value: Value = serde_json::from_str(line).unwrap_or_else(|_| panic!("{line}"));
        if value["kv"]["request_id"] == request_id {
            assert_eq!(value["kv"]["account"], "cubesat", "{line}");
            request_lines.push(value);
        }
    }
    assert!(request_lines.iter().any(|line| line["kv"]["attempt"] == 1), "{messages}");
    assert!(request_lines.iter().any(|line| line["kv"]["status"] == 200), "{messages}");
}

#[test]
fn sigterm_lets_streams_in_flight_finish() {
    let fleet = Fleet::spawn("drain");
    let mut response = fleet.stream(100);
    let beginning = response.read_until("id: 2");
    assert!(!beginning.contains("[DONE]"));
    fleet.entry.terminate();
    let rest = response.read_rest();
    assert!(rest.contains("id: 99\n") && rest.contains("data: [DONE]"), "{rest}");
    let (code, _, messages) = fleet.entry.wait();
    assert_eq!(code, Some(0), "{messages}");
    assert!(messages.contains("draining"), "{messages}");
}

#[test]
fn a_disconnected_client_cancels_its_run_on_the_runner() {
    let fleet = Fleet::spawn("cancel");
    let mut response = fleet.stream(100_000);
    // Load reports lag: wait for one that includes the run, so that a report from before its start
    // is not taken for its end.
    fleet.wait_for_load("\"active_runs\":1");
    response.read_until("id: 2");
    drop(response);
    fleet.wait_for_load("\"active_runs\":0");
    fleet.runner.terminate();
    let (_, runs, _) = fleet.runner.wait();
    let run: Value = serde_json::from_str(runs.trim_end()).unwrap();
    assert_eq!(run["finished"], "cancelled", "{runs}");
    assert_eq!(run["account"], "cubesat", "{runs}");
}

#[test]
fn a_signal_before_the_settings_are_read_does_not_end_a_node() {
    struct Case {
        name: &'static str,
        signal: Signal,
    }
    let cases = [
        Case { name: "reload", signal: Signal::HUP },
        Case { name: "terminate", signal: Signal::TERM },
    ];
    for case in cases {
        let folder = std::env::temp_dir();
        let path = folder.join(format!("skylarkpick-{}-{}", std::process::id(), case.name));
        mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_skylarkpick"))
            .arg("node")
            .env("SKYLARKPICK_CONFIG", &path)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        // Opens once the process opens the file to read its settings; it then waits for them.
        let settings = File::options().write(true).open(&path).unwrap();
        kill_process(Pid::from_child(&child), case.signal).unwrap();
        drop(settings);
        // Empty settings are a usage error.
        assert_eq!(child.wait().unwrap().code(), Some(2), "{}", case.name);
        std::fs::remove_file(&path).unwrap();
    }
}
