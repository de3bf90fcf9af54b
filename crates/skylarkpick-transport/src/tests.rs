//! Peers over real loopback sockets. No assertion depends on timing.

use crate::{
    Authority, CertificateTiming, PeerIdentity, QuicPeers, TransportError, TransportLimits,
    certificates::Certificates, incoming::identity,
};
use async_trait::async_trait;
use skylarkpick_interface::{PeerError, PeerHandler, PeerNetwork, PeerStream};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::mpsc,
    task::JoinSet,
    time::Instant,
};

const FREE_PORT: &str = "127.0.0.1:0";
/// Long enough not to expire on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Responds to a request with its bytes reversed, and reports each one-way message.
struct ReversingHandler {
    messages: mpsc::UnboundedSender<Vec<u8>>,
}

#[async_trait]
impl PeerHandler for ReversingHandler {
    async fn handle_message(&self, message: Vec<u8>) {
        self.messages.send(message).unwrap();
    }

    async fn handle_request(&self, mut message: Vec<u8>) -> Vec<u8> {
        message.reverse();
        message
    }

    /// Echoes a stream up to a byte 0, and resets it there.
    async fn handle_stream(&self, mut stream: Box<dyn PeerStream>) {
        let mut buffer = [0; 4_096];
        while let Ok(length @ 1..) = stream.read(&mut buffer).await {
            if buffer[..length].contains(&0) || stream.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
        let _ = stream.shutdown().await;
    }
}

struct Process {
    peers: Arc<QuicPeers>,
    _handler: Arc<dyn PeerHandler>,
    messages: mpsc::UnboundedReceiver<Vec<u8>>,
}

fn named(name: &str) -> PeerIdentity {
    PeerIdentity { entry_id: name.to_string(), data_centre: "mnl-a".to_string() }
}

fn limits() -> TransportLimits {
    TransportLimits { connect_timeout: TIMEOUT, ..TransportLimits::open(65_536) }
}

fn start_at(address: &str, pem: &(String, String), limits: TransportLimits) -> Process {
    let authority = Authority::open(pem.0.as_bytes(), pem.1.as_bytes()).unwrap();
    let timing = CertificateTiming::default();
    let peers = QuicPeers::bind(address, authority, named("one"), timing, limits).unwrap();
    serve(peers)
}

fn start(pem: &(String, String)) -> Process {
    start_at(FREE_PORT, pem, limits())
}

fn serve(peers: Arc<QuicPeers>) -> Process {
    let (messages, receiver) = mpsc::unbounded_channel();
    let handler: Arc<dyn PeerHandler> = Arc::new(ReversingHandler { messages });
    peers.listen(Arc::downgrade(&handler));
    Process { peers, _handler: handler, messages: receiver }
}

fn pem() -> (String, String) {
    Authority::generate_pem().unwrap()
}

#[tokio::test]
async fn delivers_messages_and_responses_of_any_size() {
    let pem = pem();
    let (one, mut two) = (start(&pem), start(&pem));
    let address = two.peers.address();
    for size_bytes in [0, 1, 1_200, 65_536] {
        let message: Vec<u8> = (0..size_bytes).map(|index| index as u8).collect();
        one.peers.send(&address, message.clone()).await.unwrap();
        assert_eq!(two.messages.recv().await.unwrap(), message);
        let response = one.peers.request(&address, message.clone(), TIMEOUT).await.unwrap();
        assert!(response.iter().eq(message.iter().rev()));
    }
}

#[tokio::test]
async fn client_and_server_reject_a_peer_of_another_authority() {
    let (one, mut two) = (start(&pem()), start(&pem()));
    let address = two.peers.address();
    assert!(one.peers.request(&address, vec![1], TIMEOUT).await.is_err());
    assert!(one.peers.send(&address, vec![1]).await.is_err());
    assert!(two.messages.try_recv().is_err());
}

/// Connects as a client that trusts the authority `pem` and presents no certificate or one issued
/// by `presented`. Returns whether a request succeeded.
async fn can_request(
    pem: &(String, String),
    presented: Option<&(String, String)>,
    to: &str,
) -> bool {
    let trusted = Authority::open(pem.0.as_bytes(), pem.1.as_bytes()).unwrap();
    let mut roots = rustls::RootCertStore::empty();
    roots.add(trusted.certificate().clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots);
    let mut tls = match presented {
        None => builder.with_no_client_auth(),
        Some(other) => {
            let other = Authority::open(other.0.as_bytes(), other.1.as_bytes()).unwrap();
            let issued = other.issue(&named("client"), SystemTime::now(), TIMEOUT).unwrap();
            builder.with_client_auth_cert(vec![issued.certificate], issued.key).unwrap()
        }
    };
    tls.alpn_protocols = vec![b"skylarkpick/1".to_vec()];
    let tls = quinn::crypto::rustls::QuicClientConfig::try_from(tls).unwrap();
    let mut endpoint = quinn::Endpoint::client(FREE_PORT.parse().unwrap()).unwrap();
    endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(tls)));
    let connecting = endpoint.connect(to.parse().unwrap(), "entry.skylarkpick.internal").unwrap();
    let Ok(connection) = connecting.await else { return false };
    let Ok((mut send, mut receive)) = connection.open_bi().await else { return false };
    if send.write_all(&[1, 2]).await.is_err() || send.finish().is_err() {
        return false;
    }
    receive.read_to_end(100).await.is_ok()
}

