//! QUIC with mutual TLS between entry processes.
