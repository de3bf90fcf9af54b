//! Fleets of entry processes over in-memory networks, on paused time: distribution of the
//! configuration, detection of leaving targets, and polling of runners.

mod fleet;

use fleet::{Fleet, data_centre, entry_name, runner, service};
use skylarkpick_interface::VmState;
use std::time::Duration;
use tokio::time::sleep;

/// Target time for an accepted configuration to be in force on every process of a small fleet.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Target time after which a leaving target gets no new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[tokio::test(start_paused = true)]
async fn one_process_per_data_centre_watches_the_configuration() {
    let mut fleet = Fleet::spawn(&[4, 3]).await;
    sleep(seconds(30)).await;
    assert_eq!(fleet.platform.calls().open_watches, 2);
    // The watcher of the first data centre crashes; another process becomes the watcher.
    let watcher = fleet.watcher_of(0).await;
    fleet.kill(&watcher);
    sleep(seconds(15)).await;
    assert_ne!(fleet.watcher_of(0).await, watcher);
    let took = fleet.patch_platform(2).await;
    assert!(took.is_some_and(|took| took <= IN_FORCE_LIMIT));
}

#[tokio::test(start_paused = true)]
async fn an_accepted_configuration_is_in_force_everywhere_within_the_limit() {
    for counts in [&[7][..], &[4, 3], &[3, 2, 2]] {
        let fleet = Fleet::spawn(counts).await;
        sleep(seconds(20)).await;
        let took = fleet.patch_through(0, 2).await;
        assert!(took.is_some_and(|took| took <= IN_FORCE_LIMIT), "{counts:?}");
        sleep(seconds(5)).await;
        for entry in fleet.entries.values() {
            let status = entry.configuration_status().await;
            assert_eq!((status.version, status.in_force_on, status.members), (2, 7, 7));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_data_centre_without_the_platform_fetches_the_configuration_from_peers() {
    let fleet = Fleet::spawn(&[4, 3]).await;
    sleep(seconds(20)).await;
    fleet.partition_platform(1);
    let took = fleet.patch_through(0, 2).await;
    assert!(took.is_some_and(|took| took <= IN_FORCE_LIMIT));
}

#[tokio::test(start_paused = true)]
async fn reports_a_partitioned_data_centre_as_lagging_until_it_catches_up() {
    let fleet = Fleet::spawn(&[4, 3]).await;
    sleep(seconds(20)).await;
    fleet.partition_platform(1);
    fleet.peers.partition(&data_centre(0), &data_centre(1));
    assert_eq!(fleet.patch_through(0, 2).await, None);
    sleep(seconds(20)).await;
    let status = fleet.entry(0, 0).configuration_status().await;
    assert_eq!((status.version, status.in_force_on, status.members), (2, 4, 7));
    assert_eq!(status.silent_data_centres, [data_centre(1)]);
    let lagging = status.processes.iter().filter(|process| process.lagging_for_ms.is_some());
    assert!(lagging.clone().all(|process| process.data_centre == data_centre(1)));
    assert_eq!(lagging.count(), 3);
    fleet.peers.heal(&data_centre(0), &data_centre(1));
    let healed = fleet.wait_in_force(2, seconds(19)).await;
    assert!(healed.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_process_started_without_the_platform_becomes_ready_from_its_peers() {
    let fleet = Fleet::spawn(&[3, 2]).await;
    sleep(seconds(20)).await;
    fleet.patch_through(0, 2).await;
    sleep(seconds(5)).await;
    fleet.platform.set_faults(|faults| faults.unavailable = true);
    let late = fleet.start(0, 3);
    sleep(seconds(10)).await;
    assert_eq!(late.active_configuration().version, 2);
    assert!(late.is_ready());
    // Without the platform and without peers there is no configuration to fetch.
    let alone = fleet.start_alone();
    sleep(seconds(60)).await;
    assert!(!alone.is_ready());
}

#[tokio::test(start_paused = true)]
async fn a_leaving_runner_is_known_in_the_whole_fleet_in_time_from_any_source() {
    struct Case {
        source: &'static str,
        list_lag: Duration,
    }
    let cases = [
        Case { source: "list", list_lag: Duration::ZERO },
        Case { source: "target", list_lag: seconds(3_600) },
        Case { source: "refusal", list_lag: seconds(3_600) },
    ];
    for Case { source, list_lag } in cases {
        let fleet = Fleet::spawn_with(&[4, 3], list_lag).await;
        sleep(seconds(20)).await;
        let target = runner(0, 1);
        assert!(fleet.is_leaving_on(&target).await.is_empty(), "{source}");
        match source {
            "list" => fleet.platform.set_vm(&target, VmState::Leaving),
            "target" => fleet.runners[&target].leave(),
            _ => {
                fleet.drop_reports();
                sleep(seconds(2)).await;
                fleet.runners[&target].leave();
                fleet.send_prompts(0, 2).await;
                assert!(fleet.is_leaving_on(&target).await.contains(&entry_name(0, 2)));
            }
        }
        sleep(LEAVING_LIMIT).await;
        let processes = fleet.is_leaving_on(&target).await;
        assert!(processes.iter().filter(|name| name.starts_with("dc0")).count() == 4, "{source}");
        sleep(seconds(3)).await;
        assert_eq!(fleet.is_leaving_on(&target).await.len(), 7, "{source}");
        fleet.platform.set_faults(|faults| faults.unavailable = true);
        sleep(seconds(60)).await;
        assert_eq!(fleet.is_leaving_on(&target).await.len(), 7, "{source}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_restarted_runner_is_no_longer_leaving() {
    let fleet = Fleet::spawn_with(&[2, 2], seconds(3_600)).await;
    sleep(seconds(20)).await;
    let target = runner(0, 0);
    fleet.entry(0, 0).peers().observe_leaving(&target).await;
    sleep(seconds(6)).await;
    assert_eq!(fleet.is_leaving_on(&target).await.len(), 4);
    fleet.runners[&target].set_faults(|faults| faults.dead = true);
    sleep(seconds(3)).await;
    assert_eq!(fleet.is_leaving_on(&target).await.len(), 4);
    fleet.runners[&target].set_faults(|faults| faults.dead = false);
    sleep(seconds(6)).await;
    assert!(fleet.is_leaving_on(&target).await.is_empty());
}

#[tokio::test(start_paused = true)]
async fn one_process_polls_each_runner() {
    let fleet = Fleet::spawn(&[4, 3]).await;
    sleep(seconds(20)).await;
    for entry in fleet.entries.values() {
        let state = entry.state().await;
        assert!(state.runners.iter().all(|runner| runner.weight_version == Some(1)));
    }
    // An unchanged load is still reported often enough for the routers' report timeout.
    sleep(seconds(60)).await;
    for entry in fleet.entries.values() {
        let candidates = entry.candidates().await;
        let now = tokio::time::Instant::now().into_std();
        for candidate in candidates.values() {
            let reported_at = candidate.reported_at.unwrap();
            assert!(now.duration_since(reported_at) < seconds(8), "{}", candidate.name);
        }
    }
    let reads_before = fleet.status_reads(&runner(0, 0));
    sleep(seconds(10)).await;
    let reads = fleet.status_reads(&runner(0, 0)) - reads_before;
    // One process polls four times a second; two would make eight reads a second.
    assert!((30..=50).contains(&reads), "{reads}");
}

#[tokio::test(start_paused = true)]
async fn a_draining_process_leaves_the_membership_but_learns_of_leaving_runners() {
    let fleet = Fleet::spawn(&[3, 2]).await;
    sleep(seconds(20)).await;
    fleet.entry(0, 1).drain();
    sleep(seconds(3)).await;
    let others = fleet.entries.iter().filter(|(name, _)| *name != &entry_name(0, 1));
    for (_, entry) in others {
        assert_eq!(entry.configuration_status().await.members, 4);
    }
    // It still accepts requests until it exits, so it still has to learn of leaving runners.
    fleet.entry(0, 0).peers().observe_leaving(&runner(0, 1)).await;
    sleep(LEAVING_LIMIT).await;
    assert!(fleet.is_leaving_on(&runner(0, 1)).await.contains(&entry_name(0, 1)));
}

#[tokio::test(start_paused = true)]
async fn a_process_without_peers_polls_platform_and_runners_itself() {
    let fleet = Fleet::spawn(&[1]).await;
    let alone = fleet.start_alone();
    sleep(seconds(5)).await;
    assert!(alone.is_ready());
    let state = alone.state().await;
    assert!(!state.runners.is_empty());
    assert!(state.runners.iter().all(|runner| runner.weight_version == Some(1)));
    let took = fleet.patch_platform(2).await;
    assert!(took.is_some());
    sleep(seconds(3)).await;
    assert_eq!(alone.active_configuration().version, 2);
}

#[tokio::test(start_paused = true)]
async fn never_installs_an_older_configuration() {
    let fleet = Fleet::spawn(&[3, 2]).await;
    sleep(seconds(20)).await;
    assert!(fleet.patch_platform(5).await.is_some());
    fleet.patch_platform(3).await;
    sleep(seconds(120)).await;
    assert!(fleet.entries.values().all(|entry| entry.active_configuration().version == 5));
}

#[tokio::test(start_paused = true)]
async fn a_leaving_service_instance_gets_no_calls_until_it_is_replaced() {
    let fleet = Fleet::spawn_with(&[2, 2], Duration::ZERO).await;
    sleep(seconds(20)).await;
    assert_eq!(fleet.call_service(0, 1).await, [1, 0]);
    fleet.platform.set_vm(&service(0), VmState::Leaving);
    sleep(LEAVING_LIMIT).await;
    assert_eq!(fleet.call_service(0, 0).await, [1, 1]);
    assert_eq!(fleet.call_service(0, 1).await, [1, 2]);
    fleet.platform.set_vm(&service(0), VmState::Live);
    sleep(LEAVING_LIMIT).await;
    assert_eq!(fleet.call_service(0, 0).await, [2, 2]);
    assert_eq!(fleet.call_service(0, 1).await, [3, 2]);
}
