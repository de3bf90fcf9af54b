//! Stand-in for the platform's metadata store: objects by kind and name, lists, watches, conditional
//! writes. What a writer sent is kept byte for byte.

use crate::wire::{Message, Reader, field, text_field};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    revision: u64,
    specification: Vec<u8>,
    status: Vec<u8>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name, object, deleted.
    history: Vec<(u64, String, String, Object, bool)>,
    is_down: bool,
    /// Connections that are reset when the store goes down.
    connections: Vec<TcpStream>,
}

/// A reader's link to the store. While it is cut, what was sent on it is on its way; it arrives when the
/// system that sent it sends it once more, some time after the link is whole again.
#[derive(Clone, Default)]
pub struct StoreLink(Arc<Mutex<LinkState>>);

#[derive(Default)]
struct LinkState {
    is_cut: bool,
    /// Number of cuts so far, and of those whose bytes have arrived since.
    cuts: u64,
    arrived: u64,
    /// Time of the last request for a watch of the configuration.
    watched_at: Option<Instant>,
}

impl StoreLink {
    pub fn cut(&self) {
        let mut state = self.0.lock().unwrap();
        state.is_cut = true;
        state.cuts += 1;
    }

    /// Makes the link whole: what is sent from now on passes.
    pub fn heal(&self) {
        self.0.lock().unwrap().is_cut = false;
    }

    /// Lets what was sent during the cut arrive.
    pub fn arrive(&self) {
        let mut state = self.0.lock().unwrap();
        state.arrived = state.cuts;
    }

    pub fn watched_at(&self) -> Option<Instant> {
        self.0.lock().unwrap().watched_at
    }

