//! Stand-in for the platform's metadata store. Each entry process has a view of its own, through which
//! its connections can be made silent.

use crate::{
    http::{Request, read_request, response},
    json::Json,
};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Objects on a page of a list.
const PAGE_SIZE: usize = 500;

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    /// Changes: revision, kind, object, and whether it was deleted.
    history: Vec<(u64, String, Json, bool)>,
}

pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

/// The store as one process reaches it.
pub struct View {
    store: Arc<Store>,
    pub address: SocketAddr,
    connections: Mutex<Connections>,
    watch_began: Condvar,
}

#[derive(Default)]
struct Connections {
    opened: usize,
    /// Connections that have become silent.
    silent: Vec<usize>,
    /// Connection and time of the last watch of each kind that began.
    watches: BTreeMap<String, (usize, Instant)>,
}

/// A result with the status of its response.
type Reply = (&'static str, Json);

impl Store {
    pub fn open() -> Arc<Store> {
        let content = Content { revision: 7, ..Content::default() };
        Arc::new(Store { content: Mutex::new(content), changed: Condvar::new() })
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().expect("the lock of the store")
    }

    /// Writes an object as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, specification: Json) {
        let mut content = self.lock();
        let status = content.object(kind, name).and_then(|it| it.get("status").cloned());
        content.write(kind, name, specification, status.unwrap_or(Json::Null));
        self.changed.notify_all();
    }

    /// Removes an object as a runner that has left does.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().remove(kind, name);
        self.changed.notify_all();
    }

    /// Opens a view on a free port.
    pub fn view(self: &Arc<Store>) -> Result<Arc<View>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let view = Arc::new(View {
            store: self.clone(),
            address,
            connections: Mutex::default(),
            watch_began: Condvar::new(),
        });
        let serving = view.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let view = serving.clone();
                thread::spawn(move || view.serve(stream));
            }
        });
        Ok(view)
    }

    fn answer(&self, request: &Request) -> Option<Reply> {
        let path = request.path().strip_prefix("/objects/")?.to_string();
        let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let field = |name: &str| body.get(name).cloned().unwrap_or(Json::Null);
        let expected = metadata.get("revision").and_then(Json::as_number);
        let mut content = self.lock();
        let reply = match request.method.as_str() {
            "GET" if name.is_empty() && request.query("watch").is_some() => {
                return self.watch(content, kind, request);
            }
            "GET" if name.is_empty() => ("200 OK", content.page(kind, request.query("after"))),
            "GET" => match content.object(kind, name) {
                Some(object) => ("200 OK", object.clone()),
                None => ("404 Not Found", Json::Null),
            },
            "POST" => {
                let name = metadata.get("name")?.as_text()?;
                match content.object(kind, name) {
                    Some(object) => ("409 Conflict", object.clone()),
                    None => {
                        ("200 OK", content.write(kind, name, field("specification"), Json::Null))
                    }
                }
            }
            "PUT" => {
                let (name, is_status) = match name.strip_suffix("/status") {
                    Some(name) => (name, true),
                    None => (name, false),
                };
                let Some(known) = content.object(kind, name).cloned() else {
                    return Some(("404 Not Found", Json::Null));
                };
                if expected.is_some_and(|it| it != revision_of(&known)) {
                    return Some(("409 Conflict", known));
                }
                let kept = |name: &str| known.get(name).cloned().unwrap_or(Json::Null);
                let (specification, status) = match is_status {
                    true => (kept("specification"), field("status")),
                    false => (field("specification"), kept("status")),
                };
                if specification == kept("specification") && status == kept("status") {
                    return Some(("200 OK", known));
                }
                ("200 OK", content.write(kind, name, specification, status))
            }
            "DELETE" => {
                let expected = request.query("revision").and_then(|text| text.parse().ok());
                match content.object(kind, name).cloned() {
                    None => ("404 Not Found", Json::Null),
                    Some(known) if expected.is_some_and(|it: u64| it != revision_of(&known)) => {
                        ("409 Conflict", known)
                    }
                    Some(known) => {
                        content.remove(kind, name);
                        ("200 OK", known)
                    }
                }
            }
            _ => ("400 Bad Request", Json::Null),
        };
        drop(content);
        self.changed.notify_all();
        Some(reply)
    }

    fn watch(
        &self,
        mut content: MutexGuard<'_, Content>,
        kind: &str,
        request: &Request,
    ) -> Option<Reply> {
        let since: u64 = request.query("watch")?.parse().ok()?;
        let wait_ms: u64 = request.query("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        if since > content.revision {
            return Some(("410 Gone", Json::Null));
        }
        loop {
            let changes = content.changes(kind, since);
            let rest = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || rest.is_zero() {
                let at = Json::number(content.revision);
                return Some((
                    "200 OK",
                    Json::object(vec![("events", Json::List(changes)), ("at", at)]),
                ));
            }
            content = self.changed.wait_timeout(content, rest).expect("the lock of the store").0;
        }
    }
}

