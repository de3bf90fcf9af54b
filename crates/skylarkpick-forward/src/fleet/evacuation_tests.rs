//! Tests of the records of evacuations: how they are applied, watched and relayed.

use super::{
    era_tests::{removed, revision, update},
    evacuation_log::EvacuationLog,
    records::FleetRecords,
    tests::{SECOND, target},
    topic_watch::{FirstSource, FleetWatcher, watch_topic, watch_topic_from_start},
};
use crate::{
    node_state::NodeState,
    peers::{PeerClient, PeerRecords, PeerResponse},
    test_support::{
        ManualClock, SlowNetwork, TestRecords, TestSource, empty_node_state, entry_records,
        evacuating_node_state,
    },
};
use async_trait::async_trait;
use skylarkpick_interface::{
    Clock, FleetRecord, FleetTopic, FleetUpdate, NamedRecord, PeerError, PeerHandler, PeerNetwork,
    PlatformError, StoreRevision, TokioClock, WatchError,
};
use std::{
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, SystemTime},
};

const TOPIC: FleetTopic = FleetTopic::Evacuations;
/// Time for which a lost evacuation stays in effect, and a bit more.
const LOST_TIME: Duration = Duration::from_millis(10_100);

fn evacuating_records() -> (Arc<NodeState>, FleetRecords) {
    let node_state = evacuating_node_state(Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH)));
    (node_state.clone(), FleetRecords::open(node_state, "entry-1"))
}

fn evacuation(data_centre: &str) -> NamedRecord {
    let record = FleetRecord::Evacuation(data_centre.to_string());
    NamedRecord { name: data_centre.to_string(), record: Some(record) }
}

fn unreadable(data_centre: &str) -> NamedRecord {
    let record = FleetRecord::Unreadable("no content".to_string());
    NamedRecord { name: data_centre.to_string(), record: Some(record) }
}

fn evacuated(node_state: &NodeState) -> Vec<String> {
    node_state.lock().placement.evacuated().iter().cloned().collect()
}

