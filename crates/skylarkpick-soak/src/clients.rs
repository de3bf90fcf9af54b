//! Simulated clients, which send requests over persistent connections.

use crate::{
    checks::ROUTE_TIMEOUT,
    history::{Call, CallKind},
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
/// Share of calls with the API key that the operator changed last.
const CHANGED_KEY_PERCENT: u32 = 15;
/// Share of calls with an API key that is never configured.
const UNKNOWN_KEY_PERCENT: u32 = 3;

/// API key that is always configured.
pub(crate) const MAIN_KEY: &str = "key-main";
const UNKNOWN_KEY: &str = "key-unheld";

/// State that all clients share.
pub(crate) struct SharedClientState {
    calls: Mutex<Vec<Call>>,
    /// API key that the operator added or revoked last.
    changed_key: Mutex<Option<String>>,
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
        let (next_call, is_stopped) = (AtomicU64::new(0), AtomicBool::new(false));
        let shared = Arc::new(SharedClientState { calls, changed_key, next_call, is_stopped });
        let mut clients = JoinSet::new();
        for (process, address) in addresses.iter().enumerate() {
            for client in 0..CLIENTS_PER_PROCESS {
                let number = (process * CLIENTS_PER_PROCESS + client) as u64;
                let random = StdRng::seed_from_u64(seed ^ (number << 32));
                clients.spawn(run_client(shared.clone(), process, *address, random));
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

    fn request(&self, kind: CallKind, random: &mut StdRng) -> ClientRequest {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let changed = self.changed_key.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let key = match random.random_range(0..100) {
            draw if draw < UNKNOWN_KEY_PERCENT => UNKNOWN_KEY.to_string(),
            draw if draw < UNKNOWN_KEY_PERCENT + CHANGED_KEY_PERCENT => {
                changed.unwrap_or_else(|| MAIN_KEY.to_string())
            }
            _ => MAIN_KEY.to_string(),
        };
        ClientRequest {
            attempt_id: format!("call-{number}"),
            path: format!("/{}/{number}", kind.route()),
            key,
            deadline: ROUTE_TIMEOUT,
        }
    }
}

async fn run_client(
    shared: Arc<SharedClientState>,
    process: usize,
    address: SocketAddr,
    mut random: StdRng,
) {
    let mut client = TestClient::open(address);
    while !shared.is_stopped.load(Ordering::SeqCst) {
        sleep(PAUSE_LIMIT.mul_f64(random.random())).await;
        let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
        let request = shared.request(kind, &mut random);
        let disconnects_early = random.random_range(0..100) < EARLY_DISCONNECT_PERCENT;
        let max_wait = if disconnects_early {
            EARLY_DISCONNECT_WAIT
        } else {
            ROUTE_TIMEOUT + LATE_RESPONSE_WAIT
        };
        let sent_at = Instant::now();
        let response = client.send(&request, max_wait).await;
        let ended_at = Instant::now();
        let call = Call { process, kind, request, sent_at, ended_at, response, disconnects_early };
        shared.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
    }
}
