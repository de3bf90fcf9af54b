//! Tests of simulated clusters in virtual time: joining, failure detection, leaving, partitions,
//! bridges, roles and the platform's list.

mod support;

use skylarkpick_interface::RunnerStatus;
use skylarkpick_membership::Membership;
use skylarkpick_protocol::peer::{Gossip, Member, MemberState, PeerMessage, peer_message::Body};
use std::{collections::BTreeMap, time::Duration};
use support::{Fleet, name, runner};

/// Longest time for a leaving flag to reach every process of a data centre.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Longest time until a stopped process is declared dead.
const DETECTION_LIMIT: Duration = Duration::from_secs(15);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn all_see_live(nodes: &BTreeMap<String, Membership>, count: usize) -> bool {
    nodes.values().all(|node| node.live_members().len() == count)
}

fn state_at(node: &Membership, entry: &str) -> Option<MemberState> {
    let views = node.member_views();
    views.into_iter().find(|view| view.entry_id == entry).map(|view| view.state)
}

fn status(incarnation: u64, leaving: bool) -> RunnerStatus {
    RunnerStatus {
        model: "tala-llm".to_string(),
        weight_version: 1,
        loading: None,
        leaving,
        incarnation,
    }
}

struct ClusterSize {
    data_centres: usize,
    entries: usize,
}

const SIZES: [ClusterSize; 3] = [
    ClusterSize { data_centres: 1, entries: 7 },
    ClusterSize { data_centres: 2, entries: 4 },
    ClusterSize { data_centres: 3, entries: 8 },
];

#[test]
fn every_process_discovers_all_others() {
    for ClusterSize { data_centres, entries } in SIZES {
        let mut fleet = Fleet::spawn(data_centres, entries, 0, 1);
        let joined =
            fleet.run_until(seconds(30), |nodes| all_see_live(nodes, data_centres * entries));
        assert!(joined.is_some(), "{data_centres} x {entries}");
    }
}

#[test]
fn live_processes_are_not_suspected() {
    let mut fleet = Fleet::spawn(2, 6, 0, 2);
    fleet.run(seconds(120));
    for node in fleet.nodes.values() {
        assert_eq!(node.own().incarnation, 1_000, "{} had to refute", node.own().entry_id);
    }
}

#[test]
fn stopped_process_is_declared_dead_and_rejoins_after_a_restart() {
    let mut fleet = Fleet::spawn(1, 7, 0, 3);
    fleet.run(seconds(15));
    fleet.stopped.insert(name(0, 3));
    let detected = fleet.run_until(DETECTION_LIMIT, |nodes| {
        let mut others = nodes.values().filter(|node| node.own().entry_id != name(0, 3));
        others.all(|node| state_at(node, &name(0, 3)) == Some(MemberState::Dead))
    });
    assert!(detected.is_some());
    fleet.nodes.remove(&name(0, 3));
    fleet.start(0, 3, 2_000, 3);
    assert!(fleet.run_until(seconds(15), |nodes| all_see_live(nodes, 7)).is_some());
}

#[test]
fn broken_link_between_two_processes_causes_no_suspicion() {
    let mut fleet = Fleet::spawn(1, 7, 0, 4);
    fleet.run(seconds(15));
    fleet.broken_links.insert((name(0, 1), name(0, 2)));
    fleet.broken_links.insert((name(0, 2), name(0, 1)));
    fleet.run(seconds(60));
    for node in fleet.nodes.values() {
        assert_eq!(node.own().incarnation, 1_000, "{} had to refute", node.own().entry_id);
    }
}

#[test]
fn paused_process_refutes_its_death_and_returns() {
    let mut fleet = Fleet::spawn(1, 7, 0, 5);
    fleet.run(seconds(15));
    fleet.stopped.insert(name(0, 2));
    fleet.run(seconds(30));
    assert_eq!(state_at(fleet.node(0, 0), &name(0, 2)), Some(MemberState::Dead));
    fleet.stopped.remove(&name(0, 2));
    assert!(fleet.run_until(seconds(30), |nodes| all_see_live(nodes, 7)).is_some());
    assert!(fleet.node(0, 2).own().incarnation > 1_000);
}

#[test]
fn all_members_learn_in_time_that_a_process_left() {
    let mut fleet = Fleet::spawn(2, 6, 0, 6);
    fleet.run(seconds(20));
    let now = fleet.now;
    let out = fleet.node(0, 4).leave(now);
    fleet.send(&name(0, 4), out);
    let left = fleet.run_until(LEAVING_LIMIT, |nodes| {
        nodes.values().all(|node| state_at(node, &name(0, 4)) == Some(MemberState::Left))
    });
    assert!(left.is_some());
    fleet.run(seconds(60));
    for node in fleet.nodes.values() {
        assert_eq!(state_at(node, &name(0, 4)), Some(MemberState::Left));
    }
}

