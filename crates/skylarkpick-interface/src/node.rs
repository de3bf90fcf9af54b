//! Settings that the platform provides to a process on a VM.

use crate::ids::DataCentreId;
use std::{net::SocketAddr, time::Duration};

/// Settings that the platform provides to a process on a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub node: String,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address for client connections.
    pub front_address: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub ready_address: SocketAddr,
    /// Address for messages of other entry processes.
    pub peer_address: SocketAddr,
    /// Address that serves the metrics.
    pub metrics_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// CPU share of the VM, in hundredths of a core.
    pub cpu_percent: u32,
    /// Memory of the VM, if the settings name it.
    pub memory_limit_bytes: Option<u64>,
    /// Descriptors that the process may have open, if the settings name a limit.
    pub descriptor_limit: Option<u64>,
    /// Whether clients may send more than they are asked to, so that client accounts need a fair
    /// share of scarce capacity.
    pub has_pressing_clients: bool,
    /// Time limits and retry limits that the platform sets.
    pub bounds: NodeLimits,
}

/// Time limits and retry limits that the platform sets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeLimits {
    /// Time after the platform records that a target is draining within which entry processes must
    /// stop sending new requests to it.
    pub drain: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which a new serving document must take effect.
    pub configuration: Duration,
    /// Retries allowed per hundred requests, across all entry processes.
    pub retry_percent: u32,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in a window in addition, across all entry processes.
    pub retry_extra: u32,
    /// Period in which targets must not receive orders of two different lease holders.
    pub lease: Duration,
    /// Time after a change of a model's desired weights from which runs must no longer start on the
    /// previous ones.
    pub weights: Duration,
    /// Bound on the requests to a cold target; `None` if targets are never cold.
    pub cold: Option<ColdRequestBound>,
    /// Time after the platform records an evacuation within which entry processes must stop sending
    /// requests to the targets of the data centre; `None` if data centres are never evacuated.
    pub evacuation: Option<Duration>,
}

/// Bound on the requests that a cold target may get in any second, over all entry processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdRequestBound {
    /// Factor on the rate that a cold target tolerates, in hundredths.
    pub excess_percent: u32,
    /// Requests allowed in addition.
    pub slack_requests: u32,
}
