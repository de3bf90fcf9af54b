//! Tests of what failed connections say, and of which connections are used again.

use super::connection_pool::{CARRIED_LIMIT, Connection, ConnectionPool, SendError, connect_error};
use http::Request;
use http_body_util::{BodyExt, Full};
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
    sync::Notify,
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
    exchange_with_limit(pool, address, attempt_id, None).await;
}

async fn exchange_with_limit(
    pool: &ConnectionPool,
    address: SocketAddr,
    attempt_id: &str,
    reported_limit: Option<Duration>,
) {
    let attempt_id = attempt_id.to_string();
    let mut connection = pool.connect(address, &attempt_id, Duration::from_secs(60)).await.unwrap();
    let response = connection.send(Request::new(Default::default())).await.unwrap();
    response.into_body().collect().await.unwrap();
    pool.release(connection, reported_limit);
}

// Guards against a panic at each request for a target that names an idle timeout beyond what a clock
// can show.
#[tokio::test]
async fn a_connection_whose_target_names_a_very_long_idle_timeout_is_used_again() {
    let limits = [
        Duration::from_secs(i64::MAX as u64),
        Duration::from_secs(u64::MAX),
        Duration::MAX,
        Duration::from_secs(60),
    ];
    for limit in limits {
        let (address, opened) = start_server().await;
        let pool = ConnectionPool::open();
        for attempt_id in ["first", "second"] {
            exchange_with_limit(&pool, address, attempt_id, Some(limit)).await;
        }
        assert_eq!(opened.load(Ordering::SeqCst), 1, "{limit:?}");
    }
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

/// How a server ends a connection after the first request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// It sends the end, and reads on.
    Half,
    /// It closes or resets the connection at the first bytes that it reads.
    AtFirstBytes { resets: bool },
}

/// Answers one request, and ends the connection once it is taken for another one. Returns how many
/// further bytes it has read.
async fn answer_and_end(
    listener: TcpListener,
    end: End,
    is_taken: Arc<Notify>,
    wait: Duration,
) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 1_024];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
    is_taken.notified().await;
    if end == End::Half {
        tokio::time::sleep(wait).await;
        stream.shutdown().await.unwrap();
    }
    let mut count = 0;
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        count += read;
        if let End::AtFirstBytes { resets } = end {
            if resets {
                stream.set_zero_linger().unwrap();
            }
            break;
        }
    }
    count
}

/// Takes the idle connection once it is ready for another request.
async fn take_idle(pool: &ConnectionPool, address: SocketAddr) -> Connection {
    loop {
        let idle_limit = Duration::from_secs(60);
        let connection = pool.connect(address, &"second".to_string(), idle_limit).await.unwrap();
        if connection.is_reused {
            return connection;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

// Guards against a second send of a request of which a server has read a part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_counts_as_not_sent_only_if_its_server_reads_none_of_it() {
    const ROUNDS: u64 = 300;
    const BODY_BYTES: usize = 300_000;
    let ends = [End::Half, End::AtFirstBytes { resets: false }, End::AtFirstBytes { resets: true }];
    for end in ends {
        let (mut not_sent, mut broken) = (0, 0);
        for round in 0..ROUNDS {
            let pool = ConnectionPool::default();
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let wait = Duration::from_micros(round % 50 * 40);
            let is_taken = Arc::new(Notify::new());
            let mut served = tokio::spawn(answer_and_end(listener, end, is_taken.clone(), wait));
            exchange(&pool, address, "first").await;
            let mut connection = take_idle(&pool, address).await;
            is_taken.notify_one();
            let mut early = None;
            if round % 3 == 0 && end == End::Half {
                // The client has found the end, since it has closed the connection.
                early = Some((&mut served).await.unwrap());
            } else {
                tokio::time::sleep(Duration::from_micros(round % 7 * 300)).await;
            }
            let request = Request::new(Full::new(vec![b'b'; BODY_BYTES].into()));
            let sent = connection.send(request).await;
            drop(connection);
            let count = match early {
                Some(count) => count,
                None => served.await.unwrap(),
            };
            match sent {
                Err(SendError::NotSent(_)) => {
                    not_sent += 1;
                    assert_eq!(count, 0, "{end:?}, round {round}");
                }
                Err(SendError::Broken(_)) => broken += 1,
                other => panic!("{end:?}, round {round}: {:?}", other.map(|_| ())),
            }
        }
        println!("{end:?}: {not_sent} not sent, {broken} broken");
        match end {
            End::Half => assert!(not_sent > 0, "{end:?}"),
            End::AtFirstBytes { .. } => assert_eq!((not_sent, broken), (0, ROUNDS), "{end:?}"),
        }
    }
}
