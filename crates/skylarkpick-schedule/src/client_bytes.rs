//! Bounds what clients make a process hold: bytes of request bodies, and connections.

#[cfg(test)]
mod connection_tests;
mod connections;
mod ledger;
mod limits;
#[cfg(test)]
mod tests;

pub use connections::{ConnectionId, ConnectionStage, ConnectionState, connections_to_end};
pub use ledger::{BodyId, BodyLedger, BodyUse, NoRoom};
pub use limits::{BodyLimits, BodyPace, connection_limit};
