//! Tests of orders to runners that can't be ordered at once in a rollout.

use super::planner_tests::{Fixture, start_planner, started_runner, update, weights};
use skylarkpick_interface::FleetTopic;
use std::time::Duration;

/// Time in which the planner acquires the lease.
const LEASE_TIME: Duration = Duration::from_secs(6);
/// Time after the naming of newer weights by which runners on replaced ones have to be ordered.
const ORDERED_BY: Duration = Duration::from_millis(11_500);

/// Starts a planner and names weights 2.
async fn start_rollout(silent_runners: u8) -> Fixture {
    let fixture = start_planner(false, silent_runners);
    tokio::time::sleep(LEASE_TIME).await;
    fixture.watcher.records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
    fixture
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