#[tokio::test]
async fn server_accepts_only_certificates_of_its_authority() {
    struct Case<'a> {
        name: &'static str,
        presented: Option<&'a (String, String)>,
        is_accepted: bool,
    }
    let (own, other) = (pem(), pem());
    let server = start(&own);
    let cases = [
        Case { name: "no certificate", presented: None, is_accepted: false },
        Case {
            name: "a certificate of another authority",
            presented: Some(&other),
            is_accepted: false,
        },
        Case { name: "a certificate of the authority", presented: Some(&own), is_accepted: true },
    ];
    for Case { name, presented, is_accepted } in cases {
        let accepted = can_request(&own, presented, &server.peers.address()).await;
        assert_eq!(accepted, is_accepted, "{name}");
    }
}

#[tokio::test]
async fn rejects_an_expired_certificate() {
    let pem = pem();
    let two = start(&pem);
    let authority = Authority::open(pem.0.as_bytes(), pem.1.as_bytes()).unwrap();
    let timing = CertificateTiming::default();
    let long_ago = SystemTime::now() - timing.lifetime * 2;
    let certificates = Certificates::open(authority, named("expired"), timing, long_ago).unwrap();
    let expired = serve(QuicPeers::bind_with(FREE_PORT, certificates, limits()).unwrap());
    assert!(expired.peers.request(&two.peers.address(), vec![1], TIMEOUT).await.is_err());
    expired.peers.renew_certificate().unwrap();
    assert!(expired.peers.request(&two.peers.address(), vec![1], TIMEOUT).await.is_ok());
}

#[tokio::test]
async fn renewal_keeps_connections_open_and_applies_to_new_ones() {
    let pem = pem();
    let (one, two) = (start(&pem), start(&pem));
    let address = two.peers.address();
    let before = one.peers.connections.get(&address).await.unwrap();
    one.peers.renew_certificate().unwrap();
    two.peers.renew_certificate().unwrap();
    assert!(one.peers.request(&address, vec![1, 2], TIMEOUT).await.is_ok());
    let after = one.peers.connections.get(&address).await.unwrap();
    assert_eq!(after.stable_id(), before.stable_id());
    let three = start(&pem);
    let fresh = three.peers.connections.get(&address).await.unwrap();
    let presented = |connection: &quinn::Connection| {
        let chain = connection.peer_identity().unwrap();
        chain.downcast::<Vec<rustls::pki_types::CertificateDer<'static>>>().unwrap()[0].clone()
    };
    assert_ne!(presented(&fresh), presented(&before));
    assert_eq!(identity(&fresh), Some(named("one")));
}

