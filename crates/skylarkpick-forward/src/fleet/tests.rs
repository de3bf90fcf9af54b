//! Tests of how platform records are applied, relayed to other processes and expired.

use super::{
    cache_role::{CacheWatchRole, RoleDecision, cache_watch_role, is_load_sampler},
    missing_targets::MissingTargets,
    planner::rollout_goal,
    records::FleetRecords,
    serving_confirmer::ServingConfirmer,
    topic_watch::{FirstSource, FleetWatcher, relay_wait, watch_topic},
};
use crate::{
    node_state::NodeState,
    peers::{PeerClient, PeerRecords, PeerResponse},
    test_support::{SlowNetwork, TestRecords, TestSource, at, empty_node_state, entry_records},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    CrashReport, DesiredWeights, FleetRecord, FleetTopic, FleetUpdate, NamedRecord, PlatformError,
    RegisteredEntry, RegisteredTarget, StoreRevision, WatchError,
};
use skylarkpick_schedule::{DesiredWeightsView, RolloutRunner, plan_rollout};
use skylarkpick_transport::{
    Authority, CertificateTiming, PeerIdentity, QuicPeers, TransportLimits,
};
use std::{
    collections::BTreeMap,
    net::UdpSocket,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{task::JoinSet, time::Instant};

pub(super) const SECOND: Duration = Duration::from_secs(1);

pub(super) fn records() -> (Arc<NodeState>, FleetRecords) {
    let node_state = empty_node_state();
    (node_state.clone(), FleetRecords::open(node_state, "entry-1"))
}

pub(super) fn target(id: &str) -> NamedRecord {
    let registration = RegisteredTarget {
        id: id.to_string(),
        service: "book-api".to_string(),
        address: "10.1.0.1:80".parse().unwrap(),
        data_centre: "mnl-a".to_string(),
        slots: 6,
        is_draining: false,
        weights: BTreeMap::new(),
        started_at_ms: 1,
        software_version: Some("v1".to_string()),
        cold_remaining: None,
    };
    NamedRecord { name: id.to_string(), record: Some(FleetRecord::Target(registration)) }
}

pub(super) fn draining(id: &str) -> NamedRecord {
    let mut named = target(id);
    if let Some(FleetRecord::Target(registration)) = &mut named.record {
        registration.is_draining = true;
    }
    named
}

pub(super) fn is_draining(node_state: &NodeState, id: &str) -> bool {
    node_state.lock().placement.targets()[id].registration.is_draining
}

fn removed(id: &str) -> NamedRecord {
    NamedRecord { name: id.to_string(), record: None }
}

pub(super) fn target_ids(node_state: &NodeState) -> Vec<String> {
    node_state.lock().placement.targets().keys().cloned().collect()
}

#[test]
fn a_missing_target_has_a_grace_period_only_after_the_platform_returns() {
    struct Case {
        name: &'static str,
        was_disconnected: bool,
        /// Time from the platform's return to the removal.
        after: Duration,
        has_grace_period: bool,
    }
    let cases = [
        Case {
            name: "always connected",
            was_disconnected: false,
            after: Duration::ZERO,
            has_grace_period: false,
        },
        Case {
            name: "just reconnected",
            was_disconnected: true,
            after: Duration::from_millis(500),
            has_grace_period: true,
        },
        Case {
            name: "reconnected long ago",
            was_disconnected: true,
            after: 3 * SECOND,
            has_grace_period: false,
        },
    ];
    for case in cases {
        let mut missing_targets = MissingTargets::default();
        if case.was_disconnected {
            missing_targets.note_disconnected();
        }
        missing_targets.note_response(SECOND);
        let now = SECOND + case.after;
        assert_eq!(
            missing_targets.note_missing("i-1", now),
            case.has_grace_period,
            "{}",
            case.name
        );
        assert!(missing_targets.take_expired(now).is_empty(), "{}", case.name);
        let expired = missing_targets.take_expired(now + 3 * SECOND);
        assert_eq!(expired.len(), usize::from(case.has_grace_period), "{}", case.name);
    }
}

#[test]
fn a_target_that_reappears_within_the_grace_period_is_not_removed() {
    let mut missing_targets = MissingTargets::default();
    missing_targets.note_disconnected();
    missing_targets.note_response(SECOND);
    assert!(missing_targets.note_missing("i-1", SECOND));
    missing_targets.note_present("i-1");
    assert!(missing_targets.take_expired(9 * SECOND).is_empty());
}

#[test]
fn two_processes_per_data_centre_watch_the_caches_of_a_large_fleet() {
    let entries: Vec<RegisteredEntry> = (0..40)
        .map(|index| RegisteredEntry {
            name: format!("entry-{index:02}"),
            address: ([10, 0, 0, index], 80).into(),
            data_centre: ["mnl-a", "mnl-b"][usize::from(index) % 2].to_string(),
            cpu_percent: if index >= 36 { 50 } else { 12 },
            fetches_notices: true,
            crashes: Default::default(),
        })
        .collect();
    assert_eq!(cache_watch_role(&entries[..12], "entry-00"), CacheWatchRole::Direct);
    let is_relay = |node: &str| cache_watch_role(&entries, node) == CacheWatchRole::Relay;
    let relays: Vec<&str> =
        entries.iter().map(|it| it.name.as_str()).filter(|name| is_relay(name)).collect();
    assert_eq!(
        relays,
        ["entry-36", "entry-37", "entry-38", "entry-39"],
        "the VMs with the most CPU"
    );
    let CacheWatchRole::Follower { relays } = cache_watch_role(&entries, "entry-01") else {
        panic!("entry-01 is not a follower")
    };
    assert_eq!(relays, ["10.0.0.37:80", "10.0.0.39:80"], "those of its own data centre");
    assert_eq!(cache_watch_role(&entries, "unlisted"), CacheWatchRole::Direct);
    let samples = |node: &str, data_centre: &str| is_load_sampler(&entries, node, data_centre);
    let own = entries.iter().find(|entry| entry.name == "entry-36").unwrap().data_centre.clone();
    assert!(samples("entry-36", &own), "the relays sample the engines of their data centre");
    assert!(!samples("entry-01", &own) && !samples("entry-36", "elsewhere"));
}

#[tokio::test(start_paused = true)]
async fn a_process_applies_newer_records_and_removals_of_another() {
    let (_, first) = records();
    let update = FleetUpdate { records: vec![target("i-1"), target("i-2")], revision: at(10) };
    first.replace(FleetTopic::Targets, &update);
    let (node_state, second) = records();
    let received = first.records_since(FleetTopic::Targets, at(0)).unwrap();
    assert!(received.is_complete);
    assert!(second.apply_peer_records(FleetTopic::Targets, &received));
    assert_eq!(target_ids(&node_state), ["i-1", "i-2"]);
    first.update(
        FleetTopic::Targets,
        &FleetUpdate { records: vec![removed("i-1")], revision: at(12) },
    );
    let received = first.records_since(FleetTopic::Targets, at(10)).unwrap();
    let content = (received.is_complete, received.update.records.len());
    assert_eq!(content, (false, 1), "only the change");
    assert!(second.apply_peer_records(FleetTopic::Targets, &received));
    assert_eq!(target_ids(&node_state), ["i-2"]);
    assert!(!second.apply_peer_records(FleetTopic::Targets, &received), "no longer newer");
}

#[test]
fn runners_are_ordered_once_no_run_may_start_on_their_weights() {
    let mut weights = DesiredWeightsView::open(10 * SECOND);
    weights.set_desired("tala", 2, SECOND);
    weights.set_desired("tala", 3, 5 * SECOND);
    let runner = |index: u64| RolloutRunner {
        name: format!("i-{index}"),
        model: "tala".to_string(),
        weight_version: Some(index),
        slots: 8,
        ..RolloutRunner::default()
    };
    let runners: Vec<RolloutRunner> = (1..=3).map(runner).collect();
    struct Case {
        now: Duration,
        usable: &'static [u64],
        expired: &'static [u64],
        order: &'static [&'static str],
    }
    let cases = [
        Case { now: 10 * SECOND, usable: &[3, 2, 1], expired: &[], order: &["i-1"] },
        Case { now: 12 * SECOND, usable: &[3, 2], expired: &[1], order: &["i-1"] },
        Case { now: 16 * SECOND, usable: &[3], expired: &[2, 1], order: &["i-1", "i-2"] },
    ];
    for case in cases {
        let goal = rollout_goal(&weights, "tala", 3, &runners, case.now);
        assert_eq!(goal.usable_weight_versions, case.usable, "at {:?}", case.now);
        assert_eq!(goal.expired_weight_versions, case.expired, "at {:?}", case.now);
        assert_eq!(plan_rollout(&runners, &goal, 0).order, case.order, "at {:?}", case.now);
    }
}

