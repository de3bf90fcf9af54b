//! Leases on platform objects, with fencing numbers.
