//! A loopback TCP proxy that injects link faults: delays, resets, and data that is held in one or
//! both directions.

use crate::plan::LinkFault;
use rustix::net::sockopt::set_socket_linger;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// Connections that wait to be accepted, as tokio's own listener sets it.
const LISTEN_BACKLOG: u32 = 1_024;
/// Data that is forwarded at a time.
const BUFFER_SIZE_BYTES: usize = 16_384;

/// A running proxy. Dropping it resets all of its connections: a link does not close any by itself.
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    link: Arc<Link>,
    accepting: JoinHandle<()>,
}

/// State that the connections of a proxy share.
struct Link {
    fault: watch::Sender<Option<LinkFault>>,
    upstream: watch::Sender<SocketAddr>,
    /// Whether the upstream process has ended, so that the proxy refuses connections like it.
    has_ended: watch::Sender<bool>,
    is_listening: watch::Sender<bool>,
}

impl Link {
    /// Makes the proxy refuse connections, if the upstream does.
    async fn end_with_upstream(&self) {
        let upstream = *self.upstream.borrow();
        if TcpStream::connect(upstream).await.is_err() {
            self.has_ended.send_replace(true);
            // The sender lives as long as this value.
            let _ = self.is_listening.subscribe().wait_for(|is_listening| !is_listening).await;
        }
    }
}

/// Direction of the data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToUpstream,
    ToClient,
}

impl FaultProxy {
    /// Listens on a free loopback port and connects clients to `upstream`.
    pub(crate) async fn bind(upstream: SocketAddr) -> std::io::Result<FaultProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link {
            fault: watch::Sender::new(None),
            upstream: watch::Sender::new(upstream),
            has_ended: watch::Sender::new(false),
            is_listening: watch::Sender::new(true),
        });
        let shared = link.clone();
        let accepting = tokio::spawn(async move {
            let mut ended = shared.has_ended.subscribe();
            // Dropped when the task is aborted, which closes the connections.
            let mut connections = JoinSet::new();
            let accept = async {
                let mut listener = Some(listener);
                let mut fault = shared.fault.subscribe();
                loop {
                    if refuses(*fault.borrow()) {
                        drop(listener.take());
                        // Nobody else may get the port meanwhile.
                        let Ok(reserved) = reserve(address) else { return };
                        // The wait cannot fail: the proxy owns the sender.
                        let _ = fault.wait_for(|fault| !refuses(*fault)).await;
                        listener = reserved.listen(LISTEN_BACKLOG).ok();
                    }
                    let Some(open) = &listener else { return };
                    tokio::select! {
                        accepted = open.accept() => {
                            let Ok((client, _)) = accepted else { return };
                            connections.spawn(forward_connection(client, shared.clone()));
                            while connections.try_join_next().is_some() {}
                        }
                        _ = fault.wait_for(|fault| refuses(*fault)) => {}
                    }
                }
            };
            tokio::select! {
                () = accept => {}
                _ = ended.wait_for(|ended| *ended) => {}
            }
            shared.is_listening.send_replace(false);
            while connections.join_next().await.is_some() {}
        });
        Ok(FaultProxy { address, link, accepting })
    }

    /// Starts a fault, or ends it with `None`.
    pub(crate) fn set_fault(&self, fault: Option<LinkFault>) {
        self.link.fault.send_replace(fault);
    }

    /// Changes the upstream of new connections.
    pub(crate) fn set_upstream(&self, upstream: SocketAddr) {
        self.link.upstream.send_replace(upstream);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn forward_connection(mut client: TcpStream, link: Arc<Link>) {
    let mut fault = link.fault.subscribe();
    let is_reset = *fault.borrow() == Some(LinkFault::Reset);
    let upstream = *link.upstream.borrow();
    let Some(mut server) = TcpStream::connect(upstream).await.ok().filter(|_| !is_reset) else {
        reset(&client);
        if !is_reset {
            link.end_with_upstream().await;
        }
        return;
    };
    reset(&client);
    reset(&server);
    let is_orderly = {
        let (mut from_client, mut to_client) = client.split();
        let (mut from_server, mut to_server) = server.split();
        let up = forward(&mut from_client, &mut to_server, &link, Direction::ToUpstream);
        let down = forward(&mut from_server, &mut to_client, &link, Direction::ToClient);
        tokio::select! {
            _ = fault.wait_for(|fault| resets(*fault)) => false,
            ended = async { tokio::try_join!(up, down) } => ended.is_ok(),
        }
    };
    if is_orderly {
        close_orderly(&client);
        close_orderly(&server);
    }
}

async fn forward(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    link: &Link,
    direction: Direction,
) -> std::io::Result<()> {
    let mut fault = link.fault.subscribe();
    let mut buffer = vec![0; BUFFER_SIZE_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if direction == Direction::ToClient && !matches!(read, Ok(1..)) {
            // The client must not see the end of a process that still seems to listen.
            link.end_with_upstream().await;
        }
        let length = read?;
        let delay = match *fault.borrow() {
            Some(LinkFault::Delay(delay)) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        // The wait cannot fail: the proxy owns the sender and outlives this task.
        let _ = fault.wait_for(|fault| !is_held(*fault, direction)).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}

/// Whether new connections are refused.
fn refuses(fault: Option<LinkFault>) -> bool {
    matches!(fault, Some(LinkFault::RefuseNew | LinkFault::Cut))
}

/// Whether open connections are reset.
fn resets(fault: Option<LinkFault>) -> bool {
    matches!(fault, Some(LinkFault::Reset | LinkFault::Cut))
}

/// Binds an address on which connections may still be open, without listening there.
fn reserve(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Whether data is held until the fault ends. It is not lost, since TCP would retransmit it.
fn is_held(fault: Option<LinkFault>, direction: Direction) -> bool {
    match fault {
        Some(LinkFault::Silence) => true,
        Some(LinkFault::HoldAnswers) => direction == Direction::ToClient,
        Some(LinkFault::HoldRequests) => direction == Direction::ToUpstream,
        Some(LinkFault::Delay(_) | LinkFault::Reset | LinkFault::RefuseNew | LinkFault::Cut)
        | None => false,
    }
}

/// Lets a connection be reset once its socket is dropped.
fn reset(stream: &TcpStream) {
    // Errors are ignored: the peer then sees an orderly close in place of a reset.
    let _ = stream.set_zero_linger();
}

/// Lets a connection be closed once its socket is dropped, after the data that was written to it.
fn close_orderly(stream: &TcpStream) {
    // Errors are ignored: the peer then sees a reset in place of an orderly close.
    let _ = set_socket_linger(stream, None);
}
