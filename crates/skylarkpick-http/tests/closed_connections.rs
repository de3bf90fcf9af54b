//! Tests of what the system does for a connection that this process has closed.

use skylarkpick_http::MeteredStream;
use socket2::SockRef;
use std::{os::fd::AsFd, time::Duration};
use tokio::net::{TcpListener, TcpStream};

// Guards against a server that goes on with a run since a short outage swallowed the close of its connection.
#[tokio::test]
async fn the_system_goes_on_telling_a_server_of_a_close_after_the_limit_of_the_open_connection() {
    struct Case {
        name: &'static str,
        limit: Option<Duration>,
        limit_after: Option<Duration>,
    }
    let open_limit = Duration::from_millis(800);
    let cases = [
        Case { name: "no limit", limit: None, limit_after: None },
        Case { name: "0.8 s", limit: Some(open_limit), limit_after: Some(Duration::from_secs(30)) },
    ];
    for Case { name, limit, limit_after } in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        SockRef::from(&stream).set_tcp_user_timeout(limit).unwrap();
        let descriptor = stream.as_fd().try_clone_to_owned().unwrap();
        let metered = MeteredStream::open(stream);
        let metered = match limit {
            Some(limit) => metered.with_unacknowledged_limit(limit),
            None => metered,
        };
        drop(metered);
        let found = SockRef::from(&descriptor).tcp_user_timeout().unwrap();
        assert_eq!(found, limit_after, "{name}");
    }
}