#[test]
fn leaving_flag_from_any_source_reaches_the_data_centre_in_time() {
    struct Case {
        source: &'static str,
        flag: fn(&mut Membership, Duration, &str),
    }
    let cases = [
        Case {
            source: "list, refusal or peer",
            flag: |node, now, name| node.observe_leaving(now, name),
        },
        Case {
            source: "status",
            flag: |node, now, name| node.observe_status(now, name, &status(5, true)),
        },
    ];
    for Case { source, flag } in cases {
        for entries in [7, 72] {
            let mut fleet = Fleet::spawn(1, entries, 3, 7);
            fleet.run(seconds(30));
            let target = runner(0, 1);
            let now = fleet.now;
            fleet.node(0, 5).observe_status(now, &target, &status(5, false));
            fleet.run(seconds(15));
            let now = fleet.now;
            flag(fleet.node(0, 3), now, &target);
            let known = fleet.run_until(LEAVING_LIMIT, |nodes| {
                nodes.values().all(|node| node.is_target_leaving(&target))
            });
            assert!(known.is_some(), "{source} among {entries}");
            // Its reporter still reads an old status; the flag stays until the runner restarts.
            let now = fleet.now;
            fleet.node(0, 5).observe_status(now, &target, &status(5, false));
            fleet.run(seconds(20));
            assert!(fleet.nodes.values().all(|node| node.is_target_leaving(&target)));
            let now = fleet.now;
            fleet.node(0, 5).observe_status(now, &target, &status(6, false));
            fleet.run(seconds(20));
            assert!(fleet.nodes.values().all(|node| !node.is_target_leaving(&target)));
        }
    }
}

#[test]
fn partitioned_data_centres_continue_and_converge_after_the_partition() {
    let mut fleet = Fleet::spawn(2, 6, 2, 8);
    fleet.run(seconds(20));
    fleet.partition(0, 1);
    fleet.run(seconds(60));
    let now = fleet.now;
    assert!(fleet.node(0, 0).is_silent(now, "dc1"));
    assert!(fleet.node(1, 0).is_silent(now, "dc0"));
    // During the partition: a new version, a leaving runner, a failure and a graceful shutdown.
    fleet.node(0, 2).set_in_force(now, 9);
    fleet.node(1, 2).observe_leaving(now, &runner(1, 1));
    let out = fleet.node(0, 3).leave(now);
    fleet.send(&name(0, 3), out);
    fleet.stopped.insert(name(1, 4));
    fleet.run(seconds(30));
    assert_eq!(fleet.node(0, 5).newest_version(), 9);
    assert_eq!(fleet.node(1, 5).newest_version(), 0);
    fleet.partitioned.clear();
    let stopped = name(1, 4);
    let healed = fleet.run_until(seconds(60), |nodes| {
        nodes.values().filter(|node| node.own().entry_id != stopped).all(|node| {
            node.newest_version() == 9
                && node.is_target_leaving(&runner(1, 1))
                && state_at(node, &name(0, 3)) == Some(MemberState::Left)
                && state_at(node, &stopped) == Some(MemberState::Dead)
        })
    });
    assert!(healed.is_some());
    fleet.run(seconds(20));
    assert!(!{
        let now = fleet.now;
        fleet.node(0, 0).is_silent(now, "dc1")
    });
}

#[test]
fn dead_bridges_are_replaced() {
    let mut fleet = Fleet::spawn(2, 6, 0, 9);
    fleet.run(seconds(20));
    let bridges: Vec<String> = fleet
        .nodes
        .values()
        .filter(|node| node.is_bridge())
        .map(|node| node.own().entry_id.clone())
        .collect();
    assert_eq!(bridges.len(), 4);
    fleet.stopped.extend(bridges.iter().cloned());
    fleet.run(seconds(40));
    let alive = |node: &&Membership| !bridges.contains(&node.own().entry_id);
    let now = fleet.now;
    let writer = fleet.nodes.keys().find(|name| !bridges.contains(name)).cloned().unwrap();
    fleet.nodes.get_mut(&writer).unwrap().set_in_force(now, 4);
    let spread = fleet.run_until(seconds(19), |nodes| {
        nodes.values().filter(alive).all(|node| node.newest_version() == 4)
    });
    assert!(spread.is_some());
    assert_eq!(fleet.nodes.values().filter(alive).filter(|node| node.is_bridge()).count(), 4);
}

#[test]
fn one_process_holds_each_role_in_a_data_centre() {
    let mut fleet = Fleet::spawn(2, 6, 5, 10);
    fleet.run(seconds(20));
    for data_centre in ["dc0", "dc1"] {
        let nodes = || fleet.nodes.values().filter(|node| node.own().data_centre == data_centre);
        let now = fleet.now;
        assert_eq!(nodes().filter(|node| node.holds_role("configuration")).count(), 1);
        let number = data_centre.strip_prefix("dc").unwrap().parse().unwrap();
        for index in 0..5 {
            let target = runner(number, index);
            assert_eq!(nodes().filter(|node| node.is_reporter(now, &target)).count(), 1);
        }
    }
}

