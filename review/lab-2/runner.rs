//! Stand-in for runners: processes that may crash, and come back as another start.

use crate::wire::{Message, Reader};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    pub path: String,
    pub was_run: bool,
}

/// What one start of a runner is.
#[derive(Clone, Debug)]
pub struct Start {
    pub id: String,
    pub born: u64,
    pub software: String,
    pub is_leaving: bool,
    /// Value of `Keep-Alive: timeout`.
    pub keep_alive: String,
    /// Whether requests of others fill it.
    pub is_full: bool,
    /// Requests that run at the same time, and that wait.
    pub slots: usize,
    pub queue: usize,
    /// Time that a request takes.
    pub work: Duration,
}

/// How a runner handles a request that it runs. Returns false if the connection is to be closed.
pub type Behaviour = Arc<dyn Fn(&Runner, &Start, &Message, &mut TcpStream) -> bool + Send + Sync>;

struct State {
    start: Start,
    is_up: bool,
    generation: u64,
    busy: usize,
    connections: Vec<TcpStream>,
    arrivals: Vec<Arrival>,
}

/// A runner at one address.
#[derive(Clone)]
pub struct Runner {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    behaviour: Behaviour,
}

impl Runner {
    pub fn start(start: Start, behaviour: Behaviour) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            start,
            is_up: true,
            generation: 0,
            busy: 0,
            connections: Vec::new(),
            arrivals: Vec::new(),
        };
        let runner = Runner { address, state: Arc::new(Mutex::new(state)), behaviour };
        runner.listen(listener, 0);
        runner
    }

    fn listen(&self, listener: TcpListener, generation: u64) {
        listener.set_nonblocking(true).expect("a listener");
        let runner = self.clone();
        thread::spawn(move || {
            while runner.is_of(generation) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            runner.state.lock().unwrap().connections.push(copy);
                        }
                        let runner = runner.clone();
                        thread::spawn(move || runner.serve(stream, generation));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn is_of(&self, generation: u64) -> bool {
        let state = self.state.lock().unwrap();
        state.is_up && state.generation == generation
    }

    /// Crashes: its port refuses connections, and the open ones end.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts again at the same address.
    pub fn start_again(&self, start: Start) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        let generation = {
            let mut state = self.state.lock().unwrap();
            state.start = start;
            state.is_up = true;
            state.busy = 0;
            state.generation += 1;
            state.generation
        };
        self.listen(listener, generation);
    }

    /// Changes what the present start says or does.
    pub fn change(&self, change: impl FnOnce(&mut Start)) {
        change(&mut self.state.lock().unwrap().start);
    }

    pub fn current(&self) -> Start {
        self.state.lock().unwrap().start.clone()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// Returns the headers that all answers bear.
    pub fn headers(&self, start: &Start, attempt: &str) -> String {
        let leaving = if start.is_leaving { "Server-Leaving: 1\r\n" } else { "" };
        format!(
            "X-Skylarkpick-Attempt-Id: {attempt}\r\nKeep-Alive: timeout={}\r\n{leaving}",
            start.keep_alive
        )
    }

    fn serve(&self, stream: TcpStream, generation: u64) {
        let mut reader = Reader::open(stream);
        while let Ok(Some(request)) = reader.request() {
            if !self.is_of(generation) {
                return;
            }
            let start = self.current();
            let attempt = request.header("x-skylarkpick-attempt-id").unwrap_or("").to_string();
            if request.path() == "/report" {
                let body = format!(
                    "{{\"stage\":\"combined\",\"models\":[],\"busy\":false,\"sequence\":0,\"born\":{},\
                     \"queuedRequests\":0,\"activeRequests\":0,\"kvCacheUsed\":0,\"kvCacheTotal\":1000,\
                     \"handles\":0}}",
                    start.born
                );
                let leaving = if start.is_leaving { "Server-Leaving: 1\r\n" } else { "" };
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{leaving}Content-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if reader.stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let expected = request.header("x-skylarkpick-expected-instance");
            if expected.is_some_and(|it| it != start.id) {
                self.note(&request, &attempt, false);
                let text = format!(
                    "HTTP/1.1 421 Misdirected\r\nX-Skylarkpick-Instance-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                    start.id,
                    self.headers(&start, &attempt)
                );
                if reader.stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let has_room = {
                let mut state = self.state.lock().unwrap();
                let has_room = !start.is_full && state.busy < start.slots + start.queue;
                if has_room {
                    state.busy += 1;
                }
                has_room
            };
            self.note(&request, &attempt, has_room);
            if !has_room {
                let text = format!(
                    "HTTP/1.1 503 Full\r\nX-Skylarkpick-Not-Executed: 1\r\n{}Content-Length: 0\r\n\r\n",
                    self.headers(&start, &attempt)
                );
                if reader.stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let goes_on = (self.behaviour)(self, &start, &request, &mut reader.stream);
            let mut state = self.state.lock().unwrap();
            if state.generation == generation {
                state.busy = state.busy.saturating_sub(1);
            }
            if !goes_on {
                return;
            }
        }
    }

    fn note(&self, request: &Message, attempt: &str, was_run: bool) {
        self.state.lock().unwrap().arrivals.push(Arrival {
            at: Instant::now(),
            attempt: attempt.to_string(),
            path: request.path().to_string(),
            was_run,
        });
    }
}

/// Answers with a short body that names the runner, after its work.
pub fn plain() -> Behaviour {
    Arc::new(|runner, start, request, stream| {
        thread::sleep(start.work);
        let attempt = request.header("x-skylarkpick-attempt-id").unwrap_or("");
        let start = Start { is_leaving: runner.current().is_leaving, ..start.clone() };
        let body = format!("run by {}", start.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Skylarkpick-Response-Signature: s.{}\r\n{}Content-Length: {}\r\n\r\n{body}",
            start.id,
            runner.headers(&start, attempt),
            body.len()
        );
        stream.write_all(text.as_bytes()).is_ok()
    })
}

/// Answers with a stream of `count` events, `gap` apart, each of which names the software version. Goes
/// on after `Last-Event-Id`.
pub fn events(count: u64, gap: Duration) -> Behaviour {
    Arc::new(move |runner, start, request, stream| {
        let attempt = request.header("x-skylarkpick-attempt-id").unwrap_or("");
        let after: u64 =
            request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             X-Skylarkpick-Response-Signature: s.{}\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            start.id,
            runner.headers(start, attempt)
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for id in after + 1..=count {
            thread::sleep(gap);
            let event =
                format!("id: {id}\ndata: {} {} {}\n\n", start.software, start.id, start.born);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    })
}

/// A link to a runner that can be cut: its connections are reset, and new ones refused.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    target: SocketAddr,
    state: Arc<Mutex<(bool, u64, Vec<TcpStream>)>>,
}

impl Link {
    pub fn open(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let link = Link { address, target, state: Arc::new(Mutex::new((true, 0, Vec::new()))) };
        link.listen(listener, 0);
        link
    }

    fn listen(&self, listener: TcpListener, generation: u64) {
        listener.set_nonblocking(true).expect("a listener");
        let link = self.clone();
        thread::spawn(move || {
            loop {
                {
                    let state = link.state.lock().unwrap();
                    if !state.0 || state.1 != generation {
                        return;
                    }
                }
                match listener.accept() {
                    Ok((near, _)) => {
                        let _ = near.set_nonblocking(false);
                        let Ok(far) = TcpStream::connect(link.target) else { continue };
                        let _ = (near.set_nodelay(true), far.set_nodelay(true));
                        let copies = [near.try_clone(), far.try_clone()];
                        let [Ok(near_copy), Ok(far_copy)] = copies else { continue };
                        if let (Ok(one), Ok(other)) = (near.try_clone(), far.try_clone()) {
                            link.state.lock().unwrap().2.extend([one, other]);
                        }
                        thread::spawn(move || pipe(near, far));
                        thread::spawn(move || pipe(far_copy, near_copy));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    pub fn cut(&self) {
        let mut state = self.state.lock().unwrap();
        state.0 = false;
        for connection in state.2.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        let generation = {
            let mut state = self.state.lock().unwrap();
            state.0 = true;
            state.1 += 1;
            state.1
        };
        self.listen(listener, generation);
    }
}

fn pipe(mut from: TcpStream, mut to: TcpStream) {
    use std::io::Read;
    let mut chunk = [0_u8; 16_384];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
