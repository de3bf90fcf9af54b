//! Simulated clients, which send requests over persistent connections.

use crate::{
    checks::ROUTE_TIMEOUT,
    history::{Call, CallKind},
    plan::CrashingPart,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use skylarkpick_platform_standin::{ClientRequest, TestClient};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Concurrent clients of each process.
const CLIENTS_PER_PROCESS: usize = 3;
/// Upper limit of the random pause between two calls of a client.
const PAUSE_LIMIT: Duration = Duration::from_millis(150);
/// Time for which a client waits after the timeout of its route, so that late responses are
/// recorded.
const LATE_RESPONSE_WAIT: Duration = Duration::from_secs(3);
/// Maximum wait of a client that disconnects early.
const EARLY_DISCONNECT_WAIT: Duration = Duration::from_millis(60);
/// Share of calls whose client disconnects early.
const EARLY_DISCONNECT_PERCENT: u32 = 4;
/// Share of streams whose client closes its connection and comes back elsewhere.
const RECONNECT_PERCENT: u32 = 25;
/// Upper limit of the random time after which such a client closes its connection.
const RECONNECT_WAIT_LIMIT: Duration = Duration::from_millis(1_200);
/// Number of times that a client takes up a stream again.
const TAKE_UP_LIMIT: usize = 2;
/// Upper limit of the random pause before a client takes up a stream again.
const TAKE_UP_PAUSE_LIMIT: Duration = Duration::from_millis(200);
/// Time that a client must have left to take up a stream again: the users' clients allow a new
/// connection one second.
const TAKE_UP_FLOOR: Duration = Duration::from_secs(1);
/// Share of streams that are long.
const LONG_STREAM_PERCENT: u32 = 40;
/// Share of calls with the API key that the operator changed last.
const CHANGED_KEY_PERCENT: u32 = 15;
/// Share of calls with an API key that is never configured.
const UNKNOWN_KEY_PERCENT: u32 = 3;

/// Share of calls without a prompt.
const NO_PROMPT_PERCENT: u32 = 20;
/// Share of calls with a part that ends targets, while there is one.
const CRASHING_PERCENT: u32 = 10;
/// First part of all prompts.
const SYSTEM_PART: &str = "system";
/// Parts that sound prompts share.
const DOCUMENTS: [&str; 4] = ["document-1", "document-2", "document-3", "document-4"];

/// API key that is always configured.
pub(crate) const MAIN_KEY: &str = "key-main";
const UNKNOWN_KEY: &str = "key-unheld";

/// State that all clients share.
pub(crate) struct SharedClientState {
    calls: Mutex<Vec<Call>>,
    /// API key that the operator added or revoked last.
    changed_key: Mutex<Option<String>>,
    /// Part of a prompt that ends targets, while one does.
    crashing_part: Mutex<Option<CrashingPart>>,
    next_call: AtomicU64,
    is_stopped: AtomicBool,
}

/// Running clients. Dropping them aborts their calls.
pub(crate) struct Clients {
    pub(crate) shared: Arc<SharedClientState>,
    clients: JoinSet<()>,
}

impl Clients {
    /// Starts the clients of the processes at these addresses.
    pub(crate) fn spawn(seed: u64, addresses: &[SocketAddr]) -> Clients {
        let (calls, changed_key) = (Mutex::default(), Mutex::default());
        let crashing_part = Mutex::default();
        let (next_call, is_stopped) = (AtomicU64::new(0), AtomicBool::new(false));
        let shared = Arc::new(SharedClientState {
            calls,
            changed_key,
            crashing_part,
            next_call,
            is_stopped,
        });
        let mut clients = JoinSet::new();
        for process in 0..addresses.len() {
            for client in 0..CLIENTS_PER_PROCESS {
                let number = (process * CLIENTS_PER_PROCESS + client) as u64;
                let random = StdRng::seed_from_u64(seed ^ (number << 32));
                clients.spawn(run_client(shared.clone(), addresses.to_vec(), process, random));
            }
        }
        Clients { shared, clients }
    }

    /// Stops all clients once their calls in flight have ended, and returns all calls.
    pub(crate) async fn stop(mut self) -> Vec<Call> {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        while self.clients.join_next().await.is_some() {}
        self.shared.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl SharedClientState {
    /// Makes clients use an API key that the operator added or revoked.
    pub(crate) fn set_changed_key(&self, key: &str) {
        *self.changed_key.lock().unwrap_or_else(PoisonError::into_inner) = Some(key.to_string());
    }

    /// Makes clients use a part of a prompt that ends targets, or stop using any.
    pub(crate) fn set_crashing_part(&self, part: Option<CrashingPart>) {
        *self.crashing_part.lock().unwrap_or_else(PoisonError::into_inner) = part;
    }

    /// Draws the parts of a prompt, the request's own one last; most requests have a prompt.
    fn draw_parts(&self, number: u64, random: &mut StdRng) -> Vec<String> {
        let crashing = *self.crashing_part.lock().unwrap_or_else(PoisonError::into_inner);
        let document = DOCUMENTS[random.random_range(0..DOCUMENTS.len())];
        let draw = random.random_range(0..100);
        let shared = match crashing {
            _ if draw < NO_PROMPT_PERCENT => return Vec::new(),
            Some(part) if draw < NO_PROMPT_PERCENT + CRASHING_PERCENT => part,
            _ => document,
        };
        vec![SYSTEM_PART.to_string(), shared.to_string(), format!("own-{number}")]
    }

    pub(crate) fn next_number(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a request of the main key, without a prompt and equal to no other.
    pub(crate) fn next_request(&self, kind: CallKind) -> ClientRequest {
        let number = self.next_number();
        plain_request(format!("call-{number}"), format!("/{}/{number}", kind.route()))
    }

    fn request(&self, kind: CallKind, random: &mut StdRng) -> ClientRequest {
        let number = self.next_number();
        let changed = self.changed_key.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let key = match random.random_range(0..100) {
            draw if draw < UNKNOWN_KEY_PERCENT => UNKNOWN_KEY.to_string(),
            draw if draw < UNKNOWN_KEY_PERCENT + CHANGED_KEY_PERCENT => {
                changed.unwrap_or_else(|| MAIN_KEY.to_string())
            }
            _ => MAIN_KEY.to_string(),
        };
        let is_long = kind == CallKind::Events && random.random_range(0..100) < LONG_STREAM_PERCENT;
        let length = if is_long { "long/" } else { "" };
        ClientRequest {
            attempt_id: format!("call-{number}"),
            method: "POST".to_string(),
            path: format!("/{}/{length}{number}", kind.route()),
            key,
            deadline: ROUTE_TIMEOUT,
            resumes: None,
            last_event_id: None,
            parts: self.draw_parts(number, random),
            body: "body".to_string(),
        }
    }

    /// Returns the request with which a client takes up the stream of `first` after an event, or
    /// `None` if too little time is left.
    fn take_up(&self, first: &Call, last_event_id: u64) -> Option<ClientRequest> {
        let deadline = first.request.deadline.checked_sub(first.sent_at.elapsed())?;
        (deadline >= TAKE_UP_FLOOR).then(|| ClientRequest {
            attempt_id: format!("call-{}", self.next_number()),
            deadline,
            resumes: Some(first.request.attempt_id.clone()),
            last_event_id: Some(last_event_id),
            ..first.request.clone()
        })
    }

    /// Sends a request on a connection of its own and records the call.
    pub(crate) async fn send_once(
        &self,
        address: SocketAddr,
        process: usize,
        kind: CallKind,
        request: ClientRequest,
    ) {
        let wait = ClientWait::until_late(&request);
        let mut client = TestClient::open(address);
        self.record(send(&mut client, process, kind, request, wait).await);
    }

    fn record(&self, call: Call) {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
    }
}

/// Returns a request of the main key, without a prompt.
pub(crate) fn plain_request(attempt_id: String, path: String) -> ClientRequest {
    ClientRequest {
        attempt_id,
        method: "POST".to_string(),
        path,
        key: MAIN_KEY.to_string(),
        deadline: ROUTE_TIMEOUT,
        resumes: None,
        last_event_id: None,
        parts: Vec::new(),
        body: "body".to_string(),
    }
}

async fn run_client(
    shared: Arc<SharedClientState>,
    addresses: Vec<SocketAddr>,
    process: usize,
    mut random: StdRng,
) {
    let mut client = TestClient::open(addresses[process]);
    while !shared.is_stopped.load(Ordering::SeqCst) {
        sleep(PAUSE_LIMIT.mul_f64(random.random())).await;
        let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
        let request = shared.request(kind, &mut random);
        let wait = ClientWait::draw(&request, kind, &mut random);
        let call = send(&mut client, process, kind, request, wait).await;
        shared.record(call.clone());
        if wait.comes_back && kind == CallKind::Events {
            take_up_stream(&shared, &addresses, &call, &mut random).await;
        }
    }
}

/// Takes up the stream of a call at other processes until it is complete, if it broke after an event.
async fn take_up_stream(
    shared: &SharedClientState,
    addresses: &[SocketAddr],
    first: &Call,
    random: &mut StdRng,
) {
    let Some(mut last_event_id) = first.last_event_id() else { return };
    let (mut process, mut is_complete) = (first.process, first.is_stream_whole());
    for _ in 0..TAKE_UP_LIMIT {
        sleep(TAKE_UP_PAUSE_LIMIT.mul_f64(random.random())).await;
        let request = shared.take_up(first, last_event_id).filter(|_| !is_complete);
        let Some(request) = request else { return };
        if addresses.len() > 1 {
            process = (process + random.random_range(1..addresses.len())) % addresses.len();
        }
        let wait = ClientWait::draw(&request, first.kind, random);
        let mut client = TestClient::open(addresses[process]);
        let call = send(&mut client, process, first.kind, request, wait).await;
        last_event_id = call.last_event_id().unwrap_or(last_event_id);
        is_complete = call.is_stream_whole();
        shared.record(call);
        if !wait.comes_back {
            return;
        }
    }
}

/// How long a client waits for a response.
#[derive(Clone, Copy)]
struct ClientWait {
    max_wait: Duration,
    disconnects_early: bool,
    /// Whether the client takes up the stream again if it broke.
    comes_back: bool,
}

impl ClientWait {
    fn draw(request: &ClientRequest, kind: CallKind, random: &mut StdRng) -> ClientWait {
        let draw = random.random_range(0..100);
        if draw < EARLY_DISCONNECT_PERCENT {
            let max_wait = EARLY_DISCONNECT_WAIT;
            return ClientWait { max_wait, disconnects_early: true, comes_back: false };
        }
        if kind == CallKind::Events && draw < EARLY_DISCONNECT_PERCENT + RECONNECT_PERCENT {
            let max_wait = RECONNECT_WAIT_LIMIT.mul_f64(random.random());
            return ClientWait { max_wait, disconnects_early: true, comes_back: true };
        }
        ClientWait::until_late(request)
    }

    /// Waits until a late response would have arrived.
    fn until_late(request: &ClientRequest) -> ClientWait {
        let max_wait = request.deadline + LATE_RESPONSE_WAIT;
        ClientWait { max_wait, disconnects_early: false, comes_back: true }
    }
}

async fn send(
    client: &mut TestClient,
    process: usize,
    kind: CallKind,
    request: ClientRequest,
    wait: ClientWait,
) -> Call {
    let sent_at = Instant::now();
    let response = client.send(&request, wait.max_wait).await;
    let ended_at = Instant::now();
    let disconnects_early = wait.disconnects_early;
    Call { process, kind, request, sent_at, ended_at, response, disconnects_early }
}
