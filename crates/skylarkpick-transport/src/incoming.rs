//! Accepts connections of peers and dispatches their messages to the handler.

use crate::{
    authority::PeerIdentity, byte_stream::QuicStream, quic_peers::TransportLimits,
    tls::STREAM_PROTOCOL,
};
use quinn::{
    Connection, Endpoint, Incoming, RecvStream, SendStream, crypto::rustls::HandshakeData,
};
use rustls::pki_types::CertificateDer;
use skylarkpick_interface::PeerHandler;
use std::sync::{Arc, OnceLock, Weak};
use tokio::task::JoinSet;

/// Number of incoming connections that may be open at the same time; more are refused.
const CONNECTIONS_LIMIT: usize = 2_048;

/// Error code that resets a stream whose message was not handled or whose response was not sent.
pub(crate) const REFUSED: u32 = 2;

/// State shared by the tasks that serve incoming connections.
#[derive(Clone)]
pub(crate) struct Receiver {
    pub(crate) handler: Arc<OnceLock<Weak<dyn PeerHandler>>>,
    pub(crate) limits: TransportLimits,
}

impl Receiver {
    /// Accepts connections until the endpoint closes.
    pub(crate) async fn accept_connections(self, endpoint: Endpoint) {
        let mut connections = JoinSet::new();
        while let Some(incoming) = endpoint.accept().await {
            while connections.try_join_next().is_some() {}
            if connections.len() >= CONNECTIONS_LIMIT {
                incoming.refuse();
                continue;
            }
            connections.spawn(self.clone().serve(incoming));
        }
    }

    async fn serve(self, incoming: Incoming) {
        let from = incoming.remote_address();
        let connected = tokio::time::timeout(self.limits.connect_timeout, incoming).await;
        let Ok(Ok(connection)) = connected else {
            spdlog::warn!("rejected a peer connection", kv: { from: = from.to_string() });
            return;
        };
        if identity(&connection).is_none() {
            connection.close(1_u32.into(), b"the certificate names no process");
            return;
        }
        let carries_streams = carries_byte_streams(&connection);
        let mut streams = JoinSet::new();
        loop {
            while streams.try_join_next().is_some() {}
            tokio::select! {
                stream = connection.accept_uni() => match stream {
                    Ok(receive) => streams.spawn(self.clone().handle_stream(receive, None)),
                    Err(_) => return,
                },
                stream = connection.accept_bi() => match stream {
                    Ok((send, receive)) if carries_streams => {
                        let stream = QuicStream::accepted(connection.clone(), send, receive);
                        streams.spawn(self.clone().serve_stream(stream))
                    }
                    Ok((send, receive)) => {
                        streams.spawn(self.clone().handle_stream(receive, Some(send)))
                    }
                    Err(_) => return,
                },
            };
        }
    }

    async fn serve_stream(self, stream: QuicStream) {
        if let Some(handler) = self.handler.get().and_then(Weak::upgrade) {
            handler.handle_stream(Box::new(stream)).await;
        }
    }

    /// Reads one message and passes it to the handler. On a bidirectional stream, writes the
    /// response to `send`.
    async fn handle_stream(self, mut receive: RecvStream, send: Option<SendStream>) {
        let read = receive.read_to_end(self.limits.frame_size_bytes);
        let message = tokio::time::timeout(self.limits.read_timeout, read).await;
        let handler = self.handler.get().and_then(Weak::upgrade);
        match (message, handler, send) {
            (Ok(Ok(message)), Some(handler), None) => handler.handle_message(message).await,
            (Ok(Ok(message)), Some(handler), Some(send)) => {
                let response = handler.handle_request(message).await;
                self.respond(send, &response).await;
            }
            // The message was too long, too slow or incomplete, or there is no handler. Finishing
            // the stream without a reset would look like an empty response.
            (_, _, Some(mut send)) => drop(send.reset(REFUSED.into())),
            (_, _, None) => {}
        }
    }

    async fn respond(&self, mut send: SendStream, response: &[u8]) {
        let size_bytes = response.len();
        if size_bytes > self.limits.frame_size_bytes {
            spdlog::error!("response to a peer exceeds the frame size limit", kv: { size_bytes });
            // Fails only if the peer already stopped the stream.
            let _ = send.reset(REFUSED.into());
            return;
        }
        let written =
            tokio::time::timeout(self.limits.read_timeout, send.write_all(response)).await;
        if !matches!(written, Ok(Ok(()))) {
            let _ = send.reset(REFUSED.into());
            return;
        }
        let _ = send.finish();
        let _ = tokio::time::timeout(self.limits.read_timeout, send.stopped()).await;
    }
}

/// Returns whether a connection was opened for byte streams.
fn carries_byte_streams(connection: &Connection) -> bool {
    let data = connection.handshake_data().and_then(|it| it.downcast::<HandshakeData>().ok());
    data.and_then(|it| it.protocol).is_some_and(|protocol| protocol == STREAM_PROTOCOL)
}

/// Returns the identity in the verified certificate of a connection's peer.
pub(crate) fn identity(connection: &Connection) -> Option<PeerIdentity> {
    let presented = connection.peer_identity()?;
    let chain = presented.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    PeerIdentity::read(chain.first()?)
}
