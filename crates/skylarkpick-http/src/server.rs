//! An HTTP/1.1 and HTTP/2 server with graceful shutdown.

use crate::body::ResponseBody;
use async_trait::async_trait;
use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Handles requests of a server.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request. The server drops the response body early if the client
    /// disconnects.
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody>;
}

/// Limits on the request headers that a server accepts.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Size limit of the request headers.
    pub headers_size_bytes: usize,
    /// Time limit for a client to send the request headers.
    pub headers_read_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits { headers_size_bytes: 65_536, headers_read_timeout: Duration::from_secs(10) }
    }
}

/// A running server. Dropping it closes the listener without waiting for requests in flight.
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    accepting: Option<JoinHandle<GracefulShutdown>>,
}

impl Server {
    /// Listens on `address`. Port 0 selects a free port.
    ///
    /// # Errors
    /// Returns an error if binding to the address fails.
    pub async fn bind(
        address: &str,
        handler: Arc<dyn Handler>,
        limits: ServerLimits,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let accepting = Some(tokio::spawn(accept(listener, handler, limits, stopped)));
        Ok(Server { address, stop, accepting })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener, asks connections to close, and waits at most `timeout` for requests in
    /// flight. Returns whether all connections closed in time.
    pub async fn shutdown(mut self, timeout: Duration) -> bool {
        self.stop.send_replace(true);
        let Some(accepting) = self.accepting.take() else { return true };
        let Ok(connections) = accepting.await else { return false };
        tokio::time::timeout(timeout, connections.shutdown()).await.is_ok()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
    }
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: ServerLimits,
    mut stopped: watch::Receiver<bool>,
) -> GracefulShutdown {
    let connections = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return connections,
        };
        match accepted {
            Ok((stream, _)) => serve(stream, handler.clone(), limits, &connections),
            // For example out of file descriptors: wait until some are released.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    limits: ServerLimits,
    connections: &GracefulShutdown,
) {
    // Disables Nagle's algorithm, which would delay each small write of a token.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.headers_read_timeout)
        .max_buf_size(limits.headers_size_bytes.max(8_192));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.headers_size_bytes).unwrap_or(u32::MAX));
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        // A failed connection needs no handling here: its requests see a dropped response body.
        let _ = connection.await;
    });
}
