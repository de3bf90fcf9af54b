//! Real sockets on loopback; no verdict depends on how long anything takes.

use crate::{
    Authority, CertificateRules, PeerIdentity, QuicPeers, TransportError, TransportLimits,
    certificates::Certificates, incoming::identity,
};
use async_trait::async_trait;
use skylarkpick_interface::{PeerError, PeerHandler, PeerNetwork};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};
use tokio::sync::mpsc;

const FREE_PORT: &str = "127.0.0.1:0";
/// Long enough that no busy machine runs into it.
const PATIENCE: Duration = Duration::from_secs(20);

/// Answers a message with itself, reversed, and reports what it was told.
struct Mirror {
    told: mpsc::UnboundedSender<Vec<u8>>,
}

#[async_trait]
impl PeerHandler for Mirror {
    async fn handle_message(&self, message: Vec<u8>) {
        self.told.send(message).unwrap();
    }

    async fn handle_request(&self, mut message: Vec<u8>) -> Vec<u8> {
        message.reverse();
        message
    }
}

struct Process {
    peers: Arc<QuicPeers>,
    _mirror: Arc<dyn PeerHandler>,
    told: mpsc::UnboundedReceiver<Vec<u8>>,
}

fn named(name: &str) -> PeerIdentity {
    PeerIdentity { entry_id: name.to_string(), data_centre: "mnl-a".to_string() }
}

fn limits() -> TransportLimits {
    TransportLimits { connect_timeout: PATIENCE, ..TransportLimits::open(65_536) }
}

fn start_at(address: &str, pem: &(String, String), limits: TransportLimits) -> Process {
    let authority = Authority::open(pem.0.as_bytes(), pem.1.as_bytes()).unwrap();
    let rules = CertificateRules::default();
    let peers = QuicPeers::bind(address, authority, named("one"), rules, limits).unwrap();
    serve(peers)
}

fn start(pem: &(String, String)) -> Process {
    start_at(FREE_PORT, pem, limits())
}

fn serve(peers: Arc<QuicPeers>) -> Process {
    let (told, receiver) = mpsc::unbounded_channel();
    let mirror: Arc<dyn PeerHandler> = Arc::new(Mirror { told });
    peers.listen(Arc::downgrade(&mirror));
    Process { peers, _mirror: mirror, told: receiver }
}

fn pem() -> (String, String) {
    Authority::generate_pem().unwrap()
}

#[tokio::test]
async fn messages_and_answers_arrive_whole() {
    let pem = pem();
    let (one, mut two) = (start(&pem), start(&pem));
    let address = two.peers.address();
    for size_bytes in [0, 1, 1_200, 65_536] {
        let message: Vec<u8> = (0..size_bytes).map(|index| index as u8).collect();
        one.peers.send(&address, message.clone()).await.unwrap();
        assert_eq!(two.told.recv().await.unwrap(), message);
        let answer = one.peers.request(&address, message.clone(), PATIENCE).await.unwrap();
        assert!(answer.iter().eq(message.iter().rev()));
    }
}

#[tokio::test]
async fn a_process_of_another_authority_is_refused_on_either_side() {
    let (one, mut two) = (start(&pem()), start(&pem()));
    let address = two.peers.address();
    assert!(one.peers.request(&address, vec![1], PATIENCE).await.is_err());
    assert!(one.peers.send(&address, vec![1]).await.is_err());
    assert!(two.told.try_recv().is_err());
}

