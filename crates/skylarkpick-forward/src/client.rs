//! Connections of clients.

mod activity;
mod connection;
mod departure;
mod listener;
mod open_connections;
mod progress;
mod shared_socket;

pub(crate) use connection::serve_peer;
pub(crate) use listener::ClientListener;
pub(crate) use progress::Progress;
