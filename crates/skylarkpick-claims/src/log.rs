//! The claim log of a process: one task per shard, and the requests to them.

use crate::{
    claim::{ClaimId, ClaimOutcome, ClaimRequest, KeyDigest, Ran, StoredOutcome, WaitOutcome},
    digest::{digest_key, shard_of},
    driver::{Command, Decision, Driver},
    events::{ClaimReply, WaitReply},
    settings::ClaimSettings,
    shard_client::ShardClient,
};
use skylarkpick_interface::{Clock, ObjectStore};
use skylarkpick_protocol::stored::{Claimed, Outcome};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::Instant,
};

/// Delay before a retry that callers are asked for while the platform is unavailable.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The running claim log of a process. Dropping it stops its tasks.
///
/// ```
/// use skylarkpick_claims::{
///     ClaimLog, ClaimOutcome, ClaimRequest, ClaimSettings, Ran, StoredOutcome, digest_request,
/// };
/// use skylarkpick_interface::TokioClock;
/// use skylarkpick_standin::{MemoryPlatform, PlatformRates};
/// use std::{sync::Arc, time::{Duration, SystemTime}};
/// # tokio::runtime::Builder::new_current_thread()
/// #     .enable_time().start_paused(true).build().unwrap().block_on(async {
/// let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
/// let clock = Arc::new(TokioClock::start(SystemTime::now()));
/// let log = ClaimLog::open(platform, clock, ClaimSettings::new("entry-1"), 1);
/// let request = ClaimRequest {
///     account: "cubesat".to_string(),
///     key: "pass-17".to_string(),
///     request_id: "r1".to_string(),
///     request_digest: digest_request(&[b"POST", b"/bookings", b"{}"]),
///     time_allowed: Duration::from_secs(30),
/// };
/// let ClaimOutcome::Granted(ticket) = log.claim(request.clone()).await else { panic!() };
/// let sent = ticket.begin().expect("the ticket has not expired");
/// // The request is sent here, and its response received.
/// let outcome = StoredOutcome { status: 200, ..StoredOutcome::without_response(Ran::Ran) };
/// sent.finish(outcome.clone()).await;
/// let ClaimOutcome::Finished(repeated) = log.claim(request).await else { panic!() };
/// assert_eq!(repeated, outcome);
/// # });
/// ```
pub struct ClaimLog {
    shards: Vec<Shard>,
    settings: ClaimSettings,
    claim_id_key: blake3::Hash,
    next_id: AtomicU64,
    _tasks: JoinSet<()>,
}

struct Shard {
    commands: mpsc::UnboundedSender<Command>,
    client: ShardClient,
}

impl ClaimLog {
    /// Starts a task for each shard. `seed` must differ between starts of a process.
    pub fn open(
        platform: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        settings: ClaimSettings,
        seed: u64,
    ) -> ClaimLog {
        let mut tasks = JoinSet::new();
        let shards = (0..settings.shards.max(1)).map(|number| {
            let client = ShardClient::open(platform.clone(), number, settings.call_timeout);
            let (commands, receiver) = mpsc::unbounded_channel();
            let driver =
                Driver::open(&settings, client.clone(), clock.clone(), commands.downgrade());
            tasks.spawn(driver.run(receiver));
            Shard { commands, client }
        });
        let shards = shards.collect();
        let claim_id_key = claim_id_key(&settings.entry_id, &*clock, seed);
        ClaimLog { shards, settings, claim_id_key, next_id: AtomicU64::new(0), _tasks: tasks }
    }

