//! Membership: memory, bytes, messages and processor time by the number of processes.
//!
//! The processes exchange messages with the encoding of the peer protocol, in virtual time.

use crate::{memory::resident_bytes, slope::Slopes};
use prost::Message;
use skylarkpick_interface::{LoadReport, RunnerStatus};
use skylarkpick_membership::{
    Membership, MembershipSettings, Outgoing, ProtocolParameters, RunnerInfo,
};
use skylarkpick_protocol::peer::PeerMessage;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Step of virtual time.
const STEP_TIME: Duration = Duration::from_millis(50);
/// Steps until all processes know each other, before the measurement.
const SETTLING_STEPS: u32 = 800;
/// Steps of the measurement.
const MEASURED_STEPS: u32 = 400;

/// Processes that exchange encoded messages in virtual time. Messages arrive in the step in which
/// they are sent.
struct Fleet {
    now: Duration,
    nodes: BTreeMap<String, Membership>,
    sent_bytes: u64,
    messages: u64,
    runners: Vec<String>,
}

pub(super) fn measure(slopes: &mut Slopes) {
    for (data_centres, entries, runners) in [(1, 7, 12), (1, 24, 58), (1, 72, 174), (5, 72, 174)] {
        measure_fleet(slopes, data_centres, entries, runners);
    }
}

fn measure_fleet(slopes: &mut Slopes, data_centres: usize, entries: usize, runners: usize) {
    let before = resident_bytes();
    let mut fleet = Fleet::open(data_centres, entries, runners);
    fleet.run(SETTLING_STEPS);
    let count = (data_centres * entries) as f64;
    let bytes = (resident_bytes() - before).max(0.0) / count;
    (fleet.sent_bytes, fleet.messages) = (0, 0);
    let started = Instant::now();
    fleet.run(MEASURED_STEPS);
    let elapsed_seconds = started.elapsed().as_secs_f64();
    let seconds = (STEP_TIME * MEASURED_STEPS).as_secs_f64();
    let processes = data_centres * entries;
    let method =
        format!("{data_centres} data centres of {entries} processes and {runners} runners");
    let sent = fleet.sent_bytes as f64 / seconds / count;
    slopes.record(&format!("gossip sent, {processes} processes"), sent, "bytes/s", &method);
    let messages = fleet.messages as f64 / seconds / count;
    slopes.record(&format!("gossip messages, {processes} processes"), messages, "1/s", &method);
    let share = elapsed_seconds / seconds / count;
    slopes.record(&format!("gossip core share, {processes} processes"), share, "cores", &method);
    slopes.record(&format!("membership memory, {processes} processes"), bytes, "bytes", &method);
    // Leaked, so that the next fleet does not reuse its memory.
    std::mem::forget(fleet);
}

impl Fleet {
    fn open(data_centres: usize, entries: usize, runners: usize) -> Fleet {
        let mut nodes = BTreeMap::new();
        for data_centre in 0..data_centres {
            for index in 0..entries {
                let name = format!("dc-{data_centre}-entry-{index:02}");
                nodes.insert(name.clone(), open_member(&name, data_centre));
            }
        }
        let names = (0..data_centres * runners)
            .map(|index| format!("dc-{}-runner-{:03}", index / runners, index % runners));
        let runners: Vec<String> = names.collect();
        for node in nodes.values_mut() {
            node.set_runners(runners.iter().map(|name| runner_info(name)));
        }
        Fleet { now: Duration::ZERO, nodes, sent_bytes: 0, messages: 0, runners }
    }

    fn run(&mut self, steps: u32) {
        for step in 0..steps {
            self.now += STEP_TIME;
            if step % 20 == 0 {
                self.report_loads(step);
            }
            let now = self.now;
            let mut outgoing: Vec<Outgoing> =
                self.nodes.values_mut().flat_map(|node| node.tick(now)).collect();
            while !outgoing.is_empty() {
                outgoing = outgoing.into_iter().flat_map(|sent| self.deliver(sent)).collect();
            }
        }
    }

    fn deliver(&mut self, sent: Outgoing) -> Vec<Outgoing> {
        let bytes = sent.message.encode_to_vec();
        self.sent_bytes += bytes.len() as u64;
        self.messages += 1;
        let Some(node) = self.nodes.get_mut(&sent.address) else { return Vec::new() };
        let Ok(message) = PeerMessage::decode(bytes.as_slice()) else { return Vec::new() };
        let replies = node.receive(self.now, message);
        node.take_changes();
        replies
    }

    /// Passes a new load of each runner to its reporter, at the load interval of that process.
    fn report_loads(&mut self, step: u32) {
        let now = self.now;
        for node in self.nodes.values_mut() {
            let every = (node.load_interval().as_millis() / 1_000).max(1);
            if !u128::from(step / 20).is_multiple_of(every) {
                continue;
            }
            let data_centre = node.own().data_centre.clone();
            for runner in &self.runners {
                if runner.starts_with(&data_centre) && node.is_reporter(now, runner) {
                    node.observe_status(now, runner, &status());
                    node.observe_load(now, runner, &load(step));
                }
            }
        }
    }
}

fn open_member(name: &str, data_centre: usize) -> Membership {
    Membership::open(MembershipSettings {
        entry_id: name.to_string(),
        data_centre: format!("dc-{data_centre}"),
        address: name.to_string(),
        incarnation: 1_000,
        seed_addresses: vec!["dc-0-entry-00".to_string(), "dc-0-entry-01".to_string()],
        seed: 1,
        parameters: ProtocolParameters::default(),
    })
}

fn runner_info(name: &str) -> RunnerInfo {
    RunnerInfo {
        name: name.to_string(),
        data_centre: name[..4].to_string(),
        model: "model".to_string(),
    }
}

fn status() -> RunnerStatus {
    RunnerStatus {
        model: "model".to_string(),
        weight_version: 3,
        loading: None,
        leaving: false,
        incarnation: 1_800_000_000_000,
    }
}

fn load(step: u32) -> LoadReport {
    LoadReport {
        queued_runs: step % 5,
        queued_prompt_tokens: 40_000 + u64::from(step) * 64,
        active_runs: 14,
        slots: 16,
        prefill_tokens_per_second: 10_000.0,
        ..LoadReport::default()
    }
}