#[tokio::test]
async fn rejects_oversized_messages_on_send_and_on_receipt() {
    let pem = pem();
    let small = TransportLimits { frame_size_bytes: 1_024, ..limits() };
    let (large, mut two) = (start(&pem), start_at(FREE_PORT, &pem, small));
    let address = two.peers.address();
    let sent = two.peers.send(&large.peers.address(), vec![0; 1_025]).await;
    assert_eq!(sent, Err(PeerError::TooLarge(1_025)));
    // Oversized messages of a peer with a higher limit are dropped; its next message is handled.
    assert!(large.peers.send(&address, vec![0; 65_536]).await.is_err());
    assert!(large.peers.request(&address, vec![0; 1_025], TIMEOUT).await.is_err());
    assert_eq!(large.peers.request(&address, vec![1, 2], TIMEOUT).await, Ok(vec![2, 1]));
    assert!(two.messages.try_recv().is_err());
}

#[tokio::test]
async fn reconnects_to_a_peer_restarted_at_the_same_address() {
    let pem = pem();
    let (one, two) = (start(&pem), start(&pem));
    let address = two.peers.address();
    assert!(one.peers.request(&address, vec![1], TIMEOUT).await.is_ok());
    drop(two);
    let restarted = loop {
        let authority = Authority::open(pem.0.as_bytes(), pem.1.as_bytes()).unwrap();
        let timing = CertificateTiming::default();
        match QuicPeers::bind(&address, authority, named("two"), timing, limits()) {
            Ok(peers) => break serve(peers),
            Err(TransportError::Bind { .. }) => tokio::task::yield_now().await,
            Err(error) => panic!("{error}"),
        }
    };
    let mut responses = 0;
    for _ in 0..20 {
        responses += usize::from(one.peers.request(&address, vec![1], TIMEOUT).await.is_ok());
    }
    assert!(responses > 0);
    drop(restarted);
}

#[tokio::test(start_paused = true)]
async fn requests_to_a_silent_peer_wait_no_longer_than_their_timeout() {
    struct Case {
        name: &'static str,
        connect_timeout: Duration,
        request_timeout: Duration,
        waits_at_most: Duration,
    }
    let second = Duration::from_secs(1);
    let cases = [
        Case {
            name: "the request's timeout is shorter than that of connecting",
            connect_timeout: 2 * second,
            request_timeout: Duration::from_millis(400),
            waits_at_most: Duration::from_millis(401),
        },
        Case {
            name: "concurrent requests share one connection attempt and its failure",
            connect_timeout: 2 * second,
            request_timeout: 60 * second,
            waits_at_most: Duration::from_millis(2_001),
        },
    ];
    for case in cases {
        let silent = std::net::UdpSocket::bind(FREE_PORT).unwrap();
        let address = silent.local_addr().unwrap().to_string();
        let limits = TransportLimits { connect_timeout: case.connect_timeout, ..limits() };
        let one = start_at(FREE_PORT, &pem(), limits);
        let mut requests = JoinSet::new();
        let began = Instant::now();
        for _ in 0..5 {
            let (peers, address) = (one.peers.clone(), address.clone());
            requests.spawn(async move {
                let response = peers.request(&address, vec![1], case.request_timeout).await;
                (response, began.elapsed())
            });
        }
        for (response, waited) in requests.join_all().await {
            assert!(matches!(response, Err(PeerError::Timeout(_))), "{}: {response:?}", case.name);
            assert!(waited <= case.waits_at_most, "{}: {waited:?}", case.name);
        }
    }
}

#[tokio::test]
async fn authority_errors_name_the_invalid_part_without_the_key() {
    struct Case {
        name: &'static str,
        certificate: String,
        key: String,
        message: &'static str,
    }
    let (own, other) = (pem(), pem());
    let broken_key = own.1.replace('A', "B");
    let cases = [
        Case {
            name: "no certificate",
            certificate: "x".to_string(),
            key: own.1.clone(),
            message: "certificate is not",
        },
        Case {
            name: "the key in place of the certificate",
            certificate: own.1.clone(),
            key: own.1.clone(),
            message: "certificate is not",
        },
        Case {
            name: "a broken key",
            certificate: own.0.clone(),
            key: broken_key.clone(),
            message: "key is not",
        },
        Case {
            name: "the key of another authority",
            certificate: own.0.clone(),
            key: other.1.clone(),
            message: "does not match",
        },
    ];
    for Case { name, certificate, key, message } in cases {
        let error = Authority::open(certificate.as_bytes(), key.as_bytes()).unwrap_err();
        assert!(error.to_string().contains(message), "{name}: {error}");
        for secret in [&own.1, &other.1, &broken_key] {
            assert_no_secret(&format!("{error} {error:?}"), secret);
        }
    }
}

