//! Tests of lists of a later era as other processes receive them.

use super::{
    era_tests::{revision, update},
    tests::{records, target},
};
use skylarkpick_interface::FleetTopic;
use std::time::{Duration, Instant};

/// Limit of the time in which a list is stored, whose application waits for the node state.
const STORE_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn a_follower_never_receives_a_list_without_the_records_that_are_about_to_be_stored() {
    for (name, list) in [
        ("one of two missing, one new", vec![target("i-1"), target("i-3")]),
        ("all new", vec![target("i-3")]),
        ("all missing", vec![]),
    ] {
        let (node_state, relay) = records();
        let topic = FleetTopic::Targets;
        relay.replace(topic, &update(vec![target("i-1"), target("i-2")], revision(1, 20)));
        let list = update(list, revision(2, 4));
        std::thread::scope(|scope| {
            let state = node_state.lock();
            scope.spawn(|| relay.replace(topic, &list));
            let began = Instant::now();
            let received = loop {
                let received = relay.records_since(topic, revision(1, 20)).unwrap();
                if received.is_complete || began.elapsed() > STORE_LIMIT {
                    break received;
                }
                std::thread::yield_now();
            };
            drop(state);
            assert!(received.is_complete, "{name}");
            assert_eq!(received.update, list, "{name}");
        });
    }
}