#[tokio::test(start_paused = true)]
async fn an_older_read_never_replaces_newer_records() {
    let (node_state, records) = records();
    let newer = FleetUpdate { records: vec![target("i-2")], revision: at(20) };
    assert!(records.replace(FleetTopic::Targets, &newer));
    let older = FleetUpdate { records: vec![target("i-1")], revision: at(19) };
    assert!(!records.replace(FleetTopic::Targets, &older));
    assert_eq!(target_ids(&node_state), ["i-2"]);
}

#[tokio::test(start_paused = true)]
async fn an_older_change_never_replaces_newer_records() {
    let (node_state, records) = records();
    let newer = FleetUpdate { records: vec![draining("i-1")], revision: at(20) };
    assert!(records.replace(FleetTopic::Targets, &newer));
    let older = FleetUpdate { records: vec![target("i-1"), target("i-2")], revision: at(19) };
    records.update(FleetTopic::Targets, &older);
    assert_eq!(target_ids(&node_state), ["i-1"]);
    assert!(is_draining(&node_state, "i-1"));
}

#[tokio::test(start_paused = true)]
async fn a_relay_that_loses_the_platform_reports_its_records_as_stale() {
    let (_, relay) = records();
    let update = FleetUpdate { records: vec![target("i-1")], revision: at(10) };
    relay.replace(FleetTopic::Targets, &update);
    relay.note_current(FleetTopic::Targets, Duration::ZERO);
    let age_ms = || relay.records_since(FleetTopic::Targets, at(10)).unwrap().age_ms;
    assert_eq!(age_ms(), 0);
    relay.note_disconnected(FleetTopic::Targets);
    assert_eq!(age_ms(), u64::MAX);
    relay.note_current(FleetTopic::Targets, Duration::ZERO);
    assert_eq!(age_ms(), 0);
}

