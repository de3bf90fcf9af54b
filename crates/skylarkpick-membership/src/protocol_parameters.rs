//! Intervals and bounds of the protocol.

use std::time::Duration;

/// Intervals and bounds of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct ProtocolParameters {
    /// Time between two calls of [`crate::Membership::tick`].
    pub tick_interval: Duration,
    /// Time between two rounds of gossip.
    pub gossip_interval: Duration,
    /// Time between two probes by one process.
    pub probe_interval: Duration,
    /// Time for a probe's answer, then again for the answer to the indirect probes.
    pub probe_timeout: Duration,
    /// Time that a suspected process has to refute.
    pub suspicion_timeout: Duration,
    /// Time between two comparisons of digests, and between two calls on lost processes.
    pub digest_interval: Duration,
    /// Time between two messages of a bridge to one other data centre.
    pub bridge_interval: Duration,
    /// Silence after which a data centre counts as cut off.
    pub silence_timeout: Duration,
    /// Time for which dead and left processes are remembered.
    pub retention: Duration,
    /// Peers that get each round of gossip.
    pub fanout: usize,
    /// Processes asked to probe indirectly.
    pub indirect_probes: usize,
    /// Bridges of each data centre.
    pub bridges: usize,
    /// Times that a bridge sends news to one other data centre.
    pub bridge_copies: u32,
    /// Largest gossip part of one message.
    pub gossip_size_bytes: usize,
    /// Largest gossip part of an answer to a digest.
    pub answer_size_bytes: usize,
    /// Times that a process sends one load on.
    pub load_copies: u32,
    /// Bytes a second that a process may spend on sending loads.
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
            answer_size_bytes: 65_536,
            load_copies: 2,
            load_bytes_per_second: 5_000.0,
        }
    }
}
