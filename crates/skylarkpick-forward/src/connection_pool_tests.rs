//! Tests of what failed connections say, and of which connections are used again.

use super::connection_pool::{CARRIED_LIMIT, ConnectionPool, SendError, connect_error};
use http::Request;
use http_body_util::BodyExt;
use skylarkpick_schedule::ConnectFailure;
use std::{
    io::{Error, ErrorKind},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

#[test]
fn a_lack_of_descriptors_is_not_taken_for_a_refusal_of_the_target() {
    struct Case {
        error: Error,
        failure: Option<ConnectFailure>,
    }
    const TOO_MANY_OPEN_FILES: i32 = 24;
    let cases = [
        Case { error: Error::from_raw_os_error(TOO_MANY_OPEN_FILES), failure: None },
        Case { error: ErrorKind::AddrNotAvailable.into(), failure: None },
        Case { error: ErrorKind::OutOfMemory.into(), failure: None },
        Case { error: ErrorKind::ConnectionRefused.into(), failure: Some(ConnectFailure::Refused) },
        Case { error: ErrorKind::HostUnreachable.into(), failure: Some(ConnectFailure::Refused) },
        Case { error: ErrorKind::TimedOut.into(), failure: Some(ConnectFailure::TimedOut) },
    ];
    for Case { error, failure } in cases {
        let found = match connect_error(&error) {
            SendError::NotConnected { failure, .. } => Some(failure),
            _ => None,
        };
        assert_eq!(found, failure, "{error}");
    }
}

/// Starts a server that answers all requests, and counts its connections.
async fn start_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let opened = Arc::new(AtomicUsize::new(0));
    let counter = opened.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(answer_all(stream));
        }
    });
    (address, opened)
}

async fn answer_all(mut stream: TcpStream) {
    let mut buffer = [0; 1_024];
    // Each request arrives in one piece, since it is short and alone.
    while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
    }
}

async fn exchange(pool: &ConnectionPool, address: SocketAddr, attempt_id: &str) {
    let attempt_id = attempt_id.to_string();
    let mut connection = pool.connect(address, &attempt_id, Duration::from_secs(60)).await.unwrap();
    let response = connection.send(Request::new(Default::default())).await.unwrap();
    response.into_body().collect().await.unwrap();
    pool.release(connection, None);
}

// Guards against a late copy of an answer to an attempt that arrives where the answer to a later send of
// the same attempt is due.
#[tokio::test]
async fn no_connection_carries_an_attempt_twice_however_many_it_has_carried() {
    struct Case {
        name: &'static str,
        between: usize,
        connections: usize,
    }
    let cases = [
        Case { name: "at once", between: 0, connections: 2 },
        Case { name: "with others between", between: CARRIED_LIMIT - 2, connections: 2 },
        Case { name: "after it was closed", between: CARRIED_LIMIT, connections: 2 },
    ];
    for Case { name, between, connections } in cases {
        let (address, opened) = start_server().await;
        let pool = ConnectionPool::open();
        exchange(&pool, address, "same").await;
        for number in 0..between {
            exchange(&pool, address, &format!("other-{number}")).await;
        }
        exchange(&pool, address, "same").await;
        assert_eq!(opened.load(Ordering::SeqCst), connections, "{name}");
    }
}
