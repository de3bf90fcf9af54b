//! Granted claims, which cannot be used twice.

use crate::{
    claim::{ClaimId, KeyDigest, Ran, StoredOutcome},
    driver::Command,
};
use skylarkpick_interface::Clock;
use skylarkpick_protocol::stored::Outcome;
use std::{fmt, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// Permission to send a request once. Dropped unsent, it is given up: the log learns that the
/// request was not run, and a repeat may claim the key again.
pub struct Ticket {
    grant: Option<Grant>,
}

/// The request of a claim, sent. Dropped without an outcome, its outcome is unknown.
pub struct SentTicket {
    grant: Option<Grant>,
}

pub(crate) struct Grant {
    pub(crate) claim_id: ClaimId,
    pub(crate) key: KeyDigest,
    pub(crate) body_size_bytes: usize,
    pub(crate) clock: Arc<dyn Clock>,
    /// Time since boot after which nothing may be sent under the claim any more.
    pub(crate) usable_until: Duration,
    pub(crate) shard: mpsc::UnboundedSender<Command>,
}

impl Grant {
    fn tell(&self, command: Command) {
        // A shard that has stopped appends nothing more: the outcome stays unknown.
        let _ = self.shard.send(command);
    }

    fn finish(self, outcome: StoredOutcome) -> oneshot::Receiver<()> {
        let (appended, receiver) = oneshot::channel();
        let outcome: Outcome = outcome.into_stored(self.body_size_bytes);
        let (claim_id, key) = (self.claim_id, self.key);
        self.tell(Command::Finish { claim_id, key, outcome, appended });
        receiver
    }
}

impl Ticket {
    pub(crate) fn new(grant: Grant) -> Ticket {
        Ticket { grant: Some(grant) }
    }

    /// Says that the request is about to be sent; from now on it may have run. Gives `None` where
    /// the process was paused for so long that the log may forget the claim; nothing may be sent.
    pub fn begin(mut self) -> Option<SentTicket> {
        let is_usable = |grant: &Grant| grant.clock.since_boot() <= grant.usable_until;
        if !self.grant.as_ref().is_some_and(is_usable) {
            return None;
        }
        Some(SentTicket { grant: self.grant.take() })
    }
}

impl fmt::Debug for Ticket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Ticket").finish_non_exhaustive()
    }
}

impl fmt::Debug for SentTicket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("SentTicket").finish_non_exhaustive()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let (claim_id, key) = (grant.claim_id, grant.key);
            grant.tell(Command::GiveUp { claim_id, key });
        }
    }
}

impl SentTicket {
    /// Hands in what came of the request. The future ends once the log holds it; it may be dropped.
    pub fn finish(mut self, outcome: StoredOutcome) -> impl Future<Output = ()> + Send + use<> {
        let appended = self.grant.take().map(|grant| grant.finish(outcome));
        async move {
            if let Some(appended) = appended {
                // A shard that has stopped appends nothing more.
                let _ = appended.await;
            }
        }
    }
}

impl Drop for SentTicket {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            drop(grant.finish(StoredOutcome::without_response(Ran::Unknown)));
        }
    }
}
