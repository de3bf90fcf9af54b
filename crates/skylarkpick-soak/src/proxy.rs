//! A loopback proxy whose links are delayed, reset, silenced or cut one way.

use crate::plan::LinkFault;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// Data that is passed on at once.
const PIECE_SIZE_BYTES: usize = 16_384;

/// A running proxy. Dropping it cuts all of its connections.
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    fault: Arc<watch::Sender<Option<LinkFault>>>,
    upstream: Arc<watch::Sender<SocketAddr>>,
    accepting: JoinHandle<()>,
}

/// Which way data goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    ToUpstream,
    ToCaller,
}

impl FaultProxy {
    /// Listens on a free port of the loopback and connects callers to `upstream`.
    pub(crate) async fn bind(upstream: SocketAddr) -> std::io::Result<FaultProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = Arc::new(watch::channel(None).0);
        let upstream = Arc::new(watch::channel(upstream).0);
        let (faults, places) = (fault.clone(), upstream.clone());
        let accepting = tokio::spawn(async move {
            // Dropped with this task, which ends the connections.
            let mut connections = JoinSet::new();
            while let Ok((caller, _)) = listener.accept().await {
                let upstream = *places.borrow();
                connections.spawn(connect(caller, upstream, faults.subscribe()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(FaultProxy { address, fault, upstream, accepting })
    }

    /// Begins a fault, or ends it.
    pub(crate) fn set_fault(&self, fault: Option<LinkFault>) {
        self.fault.send_replace(fault);
    }

    /// Connects later callers to another place.
    pub(crate) fn set_upstream(&self, upstream: SocketAddr) {
        self.upstream.send_replace(upstream);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn connect(
    mut caller: TcpStream,
    upstream: SocketAddr,
    mut fault: watch::Receiver<Option<LinkFault>>,
) {
    let is_reset = *fault.borrow() == Some(LinkFault::Reset);
    let Some(mut other) = TcpStream::connect(upstream).await.ok().filter(|_| !is_reset) else {
        reset(&caller);
        return;
    };
    let is_whole = {
        let (mut from_caller, mut to_caller) = caller.split();
        let (mut from_other, mut to_other) = other.split();
        let up = pump(&mut from_caller, &mut to_other, fault.clone(), Way::ToUpstream);
        let down = pump(&mut from_other, &mut to_caller, fault.clone(), Way::ToCaller);
        tokio::select! {
            _ = fault.wait_for(|fault| *fault == Some(LinkFault::Reset)) => false,
            ended = async { tokio::try_join!(up, down) } => ended.is_ok(),
        }
    };
    if !is_whole {
        reset(&caller);
        reset(&other);
    }
}

async fn pump(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut fault: watch::Receiver<Option<LinkFault>>,
    way: Way,
) -> std::io::Result<()> {
    let mut piece = vec![0; PIECE_SIZE_BYTES];
    loop {
        let length = from.read(&mut piece).await?;
        let delay = match *fault.borrow() {
            Some(LinkFault::Delay(delay)) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        // The sender lives as long as the proxy, and this task no longer.
        let _ = fault.wait_for(|fault| !holds(*fault, way)).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&piece[..length]).await?;
    }
}

/// Whether data waits for the end of the fault, as it does in a network that sends it again.
fn holds(fault: Option<LinkFault>, way: Way) -> bool {
    match fault {
        Some(LinkFault::Silence) => true,
        Some(LinkFault::HoldAnswers) => way == Way::ToCaller,
        Some(LinkFault::HoldRequests) => way == Way::ToUpstream,
        Some(LinkFault::Delay(_) | LinkFault::Reset) | None => false,
    }
}

fn reset(stream: &TcpStream) {
    // Without it the other side sees an orderly end, which is all that is lost.
    let _ = stream.set_zero_linger();
}
