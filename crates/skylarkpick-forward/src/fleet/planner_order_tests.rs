//! Tests of orders to runners that can't be ordered at once in a rollout.

use super::planner_tests::{
    Fixture, runner_address, start_planner, started_runner, update, weights,
};
use crate::test_support::at;
use skylarkpick_interface::{FleetRecord, FleetTopic, FleetUpdate, NamedRecord};
use std::{collections::BTreeSet, sync::atomic::Ordering, time::Duration};

/// Time in which the planner acquires the lease.
const LEASE_TIME: Duration = Duration::from_secs(6);
/// Time after the naming of newer weights by which runners on replaced ones have to be ordered.
const ORDERED_BY: Duration = Duration::from_millis(11_500);

/// Time after the naming at which the replaced weights have not expired, and no order to it is due.
const BEFORE_EXPIRY: Duration = Duration::from_secs(10);
/// Pause that outlasts the roll-out.
const LONG_PAUSE: Duration = Duration::from_secs(600);

/// Starts a planner and names weights 2.
async fn start_rollout(silent_runners: u8) -> Fixture {
    let fixture = start_planner(false, silent_runners);
    tokio::time::sleep(LEASE_TIME).await;
    fixture.watcher.records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
    fixture
}

/// Lets a runner ask this process for a pause.
fn pause(fixture: &Fixture, index: u8, pause: Duration) {
    let now = fixture.node_state.now();
    fixture.node_state.lock().placement.note_pause_at(runner_address(index), pause, now);
}

fn orders(fixture: &Fixture, index: u8) -> u32 {
    let orders = fixture.control.orders_by_target.lock().unwrap();
    orders.get(&format!("i-{index}")).copied().unwrap_or_default()
}

#[tokio::test(start_paused = true)]
async fn an_order_to_the_former_start_of_a_runner_does_not_delay_the_order_to_the_next_one() {
    let fixture = start_rollout(0).await;
    let restart = Duration::from_millis(9_500);
    tokio::time::sleep(restart).await;
    let before = orders(&fixture, 1);
    assert!(before > 0);
    let restarted = update(vec![started_runner(1, 2)], 3);
    fixture.watcher.records.update(FleetTopic::Targets, &restarted);
    tokio::time::sleep(ORDERED_BY - restart).await;
    assert!(orders(&fixture, 1) > before);
}

#[tokio::test(start_paused = true)]
async fn a_pause_does_not_keep_a_runner_on_expired_weights_from_being_ordered() {
    struct Case {
        name: &'static str,
        /// Time from the naming of the new weights at which the registration ends.
        ended_at: Option<Duration>,
    }
    let cases = [
        Case { name: "registered", ended_at: None },
        Case { name: "registration ended", ended_at: Some(Duration::from_secs(9)) },
    ];
    for case in cases {
        let fixture = start_rollout(0).await;
        (1..=5).for_each(|index| pause(&fixture, index, LONG_PAUSE));
        let ended_at = case.ended_at.unwrap_or_default();
        tokio::time::sleep(ended_at).await;
        if case.ended_at.is_some() {
            let gone = NamedRecord { name: "i-5".to_string(), record: None };
            let ended = FleetUpdate { records: vec![gone], revision: at(3) };
            fixture.watcher.records.update(FleetTopic::Targets, &ended);
        }
        tokio::time::sleep(BEFORE_EXPIRY - ended_at).await;
        assert_eq!(orders(&fixture, 5), 0, "{}: before the weights expire", case.name);
        tokio::time::sleep(ORDERED_BY - BEFORE_EXPIRY).await;
        assert_eq!(orders(&fixture, 5), 1, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn runners_that_take_no_order_leave_their_places_among_the_loads_to_others() {
    struct Case {
        name: &'static str,
        silent_runners: u8,
        pausing_runners: u8,
    }
    let cases = [
        Case { name: "no response", silent_runners: 2, pausing_runners: 0 },
        Case { name: "pauses", silent_runners: 0, pausing_runners: 2 },
    ];
    for case in cases {
        let fixture = start_rollout(case.silent_runners).await;
        (1..=case.pausing_runners).for_each(|index| pause(&fixture, index, LONG_PAUSE));
        tokio::time::sleep(Duration::from_secs(3)).await;
        let ordered = [3, 4].map(|index| orders(&fixture, index));
        assert_eq!(ordered, [1, 1], "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_runner_is_ordered_once_its_weights_expire() {
    let fixture = start_rollout(0).await;
    let (id, mut record) = started_runner(5, 1);
    if let FleetRecord::Target(target) = &mut record {
        target.is_draining = true;
    }
    fixture.watcher.records.update(FleetTopic::Targets, &update(vec![(id, record)], 3));
    tokio::time::sleep(BEFORE_EXPIRY).await;
    assert_eq!(orders(&fixture, 5), 0, "before the weights expire");
    tokio::time::sleep(ORDERED_BY - BEFORE_EXPIRY).await;
    assert_eq!(orders(&fixture, 5), 1);
}

#[tokio::test(start_paused = true)]
async fn a_report_of_the_former_start_of_a_runner_does_not_stand_for_the_weights_of_the_next_one() {
    let fixture = start_rollout(0).await;
    let address = runner_address(1);
    fixture.control.reported_weights.lock().unwrap().insert(address, 2);
    while fixture.control.reports.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let restarted = update(vec![started_runner(1, 2)], 3);
    fixture.watcher.records.update(FleetTopic::Targets, &restarted);
    fixture.control.reported_weights.lock().unwrap().remove(&address);
    tokio::time::sleep(ORDERED_BY).await;
    assert!(orders(&fixture, 1) > 0);
}

#[tokio::test(start_paused = true)]
async fn a_planner_that_reaches_no_engines_leaves_its_lease_to_others() {
    let fixture = start_planner(false, 0);
    tokio::time::sleep(LEASE_TIME * 2).await;
    fixture.node_state.set_cut_off(&BTreeSet::from(["engines".to_string()]));
    tokio::time::sleep(LEASE_TIME).await;
    let renamed = update(vec![weights(2)], 2);
    fixture.watcher.records.update(FleetTopic::Weights, &renamed);
    tokio::time::sleep(LEASE_TIME * 2).await;
    assert!(fixture.control.orders_by_target.lock().unwrap().is_empty(), "others may give orders");
    fixture.node_state.set_cut_off(&BTreeSet::new());
    tokio::time::sleep(LEASE_TIME * 2).await;
    assert!(!fixture.control.orders_by_target.lock().unwrap().is_empty(), "it acquires it again");
}
