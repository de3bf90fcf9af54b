//! Tests that the proxy injects each link fault.

use crate::{plan::LinkFault, proxy::FaultProxy};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Starts an echo server.
async fn spawn_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

#[tokio::test]
async fn the_proxy_holds_delays_or_resets_data_by_its_fault() {
    struct Case {
        fault: Option<LinkFault>,
        /// Whether the echo arrives during the fault.
        is_echoed: bool,
        is_reset: bool,
    }
    let held = |fault| Case { fault: Some(fault), is_echoed: false, is_reset: false };
    let cases = [
        Case { fault: None, is_echoed: true, is_reset: false },
        Case {
            fault: Some(LinkFault::Delay(Duration::from_millis(10))),
            is_echoed: true,
            is_reset: false,
        },
        held(LinkFault::Silence),
        held(LinkFault::HoldAnswers),
        held(LinkFault::HoldRequests),
        Case { fault: Some(LinkFault::Reset), is_echoed: false, is_reset: true },
    ];
    for case in cases {
        let proxy = FaultProxy::bind(spawn_echo_server().await).await.unwrap();
        let mut stream = TcpStream::connect(proxy.address).await.unwrap();
        stream.write_all(b"x").await.unwrap();
        let mut byte = [0];
        stream.read_exact(&mut byte).await.unwrap();
        proxy.set_fault(case.fault);
        // The write fails if the reset has arrived already.
        let written = stream.write_all(b"y").await;
        let read = tokio::time::timeout(Duration::from_millis(300), stream.read_exact(&mut byte));
        let read = read.await;
        assert_eq!(matches!(read, Ok(Ok(_))), case.is_echoed, "{:?}", case.fault);
        assert_eq!(matches!(read, Ok(Err(_))), case.is_reset, "{:?}", case.fault);
        if !case.is_echoed && !case.is_reset {
            written.unwrap();
            proxy.set_fault(None);
            stream.read_exact(&mut byte).await.unwrap();
            assert_eq!(byte, *b"y", "{:?}", case.fault);
        }
    }
}

#[tokio::test]
async fn a_dropped_proxy_does_not_end_an_answer_that_it_holds_like_a_whole_one() {
    struct Case {
        name: &'static str,
        fault: Option<LinkFault>,
        is_dropped: bool,
        /// What the client reads until the end, or `None` if that is a reset.
        received: Option<&'static str>,
    }
    let cases = [
        Case { name: "no fault", fault: None, is_dropped: false, received: Some("xy") },
        Case {
            name: "dropped while it holds the rest",
            fault: Some(LinkFault::HoldAnswers),
            is_dropped: true,
            received: None,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = FaultProxy::bind(listener.local_addr().unwrap()).await.unwrap();
        let mut client = TcpStream::connect(proxy.address).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        server.write_all(b"x").await.unwrap();
        let mut text = String::new();
        let mut byte = [0];
        client.read_exact(&mut byte).await.unwrap();
        text.push('x');
        proxy.set_fault(case.fault);
        server.write_all(b"y").await.unwrap();
        drop(server);
        // The proxy has to read the rest and the end before it is dropped.
        tokio::time::sleep(Duration::from_millis(100)).await;
        client.shutdown().await.unwrap();
        if case.is_dropped {
            drop(proxy);
        }
        let received = client.read_to_string(&mut text).await.ok().map(|_| text.as_str());
        assert_eq!(received, case.received, "{}", case.name);
    }
}
