//! Intervals, timeouts and size limits of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and size limits of the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct ProtocolParameters {
    /// Time between two calls of [`crate::Membership::tick`].
    pub tick_interval: Duration,
    /// Time between two gossip rounds.
    pub gossip_interval: Duration,
    /// Time between two probes that a process sends.
    pub probe_interval: Duration,
    /// Timeout of a direct probe, and again of the indirect probes that follow it.
    pub probe_timeout: Duration,
    /// Time that a suspected process has to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time between two anti-entropy rounds, each of which also probes a dead process or a seed.
    pub digest_interval: Duration,
    /// Time between two messages that a bridge sends to each other data centre.
    pub bridge_interval: Duration,
    /// Time without a message from a data centre after which it counts as silent.
    pub silence_timeout: Duration,
    /// Time for which dead and left processes stay in the member list.
    pub retention: Duration,
    /// Peers that a process gossips to in each round.
    pub fanout: usize,
    /// Peers that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Bridges in each data centre.
    pub bridges: usize,
    /// Times that a bridge sends an update to each other data centre.
    pub bridge_copies: u32,
    /// Most gossip in one message.
    pub gossip_size_bytes: usize,
    /// Most gossip in the reply to a digest.
    pub digest_reply_size_bytes: usize,
    /// Times that a process sends each load it receives.
    pub load_copies: u32,
    /// Bytes per second that a process may spend on sending loads.
    pub load_bytes_per_second: f64,
}

impl Default for ProtocolParameters {
    fn default() -> ProtocolParameters {
        ProtocolParameters {
            tick_interval: Duration::from_millis(200),
            gossip_interval: Duration::from_millis(400),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(600),
            suspicion_timeout: Duration::from_secs(3),
            digest_interval: Duration::from_secs(10),
            bridge_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(10),
            retention: Duration::from_secs(600),
            fanout: 2,
            indirect_probes: 2,
            bridges: 2,
            bridge_copies: 2,
            gossip_size_bytes: 1_100,
            digest_reply_size_bytes: 65_536,
            load_copies: 2,
            load_bytes_per_second: 5_000.0,
        }
    }
}