    /// Claims a key. Dropping the future abandons the claim.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimOutcome {
        let key = digest_key(&request.account, &request.key);
        let claim_id = self.new_claim_id();
        let claimed = Claimed {
            request_digest: request.request_digest.to_vec(),
            request_id: request.request_id,
            entry_id: self.settings.entry_id.clone(),
            time_allowed_ms: u64::try_from(request.time_allowed.as_millis()).unwrap_or(u64::MAX),
        };
        let (reply, decision) = oneshot::channel();
        let shard = self.shard(&key);
        // If the shard has stopped, the reply channel closes, which is handled below.
        let _ = shard.commands.send(Command::Claim { claim_id, key, claimed, reply });
        match decision.await {
            Ok(Decision::Granted(ticket)) => ClaimOutcome::Granted(ticket),
            Ok(Decision::NotGranted(reply)) => refused_outcome(shard, reply).await,
            Err(_) => unavailable("the claim log has stopped".to_string()),
        }
    }

    /// Returns the longest time that a claimed request may take. It is well below the retention, so
    /// that the log never forgets a key whose request is still in progress.
    pub fn max_request_duration(&self) -> Duration {
        self.settings.retention / 2
    }

    /// Waits at most `time_allowed` for the outcome of a key's claim.
    pub async fn wait(&self, account: &str, key: &str, time_allowed: Duration) -> WaitOutcome {
        let deadline = Instant::now() + time_allowed;
        let key = digest_key(account, key);
        let shard = self.shard(&key);
        let waiter = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (reply, receiver) = oneshot::channel();
        // If the shard has stopped, the reply channel closes, which is handled below.
        let _ = shard.commands.send(Command::Wait { waiter, key, reply });
        let received = tokio::time::timeout_at(deadline, receiver).await;
        let reply = match received {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => {
                let _ = shard.commands.send(Command::StopWaiting { waiter });
                return WaitOutcome::OutcomeUnknown;
            }
        };
        match reply {
            WaitReply::Outcome(outcome) => finished(&outcome),
            WaitReply::Ended { ran: Ran::NotRun, .. } => WaitOutcome::NotRun,
            WaitReply::Ended { number, claim_id, .. } => {
                match shard.client.outcome(number, &claim_id).await {
                    Ok(Some(outcome)) => finished(&outcome),
                    Ok(None) | Err(_) => WaitOutcome::OutcomeUnknown,
                }
            }
            WaitReply::Forgotten => WaitOutcome::OutcomeUnknown,
        }
    }

    fn shard(&self, key: &KeyDigest) -> &Shard {
        let count = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        &self.shards[shard_of(key, count) as usize]
    }

    fn new_claim_id(&self) -> ClaimId {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let hash = blake3::keyed_hash(self.claim_id_key.as_bytes(), &number.to_be_bytes());
        let mut claim_id = ClaimId::default();
        claim_id.copy_from_slice(&hash.as_bytes()[..16]);
        claim_id
    }
}

async fn refused_outcome(shard: &Shard, reply: ClaimReply) -> ClaimOutcome {
    match reply {
        // The driver replaces a grant by a ticket.
        ClaimReply::Granted => unreachable!("a grant without a ticket"),
        ClaimReply::Running(request_id) => ClaimOutcome::Running(request_id),
        ClaimReply::OutcomeUnknown(request_id) => ClaimOutcome::OutcomeUnknown(request_id),
        ClaimReply::DifferentRequest(request_id) => ClaimOutcome::DifferentRequest(request_id),
        ClaimReply::NotConfirmed(reason) => unavailable(reason),
        ClaimReply::Ended { number, claim_id } => {
            match shard.client.outcome(number, &claim_id).await {
                Ok(Some(outcome)) => ClaimOutcome::Finished(StoredOutcome::from_stored(&outcome)),
                Ok(None) => {
                    ClaimOutcome::ResponseUnavailable("it is past its retention".to_string())
                }
                Err(reason) => ClaimOutcome::ResponseUnavailable(reason),
            }
        }
    }
}

fn unavailable(reason: String) -> ClaimOutcome {
    ClaimOutcome::PlatformUnavailable { reason, retry_after: UNAVAILABLE_RETRY_DELAY }
}

fn finished(outcome: &Outcome) -> WaitOutcome {
    let stored = StoredOutcome::from_stored(outcome);
    if stored.ran == Ran::Ran { WaitOutcome::Finished(stored) } else { WaitOutcome::OutcomeUnknown }
}

/// Returns the key that claim ids are derived from. It differs between starts of a process, even
/// with the same name and seed.
fn claim_id_key(entry_id: &str, clock: &dyn Clock, seed: u64) -> blake3::Hash {
    let wall = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_be_bytes());
    hasher.update(&wall.as_nanos().to_be_bytes());
    hasher.update(&clock.since_boot().as_nanos().to_be_bytes());
    hasher.update(entry_id.as_bytes());
    hasher.finalize()
}
