//! QUIC with mutual TLS between entry processes.
//!
//! [`QuicPeers`] carries the messages of [`skylarkpick_interface::PeerNetwork`]. Each process
//! issues its own short-lived certificate from the fleet's [`Authority`] and renews it before it
//! expires. Client and server both reject a peer whose certificate another authority signed.

mod authority;
mod byte_stream;
mod certificates;
mod connections;
mod error;
mod incoming;
mod quic_peers;
mod tls;

#[cfg(test)]
mod tests;

pub use authority::{Authority, PeerIdentity};
pub use certificates::CertificateTiming;
pub use error::TransportError;
pub use quic_peers::{QuicPeers, TransportLimits};
