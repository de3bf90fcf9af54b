//! The callers of the demo: each account returns to its long prompts and books passes.

use super::{
    fleet::{ACCOUNTS, token},
    streams::{Received, ask},
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

/// Callers of an account.
const CALLERS_PER_ACCOUNT: u64 = 3;
/// Long prompts that an account returns to.
const PREFIXES_PER_ACCOUNT: usize = 3;
/// Bytes of a long prompt.
const PREFIX_SIZE_BYTES: usize = 32_768;
/// Tokens of an answer.
const ANSWER_TOKENS: u64 = 24;
/// Time that a caller waits for a booking.
const BOOKING_TIMEOUT: Duration = Duration::from_secs(10);

/// What all callers got.
#[derive(Default)]
pub(super) struct Log {
    pub(super) answers: Vec<Received>,
    /// Answers to bookings by idempotency key: the HTTP status, if there was one.
    pub(super) bookings: BTreeMap<String, Option<u16>>,
}

/// The callers, going on until they are stopped.
pub(super) struct Callers {
    pub(super) log: Arc<Mutex<Log>>,
    tasks: JoinSet<()>,
    stop: watch::Sender<bool>,
}

#[derive(Clone)]
struct Caller {
    account: String,
    client: HttpClient,
    addresses: watch::Receiver<Vec<String>>,
    log: Arc<Mutex<Log>>,
    stopped: watch::Receiver<bool>,
}

impl Callers {
    /// Starts the callers; `addresses` are the doors that the balancer offers now.
    pub(super) fn spawn(addresses: &watch::Receiver<Vec<String>>) -> Callers {
        let log = Arc::new(Mutex::new(Log::default()));
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
                tasks.spawn(caller.go_on(index));
            }
        }
        Callers { log, tasks, stop }
    }

    /// Lets every caller finish what it waits for.
    pub(super) async fn stop(mut self) -> Log {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        std::mem::take(&mut *lock(&self.log))
    }
}

/// Takes the log; a caller that panicked leaves it usable.
pub(super) fn lock(log: &Mutex<Log>) -> MutexGuard<'_, Log> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Caller {
    async fn go_on(self, index: u64) {
        let mut random = StdRng::seed_from_u64(index);
        let mut turn = 0;
        while !*self.stopped.borrow() {
            turn += 1;
            let prefix = random.random_range(0..PREFIXES_PER_ACCOUNT);
            let prompt = self.prompt(prefix, index, turn);
            let address = self.address(&mut random);
            let received = ask(&self.client, &address, &self.account, &prompt, ANSWER_TOKENS).await;
            lock(&self.log).answers.push(received);
            if turn % 4 == 0 {
                self.book(&format!("{}-{index}-{turn}", self.account), &mut random).await;
            }
            let gap = Duration::from_millis(random.random_range(20..200));
            tokio::time::sleep(gap).await;
        }
    }

    fn address(&self, random: &mut StdRng) -> String {
        let addresses = self.addresses.borrow();
        addresses[random.random_range(0..addresses.len())].clone()
    }

    /// A long text that returns, and a short question that does not.
    fn prompt(&self, prefix: usize, index: u64, turn: u64) -> String {
        let line = format!("orbit catalogue {prefix} ");
        let text: String = line.chars().cycle().take(PREFIX_SIZE_BYTES).collect();
        format!("{text}\nquestion {turn} of caller {index} of {}", self.account)
    }

    /// Books a pass under a key of its own, twice at once through different doors.
    async fn book(&self, key: &str, random: &mut StdRng) {
        let addresses = self.addresses.borrow().clone();
        let first = random.random_range(0..addresses.len());
        let second = (first + 1) % addresses.len();
        let (first, second) = tokio::join!(
            self.book_through(&addresses[first], key),
            self.book_through(&addresses[second], key),
        );
        let status = first.filter(|status| *status == 200).or(second).or(first);
        lock(&self.log).bookings.insert(key.to_string(), status);
    }

    async fn book_through(&self, address: &str, key: &str) -> Option<u16> {
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{address}/v1/services/book-api/bookings"))
            .header("authorization", format!("Bearer {}", token(&self.account)))
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from(format!("{{\"pass\": \"{key}\"}}"))));
        let answer = self.client.send_buffered(request.ok()?, BOOKING_TIMEOUT).await;
        answer.ok().map(|answer| answer.status().as_u16())
    }
}
