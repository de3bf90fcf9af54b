//! Settings that the platform gives to a process on a VM.

use crate::ids::DataCentreId;
use std::{net::SocketAddr, time::Duration};

/// Settings that the platform gives to a process on a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub node: String,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Where clients' connections arrive.
    pub front_address: SocketAddr,
    /// Where the balancer asks whether the process takes new connections.
    pub ready_address: SocketAddr,
    /// Where other entry processes reach this one.
    pub peer_address: SocketAddr,
    /// Where metrics are read.
    pub metrics_address: SocketAddr,
    /// Where the platform's object API is.
    pub platform_address: SocketAddr,
    /// Hundredths of a core that the VM has.
    pub cpu_percent: u32,
    /// What the platform promises and asks for.
    pub bounds: NodeLimits,
}

/// What the platform promises and asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeLimits {
    /// Time after a target's leaving was recorded within which it must get nothing new.
    pub drain: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which a new serving document must be in force.
    pub configuration: Duration,
    /// Retries allowed for each hundred requests, over all entry processes.
    pub retry_percent: u32,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed besides, over all entry processes.
    pub retry_extra: u32,
    /// Time in which orders of two holders must not mix.
    pub lease: Duration,
    /// Time after new weights were named from which the old ones must not begin a run.
    pub weights: Duration,
}
