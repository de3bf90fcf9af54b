//! Stand-in for a runner. It registers itself, answers the control calls of the pages, and leaves the
//! requests of clients to its case.

use crate::{
    http::{Request, read_request, response},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Interval at which a runner writes its entry (`heartbeatIntervalMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that new weights take.
const LOAD_TIME: Duration = Duration::from_millis(1_200);
/// Model of the engines.
pub const MODEL: &str = "m0";

/// What a runner is.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub software: String,
    pub slots: u64,
    /// Whether it serves the model.
    pub is_engine: bool,
}

/// What changes while a runner runs.
pub struct State {
    pub weights: u64,
    pub is_loading: bool,
    pub orders: u64,
    is_leaving: bool,
    /// Whether it still writes its entry.
    writes_entry: bool,
    heartbeats: u64,
}

/// A request of a client at a runner.
pub struct Call<'a> {
    pub runner: &'a Runner,
    pub request: &'a Request,
    pub stream: &'a mut TcpStream,
    /// Number of the connection at this runner.
    pub connection: usize,
}

/// Answers a request of a client. An error closes the connection.
pub type Behaviour = Arc<dyn Fn(Call<'_>) -> io::Result<()> + Send + Sync>;

pub struct Runner {
    pub identity: Identity,
    pub address: SocketAddr,
    pub record: Record,
    born: u64,
    state: Mutex<State>,
    has_ended: AtomicBool,
    connections: AtomicUsize,
    open: Mutex<Vec<TcpStream>>,
    store: Arc<Store>,
    behaviour: Behaviour,
}

impl Runner {
    /// Starts a runner at an address, whose port may be 0 for any, and registers it.
    pub fn start(
        identity: Identity,
        address: SocketAddr,
        store: &Arc<Store>,
        record: &Record,
        behaviour: Behaviour,
    ) -> Result<Arc<Runner>, String> {
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let runner = Arc::new(Runner {
            identity,
            address,
            record: record.clone(),
            born: since_epoch.as_millis() as u64,
            state: Mutex::new(State {
                weights: 1,
                is_loading: false,
                orders: 0,
                is_leaving: false,
                writes_entry: true,
                heartbeats: 0,
            }),
            has_ended: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            open: Mutex::default(),
            store: store.clone(),
            behaviour,
        });
        let _ = listener.set_nonblocking(true);
        let accepting = runner.clone();
        thread::spawn(move || accepting.accept(&listener));
        runner.write_entry();
        let writing = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if writing.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                writing.write_entry();
            }
        });
        Ok(runner)
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock of a runner")
    }

    /// Writes the entry of the runner.
    fn write_entry(&self) {
        let entry = {
            let mut state = self.lock();
            if !state.writes_entry {
                return;
            }
            state.heartbeats += 1;
            let model = Json::object(vec![
                ("name", Json::text(MODEL)),
                ("version", Json::number(state.weights)),
                ("adapters", Json::List(Vec::new())),
            ]);
            let models = if self.identity.is_engine { vec![model] } else { Vec::new() };
            Json::object(vec![
                ("service", Json::text(&self.identity.service)),
                ("address", Json::text(&self.address.to_string())),
                ("zone", Json::text(&self.identity.zone)),
                ("version", Json::text(&self.identity.software)),
                ("slots", Json::number(self.identity.slots)),
                ("state", Json::text(if state.is_leaving { "draining" } else { "ready" })),
                ("coldRemainingMs", Json::number(0)),
                ("stage", Json::text("combined")),
                ("models", Json::List(models)),
                ("sequence", Json::number(state.heartbeats)),
                ("born", Json::number(self.born)),
            ])
        };
        self.store.put("servers", &self.identity.id, entry);
    }

    /// Ends the runner as a crash does: it closes its connections, refuses new ones and writes nothing.
    pub fn crash(&self) {
        self.lock().writes_entry = false;
        self.has_ended.store(true, Ordering::SeqCst);
        // Its listeners close first: whoever sees its connections end can't connect again.
        thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().expect("the lock of a runner").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Leaves as planned: it reports that it drains, says so in all its answers, serves for a time, and
    /// exits.
    pub fn leave(&self, serving_time: Duration) {
        self.lock().is_leaving = true;
        self.write_entry();
        thread::sleep(serving_time);
        self.crash();
        self.store.remove("servers", &self.identity.id);
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Returns the headers of all answers of the runner.
    pub fn headers(&self, request: &Request) -> String {
        let state = self.lock();
        let mut headers = format!("x-skylarkpick-instance-id: {}\r\n", self.identity.id);
        if let Some(attempt) = request.header("x-skylarkpick-attempt-id") {
            headers += &format!("x-skylarkpick-attempt-id: {attempt}\r\n");
        }
        if self.identity.is_engine {
            headers += &format!("x-skylarkpick-weight-versions: {}\r\n", state.weights);
        }
        if state.is_leaving {
            headers += "server-leaving: 1\r\n";
        }
        headers
    }

    fn accept(self: &Arc<Runner>, listener: &TcpListener) {
        while !self.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            if let Ok(clone) = stream.try_clone() {
                self.open.lock().expect("the lock of a runner").push(clone);
            }
            let runner = self.clone();
            let number = self.connections.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || runner.serve(stream, number));
        }
    }

    fn serve(self: &Arc<Runner>, stream: TcpStream, connection: usize) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let stream = &mut writer;
            let done = match request.header("x-skylarkpick-attempt-id") {
                Some(_) => self.answer_client(&request, stream, connection),
                None => stream.write_all(self.answer_control(&request).as_bytes()),
            };
            if done.is_err() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer_client(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        connection: usize,
    ) -> io::Result<()> {
        let expected = request.header("x-skylarkpick-expected-instance");
        if expected.is_some_and(|expected| expected != self.identity.id) {
            let headers = self.headers(request) + "x-skylarkpick-not-executed: 1\r\n";
            return stream.write_all(response("421 Misdirected", &headers, "").as_bytes());
        }
        (self.behaviour)(Call { runner: self, request, stream, connection })
    }

    fn answer_control(self: &Arc<Runner>, request: &Request) -> String {
        let headers = self.headers(request);
        let json = format!("{headers}content-type: application/json\r\n");
        match request.path() {
            "/report" => response("200 OK", &json, &self.report()),
            "/order" => response(self.take_order(request), &headers, ""),
            "/kv-events" => {
                let wait = request.header("wait-ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                thread::sleep(Duration::from_millis(wait));
                let body = r#"{"epoch":1,"next":1,"lost":false,"events":[]}"#;
                response("200 OK", &json, body)
            }
            "/kv-list" => response("200 OK", &json, r#"{"epoch":1,"next":1,"held":[]}"#),
            "/health" => response("200 OK", &headers, ""),
            _ => response("400 Bad Request", &headers, ""),
        }
    }

    fn report(&self) -> String {
        let state = self.lock();
        format!(
            "{{\"stage\":\"combined\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{},\
             \"adapters\":[]}}],\"busy\":{},\"sequence\":{},\"queuedRequests\":0,\
             \"activeRequests\":0,\"kvCacheUsed\":0,\"kvCacheTotal\":41616,\"handles\":0,\
             \"born\":{},\"clock_ms\":0}}",
            state.weights, state.is_loading, state.orders, self.born
        )
    }

    /// Takes an order for other weights, which are loaded after some time.
    fn take_order(self: &Arc<Runner>, request: &Request) -> &'static str {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let Some(version) = body.get("version").and_then(Json::as_number) else {
            return "400 Bad Request";
        };
        let expected = body.get("expect").and_then(Json::as_number);
        let mut state = self.lock();
        if state.weights == version {
            return "200 OK";
        }
        if state.is_loading || expected.is_some_and(|it| it != state.orders) {
            return "409 Conflict";
        }
        (state.is_loading, state.orders) = (true, state.orders + 1);
        self.record
            .line(&format!("runner {} takes an order for version {version}", self.identity.id));
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            let mut state = runner.lock();
            (state.weights, state.is_loading) = (version, false);
        });
        "202 Accepted"
    }
}
