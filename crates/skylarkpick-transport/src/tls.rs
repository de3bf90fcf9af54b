//! Mutual TLS for QUIC: each side presents its certificate and verifies the peer's against the
//! authority.

use crate::{certificates::Certificates, error::TransportError, quic_peers::TransportLimits};
use quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{RootCertStore, crypto::ring, server::WebPkiClientVerifier, version::TLS13};
use std::{sync::Arc, time::Duration};

/// ALPN protocol name, required on both sides.
const PROTOCOL: &[u8] = b"skylarkpick/1";
/// The same of a connection for byte streams.
pub(crate) const STREAM_PROTOCOL: &[u8] = b"skylarkpick-streams/1";
/// Bytes of a byte stream that wait on the side that opened it, until they are read.
const STREAM_BUFFER_BYTES: u32 = 65_536;
/// The same of all byte streams of a connection.
const STREAMS_BUFFER_BYTES: u32 = 1_048_576;
/// Bytes of heartbeats of a connection that wait to be read, which nobody does.
const HEARTBEATS_BUFFER_BYTES: usize = 1_024;
/// Interval between keep-alives on a connection for byte streams, also while it carries none.
const STREAM_KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which such a connection, and with it its streams, is lost.
const STREAM_IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Limit of concurrent one-way messages to one side of a connection.
const CONCURRENT_MESSAGES_LIMIT: u32 = 64;
/// Limit of concurrent requests to one side of a connection.
const CONCURRENT_REQUESTS_LIMIT: u32 = 64;
/// Full-size frames that one connection may buffer in each direction.
const BUFFERED_FRAMES_LIMIT: u64 = 4;

pub(crate) fn server_config(
    certificates: &Arc<Certificates>,
    limits: &TransportLimits,
) -> Result<ServerConfig, TransportError> {
    let provider = Arc::new(ring::default_provider());
    let roots = Arc::new(roots(certificates)?);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(tls_error)?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_cert_resolver(certificates.clone());
    tls.alpn_protocols = vec![PROTOCOL.to_vec(), STREAM_PROTOCOL.to_vec()];
    // Disables session resumption: a resumed session presents no certificate to verify.
    tls.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
    tls.send_tls13_tickets = 0;
    let tls = QuicServerConfig::try_from(tls).map_err(tls_error)?;
    let mut config = ServerConfig::with_crypto(Arc::new(tls));
    let mut transport = transport(limits)?;
    transport.datagram_receive_buffer_size(Some(HEARTBEATS_BUFFER_BYTES));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

pub(crate) fn client_config(
    certificates: &Arc<Certificates>,
    limits: &TransportLimits,
) -> Result<ClientConfig, TransportError> {
    client_config_with(certificates, PROTOCOL, Arc::new(transport(limits)?))
}

/// Returns the configuration of connections for byte streams. They buffer little, and notice soon that
/// the peer is gone.
pub(crate) fn stream_client_config(
    certificates: &Arc<Certificates>,
) -> Result<ClientConfig, TransportError> {
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_uni_streams(0_u32.into())
        .max_concurrent_bidi_streams(0_u32.into())
        .stream_receive_window(STREAM_BUFFER_BYTES.into())
        .receive_window(STREAMS_BUFFER_BYTES.into())
        .send_window(STREAMS_BUFFER_BYTES.into())
        // A side that takes no datagrams may send none.
        .datagram_receive_buffer_size(Some(HEARTBEATS_BUFFER_BYTES))
        .keep_alive_interval(Some(STREAM_KEEPALIVE_INTERVAL))
        .max_idle_timeout(Some(IdleTimeout::try_from(STREAM_IDLE_LIMIT).map_err(tls_error)?));
    client_config_with(certificates, STREAM_PROTOCOL, Arc::new(transport))
}

fn client_config_with(
    certificates: &Arc<Certificates>,
    protocol: &[u8],
    transport: Arc<TransportConfig>,
) -> Result<ClientConfig, TransportError> {
    let provider = Arc::new(ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(tls_error)?
        .with_root_certificates(roots(certificates)?)
        .with_client_cert_resolver(certificates.clone());
    tls.alpn_protocols = vec![protocol.to_vec()];
    tls.resumption = rustls::client::Resumption::disabled();
    let tls = QuicClientConfig::try_from(tls).map_err(tls_error)?;
    let mut config = ClientConfig::new(Arc::new(tls));
    config.transport_config(transport);
    Ok(config)
}

fn roots(certificates: &Certificates) -> Result<RootCertStore, TransportError> {
    let mut roots = RootCertStore::empty();
    roots.add(certificates.authority().certificate().clone()).map_err(tls_error)?;
    Ok(roots)
}

fn transport(limits: &TransportLimits) -> Result<TransportConfig, TransportError> {
    let frame_size_bytes = limits.frame_size_bytes as u64;
    let window = |bytes: u64| VarInt::from_u64(bytes).map_err(tls_error);
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_uni_streams(CONCURRENT_MESSAGES_LIMIT.into())
        .max_concurrent_bidi_streams(CONCURRENT_REQUESTS_LIMIT.into())
        .stream_receive_window(window(frame_size_bytes)?)
        .receive_window(window(frame_size_bytes * BUFFERED_FRAMES_LIMIT)?)
        .send_window(frame_size_bytes * BUFFERED_FRAMES_LIMIT)
        .datagram_receive_buffer_size(None)
        .max_idle_timeout(Some(IdleTimeout::try_from(limits.idle_timeout).map_err(tls_error)?));
    Ok(transport)
}

fn tls_error(error: impl std::fmt::Display) -> TransportError {
    TransportError::Tls(error.to_string())
}