    /// Waits for the bytes of this moment to pass.
    fn pass(&self) {
        let cut = {
            let state = self.0.lock().unwrap();
            if !state.is_cut {
                return;
            }
            state.cuts
        };
        while self.0.lock().unwrap().arrived < cut {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// The store. Each reader has an address of its own, and sees the addresses of runners in its own way.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

/// Text in a specification, and what a reader gets in its place.
pub type Replacements = Vec<(String, String)>;

impl Store {
    /// Listens for one reader.
    pub fn listen(&self, replacements: Replacements, link: &StoreLink) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (store, link) = (self.clone(), link.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, replacements) = (store.clone(), replacements.clone());
                let link = link.clone();
                thread::spawn(move || store.serve(stream, &replacements, &link));
            }
        });
        address
    }

    /// Writes an object, as the operator or a runner does. Its return is the store's acknowledgement.
    pub fn put(&self, kind: &str, name: &str, specification: &[u8]) -> u64 {
        let mut state = self.0.0.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        let status = state.objects.get(&key).map_or(b"null".to_vec(), |it| it.status.clone());
        let revision = state.set(kind, name, specification.to_vec(), status);
        self.0.1.notify_all();
        revision
    }

    /// Goes down: connections are reset, and so is each new one. Or comes back.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.0.0.lock().unwrap();
        state.is_down = is_down;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        self.0.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, replacements: &Replacements, link: &StoreLink) {
        {
            let mut state = self.0.0.lock().unwrap();
            if state.is_down {
                return;
            }
            let Ok(copy) = stream.try_clone() else { return };
            state.connections.push(copy);
        }
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::open(stream);
        while let Ok(Some(request)) = reader.request() {
            link.pass();
            if request.path().starts_with("/objects/config?watch=") {
                link.0.lock().unwrap().watched_at = Some(Instant::now());
            }
            let Some((status, body)) = self.respond(&request) else { return };
            link.pass();
            let body = replace(body, replacements);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&body);
            if reader.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Returns the response; `None` if the store went down meanwhile.
    fn respond(&self, request: &Message) -> Option<(u16, Vec<u8>)> {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let path = path.strip_prefix("/objects/").unwrap_or("");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|it| it.split_once('=')).collect();
        let mut state = self.0.0.lock().unwrap();
        if state.is_down {
            return None;
        }
        let metadata = field(&request.body, "metadata").unwrap_or_default();
        let expected: Option<u64> =
            text_field(&metadata, "revision").and_then(|it| it.parse().ok());
        let response = match request.method() {
            "GET" if name.is_empty() && query.contains_key("watch") => {
                let since: u64 = query["watch"].parse().unwrap_or(0);
                let wait: u64 = query.get("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    if state.is_down {
                        return None;
                    }
                    let mut events: Vec<Vec<u8>> = Vec::new();
                    for (revision, of, name, object, deleted) in &state.history {
                        if *revision > since && of == kind {
                            let mut event = b"{\"object\":".to_vec();
                            event.extend(render(name, object));
                            event.extend(format!(",\"deleted\":{deleted}}}").into_bytes());
                            events.push(event);
                        }
                    }
                    let rest = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || rest.is_zero() {
                        let mut body = b"{\"events\":[".to_vec();
                        body.extend(events.join(&b","[..]));
                        body.extend(format!("],\"at\":{}}}", state.revision).into_bytes());
                        break (200, body);
                    }
                    state = self.0.1.wait_timeout(state, rest).unwrap().0;
                }
            }
            "GET" if name.is_empty() => {
                let items: Vec<Vec<u8>> = state
                    .objects
                    .iter()
                    .filter(|((of, _), _)| of == kind)
                    .map(|((_, name), object)| render(name, object))
                    .collect();
                let mut body = b"{\"items\":[".to_vec();
                body.extend(items.join(&b","[..]));
                body.extend(
                    format!("],\"hasMore\":false,\"at\":{}}}", state.revision).into_bytes(),
                );
                (200, body)
            }
            "GET" => state.found(kind, name),
            "POST" => {
                let name = text_field(&metadata, "name").unwrap_or_default();
                if state.objects.contains_key(&(kind.to_string(), name.clone())) {
                    (409, state.found(kind, &name).1)
                } else {
                    let specification = field(&request.body, "specification").unwrap_or_default();
                    state.set(kind, &name, specification, b"null".to_vec());
                    state.found(kind, &name)
                }
            }
            "PUT" => {
                let (name, is_status) =
                    name.strip_suffix("/status").map_or((name, false), |name| (name, true));
                let key = (kind.to_string(), name.to_string());
                match state.objects.get(&key).cloned() {
                    None => (404, b"{}".to_vec()),
                    Some(found) if expected.is_some_and(|it| it != found.revision) => {
                        (409, state.found(kind, name).1)
                    }
                    Some(found) => {
                        let part = if is_status { "status" } else { "specification" };
                        let content = field(&request.body, part).unwrap_or_default();
                        let (specification, status) = if is_status {
                            (found.specification.clone(), content)
                        } else {
                            (content, found.status.clone())
                        };
                        if specification != found.specification || status != found.status {
                            state.set(kind, name, specification, status);
                        }
                        state.found(kind, name)
                    }
                }
            }
            "DELETE" => {
                let expected: Option<u64> = query.get("revision").and_then(|it| it.parse().ok());
                let key = (kind.to_string(), name.to_string());
                match state.objects.get(&key).cloned() {
                    None => (404, b"{}".to_vec()),
                    Some(found) if expected.is_some_and(|it| it != found.revision) => {
                        (409, state.found(kind, name).1)
                    }
                    Some(_) => {
                        let body = state.found(kind, name).1;
                        state.delete(kind, name);
                        (200, body)
                    }
                }
            }
            _ => (405, b"{}".to_vec()),
        };
        self.0.1.notify_all();
        Some(response)
    }
}

impl State {
    fn set(&mut self, kind: &str, name: &str, specification: Vec<u8>, status: Vec<u8>) -> u64 {
        self.revision += 1;
        let object = Object { revision: self.revision, specification, status };
        self.objects.insert((kind.to_string(), name.to_string()), object.clone());
        self.history.push((self.revision, kind.to_string(), name.to_string(), object, false));
        self.revision
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(object) = self.objects.remove(&(kind.to_string(), name.to_string())) else {
            return;
        };
        self.revision += 1;
        self.history.push((self.revision, kind.to_string(), name.to_string(), object, true));
    }

    fn found(&self, kind: &str, name: &str) -> (u16, Vec<u8>) {
        match self.objects.get(&(kind.to_string(), name.to_string())) {
            Some(object) => (200, render(name, object)),
            None => (404, b"{}".to_vec()),
        }
    }
}

fn render(name: &str, object: &Object) -> Vec<u8> {
    let mut bytes = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"specification\":",
        object.revision
    )
    .into_bytes();
    bytes.extend_from_slice(&object.specification);
    bytes.extend_from_slice(b",\"status\":");
    bytes.extend_from_slice(&object.status);
    bytes.push(b'}');
    bytes
}

fn replace(mut body: Vec<u8>, replacements: &Replacements) -> Vec<u8> {
    for (from, to) in replacements {
        let from = from.as_bytes();
        let mut at = 0;
        while let Some(found) = body[at..].windows(from.len()).position(|it| it == from) {
            let begin = at + found;
            body.splice(begin..begin + from.len(), to.bytes());
            at = begin + to.len();
        }
    }
    body
}
