//! What the cases have in common: configurations, requests and the start of a fleet.

use crate::{
    http::{Answer, exchange},
    json::Json,
    node::{Nodes, ZONES},
    record::Record,
    runner::{Behaviour, Identity, MODEL, Runner},
    store::{Store, View},
};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// How a case ended: whether the rule held.
pub type Verdict = Result<bool, String>;

/// Time after which a case that hasn't ended counts as one that could not run.
const CASE_LIMIT: Duration = Duration::from_secs(80);
/// Time in which the processes learn of each other after they are ready.
pub const SETTLE_TIME: Duration = Duration::from_secs(4);
pub const DEADLINE: Duration = Duration::from_secs(5);
/// Route whose requests have a longer deadline, as the longest of the streams in the site files.
pub const LONG_STREAMS: &str = "long";
pub const LONG_DEADLINE: Duration = Duration::from_secs(15);
pub const HOST: &str = "h.example";

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub attempts: u64,
    pub is_resumable: bool,
}

impl Route {
    /// Returns its longest time: long streams as in one of the site files.
    fn timeout(&self) -> Duration {
        if self.name == LONG_STREAMS { LONG_DEADLINE } else { DEADLINE }
    }

    fn document(&self) -> Json {
        Json::object(vec![
            ("name", Json::text(self.name)),
            ("host", Json::text(HOST)),
            ("pathPrefix", Json::text(&format!("/{}/", self.name))),
            ("kind", Json::text(self.kind)),
            ("timeoutMs", Json::number(self.timeout().as_millis() as u64)),
            ("targetLatencyMs", Json::number(800)),
            ("priority", Json::number(1)),
            ("service", Json::text(self.service)),
            ("attempts", Json::number(self.attempts)),
            ("anonymousAccess", Json::Bool(false)),
            ("sessionAffinity", Json::Bool(false)),
            ("resumable", Json::Bool(self.is_resumable)),
            ("targetGapMs", Json::number(500)),
        ])
    }
}

/// A tenant of the configuration.
#[derive(Clone)]
pub struct Tenant {
    pub name: &'static str,
    pub keys: &'static [&'static str],
}

/// Returns a plain service.
pub fn plain_service(name: &str) -> Json {
    Json::object(vec![
        ("name", Json::text(name)),
        ("healthPath", Json::text("/health")),
        ("connectionLimit", Json::number(100)),
        ("protocol", Json::text("h1")),
        ("transportSecurity", Json::Bool(false)),
    ])
}

/// Returns a service of model runners.
pub fn engine_service(name: &str) -> Json {
    let mut service = plain_service(name);
    service.set("connectionLimit", Json::number(360));
    let engine = format!(
        r#"{{"slots":64,"kvCacheTokens":41616,"kvTokenBytes":18432,"linkBandwidthMbps":550000.0,
        "moves":true,"backups":true,"managed":true,"stride":5,"maxConcurrent":12,"pinMs":4000.0,
        "holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}"}}]}}"#
    );
    service.set("inferenceEngine", Json::of(&engine));
    service
}

pub fn configuration(
    version: u64,
    routes: &[Route],
    services: &[Json],
    tenants: &[Tenant],
) -> Json {
    let tenants = tenants.iter().map(|tenant| {
        let keys = tenant.keys.iter().map(|key| Json::text(key)).collect();
        Json::object(vec![
            ("name", Json::text(tenant.name)),
            ("apiKeys", Json::List(keys)),
            ("priority", Json::number(1)),
            ("isolated", Json::Bool(false)),
        ])
    });
    let limits =
        r#"{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;
    Json::object(vec![
        ("version", Json::number(version)),
        ("routes", Json::List(routes.iter().map(Route::document).collect())),
        ("services", Json::List(services.to_vec())),
        ("limits", Json::of(limits)),
        ("tenants", Json::List(tenants.collect())),
    ])
}

/// Store, record and processes of a case.
pub struct Fleet {
    pub store: Arc<Store>,
    pub record: Record,
    pub views: Vec<Arc<View>>,
    pub nodes: Nodes,
}

/// Store and record of a case before its processes start.
pub struct Platform {
    pub store: Arc<Store>,
    pub record: Record,
}

