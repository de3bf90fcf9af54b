//! Tests that notices reach all processes of a fleet, and in how many messages.

use super::{
    handler::PeerMessageHandler, messages::Notice, notice_log::NoticeLog, relay::follow_relay,
};
use crate::{
    fleet::{FleetRecords, FleetWatcher},
    node_state::NodeState,
    peers::PeerClient,
    test_support::{empty_node_state, message_handler},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    CrashCause, CrashReport, FleetRecord, FleetTopic, FleetUpdate, NamedRecord, PeerError,
    PeerHandler, PeerNetwork, RegisteredEntry, StoreRevision, TargetCrash,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

const PART: u64 = 7;
const DATA_CENTRES: usize = 3;

/// Network of the processes of a test, which counts one-way messages.
#[derive(Default)]
pub(super) struct TestNetwork {
    handlers: Mutex<BTreeMap<String, Arc<PeerMessageHandler>>>,
    pub(super) messages: AtomicUsize,
}

impl TestNetwork {
    fn handler(&self, address: &str) -> Result<Arc<PeerMessageHandler>, PeerError> {
        let handler = self.handlers.lock().unwrap().get(address).cloned();
        handler.ok_or_else(|| PeerError::Unreachable(address.to_string()))
    }
}

#[async_trait]
impl PeerNetwork for TestNetwork {
    fn address(&self) -> String {
        String::new()
    }

    fn listen(&self, _: Weak<dyn PeerHandler>) {}

    async fn send(&self, address: &str, message: Vec<u8>) -> Result<(), PeerError> {
        self.messages.fetch_add(1, Ordering::SeqCst);
        self.handler(address)?.handle_message(message).await;
        Ok(())
    }

    async fn request(
        &self,
        address: &str,
        message: Vec<u8>,
        _: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        Ok(self.handler(address)?.handle_request(message).await)
    }
}

pub(super) struct TestProcess {
    pub(super) node_state: Arc<NodeState>,
    pub(super) watcher: Arc<FleetWatcher>,
}

impl TestProcess {
    fn knows_end(&self) -> bool {
        self.node_state.lock().crash_evidence.has_ends_of(&[CrashCause::Part(PART)])
    }
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, u8::try_from(index).unwrap()], 80).into()
}

pub(super) fn entries(count: usize, earlier_versions: usize) -> Vec<RegisteredEntry> {
    let entry = |index: usize| RegisteredEntry {
        name: format!("entry-{index:02}"),
        address: address(index),
        data_centre: format!("dc-{}", index % DATA_CENTRES),
        cpu_percent: 25,
        fetches_notices: index < count - earlier_versions,
        crashes: Default::default(),
    };
    (0..count).map(entry).collect()
}

/// Starts processes that know each other and follow their relays.
pub(super) fn start(network: &Arc<TestNetwork>, entries: &[RegisteredEntry]) -> Vec<TestProcess> {
    let named = entries.iter().map(|entry| NamedRecord {
        name: entry.name.clone(),
        record: Some(FleetRecord::Entry(entry.clone())),
    });
    let revision = StoreRevision { era: 0, number: 3 };
    let update = FleetUpdate { records: named.collect(), revision };
    let start_one = |entry: &RegisteredEntry| {
        let node_state = empty_node_state();
        let records = FleetRecords::open(node_state.clone(), &entry.name);
        records.replace(FleetTopic::Entries, &update);
        let peer_client = Arc::new(PeerClient::default());
        peer_client.set_network(network.clone());
        let handler =
            message_handler(node_state.clone(), records, peer_client.clone(), &entry.data_centre);
        let watcher = handler.watcher.clone();
        let address = entry.address.to_string();
        network.handlers.lock().unwrap().insert(address, Arc::new(handler));
        tokio::spawn(follow_relay(node_state.clone(), peer_client, watcher.clone()));
        TestProcess { node_state, watcher }
    };
    entries.iter().map(start_one).collect()
}

fn end_of_target(node_state: &NodeState) -> Notice {
    let crash = TargetCrash {
        target: "i-1".to_string(),
        started_at_ms: 1,
        ended_at_ms: node_state.wall_ms(),
        parts: [(PART, 0)].into(),
        requests: BTreeMap::new(),
    };
    Notice::Crashes { report: CrashReport { crashes: vec![crash], ..CrashReport::default() } }
}

#[tokio::test(start_paused = true)]
async fn messages_of_a_notice_do_not_grow_with_the_processes_of_a_large_fleet() {
    struct Case {
        name: &'static str,
        processes: usize,
        earlier_versions: usize,
        messages: usize,
    }
    let cases = [
        Case { name: "small fleet", processes: 9, earlier_versions: 0, messages: 8 },
        Case { name: "large fleet", processes: 60, earlier_versions: 0, messages: 6 },
        Case { name: "amid an upgrade", processes: 60, earlier_versions: 1, messages: 59 },
    ];
    for case in cases {
        let network = Arc::new(TestNetwork::default());
        let processes = start(&network, &entries(case.processes, case.earlier_versions));
        let sender = &processes[case.processes - 2];
        let notice = end_of_target(&sender.node_state);
        sender.node_state.apply_notice(notice.clone(), Duration::ZERO);
        sender.watcher.peer_client.broadcast(&sender.watcher.records, &notice);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let knowing = processes.iter().filter(|process| process.knows_end()).count();
        assert_eq!(knowing, case.processes, "{}", case.name);
        assert_eq!(network.messages.load(Ordering::SeqCst), case.messages, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_process_whose_relay_ends_gets_the_notice_from_the_other_one() {
    let network = Arc::new(TestNetwork::default());
    let processes = start(&network, &entries(60, 0));
    let sender = &processes[50];
    // The relays of dc-0 are entry-00 and entry-03.
    network.handlers.lock().unwrap().remove(&address(0).to_string());
    let notice = end_of_target(&sender.node_state);
    sender.watcher.peer_client.broadcast(&sender.watcher.records, &notice);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let knowing = processes.iter().skip(1).filter(|process| process.knows_end()).count();
    assert_eq!(knowing, 59);
}

#[tokio::test(start_paused = true)]
async fn a_notice_is_told_once_and_not_after_its_use_has_ended() {
    struct Case {
        name: &'static str,
        notice: Notice,
        after: Duration,
        is_told: bool,
    }
    let loads = Notice::Loads { loads: Vec::new() };
    let limits = Notice::Limits {
        limits: Vec::new(),
        brittle: Vec::new(),
        uses: Vec::new(),
        ended: Vec::new(),
    };
    let second = Duration::from_secs(1);
    let cases = [
        Case { name: "loads", notice: loads.clone(), after: second, is_told: true },
        Case { name: "outdated loads", notice: loads, after: 2 * second, is_told: false },
        Case { name: "limits", notice: limits.clone(), after: 2 * second, is_told: true },
        Case { name: "outdated limits", notice: limits, after: 6 * second, is_told: false },
    ];
    for case in cases {
        let log = NoticeLog::default();
        log.append(case.notice.clone());
        tokio::time::sleep(case.after).await;
        let (told, next) = log.since(0);
        assert_eq!(told.len(), usize::from(case.is_told), "{}", case.name);
        assert!(told.iter().all(|it| Duration::from_millis(it.age_ms) == case.after));
        assert_eq!(log.since(next), (Vec::new(), next), "{}", case.name);
        assert_eq!(log.since(next + 9).0, told, "{}: a position of another log", case.name);
    }
}