/// A client that trusts the fleet's authority but shows no certificate of it.
async fn stranger(pem: &(String, String), shows: Option<&(String, String)>, to: &str) -> bool {
    let trusted = Authority::open(pem.0.as_bytes(), pem.1.as_bytes()).unwrap();
    let mut roots = rustls::RootCertStore::empty();
    roots.add(trusted.certificate().clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots);
    let mut tls = match shows {
        None => builder.with_no_client_auth(),
        Some(other) => {
            let other = Authority::open(other.0.as_bytes(), other.1.as_bytes()).unwrap();
            let issued = other.issue(&named("stranger"), SystemTime::now(), PATIENCE).unwrap();
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
async fn only_the_authoritys_own_certificates_open_the_door() {
    struct Case<'a> {
        what: &'static str,
        shows: Option<&'a (String, String)>,
        let_in: bool,
    }
    let (own, other) = (pem(), pem());
    let server = start(&own);
    let cases = [
        Case { what: "no certificate", shows: None, let_in: false },
        Case { what: "a certificate of another authority", shows: Some(&other), let_in: false },
        Case { what: "a certificate of the authority", shows: Some(&own), let_in: true },
    ];
    for Case { what, shows, let_in } in cases {
        assert_eq!(stranger(&own, shows, &server.peers.address()).await, let_in, "{what}");
    }
}

#[tokio::test]
async fn an_ended_certificate_is_refused() {
    let pem = pem();
    let two = start(&pem);
    let authority = Authority::open(pem.0.as_bytes(), pem.1.as_bytes()).unwrap();
    let rules = CertificateRules::default();
    let long_ago = SystemTime::now() - rules.lifetime * 2;
    let certificates = Certificates::open(authority, named("old"), rules, long_ago).unwrap();
    let old = serve(QuicPeers::bind_with(FREE_PORT, certificates, limits()).unwrap());
    assert!(old.peers.request(&two.peers.address(), vec![1], PATIENCE).await.is_err());
    old.peers.renew_certificate().unwrap();
    assert!(old.peers.request(&two.peers.address(), vec![1], PATIENCE).await.is_ok());
}

#[tokio::test]
async fn a_renewal_cuts_no_connection_and_shows_on_the_next() {
    let pem = pem();
    let (one, two) = (start(&pem), start(&pem));
    let address = two.peers.address();
    let before = one.peers.connections.get(&address).await.unwrap();
    one.peers.renew_certificate().unwrap();
    two.peers.renew_certificate().unwrap();
    assert!(one.peers.request(&address, vec![1, 2], PATIENCE).await.is_ok());
    let after = one.peers.connections.get(&address).await.unwrap();
    assert_eq!(after.stable_id(), before.stable_id());
    let three = start(&pem);
    let fresh = three.peers.connections.get(&address).await.unwrap();
    let shown = |connection: &quinn::Connection| {
        let chain = connection.peer_identity().unwrap();
        chain.downcast::<Vec<rustls::pki_types::CertificateDer<'static>>>().unwrap()[0].clone()
    };
    assert_ne!(shown(&fresh), shown(&before));
    assert_eq!(identity(&fresh), Some(named("one")));
}

#[tokio::test]
async fn frames_are_bounded_on_either_side() {
    let pem = pem();
    let small = TransportLimits { frame_size_bytes: 1_024, ..limits() };
    let (large, mut two) = (start(&pem), start_at(FREE_PORT, &pem, small));
    let address = two.peers.address();
    let sent = two.peers.send(&large.peers.address(), vec![0; 1_025]).await;
    assert_eq!(sent, Err(PeerError::TooLarge(1_025)));
    // A peer with wider limits gets its message dropped, and the next one through.
    assert!(large.peers.send(&address, vec![0; 65_536]).await.is_err());
    assert!(large.peers.request(&address, vec![0; 1_025], PATIENCE).await.is_err());
    assert_eq!(large.peers.request(&address, vec![1, 2], PATIENCE).await, Ok(vec![2, 1]));
    assert!(two.told.try_recv().is_err());
}

#[tokio::test]
async fn a_process_started_again_at_its_address_is_reached() {
    let pem = pem();
    let (one, two) = (start(&pem), start(&pem));
    let address = two.peers.address();
    assert!(one.peers.request(&address, vec![1], PATIENCE).await.is_ok());
    drop(two);
    let again = loop {
        let authority = Authority::open(pem.0.as_bytes(), pem.1.as_bytes()).unwrap();
        let rules = CertificateRules::default();
        match QuicPeers::bind(&address, authority, named("two"), rules, limits()) {
            Ok(peers) => break serve(peers),
            Err(TransportError::Bind { .. }) => tokio::task::yield_now().await,
            Err(error) => panic!("{error}"),
        }
    };
    let mut answers = 0;
    for _ in 0..20 {
        answers += usize::from(one.peers.request(&address, vec![1], PATIENCE).await.is_ok());
    }
    assert!(answers > 0);
    drop(again);
}

#[tokio::test]
async fn wrong_authorities_are_named_without_their_key() {
    struct Case {
        what: &'static str,
        certificate: String,
        key: String,
        shows: &'static str,
    }
    let (own, other) = (pem(), pem());
    let broken_key = own.1.replace('A', "B");
    let cases = [
        Case {
            what: "no certificate",
            certificate: "x".to_string(),
            key: own.1.clone(),
            shows: "certificate is no",
        },
        Case {
            what: "the key in place of the certificate",
            certificate: own.1.clone(),
            key: own.1.clone(),
            shows: "certificate is no",
        },
        Case {
            what: "a broken key",
            certificate: own.0.clone(),
            key: broken_key.clone(),
            shows: "key is no",
        },
        Case {
            what: "the key of another",
            certificate: own.0.clone(),
            key: other.1.clone(),
            shows: "does not belong",
        },
    ];
    for Case { what, certificate, key, shows } in cases {
        let error = Authority::open(certificate.as_bytes(), key.as_bytes()).unwrap_err();
        assert!(error.to_string().contains(shows), "{what}: {error}");
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
async fn no_key_reaches_logs_debug_output_or_errors() {
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
    let refused = one.peers.request(&two.peers.address(), vec![1], PATIENCE).await.unwrap_err();
    stranger(&other, None, &two.peers.address()).await;
    let authority = Authority::open(own.0.as_bytes(), own.1.as_bytes()).unwrap();
    let mut text = format!("{authority:?} {refused} {refused:?}");
    let rules = CertificateRules::default();
    let certificates = Certificates::open(authority, named("one"), rules, SystemTime::now());
    let current = certificates.as_ref().unwrap().current();
    text += &format!("{certificates:?} {:?}", current.key);
    text += &String::from_utf8_lossy(&captured.0.lock().unwrap());
    assert!(text.contains("Authority"));
    assert_no_secret(&text, &own.1);
    assert_no_secret(&text, &other.1);
}

/// Searches for every line of a PEM key, whole and in pieces.
fn assert_no_secret(text: &str, key_pem: &str) {
    let lines = key_pem.lines().filter(|line| !line.starts_with("-----") && line.len() >= 16);
    for line in lines {
        for piece in line.as_bytes().chunks(16).filter(|piece| piece.len() == 16) {
            let piece = std::str::from_utf8(piece).unwrap();
            assert!(!text.contains(piece), "a key was shown");
        }
    }
}
