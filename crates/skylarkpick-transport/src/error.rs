//! Why the network between entry processes could not be opened.

use std::net::SocketAddr;

/// Why the network between entry processes could not be opened. Never holds key material.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The authority's certificate cannot be used.
    #[error("the authority's certificate is no PEM certificate of an authority")]
    AuthorityCertificate,
    /// The authority's key cannot be used.
    #[error("the authority's key is no PEM private key (PKCS #8) that can be used")]
    AuthorityKey,
    /// The key is not that of the certificate.
    #[error("the authority's key does not belong to the authority's certificate")]
    AuthorityMismatch,
    /// A certificate could not be issued.
    #[error("no certificate could be issued for this process: {0}")]
    Issue(String),
    /// TLS could not be set up.
    #[error("TLS could not be set up: {0}")]
    Tls(String),
    /// The address is no IP:port.
    #[error("{0:?} is no IP:port")]
    Address(String),
    /// The address cannot be taken.
    #[error("the peer address {address} cannot be taken: {reason}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
}
