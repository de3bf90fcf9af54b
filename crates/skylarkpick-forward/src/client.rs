//! Connections of clients.

mod activity;
mod connection;
mod listener;

pub(crate) use connection::serve_peer;
pub(crate) use listener::ClientListener;