#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn keys_do_not_appear_in_logs_debug_output_or_errors() {
    let captured = Captured::default();
    let sink = spdlog::sink::WriteSink::builder().target(captured.clone()).build_arc().unwrap();
    let logger = spdlog::Logger::builder()
        .sink(sink)
        .level_filter(spdlog::LevelFilter::All)
        .flush_level_filter(spdlog::LevelFilter::All)
        .build_arc()
        .unwrap();
    spdlog::set_default_logger(logger);
    let (own, other) = (pem(), pem());
    let (one, two) = (start(&own), start(&other));
    let refused = one.peers.request(&two.peers.address(), vec![1], TIMEOUT).await.unwrap_err();
    can_request(&other, None, &two.peers.address()).await;
    let authority = Authority::open(own.0.as_bytes(), own.1.as_bytes()).unwrap();
    let mut text = format!("{authority:?} {refused} {refused:?}");
    let timing = CertificateTiming::default();
    let certificates = Certificates::open(authority, named("one"), timing, SystemTime::now());
    let current = certificates.as_ref().unwrap().current();
    text += &format!("{certificates:?} {:?}", current.key);
    text += &String::from_utf8_lossy(&captured.0.lock().unwrap());
    assert!(text.contains("Authority"));
    assert_no_secret(&text, &own.1);
    assert_no_secret(&text, &other.1);
}

/// Fails if `text` contains any 16-byte piece of a line of the PEM key.
fn assert_no_secret(text: &str, key_pem: &str) {
    let lines = key_pem.lines().filter(|line| !line.starts_with("-----") && line.len() >= 16);
    for line in lines {
        for piece in line.as_bytes().chunks(16).filter(|piece| piece.len() == 16) {
            let piece = std::str::from_utf8(piece).unwrap();
            assert!(!text.contains(piece), "the text contains part of a key");
        }
    }
}

#[tokio::test]
async fn a_byte_stream_is_complete_only_if_it_was_shut_down() {
    struct Case {
        sent: Vec<u8>,
        is_complete: bool,
    }
    let cases = [
        Case { sent: vec![1; 300_000], is_complete: true },
        Case { sent: vec![1, 0], is_complete: false },
    ];
    let pem = pem();
    let (one, two) = (start(&pem), start(&pem));
    for case in cases {
        let stream = one.peers.open_stream(&two.peers.address(), TIMEOUT).await.unwrap();
        let (mut reader, mut writer) = tokio::io::split(stream);
        let sent = case.sent.clone();
        let writing = tokio::spawn(async move {
            let _ = writer.write_all(&sent).await;
            let _ = writer.shutdown().await;
        });
        let mut received = Vec::new();
        let ended = reader.read_to_end(&mut received).await;
        writing.await.unwrap();
        assert_eq!(ended.is_ok(), case.is_complete);
        assert!(!case.is_complete || received == case.sent);
    }
}

#[tokio::test]
async fn a_byte_stream_that_is_not_read_holds_back_its_writer() {
    let pem = pem();
    let (one, two) = (start(&pem), start(&pem));
    let mut stream = one.peers.open_stream(&two.peers.address(), TIMEOUT).await.unwrap();
    let mut written = 0;
    let write = async {
        loop {
            written += stream.write(&[1; 4_096]).await.unwrap();
        }
    };
    // The peer echoes all that it reads, and stops reading once nobody takes the echo.
    let _ = tokio::time::timeout(Duration::from_secs(2), write).await;
    assert!((1..2_000_000).contains(&written), "{written} bytes");
}

