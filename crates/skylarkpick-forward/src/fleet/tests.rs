//! Records are taken in, told on, and lapse as their notes say.

use super::{
    follow::{FleetFollower, follow_topic, relay_wait},
    lapses::Lapses,
    reading::{CacheReading, cache_reading},
    record::Recorder,
};
use crate::{desk::Desk, peers::PeerRescue, test_support::empty_desk};
use async_trait::async_trait;
use skylarkpick_interface::{
    FleetRecord, FleetRevision, FleetSource, FleetTopic, FleetUpdate, NamedRecord, PlatformError,
    RegisteredEntry, RegisteredTarget, WatchError,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

fn recorder() -> (Arc<Desk>, Recorder) {
    let desk = empty_desk();
    (desk.clone(), Recorder::open(desk, "entry-1"))
}

fn target(id: &str) -> NamedRecord {
    let listed = RegisteredTarget {
        id: id.to_string(),
        service: "book-api".to_string(),
        address: "10.1.0.1:80".parse().unwrap(),
        data_centre: "mnl-a".to_string(),
        slots: 6,
        is_draining: false,
        weights: BTreeMap::new(),
        started_at_ms: 1,
    };
    NamedRecord { name: id.to_string(), record: Some(FleetRecord::Target(listed)) }
}

fn gone(id: &str) -> NamedRecord {
    NamedRecord { name: id.to_string(), record: None }
}

fn known(desk: &Desk) -> Vec<String> {
    desk.lock().placement.targets().keys().cloned().collect()
}

#[test]
fn a_missing_record_waits_only_after_the_platforms_return() {
    struct Case {
        name: &'static str,
        was_lost: bool,
        /// Time from the platform's return to the removal.
        after: Duration,
        waits: bool,
    }
    let cases = [
        Case { name: "never lost", was_lost: false, after: Duration::ZERO, waits: false },
        Case { name: "just back", was_lost: true, after: Duration::from_millis(500), waits: true },
        Case { name: "long back", was_lost: true, after: 3 * SECOND, waits: false },
    ];
    for case in cases {
        let mut lapses = Lapses::default();
        if case.was_lost {
            lapses.note_lost();
        }
        lapses.note_heard(SECOND);
        let now = SECOND + case.after;
        assert_eq!(lapses.missing("i-1", now), case.waits, "{}", case.name);
        assert!(lapses.due(now).is_empty(), "{}", case.name);
        let due = lapses.due(now + 3 * SECOND);
        assert_eq!(due.len(), usize::from(case.waits), "{}", case.name);
    }
}

#[test]
fn a_target_that_came_back_in_time_is_not_removed() {
    let mut lapses = Lapses::default();
    lapses.note_lost();
    lapses.note_heard(SECOND);
    assert!(lapses.missing("i-1", SECOND));
    lapses.came_back("i-1");
    assert!(lapses.due(9 * SECOND).is_empty());
}

#[test]
fn two_processes_of_a_data_centre_read_the_caches_of_a_large_fleet() {
    let entries: Vec<RegisteredEntry> = (0..40)
        .map(|index| RegisteredEntry {
            name: format!("entry-{index:02}"),
            address: ([10, 0, 0, index], 80).into(),
            data_centre: ["mnl-a", "mnl-b"][usize::from(index) % 2].to_string(),
            cpu_percent: if index >= 36 { 50 } else { 12 },
        })
        .collect();
    assert_eq!(cache_reading(&entries[..12], "entry-00"), CacheReading::All);
    let reads = |node: &str| cache_reading(&entries, node) == CacheReading::Relay;
    let relays: Vec<&str> =
        entries.iter().map(|it| it.name.as_str()).filter(|name| reads(name)).collect();
    assert_eq!(relays, ["entry-36", "entry-37", "entry-38", "entry-39"], "the strongest VMs");
    let CacheReading::Follower { relays } = cache_reading(&entries, "entry-01") else {
        panic!("entry-01 follows")
    };
    assert_eq!(relays, ["10.0.0.37:80", "10.0.0.39:80"], "those of its own data centre");
    assert_eq!(cache_reading(&entries, "unlisted"), CacheReading::All);
}

#[tokio::test(start_paused = true)]
async fn another_process_takes_over_what_is_newer_and_removals_too() {
    let (_, first) = recorder();
    let news = FleetUpdate { records: vec![target("i-1"), target("i-2")], revision: 10 };
    first.replace(FleetTopic::Targets, &news);
    let (desk, second) = recorder();
    let told = first.newer_than(FleetTopic::Targets, 0).unwrap();
    assert!(told.is_whole);
    assert!(second.take_over(FleetTopic::Targets, &told));
    assert_eq!(known(&desk), ["i-1", "i-2"]);
    first.update(FleetTopic::Targets, &FleetUpdate { records: vec![gone("i-1")], revision: 12 });
    let told = first.newer_than(FleetTopic::Targets, 10).unwrap();
    assert_eq!((told.is_whole, told.news.records.len()), (false, 1), "only what changed");
    assert!(second.take_over(FleetTopic::Targets, &told));
    assert_eq!(known(&desk), ["i-2"]);
    assert!(!second.take_over(FleetTopic::Targets, &told), "it is not newer any more");
}

#[tokio::test(start_paused = true)]
async fn an_older_reading_never_replaces_a_newer_one() {
    let (desk, recorder) = recorder();
    let newer = FleetUpdate { records: vec![target("i-2")], revision: 20 };
    assert!(recorder.replace(FleetTopic::Targets, &newer));
    let older = FleetUpdate { records: vec![target("i-1")], revision: 19 };
    assert!(!recorder.replace(FleetTopic::Targets, &older));
    assert_eq!(known(&desk), ["i-2"]);
}

#[tokio::test(start_paused = true)]
async fn a_process_that_lost_the_platform_tells_its_followers_at_once() {
    let (_, relay) = recorder();
    let news = FleetUpdate { records: vec![target("i-1")], revision: 10 };
    relay.replace(FleetTopic::Targets, &news);
    relay.note_newest(FleetTopic::Targets, Duration::ZERO);
    let age_ms = || relay.newer_than(FleetTopic::Targets, 10).unwrap().age_ms;
    assert_eq!(age_ms(), 0);
    relay.note_lost(FleetTopic::Targets);
    assert_eq!(age_ms(), u64::MAX);
    relay.note_newest(FleetTopic::Targets, Duration::ZERO);
    assert_eq!(age_ms(), 0);
}

#[test]
fn followers_leave_a_process_whose_link_fell_silent_within_two_seconds() {
    // A configuration has three seconds to be in force.
    let limit = Duration::from_millis(1_900);
    for first_ms in [0, 300, 900, 1_300] {
        let mut age = Duration::from_millis(first_ms);
        while age < limit {
            age += relay_wait(age, limit);
        }
        assert!(age <= Duration::from_millis(2_000), "asked at {first_ms} ms, left at {age:?}");
    }
}

/// A platform whose first calls fail, as on kept connections to a part of it that was replaced.
struct ReplacedSource {
    failures_left: AtomicU32,
}

#[async_trait]
impl FleetSource for ReplacedSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        let left = self.failures_left.load(Ordering::SeqCst);
        if left > 0 {
            self.failures_left.store(left - 1, Ordering::SeqCst);
            return Err(PlatformError::Unavailable("connection reset".to_string()).into());
        }
        Ok(FleetUpdate { records: vec![target("i-1")], revision: 40 })
    }

    async fn changes(
        &self,
        _: FleetTopic,
        _: FleetRevision,
        _: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        std::future::pending().await
    }

    async fn register(&self, _: &RegisteredEntry) -> Result<(), PlatformError> {
        Ok(())
    }

    async fn unregister(&self, _: &str) -> Result<(), PlatformError> {
        Ok(())
    }
}

