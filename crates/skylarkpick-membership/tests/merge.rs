//! Property tests of merges: updates in any order, repeated, with any content, and whole clusters
//! under partitions and pauses.

mod support;

use proptest::{
    collection::vec,
    prelude::{Just, ProptestConfig, Strategy, any, prop_oneof},
    prop_assert, prop_assert_eq,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use prost::Message;
use skylarkpick_membership::{GossipState, Membership, MembershipSettings, ProtocolParameters};
use skylarkpick_protocol::peer::{Gossip, InForce, Member, PeerMessage, RunnerState};
use std::time::Duration;
use support::{Fleet, name, runner};

fn test_runner(cases: u32) -> TestRunner {
    let config: Config = ProptestConfig { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

fn members() -> impl Strategy<Value = Gossip> {
    (0..4_u64, 1..6_u64, 1..5_i32).prop_map(|(index, incarnation, state)| Gossip {
        members: vec![Member {
            entry_id: format!("entry-{index}"),
            data_centre: "dc0".to_string(),
            address: format!("address-{index}-{incarnation}"),
            incarnation,
            state,
        }],
        ..Gossip::default()
    })
}

fn versions() -> impl Strategy<Value = Gossip> {
    (0..4_u64, 0..9_u64).prop_map(|(index, version)| Gossip {
        in_force: vec![InForce {
            entry: skylarkpick_membership::digest_of(&format!("entry-{index}")),
            version,
        }],
        ..Gossip::default()
    })
}

fn states() -> impl Strategy<Value = Gossip> {
    (0..3_u64, 1..5_u64, 0..4_u64, any::<bool>()).prop_map(
        |(runner, incarnation, revision, leaving)| {
            let leaving_plus_one = if leaving { incarnation + 1 } else { 0 };
            let state = RunnerState {
                runner,
                incarnation,
                revision,
                weight_version: revision,
                leaving_plus_one,
                ..RunnerState::default()
            };
            Gossip { runner_states: vec![state], ..Gossip::default() }
        },
    )
}

fn updates() -> impl Strategy<Value = Gossip> {
    prop_oneof![members(), versions(), states()]
}

#[test]
fn merges_never_move_an_entry_backwards() {
    test_runner(400)
        .run(&vec(updates(), 1..60), |all| {
            let mut gossip_state = GossipState::default();
            for update in all {
                let before = gossip_state.clone();
                gossip_state.merge(update);
                for (key, member) in &before.members {
                    let precedence = |member: &Member| (member.incarnation, member.state);
                    prop_assert!(precedence(&gossip_state.members[key]) >= precedence(member));
                }
                for (key, version) in &before.in_force {
                    prop_assert!(gossip_state.in_force[key] >= *version);
                }
                for (key, state) in &before.runner_states {
                    let after = &gossip_state.runner_states[key];
                    prop_assert!(after.incarnation >= state.incarnation);
                    prop_assert!(after.leaving_plus_one >= state.leaving_plus_one);
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn runner_merges_ignore_order_and_repetition() {
    let orders = vec(states(), 1..30).prop_flat_map(|all| {
        let mut twice = all.clone();
        twice.extend(all.clone());
        (Just(all), Just(twice).prop_shuffle())
    });
    test_runner(400)
        .run(&orders, |(once, shuffled)| {
            let (mut one, mut other) = (GossipState::default(), GossipState::default());
            once.into_iter().for_each(|update| drop(one.merge(update)));
            shuffled.into_iter().for_each(|update| drop(other.merge(update)));
            prop_assert_eq!(one, other);
            Ok(())
        })
        .unwrap();
}

#[test]
fn processes_agree_after_they_exchange_their_states() {
    test_runner(300)
        .run(&(vec(updates(), 1..40), vec(updates(), 1..40)), |(left, right)| {
            let (mut one, mut other) = (GossipState::default(), GossipState::default());
            left.into_iter().for_each(|update| drop(one.merge(update)));
            right.into_iter().for_each(|update| drop(other.merge(update)));
            let all = |gossip_state: &GossipState| Gossip {
                members: gossip_state.members.values().cloned().collect(),
                in_force: gossip_state
                    .in_force
                    .iter()
                    .map(|(entry, version)| InForce { entry: *entry, version: *version })
                    .collect(),
                runner_states: gossip_state.runner_states.values().copied().collect(),
                ..Gossip::default()
            };
            let (first, second) = (all(&one), all(&other));
            one.merge(second);
            other.merge(first);
            prop_assert_eq!(&one.runner_states, &other.runner_states);
            for (key, member) in &one.members {
                // A member that is dead or has left is not added where it is unknown.
                let is_dead_or_left = member.state >= 3;
                prop_assert!(other.members.get(key) == Some(member) || is_dead_or_left);
            }
            Ok(())
        })
        .unwrap();
}

#[derive(Clone, Debug)]
enum Step {
    Partition,
    Heal,
    Pause(usize),
    Resume(usize),
    Version(usize, u64),
    Leaving(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        Just(Step::Partition),
        Just(Step::Heal),
        (0..6_usize).prop_map(Step::Pause),
        (0..6_usize).prop_map(Step::Resume),
        (0..6_usize, 1..20_u64).prop_map(|(node, version)| Step::Version(node, version)),
        (0..6_usize, 0..4_usize).prop_map(|(node, target)| Step::Leaving(node, target)),
    ];
    vec(step, 1..12)
}

fn apply(fleet: &mut Fleet, step: Step) {
    let now = fleet.now;
    match step {
        Step::Partition => fleet.partition(0, 1),
        Step::Heal => fleet.partitioned.clear(),
        Step::Pause(node) => drop(fleet.stopped.insert(name(node / 3, node % 3))),
        Step::Resume(node) => drop(fleet.stopped.remove(&name(node / 3, node % 3))),
        Step::Version(node, version) => {
            fleet.node(node / 3, node % 3).set_in_force(now, version);
        }
        Step::Leaving(node, target) => {
            let target = runner(target / 2, target % 2);
            fleet.node(node / 3, node % 3).observe_leaving(now, &target);
        }
    }
}

#[test]
fn processes_agree_after_partitions_and_pauses() {
    test_runner(24)
        .run(&steps(), |steps| {
            let mut fleet = Fleet::spawn(2, 3, 2, 21);
            fleet.run(Duration::from_secs(12));
            for step in steps {
                apply(&mut fleet, step);
                fleet.run(Duration::from_secs(9));
            }
            fleet.partitioned.clear();
            fleet.stopped.clear();
            fleet.run(Duration::from_secs(120));
            let first = fleet.nodes.values().next().unwrap().gossip_state().clone();
            prop_assert_eq!(first.members.values().filter(|one| one.state == 1).count(), 6);
            for node in fleet.nodes.values() {
                prop_assert_eq!(&node.gossip_state().members, &first.members);
                prop_assert_eq!(&node.gossip_state().in_force, &first.in_force);
                prop_assert_eq!(&node.gossip_state().runner_states, &first.runner_states);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn arbitrary_messages_neither_panic_nor_grow_the_state_without_bound() {
    let parts = MembershipSettings {
        entry_id: "one".to_string(),
        data_centre: "dc0".to_string(),
        address: "one".to_string(),
        incarnation: 1,
        seed_addresses: Vec::new(),
        seed: 1,
        parameters: ProtocolParameters::default(),
    };
    let membership = Membership::open(parts);
    let seeds: Vec<Vec<u8>> = vec![
        PeerMessage::default().encode_to_vec(),
        vec![0x0a, 0x0c, 0x1a, 0x0a, 0x09, 1, 2, 3, 4, 5, 6, 7, 8, 0x10],
    ];
    let bytes = prop_oneof![vec(any::<u8>(), 0..200), proptest::sample::select(seeds)];
    let mut now = Duration::ZERO;
    let shared = std::cell::RefCell::new(membership);
    test_runner(2_000)
        .run(&vec(bytes, 1..4), |messages| {
            for message in messages.iter().filter_map(|one| PeerMessage::decode(&one[..]).ok()) {
                shared.borrow_mut().receive(Duration::ZERO, message);
            }
            Ok(())
        })
        .unwrap();
    let mut membership = shared.into_inner();
    for index in 0..10_000_u64 {
        let state = RunnerState { runner: index, incarnation: u64::MAX, ..RunnerState::default() };
        let gossip = Gossip { runner_states: vec![state], ..Gossip::default() };
        let body = skylarkpick_protocol::peer::peer_message::Body::Gossip(gossip);
        now += Duration::from_millis(1);
        membership.receive(now, PeerMessage { body: Some(body) });
    }
    assert_eq!(membership.gossip_state().runner_states.len(), 4_096);
}
