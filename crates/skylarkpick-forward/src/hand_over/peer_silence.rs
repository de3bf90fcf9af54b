//! Decides whether the process that handed a request over has fallen silent.

use std::time::{Duration, Instant};

/// Longest time between two looks that counts as silence of the peer. What lies beyond it is a delay of
/// this process, which has not read what arrived meanwhile.
const COUNTED_STEP_LIMIT: Duration = Duration::from_millis(50);

/// Time for which nothing has been heard from a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerSilence {
    limit: Duration,
    received_datagrams: u64,
    looked_at: Instant,
    silence: Duration,
}

impl PeerSilence {
    /// Starts at a time at which so many datagrams have been received from the peer.
    pub(crate) fn open(limit: Duration, now: Instant, received_datagrams: u64) -> PeerSilence {
        PeerSilence { limit, received_datagrams, looked_at: now, silence: Duration::ZERO }
    }

    /// Returns the silence once it has reached the limit.
    pub(crate) fn look(&mut self, now: Instant, received_datagrams: u64) -> Option<Duration> {
        let step = now.saturating_duration_since(self.looked_at).min(COUNTED_STEP_LIMIT);
        self.looked_at = now;
        if received_datagrams != self.received_datagrams {
            self.received_datagrams = received_datagrams;
            self.silence = Duration::ZERO;
            return None;
        }
        self.silence += step;
        (self.silence >= self.limit).then_some(self.silence)
    }
}