#[tokio::test(start_paused = true)]
async fn a_follower_without_relays_reads_the_platform_within_a_second_also_past_dead_connections() {
    for failures in 0..=2 {
        let (desk, recorder) = recorder();
        let entries = (0..20_u8).map(|index| {
            let entry = RegisteredEntry {
                name: format!("entry-{index}"),
                address: ([10, 0, 0, index], 80).into(),
                data_centre: "mnl-a".to_string(),
                cpu_percent: if index == 1 { 12 } else { 25 },
            };
            NamedRecord { name: entry.name.clone(), record: Some(FleetRecord::Entry(entry)) }
        });
        let entries = FleetUpdate { records: entries.collect(), revision: 3 };
        recorder.replace(FleetTopic::Entries, &entries);
        assert!(!recorder.relays_to_follow().is_empty(), "entry-1 follows others");
        let source = ReplacedSource { failures_left: AtomicU32::new(failures) };
        // Without a network no relay answers.
        let rescue = Arc::new(PeerRescue::default());
        let follower = Arc::new(FleetFollower { source: Arc::new(source), recorder, rescue });
        let task = tokio::spawn(follow_topic(follower, FleetTopic::Targets));
        tokio::time::sleep(SECOND).await;
        assert_eq!(known(&desk), ["i-1"], "after {failures} failures");
        task.abort();
    }
}