#[test]
fn a_follower_leaves_a_partitioned_relay_within_two_seconds() {
    // A configuration must take effect within 3 s.
    let limit = Duration::from_millis(1_900);
    for first_ms in [0, 300, 900, 1_300] {
        let mut age = Duration::from_millis(first_ms);
        while age < limit {
            age += relay_wait(age, limit);
        }
        assert!(age <= Duration::from_millis(2_000), "first age {first_ms} ms, left at {age:?}");
    }
}

/// Platform whose first calls fail, as on keep-alive connections to a replaced part of it.
struct ReplacedSource {
    failures_left: AtomicU32,
}

#[async_trait]
impl TestRecords for ReplacedSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        let left = self.failures_left.load(Ordering::SeqCst);
        if left > 0 {
            self.failures_left.store(left - 1, Ordering::SeqCst);
            return Err(PlatformError::Unavailable("connection reset".to_string()).into());
        }
        Ok(FleetUpdate { records: vec![target("i-1")], revision: at(40) })
    }
}

#[tokio::test(start_paused = true)]
async fn a_follower_without_responsive_relays_reads_the_platform_within_a_second() {
    for failures in 0..=2 {
        let (node_state, records) = records();
        records.replace(FleetTopic::Entries, &entry_records(20));
        assert!(!records.relays().is_empty(), "entry-1 is a follower");
        let source = ReplacedSource { failures_left: AtomicU32::new(failures) };
        // Without a network, no relay responds.
        let peer_client = Arc::new(PeerClient::default());
        let follower = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(Arc::new(source))),
            records,
            peer_client,
        });
        let task = tokio::spawn(watch_topic(follower, FleetTopic::Targets, FirstSource::Relays));
        tokio::time::sleep(SECOND).await;
        assert_eq!(target_ids(&node_state), ["i-1"], "after {failures} failures");
        task.abort();
    }
}

