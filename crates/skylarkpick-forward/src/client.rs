//! Connections of clients.

mod activity;
mod connection;
mod listener;

pub(crate) use listener::ClientListener;