#[tokio::test(start_paused = true)]
async fn records_begin_and_end_evacuations() {
    struct Case {
        name: &'static str,
        apply: fn(&FleetRecords),
        expected: &'static [&'static str],
    }
    fn list(records: &FleetRecords, named: Vec<NamedRecord>, number: u64) {
        records.replace(TOPIC, &update(named, revision(1, number)));
    }
    fn change(records: &FleetRecords, named: NamedRecord, number: u64) {
        records.update(TOPIC, &update(vec![named], revision(1, number)));
    }
    let cases = [
        Case { name: "an empty list", apply: |it| list(it, vec![], 5), expected: &[] },
        Case {
            name: "a list",
            apply: |it| list(it, vec![evacuation("mnl-a"), evacuation("mnl-b")], 5),
            expected: &["mnl-a", "mnl-b"],
        },
        Case {
            name: "a record that can't be read",
            apply: |it| list(it, vec![unreadable("mnl-b")], 5),
            expected: &["mnl-b"],
        },
        Case {
            name: "added",
            apply: |it| {
                list(it, vec![], 5);
                change(it, evacuation("mnl-b"), 6);
            },
            expected: &["mnl-b"],
        },
        Case {
            name: "added, can't be read",
            apply: |it| {
                list(it, vec![], 5);
                change(it, unreadable("mnl-b"), 6);
            },
            expected: &["mnl-b"],
        },
        Case {
            name: "can't be read any more",
            apply: |it| {
                list(it, vec![evacuation("mnl-b")], 5);
                change(it, unreadable("mnl-b"), 6);
            },
            expected: &["mnl-b"],
        },
        Case {
            name: "removed",
            apply: |it| {
                list(it, vec![evacuation("mnl-a"), evacuation("mnl-b")], 5);
                change(it, removed("mnl-b"), 6);
            },
            expected: &["mnl-a"],
        },
        Case {
            name: "removed before a list",
            apply: |it| {
                list(it, vec![evacuation("mnl-a"), evacuation("mnl-b")], 5);
                list(it, vec![evacuation("mnl-b")], 6);
            },
            expected: &["mnl-b"],
        },
        Case {
            name: "removed and added again",
            apply: |it| {
                list(it, vec![evacuation("mnl-b")], 5);
                let changes = vec![removed("mnl-b"), evacuation("mnl-b")];
                it.update(TOPIC, &update(changes, revision(1, 7)));
            },
            expected: &["mnl-b"],
        },
        Case {
            name: "an older list",
            apply: |it| {
                list(it, vec![evacuation("mnl-b")], 5);
                list(it, vec![], 4);
            },
            expected: &["mnl-b"],
        },
    ];
    for case in cases {
        let (node_state, records) = evacuating_records();
        (case.apply)(&records);
        assert_eq!(evacuated(&node_state), case.expected, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn an_evacuation_that_the_platform_has_lost_stays_in_effect_for_a_while() {
    struct Case {
        name: &'static str,
        apply: fn(&FleetRecords),
        at_once: &'static [&'static str],
        later: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "an older copy without it",
            apply: |it| _ = it.replace(TOPIC, &update(vec![], revision(2, 3))),
            at_once: &["mnl-b"],
            later: &[],
        },
        Case {
            name: "the same, read twice",
            apply: |it| {
                it.replace(TOPIC, &update(vec![], revision(2, 3)));
                it.replace(TOPIC, &update(vec![], revision(2, 4)));
            },
            at_once: &["mnl-b"],
            later: &[],
        },
        Case {
            name: "written again",
            apply: |it| {
                it.replace(TOPIC, &update(vec![], revision(2, 3)));
                it.update(TOPIC, &update(vec![evacuation("mnl-b")], revision(2, 4)));
            },
            at_once: &["mnl-b"],
            later: &["mnl-b"],
        },
        Case {
            name: "written again and removed",
            apply: |it| {
                it.replace(TOPIC, &update(vec![], revision(2, 3)));
                it.update(TOPIC, &update(vec![evacuation("mnl-b")], revision(2, 4)));
                it.update(TOPIC, &update(vec![removed("mnl-b")], revision(2, 5)));
            },
            at_once: &[],
            later: &[],
        },
        Case {
            name: "an older copy with one that was removed",
            apply: |it| {
                let both = vec![evacuation("mnl-a"), evacuation("mnl-b")];
                it.replace(TOPIC, &update(both, revision(2, 3)));
            },
            at_once: &["mnl-a", "mnl-b"],
            later: &["mnl-a", "mnl-b"],
        },
        Case {
            name: "the platform no longer knows the kind",
            apply: |it| it.note_no_records(TOPIC),
            at_once: &["mnl-b"],
            later: &[],
        },
        Case {
            name: "the platform knows the kind again",
            apply: |it| {
                it.note_no_records(TOPIC);
                it.replace(TOPIC, &update(vec![evacuation("mnl-b")], revision(1, 5)));
            },
            at_once: &["mnl-b"],
            later: &["mnl-b"],
        },
        Case {
            name: "the platform is unavailable",
            apply: |it| it.note_disconnected(TOPIC),
            at_once: &["mnl-b"],
            later: &["mnl-b"],
        },
    ];
    for case in cases {
        let (node_state, records) = evacuating_records();
        records.replace(TOPIC, &update(vec![evacuation("mnl-b")], revision(1, 5)));
        (case.apply)(&records);
        records.remove_expired_evacuations();
        assert_eq!(evacuated(&node_state), case.at_once, "{}", case.name);
        tokio::time::sleep(LOST_TIME).await;
        records.remove_expired_evacuations();
        assert_eq!(evacuated(&node_state), case.later, "{}: later", case.name);
    }
}

/// Platform with one list of evacuations, or the error of each read, and no further changes.
struct ListSource {
    list: Result<FleetUpdate, WatchError>,
    reads: AtomicU32,
}

impl ListSource {
    fn open(list: Result<FleetUpdate, WatchError>) -> Arc<ListSource> {
        Arc::new(ListSource { list, reads: AtomicU32::new(0) })
    }
}

#[async_trait]
impl TestRecords for ListSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        self.list.clone()
    }

    async fn changes(
        &self,
        _: FleetTopic,
        since: StoreRevision,
        timeout: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        tokio::time::sleep(timeout).await;
        Ok(FleetUpdate { records: vec![], revision: since })
    }
}

fn unavailable() -> WatchError {
    PlatformError::Unavailable("connection refused".to_string()).into()
}

fn watcher<R: TestRecords + 'static>(
    source: Arc<R>,
    records: FleetRecords,
    network: Arc<dyn PeerNetwork>,
) -> Arc<FleetWatcher> {
    let peer_client = Arc::new(PeerClient::default());
    peer_client.set_network(network);
    Arc::new(FleetWatcher { source: Arc::new(TestSource(source)), records, peer_client })
}

/// Response of another process whose only evacuation is of `mnl-b`.
fn peer_records(age_ms: u64) -> PeerResponse {
    PeerResponse::Records(PeerRecords {
        update: update(vec![evacuation("mnl-b")], revision(0, 7)),
        is_complete: true,
        age_ms,
        complete_age_ms: Some(age_ms),
    })
}