fn revision_of(object: &Json) -> u64 {
    let revision = object.get("metadata").and_then(|it| it.get("revision"));
    revision.and_then(Json::as_number).unwrap_or(0)
}

impl Content {
    fn object(&self, kind: &str, name: &str) -> Option<&Json> {
        self.objects.get(&(kind.to_string(), name.to_string()))
    }

    fn write(&mut self, kind: &str, name: &str, specification: Json, status: Json) -> Json {
        self.revision += 1;
        let metadata = Json::object(vec![
            ("name", Json::text(name)),
            ("revision", Json::number(self.revision)),
            ("created", Json::number(1)),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        let object = Json::object(vec![
            ("metadata", metadata),
            ("specification", specification),
            ("status", status),
        ]);
        self.objects.insert((kind.to_string(), name.to_string()), object.clone());
        self.history.push((self.revision, kind.to_string(), object.clone(), false));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_string(), name.to_string())) {
            self.revision += 1;
            self.history.push((self.revision, kind.to_string(), object, true));
        }
    }

    fn page(&self, kind: &str, after: Option<&str>) -> Json {
        let of_kind = self.objects.iter().filter(|((it, _), _)| it == kind);
        let mut rest = of_kind.filter(|((_, name), _)| after.is_none_or(|after| &**name > after));
        let items: Vec<Json> = rest.by_ref().take(PAGE_SIZE).map(|it| it.1.clone()).collect();
        let has_more = rest.next().is_some();
        Json::object(vec![
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(has_more)),
            ("at", Json::number(self.revision)),
        ])
    }

    fn changes(&self, kind: &str, since: u64) -> Vec<Json> {
        let later = self.history.iter().filter(|it| it.0 > since && it.1 == kind);
        let event = |(_, _, object, deleted): &(u64, String, Json, bool)| {
            Json::object(vec![("object", object.clone()), ("deleted", Json::Bool(*deleted))])
        };
        later.map(event).collect()
    }
}

impl View {
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().expect("the lock of a view")
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = {
            let mut connections = self.lock();
            connections.opened += 1;
            connections.opened
        };
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.is_silent(number) {
                continue;
            }
            if request.query("watch").is_some() {
                let kind = request.path().rsplit('/').next().unwrap_or_default().to_string();
                self.lock().watches.insert(kind, (number, Instant::now()));
                self.watch_began.notify_all();
            }
            let Some((status, body)) = self.store.answer(&request) else { return };
            if self.is_silent(number) {
                continue;
            }
            let text = body.write();
            let headers = "content-type: application/json\r\nstore-era: 1\r\n";
            if writer.write_all(response(status, headers, &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn is_silent(&self, connection: usize) -> bool {
        self.lock().silent.contains(&connection)
    }

    /// Waits until a watch of a kind begins, and returns its connection.
    pub fn next_watch(&self, kind: &str) -> usize {
        let asked_at = Instant::now();
        let mut connections = self.lock();
        loop {
            if let Some((number, began)) = connections.watches.get(kind)
                && *began > asked_at
            {
                return *number;
            }
            connections = self.watch_began.wait(connections).expect("the lock of a view");
        }
    }

    /// Makes one open connection silent for good. New ones work.
    pub fn silence(&self, connection: usize) {
        self.lock().silent.push(connection);
    }
}