#[test]
fn version_status_lists_lagging_processes_and_for_how_long() {
    let mut fleet = Fleet::spawn(2, 3, 0, 11);
    fleet.run(seconds(20));
    let now = fleet.now;
    for index in 0..3 {
        fleet.node(0, index).set_in_force(now, 5);
        fleet.node(1, index).set_in_force(now, if index == 1 { 4 } else { 5 });
    }
    fleet.run(seconds(20));
    let now = fleet.now;
    let status = fleet.node(0, 0).version_status(now);
    assert_eq!((status.version, status.in_force_on, status.members), (5, 5, 6));
    assert_eq!(status.lagging.len(), 1);
    assert_eq!(status.lagging[0].member.entry_id, name(1, 1));
    assert_eq!(status.lagging[0].member.version, 4);
    assert!(status.lagging[0].lagging_for >= seconds(19));
}

#[test]
fn paused_process_does_not_declare_suspected_members_dead() {
    struct Case {
        what: &'static str,
        tick_interval: Duration,
        expected: MemberState,
    }
    let cases = [
        Case {
            what: "no pause",
            tick_interval: Duration::from_millis(200),
            expected: MemberState::Dead,
        },
        Case { what: "a pause", tick_interval: seconds(4), expected: MemberState::Suspect },
    ];
    for Case { what, tick_interval, expected } in cases {
        let mut fleet = Fleet::spawn(1, 2, 0, 12);
        let other = fleet.node(0, 1).own().clone();
        let node = fleet.node(0, 0);
        for state in [MemberState::Alive, MemberState::Suspect] {
            let members = vec![Member { state: state as i32, ..other.clone() }];
            let body = Body::Gossip(Gossip { members, ..Gossip::default() });
            node.receive(Duration::ZERO, PeerMessage { body: Some(body) });
        }
        let mut now = Duration::ZERO;
        while now <= seconds(4) {
            node.tick(now);
            now += tick_interval;
        }
        assert_eq!(state_at(node, &other.entry_id), Some(expected), "{what}");
    }
}

#[test]
fn outdated_list_does_not_flag_a_restarted_runner_as_leaving() {
    struct Case {
        what: &'static str,
        /// Incarnation that the runner reports, and whether the list flags it as leaving.
        steps: &'static [(u64, bool)],
        leaves: bool,
    }
    let cases = [
        Case { what: "live", steps: &[(1, false)], leaves: false },
        Case { what: "leaving", steps: &[(1, false), (1, true)], leaves: true },
        Case { what: "leaving from the start", steps: &[(1, true)], leaves: true },
        Case {
            what: "the list reverts to an older state",
            steps: &[(1, true), (1, false)],
            leaves: true,
        },
        Case { what: "restarted", steps: &[(1, false), (1, true), (2, true)], leaves: false },
        Case {
            what: "restarted and leaving again",
            steps: &[(1, true), (2, true), (2, false), (2, true)],
            leaves: true,
        },
        Case {
            what: "reported incarnation decreases",
            steps: &[(9, true), (2, true)],
            leaves: false,
        },
    ];
    for Case { what, steps, leaves } in cases {
        let mut fleet = Fleet::spawn(1, 1, 1, 13);
        let node = fleet.node(0, 0);
        for (incarnation, leaving) in steps {
            node.observe_status(Duration::ZERO, &runner(0, 0), &status(*incarnation, false));
            node.observe_listed(Duration::ZERO, &runner(0, 0), *leaving);
        }
        assert_eq!(node.is_target_leaving(&runner(0, 0)), leaves, "{what}");
    }
}

#[test]
fn list_alone_flags_and_clears_targets_that_are_not_runners() {
    struct Case {
        what: &'static str,
        listed_leaving: &'static [bool],
        leaves: bool,
    }
    let cases = [
        Case { what: "live", listed_leaving: &[false], leaves: false },
        Case { what: "leaving", listed_leaving: &[false, true, true], leaves: true },
        Case { what: "replaced", listed_leaving: &[true, false], leaves: false },
        Case { what: "leaving again", listed_leaving: &[true, false, true], leaves: true },
    ];
    for Case { what, listed_leaving, leaves } in cases {
        let mut fleet = Fleet::spawn(1, 1, 1, 14);
        let node = fleet.node(0, 0);
        for leaving in listed_leaving {
            node.observe_listed(Duration::ZERO, "dc0-book", *leaving);
        }
        assert_eq!(node.is_target_leaving("dc0-book"), leaves, "{what}");
    }
}
