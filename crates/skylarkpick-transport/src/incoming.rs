//! Takes connections of peers in, and the messages on them.

use crate::{authority::PeerIdentity, quic_peers::TransportLimits};
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};
use rustls::pki_types::CertificateDer;
use skylarkpick_interface::PeerHandler;
use std::sync::{Arc, OnceLock, Weak};
use tokio::task::JoinSet;

/// Connections taken in at once.
const CONNECTIONS_LIMIT: usize = 2_048;

/// Code of a stream whose message was not taken.
const REFUSED: u32 = 2;

/// What the tasks of the receiving side share.
#[derive(Clone)]
pub(crate) struct Receiver {
    pub(crate) handler: Arc<OnceLock<Weak<dyn PeerHandler>>>,
    pub(crate) limits: TransportLimits,
}

impl Receiver {
    /// Takes connections in until the endpoint closes.
    pub(crate) async fn accept_always(self, endpoint: Endpoint) {
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
            spdlog::warn!("a peer connection was refused", kv: { from: = from.to_string() });
            return;
        };
        if identity(&connection).is_none() {
            connection.close(1_u32.into(), b"the certificate names no process");
            return;
        }
        let mut streams = JoinSet::new();
        loop {
            while streams.try_join_next().is_some() {}
            tokio::select! {
                stream = connection.accept_uni() => match stream {
                    Ok(receive) => streams.spawn(self.clone().take(receive, None)),
                    Err(_) => return,
                },
                stream = connection.accept_bi() => match stream {
                    Ok((send, receive)) => streams.spawn(self.clone().take(receive, Some(send))),
                    Err(_) => return,
                },
            };
        }
    }

    /// Takes one message in and answers it on `send`, if there is one.
    async fn take(self, mut receive: RecvStream, send: Option<SendStream>) {
        let read = receive.read_to_end(self.limits.frame_size_bytes);
        let message = tokio::time::timeout(self.limits.read_timeout, read).await;
        let handler = self.handler.get().and_then(Weak::upgrade);
        match (message, handler, send) {
            (Ok(Ok(message)), Some(handler), None) => handler.handle_message(message).await,
            (Ok(Ok(message)), Some(handler), Some(send)) => {
                let answer = handler.handle_request(message).await;
                self.answer(send, &answer).await;
            }
            // Too long, too slow or cut off, or nobody to take it. An end without a reset would
            // look like an empty answer.
            (_, _, Some(mut send)) => drop(send.reset(REFUSED.into())),
            (_, _, None) => {}
        }
    }

    async fn answer(&self, mut send: SendStream, answer: &[u8]) {
        let size_bytes = answer.len();
        if size_bytes > self.limits.frame_size_bytes {
            spdlog::error!("an answer to a peer is longer than a frame", kv: { size_bytes });
            // A stream that the peer stopped needs no reset.
            let _ = send.reset(REFUSED.into());
            return;
        }
        let written = tokio::time::timeout(self.limits.read_timeout, send.write_all(answer)).await;
        if !matches!(written, Ok(Ok(()))) {
            let _ = send.reset(REFUSED.into());
            return;
        }
        let _ = send.finish();
        let _ = tokio::time::timeout(self.limits.read_timeout, send.stopped()).await;
    }
}

/// Who the verified certificate of a connection names.
pub(crate) fn identity(connection: &Connection) -> Option<PeerIdentity> {
    let shown = connection.peer_identity()?;
    let chain = shown.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    PeerIdentity::read(chain.first()?)
}