#[tokio::test(start_paused = true)]
async fn a_process_that_starts_knows_the_evacuations_or_that_there_are_none() {
    struct Case {
        name: &'static str,
        entries: u8,
        platform: Result<FleetUpdate, WatchError>,
        /// Answer of each other process.
        response: Option<PeerResponse>,
        expected: &'static [&'static str],
        is_awaited: bool,
        /// Greatest number of reads of the platform in 10 s.
        reads: u32,
    }
    let list = || Ok(update(vec![evacuation("mnl-b")], revision(0, 7)));
    let no_records = || {
        PeerResponse::Records(PeerRecords {
            update: update(vec![], StoreRevision::default()),
            is_complete: false,
            age_ms: 0,
            complete_age_ms: None,
        })
    };
    let cases = [
        Case {
            name: "the platform's list",
            entries: 3,
            platform: list(),
            response: None,
            expected: &["mnl-b"],
            is_awaited: false,
            reads: 1,
        },
        Case {
            name: "the platform doesn't know the kind",
            entries: 3,
            platform: Err(WatchError::UnknownKind),
            response: None,
            expected: &[],
            is_awaited: false,
            reads: 25,
        },
        Case {
            name: "the platform is unavailable, others know",
            entries: 3,
            platform: Err(unavailable()),
            response: Some(peer_records(9_000)),
            expected: &["mnl-b"],
            is_awaited: false,
            reads: 80,
        },
        Case {
            name: "the platform is unavailable, and nobody answers",
            entries: 3,
            platform: Err(unavailable()),
            response: None,
            expected: &[],
            is_awaited: true,
            reads: 80,
        },
        Case {
            name: "relays have it",
            entries: 20,
            platform: Err(unavailable()),
            response: Some(peer_records(0)),
            expected: &["mnl-b"],
            is_awaited: false,
            reads: 0,
        },
        Case {
            name: "relays know that there is none",
            entries: 20,
            platform: Err(WatchError::UnknownKind),
            response: Some(no_records()),
            expected: &[],
            is_awaited: false,
            reads: 0,
        },
        Case {
            name: "relays of the version before",
            entries: 20,
            platform: list(),
            response: Some(PeerResponse::Nothing),
            expected: &["mnl-b"],
            is_awaited: false,
            reads: 1,
        },
        Case {
            name: "relays of the version before, and the platform doesn't know the kind",
            entries: 20,
            platform: Err(WatchError::UnknownKind),
            response: Some(PeerResponse::Nothing),
            expected: &[],
            is_awaited: false,
            reads: 25,
        },
    ];
    for case in cases {
        let (node_state, records) = evacuating_records();
        records.replace(FleetTopic::Entries, &entry_records(case.entries));
        let source = ListSource::open(case.platform);
        let delay = Duration::from_millis(10);
        let network = Arc::new(SlowNetwork { delay, response: case.response });
        let watcher = watcher(source.clone(), records, network);
        let task = tokio::spawn(watch_topic_from_start(watcher, TOPIC));
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert_eq!(node_state.awaits_evacuations(), case.is_awaited, "{}: awaited", case.name);
        tokio::time::sleep(Duration::from_millis(7_500)).await;
        assert_eq!(evacuated(&node_state), case.expected, "{}", case.name);
        assert!(!node_state.awaits_evacuations(), "{}: still awaited", case.name);
        let reads = source.reads.load(Ordering::SeqCst);
        assert!(reads <= case.reads, "{}: {reads} reads", case.name);
        task.abort();
    }
}

/// Relay of the version before, which answers nothing for a topic that it can't decode and counts the
/// questions.
#[derive(Default)]
struct EarlierRelay {
    questions: AtomicU32,
}

#[async_trait]
impl PeerNetwork for EarlierRelay {
    fn address(&self) -> String {
        "10.0.0.1:80".to_string()
    }

    fn listen(&self, _: Weak<dyn PeerHandler>) {}

    async fn send(&self, _: &str, _: Vec<u8>) -> Result<(), PeerError> {
        Ok(())
    }

    async fn request(&self, _: &str, message: Vec<u8>, _: Duration) -> Result<Vec<u8>, PeerError> {
        let request: serde_json::Value = serde_json::from_slice(&message).unwrap();
        let topic = request["records"]["topic"].as_str().unwrap();
        assert!(!["serving", "targets", "weights", "entries"].contains(&topic), "{topic}");
        self.questions.fetch_add(1, Ordering::SeqCst);
        Ok(serde_json::to_vec(&PeerResponse::Nothing).unwrap())
    }
}