/// Platform that is down; records the time of each read.
#[derive(Default)]
struct UnavailableSource {
    reads: Mutex<BTreeMap<FleetTopic, Vec<Instant>>>,
}

#[async_trait]
impl TestRecords for UnavailableSource {
    async fn read(&self, topic: FleetTopic) -> Result<FleetUpdate, WatchError> {
        self.reads.lock().unwrap().entry(topic).or_default().push(Instant::now());
        Err(PlatformError::Unavailable("connection reset".to_string()).into())
    }

    async fn changes(
        &self,
        topic: FleetTopic,
        _: StoreRevision,
        _: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        self.read(topic).await
    }
}

#[tokio::test(start_paused = true)]
async fn silent_peers_do_not_delay_the_reads_of_an_unavailable_platform() {
    let (_, records) = records();
    let silent = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap());
    let entries = silent.iter().enumerate().map(|(index, socket)| {
        let entry = RegisteredEntry {
            name: format!("entry-{}", index + 2),
            address: socket.local_addr().unwrap(),
            data_centre: "mnl-a".to_string(),
            cpu_percent: 25,
            fetches_notices: true,
            crashes: Default::default(),
        };
        NamedRecord { name: entry.name.clone(), record: Some(FleetRecord::Entry(entry)) }
    });
    let entries = FleetUpdate { records: entries.collect(), revision: at(3) };
    records.replace(FleetTopic::Entries, &entries);
    let (certificate, key) = Authority::generate_pem().unwrap();
    let identity =
        PeerIdentity { entry_id: "entry-1".to_string(), data_centre: "mnl-a".to_string() };
    let network = QuicPeers::bind(
        "127.0.0.1:0",
        Authority::open(certificate.as_bytes(), key.as_bytes()).unwrap(),
        identity,
        CertificateTiming::default(),
        TransportLimits::open(65_536),
    );
    let peer_client = Arc::new(PeerClient::default());
    peer_client.set_network(network.unwrap());
    let source = Arc::new(UnavailableSource::default());
    let watcher = Arc::new(FleetWatcher {
        source: Arc::new(TestSource(source.clone())),
        records,
        peer_client,
    });
    let topics =
        [FleetTopic::Serving, FleetTopic::Targets, FleetTopic::Weights, FleetTopic::Entries];
    let mut tasks = JoinSet::new();
    for topic in topics {
        tasks.spawn(watch_topic(watcher.clone(), topic, FirstSource::Relays));
    }
    tokio::time::sleep(10 * SECOND).await;
    let reads = source.reads.lock().unwrap();
    for topic in topics {
        let pauses = reads[&topic].windows(2).map(|pair| pair[1] - pair[0]);
        let longest = pauses.max().unwrap_or(Duration::MAX);
        // The platform's new configuration takes effect within 2 s of its return.
        assert!(longest <= SECOND, "{topic}: {longest:?} without a read");
    }
}

#[tokio::test(start_paused = true)]
async fn requests_that_need_the_current_document_do_not_wait_for_each_others_lookups() {
    let delay = Duration::from_millis(400);
    for responds in [true, false] {
        let (_, records) = records();
        let entry = RegisteredEntry {
            name: "entry-2".to_string(),
            address: ([10, 0, 0, 2], 80).into(),
            data_centre: "mnl-a".to_string(),
            cpu_percent: 25,
            fetches_notices: true,
            crashes: CrashReport::default(),
        };
        let entry =
            NamedRecord { name: entry.name.clone(), record: Some(FleetRecord::Entry(entry)) };
        let entries = FleetUpdate { records: vec![entry], revision: at(3) };
        records.replace(FleetTopic::Entries, &entries);
        let peer_client = Arc::new(PeerClient::default());
        let response = responds.then(|| {
            PeerResponse::Records(PeerRecords {
                update: FleetUpdate::default(),
                is_complete: false,
                age_ms: 0,
                complete_age_ms: Some(0),
            })
        });
        peer_client.set_network(Arc::new(SlowNetwork { delay, response }));
        let source = Arc::new(UnavailableSource::default());
        let watcher = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(source.clone())),
            records,
            peer_client,
        });
        let confirmer = ServingConfirmer::open(watcher);
        let mut lookups = JoinSet::new();
        for index in 0..5 {
            let confirmer = confirmer.clone();
            lookups.spawn(async move {
                tokio::time::sleep(index * Duration::from_millis(40)).await;
                let began = Instant::now();
                (confirmer.confirm().await, began.elapsed())
            });
        }
        for (is_confirmed, waited) in lookups.join_all().await {
            assert_eq!(is_confirmed, responds);
            assert!(waited <= delay, "peers respond: {responds}; waited {waited:?}");
        }
        let reads = source.reads.lock().unwrap()[&FleetTopic::Serving].len();
        assert_eq!(reads, 1, "peers respond: {responds}");
    }
}

