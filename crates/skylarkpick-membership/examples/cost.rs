//! Prints the traffic of the membership protocol and the time that updates take to spread, for
//! clusters of several sizes, in virtual time with messages in their wire encoding.
//!
//! `cargo run --release -p skylarkpick-membership --example cost`

#[path = "../tests/support/mod.rs"]
mod support;

use skylarkpick_interface::{LoadReport, RunnerStatus};
use std::time::Duration;
use support::{Fleet, runner};

/// Time over which messages and bytes are counted.
const MEASUREMENT_TIME: Duration = Duration::from_secs(60);

/// Number of data centres, and of entry processes and runners in each of them.
struct ClusterSize {
    data_centres: usize,
    entries: usize,
    runners: usize,
}

const SIZES: [ClusterSize; 5] = [
    ClusterSize { data_centres: 1, entries: 7, runners: 12 },
    ClusterSize { data_centres: 3, entries: 2, runners: 4 },
    ClusterSize { data_centres: 1, entries: 24, runners: 58 },
    ClusterSize { data_centres: 1, entries: 72, runners: 174 },
    ClusterSize { data_centres: 5, entries: 72, runners: 174 },
];

fn main() {
    println!(
        "data centres, entries, runners | B/s mean max | messages/s mean | load interval ms | version everywhere ms | leaving in data centre ms"
    );
    for size in SIZES {
        measure(&size);
    }
}

fn measure(size: &ClusterSize) {
    let mut fleet = Fleet::spawn(size.data_centres, size.entries, size.runners, 1);
    fleet.run(Duration::from_secs(60));
    observe_all(&mut fleet, size, 0);
    fleet.run(Duration::from_secs(40));
    fleet.sent_bytes.clear();
    fleet.sent_messages.clear();
    let interval = fleet.node(0, 0).load_interval();
    let end = fleet.now + MEASUREMENT_TIME;
    let mut round = 1;
    while fleet.now < end {
        observe_all(&mut fleet, size, round);
        fleet.run(interval);
        round += 1;
    }
    let nodes = fleet.nodes.len() as f64;
    let rate = |total: u64| total as f64 / MEASUREMENT_TIME.as_secs_f64();
    let mean = rate(fleet.sent_bytes.values().sum()) / nodes;
    let max = rate(fleet.sent_bytes.values().copied().max().unwrap_or_default());
    let messages = rate(fleet.sent_messages.values().sum()) / nodes;
    let now = fleet.now;
    fleet.node(0, 1).set_in_force(now, 7);
    let version = fleet.run_until(Duration::from_secs(60), |nodes| {
        nodes.values().all(|node| node.newest_version() == 7)
    });
    let target = runner(0, 1);
    let now = fleet.now;
    fleet.node(0, 1).observe_leaving(now, &target);
    let leaving = fleet.run_until(Duration::from_secs(60), |nodes| {
        let mut local = nodes.values().filter(|node| node.own().data_centre == "dc0");
        local.all(|node| node.is_target_leaving(&target))
    });
    println!(
        "{} {} {} | {mean:.0} {max:.0} | {messages:.1} | {} | {version:?} | {leaving:?}",
        size.data_centres,
        size.entries,
        size.runners,
        interval.as_millis(),
    );
}

/// Lets every reporter read its runners once. Every load differs from the previous one, so that all
/// of them are sent.
fn observe_all(fleet: &mut Fleet, size: &ClusterSize, round: u32) {
    let now = fleet.now;
    for data_centre in 0..size.data_centres {
        for index in 0..size.runners {
            let target = runner(data_centre, index);
            let reporter = fleet.nodes.values_mut().find(|node| node.is_reporter(now, &target));
            let Some(reporter) = reporter else { continue };
            let status = RunnerStatus {
                model: "tala-llm".to_string(),
                weight_version: 3,
                loading: None,
                leaving: false,
                incarnation: 1_800_000_000_000,
            };
            reporter.observe_status(now, &target, &status);
            let load = LoadReport {
                queued_runs: 3 + round % 5,
                queued_prompt_tokens: 40_000 + u64::from(round) * 64 % 9_000,
                active_runs: 14 + round % 3,
                slots: 16,
                prefill_tokens_per_second: 10_000.0,
                ..LoadReport::default()
            };
            reporter.observe_load(now, &target, &load);
        }
    }
}
