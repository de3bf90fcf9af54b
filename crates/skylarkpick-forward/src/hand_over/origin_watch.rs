//! Watches the process that handed a request over, for as long as the request is served.

use super::{peer_silence::PeerSilence, terms::HandOverTerms};
use skylarkpick_interface::{ClientAttemptId, PeerLink};
use std::{
    future::pending,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// Time between two looks at a peer.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// Watch of the process that hands a request over. Once it is gone, its client may take the request's
/// stream up elsewhere, and nobody wants the run here.
pub(crate) struct OriginWatch {
    link: Option<Arc<dyn PeerLink>>,
    watched: OnceLock<(ClientAttemptId, Duration)>,
    begun: Notify,
}

/// A process that fell silent.
pub(crate) struct SilentOrigin {
    pub(crate) attempt_id: ClientAttemptId,
    pub(crate) address: String,
    pub(crate) silence: Duration,
}

impl OriginWatch {
    /// Opens a watch of the process at the other end of a link, which begins with [`begin`](Self::begin).
    pub(crate) fn open(link: Option<Arc<dyn PeerLink>>) -> Arc<OriginWatch> {
        Arc::new(OriginWatch { link, watched: OnceLock::new(), begun: Notify::new() })
    }

    /// Begins to watch, if the terms promise heartbeats.
    pub(crate) fn begin(&self, attempt_id: &ClientAttemptId, terms: &HandOverTerms) {
        if let Some(limit) = terms.silence_limit() {
            // Each stream carries one request.
            let _ = self.watched.set((attempt_id.clone(), limit));
            self.begun.notify_one();
        }
    }

    /// Returns once the process has fallen silent.
    pub(crate) async fn silent(&self) -> SilentOrigin {
        let Some(link) = &self.link else { return pending().await };
        self.begun.notified().await;
        let Some((attempt_id, limit)) = self.watched.get() else { return pending().await };
        let mut silence = PeerSilence::open(*limit, Instant::now(), link.received_datagrams());
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            if let Some(silence) = silence.look(Instant::now(), link.received_datagrams()) {
                let attempt_id = attempt_id.clone();
                return SilentOrigin { attempt_id, address: link.address(), silence };
            }
        }
    }
}
