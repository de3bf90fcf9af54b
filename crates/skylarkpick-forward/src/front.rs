//! The clients' door.

mod activity;
mod connection;
mod door;

pub(crate) use door::Door;
