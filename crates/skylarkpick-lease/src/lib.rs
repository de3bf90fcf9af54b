//! Leases on platform objects, with fencing numbers.
//!
//! A lease is one object of the platform. Whoever writes it conditionally on the version that it
//! saw last holds the lease; the version of that write is the fencing number. [`LeaseMachine`]
//! takes the decisions without clock or input and output; [`Lease`] runs it on a platform.
//!
//! - The holder counts its term from the moment at which it sent the write, on
//!   [`Clock::since_boot`](skylarkpick_interface::Clock::since_boot), so wall time plays no part.
//! - [`Lease::permit`] gives permission for one order, only while the rest of the term covers the
//!   order's whole timeout.
//! - A successor waits out the full term from when it first saw the version, plus the order
//!   timeout, and then writes conditionally on that version.

mod lease;
mod machine;
mod record;
mod settings;

pub use lease::{Lease, LeaseStatus};
pub use machine::{LeaseMachine, Permit, Step, WriteAnswer};
pub use record::LeaseRecord;
pub use settings::LeaseSettings;
