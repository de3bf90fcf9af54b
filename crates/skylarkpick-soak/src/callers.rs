//! Clients that keep their connections until the process is gone.

use crate::{
    history::{Call, CallKind},
    judge::ROUTE_TIMEOUT,
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

/// Clients of one process.
const CLIENTS_PER_PROCESS: usize = 3;
/// Longest pause between two calls of a client.
const PAUSE_LIMIT: Duration = Duration::from_millis(150);
/// How long a client waits past its route's time, so that what comes late is seen.
const LATE_SPAN: Duration = Duration::from_secs(3);
/// Patience of a client that leaves.
const LEAVING_PATIENCE: Duration = Duration::from_millis(60);
/// Of a hundred calls, those whose client leaves.
const LEAVING_PERCENT: u32 = 4;
/// Of a hundred calls, those with the key that was added last.
const CHANGED_KEY_PERCENT: u32 = 15;
/// Of a hundred calls, those with a key that was never held.
const UNHELD_KEY_PERCENT: u32 = 3;

/// Key that is held all the time.
pub(crate) const MAIN_KEY: &str = "key-main";
const UNHELD_KEY: &str = "key-unheld";

/// What all clients share.
pub(crate) struct CallerDesk {
    calls: Mutex<Vec<Call>>,
    changed_key: Mutex<Option<String>>,
    next: AtomicU64,
    is_over: AtomicBool,
}

/// Running clients. Dropping them ends their calls.
pub(crate) struct Callers {
    pub(crate) desk: Arc<CallerDesk>,
    clients: JoinSet<()>,
}

impl Callers {
    /// Starts the clients of processes with these addresses.
    pub(crate) fn spawn(seed: u64, addresses: &[SocketAddr]) -> Callers {
        let (calls, changed_key) = (Mutex::default(), Mutex::default());
        let (next, is_over) = (AtomicU64::new(0), AtomicBool::new(false));
        let desk = Arc::new(CallerDesk { calls, changed_key, next, is_over });
        let mut clients = JoinSet::new();
        for (process, address) in addresses.iter().enumerate() {
            for client in 0..CLIENTS_PER_PROCESS {
                let number = (process * CLIENTS_PER_PROCESS + client) as u64;
                let random = StdRng::seed_from_u64(seed ^ (number << 32));
                clients.spawn(call_on(desk.clone(), process, *address, random));
            }
        }
        Callers { desk, clients }
    }

    /// Ends all clients after the calls under way, and gives all calls.
    pub(crate) async fn stop(mut self) -> Vec<Call> {
        self.desk.is_over.store(true, Ordering::SeqCst);
        while self.clients.join_next().await.is_some() {}
        self.desk.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl CallerDesk {
    /// Makes clients use a key that the operator added or revoked.
    pub(crate) fn set_changed_key(&self, key: &str) {
        *self.changed_key.lock().unwrap_or_else(PoisonError::into_inner) = Some(key.to_string());
    }

    fn request(&self, kind: CallKind, random: &mut StdRng) -> ClientRequest {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let changed = self.changed_key.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let key = match random.random_range(0..100) {
            draw if draw < UNHELD_KEY_PERCENT => UNHELD_KEY.to_string(),
            draw if draw < UNHELD_KEY_PERCENT + CHANGED_KEY_PERCENT => {
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

async fn call_on(desk: Arc<CallerDesk>, process: usize, address: SocketAddr, mut random: StdRng) {
    let mut caller = TestClient::open(address);
    while !desk.is_over.load(Ordering::SeqCst) {
        sleep(PAUSE_LIMIT.mul_f64(random.random())).await;
        let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
        let request = desk.request(kind, &mut random);
        let has_left = random.random_range(0..100) < LEAVING_PERCENT;
        let patience = if has_left { LEAVING_PATIENCE } else { ROUTE_TIMEOUT + LATE_SPAN };
        let sent = Instant::now();
        let answer = caller.send(&request, patience).await;
        let ended = Instant::now();
        let call = Call { process, kind, request, sent, ended, answer, has_left };
        desk.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
    }
}
