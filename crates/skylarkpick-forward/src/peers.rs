//! What entry processes tell each other: records of the platform for a process that it turns away,
//! and what caches keep, where there are too many processes for each to follow every cache.

mod handler;
mod link;
mod messages;
mod relay;
mod rescue;

pub(crate) use handler::Handler;
pub(crate) use link::{PeerParts, open_peers};
pub(crate) use messages::{Notice, PeerNews};
pub(crate) use relay::{CacheRelay, follow_relay};
pub(crate) use rescue::PeerRescue;

#[cfg(test)]
mod tests;