impl Platform {
    pub fn open(record: &Record, configuration: Json) -> Platform {
        let store = Store::open();
        store.put("config", "main", configuration);
        let versions = Json::of(&format!(r#"{{"model":"{MODEL}","version":1}}"#));
        store.put("versions", MODEL, versions);
        Platform { store, record: record.clone() }
    }

    /// Starts a runner on a free port.
    pub fn runner(
        &self,
        id: &str,
        service: &str,
        software: &str,
        is_engine: bool,
        behaviour: &Behaviour,
    ) -> Result<Arc<Runner>, String> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        self.runner_at(any, id, service, software, is_engine, behaviour)
    }

    pub fn runner_at(
        &self,
        address: SocketAddr,
        id: &str,
        service: &str,
        software: &str,
        is_engine: bool,
        behaviour: &Behaviour,
    ) -> Result<Arc<Runner>, String> {
        let identity = Identity {
            id: id.to_string(),
            service: service.to_string(),
            zone: "mnl-a".to_string(),
            software: software.to_string(),
            slots: if is_engine { 64 } else { 6 },
            is_engine,
        };
        Runner::start(identity, address, &self.store, &self.record, behaviour.clone())
    }

    /// Starts the processes.
    pub fn start(self) -> Result<Fleet, String> {
        let Platform { store, record } = self;
        let mut views = Vec::new();
        for _ in ZONES {
            views.push(store.view()?);
        }
        let platforms: Vec<SocketAddr> = views.iter().map(|view| view.address).collect();
        let nodes = Nodes::start(&platforms)?;
        nodes.end_after(CASE_LIMIT);
        record.line(&format!("{} processes are ready", platforms.len()));
        thread::sleep(SETTLE_TIME);
        Ok(Fleet { store, record, views, nodes })
    }
}

/// A request of a client.
pub struct ClientRequest<'a> {
    pub attempt: String,
    pub method: &'a str,
    pub path: String,
    pub key: &'a str,
    /// Parts of its prompt, if it has one.
    pub parts: &'a [&'a str],
    /// Attempt and event after which it resumes a stream.
    pub resumes: Option<(String, u64)>,
}

impl ClientRequest<'_> {
    fn deadline(&self) -> Duration {
        let is_long = self.path.starts_with(&format!("/{LONG_STREAMS}/"));
        if is_long { LONG_DEADLINE } else { DEADLINE }
    }

    fn text(&self) -> String {
        let ClientRequest { attempt, method, path, key, .. } = self;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Skylarkpick-Attempt-Id: {attempt}\r\n\
             X-Skylarkpick-Deadline-Milliseconds: {}\r\nX-Skylarkpick-Credential: {key}\r\n",
            self.deadline().as_millis()
        );
        if !self.parts.is_empty() {
            let parts: Vec<String> = self.parts.iter().map(|part| format!("{part}:400")).collect();
            text += &format!(
                "X-Skylarkpick-Model: {MODEL}\r\nX-Skylarkpick-Token-Usage: {},20\r\n\
                 X-Skylarkpick-Prompt-Prefix: {}\r\n",
                400 * parts.len(),
                parts.join(",")
            );
        }
        if let Some((attempt, event)) = &self.resumes {
            text += &format!("Resumes: {attempt}\r\nLast-Event-Id: {event}\r\n");
        }
        text + "Connection: close\r\nContent-Length: 0\r\n\r\n"
    }
}

impl Fleet {
    /// Sends a request to a process and records it with its answer.
    pub fn send(&self, process: usize, request: &ClientRequest<'_>) -> Answer {
        send(&self.record, self.nodes.fronts[process], process, request)
    }
}

/// Sends a request to a process and records it with its answer.
pub fn send(
    record: &Record,
    front: SocketAddr,
    process: usize,
    request: &ClientRequest<'_>,
) -> Answer {
    record.line(&format!(
        "client sends {} to process {process}: {} {} with key {}{}",
        request.attempt,
        request.method,
        request.path,
        request.key,
        request
            .resumes
            .as_ref()
            .map_or(String::new(), |(attempt, event)| format!(", resumes {attempt} after {event}")),
    ));
    let answer = exchange(front, &request.text(), request.deadline() + Duration::from_secs(1));
    record.line(&format!("client gets for {}: {}", request.attempt, answer.name()));
    answer
}

/// Waits until a condition holds.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    condition: impl Fn() -> bool,
) -> Result<(), String> {
    let until = Instant::now() + timeout;
    while !condition() {
        if Instant::now() > until {
            return Err(format!("timeout: {what}"));
        }
        thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}
