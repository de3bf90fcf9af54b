//! Tickets for granted claims; each allows one request to be sent.

use crate::{
    claim::{ClaimId, KeyDigest, Ran, StoredOutcome},
    driver::Command,
};
use skylarkpick_interface::Clock;
use skylarkpick_protocol::stored::Outcome;
use std::{fmt, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// Permission to send a request once. Dropping the ticket abandons the claim: the log records that
/// the request did not run, and a repeat may claim the key again.
pub struct Ticket {
    grant: Option<Grant>,
}

/// The ticket of a request that is being sent. Dropping it records an unknown outcome.
pub struct SentTicket {
    grant: Option<Grant>,
}

pub(crate) struct Grant {
    pub(crate) claim_id: ClaimId,
    pub(crate) key: KeyDigest,
    pub(crate) body_size_bytes: usize,
    pub(crate) clock: Arc<dyn Clock>,
    /// Time since boot after which nothing may be sent under the claim.
    pub(crate) usable_until: Duration,
    pub(crate) shard: mpsc::UnboundedSender<Command>,
}

impl Grant {
    fn send(&self, command: Command) {
        // An error means that the shard has stopped; the outcome then stays unknown.
        let _ = self.shard.send(command);
    }

    fn finish(self, outcome: StoredOutcome) -> oneshot::Receiver<()> {
        let (appended, receiver) = oneshot::channel();
        let outcome: Outcome = outcome.into_stored(self.body_size_bytes);
        let (claim_id, key) = (self.claim_id, self.key);
        self.send(Command::Finish { claim_id, key, outcome, appended });
        receiver
    }
}

impl Ticket {
    pub(crate) fn new(grant: Grant) -> Ticket {
        Ticket { grant: Some(grant) }
    }

    /// Marks the request as about to be sent; from now on it may have run. Returns `None` if the
    /// process was paused for so long that the log may forget the claim. Nothing may be sent then.
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
            grant.send(Command::Abandon { claim_id, key });
        }
    }
}

impl SentTicket {
    /// Records the outcome of the request. The returned future completes once the outcome is in the
    /// log; dropping it doesn't withdraw the outcome.
    pub fn finish(mut self, outcome: StoredOutcome) -> impl Future<Output = ()> + Send + use<> {
        let appended = self.grant.take().map(|grant| grant.finish(outcome));
        async move {
            if let Some(appended) = appended {
                // An error means that the shard has stopped and appends nothing more.
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
