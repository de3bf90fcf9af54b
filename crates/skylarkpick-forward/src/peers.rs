//! Messages between entry processes.
//!
//! They exchange platform records, which serve processes that follow a relay or can't reach the
//! platform, and cache contents, since a cache serves too few readers for every process of a large
//! fleet.

mod handler;
mod messages;
mod network;
mod notice_log;
mod notices;
mod peer_client;
mod relay;

pub(crate) use handler::PeerMessageHandler;
pub(crate) use messages::{
    BrittleNotice, BrittleUseNotice, EndedTargetNotice, EngineLoadNotice, LimitNotice, Notice,
    PeerRecords, PeerRequest, PeerResponse, StreamRecord,
};
pub(crate) use network::{NetworkParts, open_network};
pub(crate) use peer_client::PeerClient;
pub(crate) use relay::{CacheRelay, follow_relay};

#[cfg(test)]
mod brittle_notice_tests;
#[cfg(test)]
mod earlier_version_tests;
#[cfg(test)]
mod handler_tests;
#[cfg(test)]
mod notice_tests;
#[cfg(test)]
mod tests;
