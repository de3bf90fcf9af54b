//! Bounds what clients make a process hold: bytes of request bodies, and connections.

mod ledger;
mod limits;
#[cfg(test)]
mod tests;

pub use ledger::{BodyId, BodyLedger, BodyUse, NoRoom};
pub use limits::{BodyLimits, BodyPace, connection_limit};