#[tokio::test]
async fn byte_streams_leave_room_for_messages() {
    let pem = pem();
    let (one, two) = (start(&pem), start(&pem));
    let address = two.peers.address();
    let mut streams = Vec::new();
    for _ in 0..64 {
        let mut stream = one.peers.open_stream(&address, TIMEOUT).await.unwrap();
        stream.write_all(&[1]).await.unwrap();
        streams.push(stream);
    }
    let refused = one.peers.open_stream(&address, Duration::from_millis(100)).await;
    assert!(matches!(refused, Err(PeerError::Timeout(_))), "their number is limited");
    assert!(one.peers.request(&address, vec![1, 2], TIMEOUT).await.is_ok());
}

/// Waits until this many heartbeats were sent on a connection.
async fn wait_for_heartbeats(connection: &quinn::Connection, count: u64) {
    let until = Instant::now() + TIMEOUT;
    while connection.stats().frame_tx.datagram < count {
        assert!(Instant::now() < until, "heartbeats are sent");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_process_shows_that_it_lives_only_while_a_stream_is_open() {
    let pem = pem();
    let (one, two) = (start(&pem), start(&pem));
    let address = two.peers.address();
    let streams = &one.peers.streams;
    let first = streams.open_stream(&address).await.unwrap();
    let second = streams.open_stream(&address).await.unwrap();
    let connection = first.connection.clone();
    wait_for_heartbeats(&connection, 2).await;
    drop(first);
    let sent = connection.stats().frame_tx.datagram;
    wait_for_heartbeats(&connection, sent + 2).await;
    drop(second);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let sent = connection.stats().frame_tx.datagram;
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(connection.stats().frame_tx.datagram, sent, "no stream is open");
    let _third = streams.open_stream(&address).await.unwrap();
    wait_for_heartbeats(&connection, sent + 2).await;
}

#[tokio::test]
async fn the_datagrams_received_from_a_peer_grow_while_it_sends_nothing_else() {
    let pem = pem();
    let (one, two) = (start(&pem), start(&pem));
    let mut stream = one.peers.open_stream(&two.peers.address(), TIMEOUT).await.unwrap();
    let mut echo = [0; 1];
    stream.write_all(&[1]).await.unwrap();
    stream.read_exact(&mut echo).await.unwrap();
    let link = stream.link().unwrap();
    assert_eq!(link.address(), two.peers.address());
    let (received, until) = (link.received_datagrams(), Instant::now() + TIMEOUT);
    // What this side receives acknowledges its heartbeats.
    while link.received_datagrams() < received + 3 {
        assert!(Instant::now() < until, "the peer is heard");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_stream_to_a_version_that_takes_no_heartbeats_goes_on_without_them() {
    let pem = pem();
    let authority = Authority::open(pem.0.as_bytes(), pem.1.as_bytes()).unwrap();
    let timing = CertificateTiming::default();
    let certificates =
        Certificates::open(authority, named("two"), timing, SystemTime::now()).unwrap();
    let mut config = crate::tls::server_config(&certificates, &limits()).unwrap();
    let mut transport = quinn::TransportConfig::default();
    transport.datagram_receive_buffer_size(None);
    config.transport_config(Arc::new(transport));
    let earlier = quinn::Endpoint::server(config, FREE_PORT.parse().unwrap()).unwrap();
    let address = earlier.local_addr().unwrap().to_string();
    let echo = tokio::spawn(async move {
        let connection = earlier.accept().await.unwrap().await.unwrap();
        let (mut send, mut receive) = connection.accept_bi().await.unwrap();
        tokio::io::copy(&mut receive, &mut send).await
    });
    let one = start(&pem);
    let mut stream = one.peers.streams.open_stream(&address).await.unwrap();
    for byte in 1..=4 {
        let mut received = [0; 1];
        stream.write_all(&[byte]).await.unwrap();
        stream.read_exact(&mut received).await.unwrap();
        assert_eq!(received, [byte]);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(stream.connection.stats().frame_tx.datagram, 0);
    drop(stream);
    let _ = echo.await.unwrap();
}
