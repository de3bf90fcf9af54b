//! Errors of opening the QUIC endpoint.

use std::net::SocketAddr;

/// Why the QUIC endpoint could not be opened. Never contains key material.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The authority's certificate is invalid.
    #[error("the authority's certificate is not a PEM-encoded CA certificate")]
    AuthorityCertificate,
    /// The authority's key is invalid.
    #[error("the authority's key is not a supported PEM-encoded PKCS #8 private key")]
    AuthorityKey,
    /// The key does not match the certificate.
    #[error("the authority's key does not match the authority's certificate")]
    AuthorityMismatch,
    /// A certificate could not be issued.
    #[error("failed to issue a certificate for this process: {0}")]
    Issue(String),
    /// TLS could not be set up.
    #[error("failed to set up TLS: {0}")]
    Tls(String),
    /// The address is not of the form IP:port.
    #[error("{0:?} is not an IP:port address")]
    Address(String),
    /// Binding to the address failed.
    #[error("failed to bind the peer address {address}: {reason}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        reason: String,
    },
}
