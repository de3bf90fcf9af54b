//! Leases with fencing numbers, each stored as one object on the platform.
//!
//! A candidate acquires the lease by writing the object conditionally on the version that it read
//! last. The version that this write creates gives the [`fencing_number`]. [`LeaseStateMachine`] makes
//! the decisions and does no I/O; [`Lease`] runs it against a platform.
//!
//! - The holder's term starts when the holder sends the write. It is measured on
//!   [`Clock::since_boot`](skylarkpick_interface::Clock::since_boot), so wall-clock steps have no
//!   effect.
//! - [`Lease::permit`] allows one order at a time, and only while the remaining term covers the
//!   order's full timeout.
//! - A successor waits for the full term from when it first saw the current version, plus the order
//!   timeout, and then writes conditionally on that version. A successor on the holder's own machine
//!   waits for the order timeout only.
//! - The orders of two machines stay [`LeaseSettings::machine_gap`] apart: each record tells for how
//!   long its holder sends none.
//! - The platform's store may return from an older copy, which begins another era. A lease ends with the
//!   era that it was acquired in, and a successor waits until the holders of the era before must have
//!   stopped.

mod fencing;
mod lease;
mod record;
mod settings;
mod state_machine;

pub use fencing::fencing_number;
pub use lease::{Lease, LeaseStatus};
pub use record::LeaseRecord;
pub use settings::LeaseSettings;
pub use state_machine::{Action, LeaseStateMachine, Permit, Tenure, WriteOutcome};