#[tokio::test(start_paused = true)]
async fn processes_killed_before_a_time_is_recorded_do_not_prolong_the_use_of_replaced_weights() {
    let (node_state, records) = records();
    let weights = DesiredWeights {
        model: "tala".to_string(),
        weight_version: 2,
        desired_since_ms: BTreeMap::new(),
    };
    let record = Some(FleetRecord::Weights(weights));
    let named = NamedRecord { name: "tala".to_string(), record };
    // All processes are killed 0.2 s after the naming, and start again 1.3 s later.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    records.replace(FleetTopic::Weights, &FleetUpdate { records: vec![named], revision: at(5) });
    let limit = Duration::from_millis(10_500);
    let withdrawal = tokio::time::timeout(limit, node_state.wait_for_expiry("tala", 1)).await;
    assert_eq!(withdrawal, Ok(()), "a run may start later than 12 s after the naming");
}

#[test]
fn processes_that_start_together_do_not_each_watch_all_caches() {
    struct Case {
        name: &'static str,
        /// Entry processes that the process reads first, with itself among them or not.
        first_read: Option<(usize, bool)>,
        /// Entry processes listed later, itself among them.
        later: usize,
        /// Role after its first read, 1.4 s and 1.6 s after it.
        roles: [&'static str; 3],
    }
    let cases = [
        Case {
            name: "first start of a large fleet",
            first_read: Some((3, false)),
            later: 40,
            roles: ["undecided", "follower", "follower"],
        },
        Case {
            name: "first start of a small fleet",
            first_read: Some((3, false)),
            later: 7,
            roles: ["undecided", "undecided", "direct"],
        },
        Case {
            name: "restart in a small fleet",
            first_read: Some((7, true)),
            later: 7,
            roles: ["direct", "direct", "direct"],
        },
        Case {
            name: "restart of a large fleet",
            first_read: Some((40, true)),
            later: 40,
            roles: ["follower", "follower", "follower"],
        },
        Case {
            name: "the list can't be read",
            first_read: None,
            later: 0,
            roles: ["undecided", "undecided", "undecided"],
        },
    ];
    let entries = |count: usize, is_listed: bool| -> Vec<RegisteredEntry> {
        let from = usize::from(!is_listed);
        (from..count + from)
            .map(|index| RegisteredEntry {
                name: format!("entry-{index:02}"),
                address: ([10, 0, 0, u8::try_from(index).unwrap()], 80).into(),
                data_centre: "mnl-a".to_string(),
                cpu_percent: if index == 0 { 12 } else { 25 },
                fetches_notices: true,
                crashes: Default::default(),
            })
            .collect()
    };
    let node = "entry-00";
    for Case { name, first_read, later, roles } in cases {
        let mut decision = RoleDecision::open(SECOND);
        let first = first_read.map(|(count, is_listed)| entries(count, is_listed));
        if let Some(first) = &first {
            decision.note_read(first, node, SECOND);
        }
        let listed = entries(later, true);
        let after = |millis| SECOND + Duration::from_millis(millis);
        let seen = [
            decision.role(&first.unwrap_or_default(), node, SECOND).name(),
            decision.role(&listed, node, after(1_400)).name(),
            decision.role(&listed, node, after(1_600)).name(),
        ];
        assert_eq!(seen, roles, "{name}");
    }
    let unread = RoleDecision::open(SECOND);
    assert_eq!(unread.role(&[], node, 7 * SECOND), CacheWatchRole::Direct, "after five seconds");
}
