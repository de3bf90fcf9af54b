//! The callers of the demo: each account repeats its long prompts and books satellite passes.

use super::{
    completions::{CompletionOutcome, send_completion},
    fleet::{ACCOUNTS, token},
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rand::{Rng, SeedableRng, rngs::StdRng};
use skylarkpick_http::HttpClient;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::watch, task::JoinSet};

/// Concurrent callers of each account.
const CALLERS_PER_ACCOUNT: u64 = 3;
/// Distinct long prompt prefixes of each account.
const PREFIXES_PER_ACCOUNT: usize = 3;
/// Size of a prompt prefix.
const PREFIX_SIZE_BYTES: usize = 32_768;
/// Tokens of each response.
const RESPONSE_TOKENS: u64 = 24;
/// Maximum time for the response to a booking.
const BOOKING_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcomes of the requests of all callers.
#[derive(Default)]
pub(super) struct CallerLog {
    pub(super) completions: Vec<CompletionOutcome>,
    /// HTTP status of each booking by idempotency key; `None` if no response was received.
    pub(super) bookings: BTreeMap<String, Option<u16>>,
}

/// Running callers, which send requests until they are stopped.
pub(super) struct Callers {
    pub(super) log: Arc<Mutex<CallerLog>>,
    tasks: JoinSet<()>,
    stop: watch::Sender<bool>,
}

#[derive(Clone)]
struct Caller {
    account: String,
    client: HttpClient,
    addresses: watch::Receiver<Vec<String>>,
    log: Arc<Mutex<CallerLog>>,
    stopped: watch::Receiver<bool>,
}

impl Callers {
    /// Starts the callers. `addresses` are the API addresses that a load balancer would currently
    /// offer.
    pub(super) fn spawn(addresses: &watch::Receiver<Vec<String>>) -> Callers {
        let log = Arc::new(Mutex::new(CallerLog::default()));
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for account in ACCOUNTS {
            for index in 0..CALLERS_PER_ACCOUNT {
                let caller = Caller {
                    account: account.to_string(),
                    client: HttpClient::open(),
                    addresses: addresses.clone(),
                    log: log.clone(),
                    stopped: stopped.clone(),
                };
                tasks.spawn(caller.run(index));
            }
        }
        Callers { log, tasks, stop }
    }

    /// Stops the callers after their requests in flight, and returns the outcomes.
    pub(super) async fn stop(mut self) -> CallerLog {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        std::mem::take(&mut *lock(&self.log))
    }
}

/// Locks the log, also after a caller has panicked while holding the lock.
pub(super) fn lock(log: &Mutex<CallerLog>) -> MutexGuard<'_, CallerLog> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Caller {
    async fn run(self, index: u64) {
        let mut random = StdRng::seed_from_u64(index);
        let mut turn = 0;
        while !*self.stopped.borrow() {
            turn += 1;
            let prefix = random.random_range(0..PREFIXES_PER_ACCOUNT);
            let prompt = self.prompt(prefix, index, turn);
            let address = self.address(&mut random);
            let outcome =
                send_completion(&self.client, &address, &self.account, &prompt, RESPONSE_TOKENS)
                    .await;
            lock(&self.log).completions.push(outcome);
            if turn % 4 == 0 {
                self.book(&format!("{}-{index}-{turn}", self.account), &mut random).await;
            }
            let pause = Duration::from_millis(random.random_range(20..200));
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns a random one of the current API addresses.
    fn address(&self, random: &mut StdRng) -> String {
        let addresses = self.addresses.borrow();
        addresses[random.random_range(0..addresses.len())].clone()
    }

    /// Returns a prompt of a long prefix that is shared between turns and a short unique question.
    fn prompt(&self, prefix: usize, index: u64, turn: u64) -> String {
        let line = format!("orbit catalogue {prefix} ");
        let text: String = line.chars().cycle().take(PREFIX_SIZE_BYTES).collect();
        format!("{text}\nquestion {turn} of caller {index} of {}", self.account)
    }

    /// Sends the same booking concurrently to two entry processes under one idempotency key.
    async fn book(&self, key: &str, random: &mut StdRng) {
        let addresses = self.addresses.borrow().clone();
        let first = random.random_range(0..addresses.len());
        let second = (first + 1) % addresses.len();
        let (first, second) = tokio::join!(
            self.send_booking(&addresses[first], key),
            self.send_booking(&addresses[second], key),
        );
        let status = first.filter(|status| *status == 200).or(second).or(first);
        lock(&self.log).bookings.insert(key.to_string(), status);
    }

    async fn send_booking(&self, address: &str, key: &str) -> Option<u16> {
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{address}/v1/services/book-api/bookings"))
            .header("authorization", format!("Bearer {}", token(&self.account)))
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from(format!("{{\"pass\": \"{key}\"}}"))));
        let response = self.client.send_buffered(request.ok()?, BOOKING_TIMEOUT).await;
        response.ok().map(|response| response.status().as_u16())
    }
}