/// Guards against a line in the log of a relay of the version before with each question, of which it
/// would get dozens per second, and against a follower that learns nothing meanwhile.
#[tokio::test(start_paused = true)]
async fn a_relay_that_does_not_know_the_topic_is_asked_rarely() {
    let (node_state, records) = evacuating_records();
    records.replace(FleetTopic::Entries, &entry_records(20));
    let relays = records.relays().len() as u32;
    let source = ListSource::open(Ok(update(vec![evacuation("mnl-b")], revision(0, 7))));
    let relay = Arc::new(EarlierRelay::default());
    let watcher = watcher(source.clone(), records, relay.clone());
    let task = tokio::spawn(watch_topic_from_start(watcher, TOPIC));
    tokio::time::sleep(100 * SECOND).await;
    let questions = relay.questions.load(Ordering::SeqCst);
    assert!((relays..=4 * relays).contains(&questions), "{questions} to {relays} relays");
    let reads = source.reads.load(Ordering::SeqCst);
    assert!(reads <= 5, "{reads} reads of all records");
    assert_eq!(evacuated(&node_state), ["mnl-b"]);
    task.abort();
}

/// Platform whose first list is empty, and whose watch reports an evacuation at a time.
struct ChangingSource {
    began: tokio::time::Instant,
    changes_after: Duration,
    /// Whether the watch under way at that time never returns.
    loses_watch: bool,
    watches: Mutex<Vec<Duration>>,
}

#[async_trait]
impl TestRecords for ChangingSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        if self.began.elapsed() < self.changes_after {
            return Ok(update(vec![], revision(0, 5)));
        }
        Ok(update(vec![evacuation("mnl-b")], revision(0, 6)))
    }

    async fn changes(
        &self,
        _: FleetTopic,
        since: StoreRevision,
        timeout: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        self.watches.lock().unwrap().push(timeout);
        let rest = self.changes_after.saturating_sub(self.began.elapsed());
        if since >= revision(0, 6) || rest > timeout {
            tokio::time::sleep(timeout).await;
            return Ok(update(vec![], since));
        }
        if self.loses_watch && !rest.is_zero() {
            std::future::pending().await
        }
        tokio::time::sleep(rest).await;
        Ok(update(vec![evacuation("mnl-b")], revision(0, 6)))
    }
}

/// Guards against an evacuation that takes effect later than 5 s after the platform has recorded it.
#[tokio::test(start_paused = true)]
async fn a_watch_applies_an_evacuation_within_its_bound() {
    struct Case {
        name: &'static str,
        loses_watch: bool,
        /// Greatest time from the change to its effect.
        delay: Duration,
    }
    let cases = [
        Case { name: "told", loses_watch: false, delay: Duration::from_millis(10) },
        Case { name: "a watch without a response", loses_watch: true, delay: 4 * SECOND },
    ];
    for case in cases {
        let (node_state, records) = evacuating_records();
        let source = Arc::new(ChangingSource {
            began: tokio::time::Instant::now(),
            changes_after: 7 * SECOND,
            loses_watch: case.loses_watch,
            watches: Mutex::default(),
        });
        let network = Arc::new(SlowNetwork { delay: SECOND / 100, response: None });
        let watcher = watcher(source.clone(), records, network);
        let task = tokio::spawn(watch_topic(watcher, TOPIC, FirstSource::Platform));
        tokio::time::sleep(7 * SECOND - SECOND / 100).await;
        assert!(evacuated(&node_state).is_empty(), "{}: too early", case.name);
        tokio::time::sleep(case.delay + SECOND / 50).await;
        assert_eq!(evacuated(&node_state), ["mnl-b"], "{}", case.name);
        task.abort();
    }
}

/// Guards against a stale list in a process whose VM was suspended while an evacuation was recorded:
/// the timers of its calls stand still meanwhile, its node time doesn't.
#[tokio::test(start_paused = true)]
async fn a_process_that_was_suspended_reads_the_evacuations_anew() {
    let clock = Arc::new(ManualClock::default());
    let node_state = evacuating_node_state(clock.clone());
    let records = FleetRecords::open(node_state.clone(), "entry-1");
    let source = Arc::new(ChangingSource {
        began: tokio::time::Instant::now(),
        changes_after: SECOND,
        loses_watch: true,
        watches: Mutex::default(),
    });
    let network = Arc::new(SlowNetwork { delay: SECOND / 100, response: None });
    let watcher = watcher(source, records, network);
    let task = tokio::spawn(watch_topic(watcher, TOPIC, FirstSource::Platform));
    tokio::time::sleep(SECOND + SECOND / 10).await;
    assert!(evacuated(&node_state).is_empty(), "the watch under way never returns");
    // The suspension.
    clock.set(clock.since_boot() + 60 * SECOND);
    tokio::time::sleep(SECOND / 2).await;
    assert_eq!(evacuated(&node_state), ["mnl-b"]);
    task.abort();
}

#[tokio::test(start_paused = true)]
async fn followers_receive_the_evacuations_of_their_relay() {
    struct Case {
        name: &'static str,
        apply: fn(&FleetRecords),
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "added",
            apply: |relay| {
                relay.update(TOPIC, &update(vec![evacuation("mnl-a")], revision(1, 6)));
            },
            expected: &["mnl-a", "mnl-b"],
        },
        Case {
            name: "removed",
            apply: |relay| relay.update(TOPIC, &update(vec![removed("mnl-b")], revision(1, 6))),
            expected: &[],
        },
        Case {
            name: "can't be read",
            apply: |relay| {
                relay.update(TOPIC, &update(vec![unreadable("mnl-a")], revision(1, 6)));
            },
            expected: &["mnl-a", "mnl-b"],
        },
        Case {
            name: "removed before a list",
            apply: |relay| _ = relay.replace(TOPIC, &update(vec![], revision(1, 6))),
            expected: &[],
        },
        Case {
            name: "lost, with the time to write it again",
            apply: |relay| _ = relay.replace(TOPIC, &update(vec![], revision(2, 3))),
            expected: &["mnl-b"],
        },
    ];
    for case in cases {
        let (_, relay) = evacuating_records();
        relay.replace(TOPIC, &update(vec![evacuation("mnl-b")], revision(1, 5)));
        let (node_state, follower) = evacuating_records();
        for _ in 0..2 {
            let received = relay.records_since(TOPIC, follower.revision(TOPIC)).unwrap();
            let message = serde_json::to_vec(&received).unwrap();
            follower.apply_peer_records(TOPIC, &serde_json::from_slice(&message).unwrap());
            if evacuated(&node_state) == ["mnl-b"] {
                (case.apply)(&relay);
            }
        }
        assert_eq!(evacuated(&node_state), case.expected, "{}", case.name);
    }
}

/// Guards against followers that trust a relay which can't tell them that evacuations are gone, and
/// against a process that uses evacuations and answers as if it didn't know them.
#[tokio::test(start_paused = true)]
async fn the_age_that_a_process_tells_of_its_evacuations_shows_what_it_knows() {
    struct Case {
        name: &'static str,
        apply: fn(&FleetRecords),
        age_ms: u64,
    }
    let cases = [
        Case { name: "nothing read yet", apply: |_| {}, age_ms: u64::MAX },
        Case {
            name: "the platform has no such kind",
            apply: |it| it.note_no_records(TOPIC),
            age_ms: 1_000,
        },
        Case {
            name: "the platform no longer has the kind",
            apply: |it| {
                it.replace(TOPIC, &update(vec![evacuation("mnl-b")], revision(1, 5)));
                it.note_no_records(TOPIC);
            },
            age_ms: u64::MAX,
        },
    ];
    for case in cases {
        let (_, records) = evacuating_records();
        (case.apply)(&records);
        tokio::time::sleep(SECOND).await;
        let told = records.records_since(TOPIC, StoreRevision::default()).unwrap();
        assert_eq!(told.age_ms, case.age_ms, "{}", case.name);
    }
    let without = FleetRecords::open(empty_node_state(), "entry-1");
    assert!(without.records_since(TOPIC, StoreRevision::default()).is_none(), "not used");
}

/// Guards against a log that an operator's faulty tool fills with evacuations.
#[test]
fn lines_about_evacuations_are_bounded() {
    let mut log = EvacuationLog::default();
    for (period, count) in [(0, 1_000), (1, 5), (2, 1_000)] {
        let began = period * 10 * SECOND;
        let allowed = (0..count).filter(|_| log.is_line_allowed(began)).count();
        assert_eq!(allowed, count.min(20), "period {period}");
    }
}

/// Guards against targets that count as present for longer since only the evacuations can't be read.
#[tokio::test(start_paused = true)]
async fn targets_are_removed_at_once_while_only_the_evacuations_can_not_be_read() {
    let (node_state, records) = evacuating_records();
    let targets = |named| update(named, revision(1, 5));
    records.replace(FleetTopic::Targets, &targets(vec![target("i-1")]));
    records.note_disconnected(TOPIC);
    records.note_response();
    records.update(FleetTopic::Targets, &update(vec![removed("i-1")], revision(1, 6)));
    assert!(node_state.lock().placement.targets().is_empty());
}
