//! Membership: bytes and messages a second against the number of processes, by the real codec.

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
const STEP: Duration = Duration::from_millis(50);
/// Virtual time for the fleet to get to know each other.
const SETTLING_STEPS: u32 = 800;
/// Virtual time over which is measured.
const MEASURED_STEPS: u32 = 400;

/// Processes that exchange real messages in virtual time, delivered within a step.
struct Fleet {
    now: Duration,
    nodes: BTreeMap<String, Membership>,
    sent_bytes: u64,
    messages: u64,
    runners: Vec<String>,
}

pub(super) fn measure(slopes: &mut Slopes) {
    for (centres, entries, runners) in [(1, 7, 12), (1, 24, 58), (1, 72, 174), (5, 72, 174)] {
        measure_fleet(slopes, centres, entries, runners);
    }
}

fn measure_fleet(slopes: &mut Slopes, centres: usize, entries: usize, runners: usize) {
    let before = resident_bytes();
    let mut fleet = Fleet::open(centres, entries, runners);
    fleet.run(SETTLING_STEPS);
    let count = (centres * entries) as f64;
    let bytes = (resident_bytes() - before).max(0.0) / count;
    (fleet.sent_bytes, fleet.messages) = (0, 0);
    let begun = Instant::now();
    fleet.run(MEASURED_STEPS);
    let took = begun.elapsed().as_secs_f64();
    let seconds = (STEP * MEASURED_STEPS).as_secs_f64();
    let processes = centres * entries;
    let method = format!("{centres} data centres of {entries} processes and {runners} runners");
    let sent = fleet.sent_bytes as f64 / seconds / count;
    slopes.record(&format!("gossip sent, {processes} processes"), sent, "bytes/s", &method);
    let messages = fleet.messages as f64 / seconds / count;
    slopes.record(&format!("gossip messages, {processes} processes"), messages, "1/s", &method);
    let share = took / seconds / count;
    slopes.record(&format!("gossip core share, {processes} processes"), share, "cores", &method);
    slopes.record(&format!("membership memory, {processes} processes"), bytes, "bytes", &method);
    // Held, so that the next fleet takes memory of its own.
    std::mem::forget(fleet);
}

impl Fleet {
    fn open(centres: usize, entries: usize, runners: usize) -> Fleet {
        let mut nodes = BTreeMap::new();
        for centre in 0..centres {
            for index in 0..entries {
                let name = format!("dc-{centre}-entry-{index:02}");
                nodes.insert(name.clone(), open_member(&name, centre));
            }
        }
        let names = (0..centres * runners)
            .map(|index| format!("dc-{}-runner-{:03}", index / runners, index % runners));
        let runners: Vec<String> = names.collect();
        for node in nodes.values_mut() {
            node.set_runners(runners.iter().map(|name| place(name)));
        }
        Fleet { now: Duration::ZERO, nodes, sent_bytes: 0, messages: 0, runners }
    }

    fn run(&mut self, steps: u32) {
        for step in 0..steps {
            self.now += STEP;
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
        let answers = node.receive(self.now, message);
        node.take_changes();
        answers
    }

    /// Each runner's load has changed, and its reporter has read it when its interval is up.
    fn report_loads(&mut self, step: u32) {
        let now = self.now;
        for node in self.nodes.values_mut() {
            let every = (node.load_interval().as_millis() / 1_000).max(1);
            if !u128::from(step / 20).is_multiple_of(every) {
                continue;
            }
            let centre = node.own().data_centre.clone();
            for runner in &self.runners {
                if runner.starts_with(&centre) && node.is_reporter(now, runner) {
                    node.observe_status(now, runner, &status());
                    node.observe_load(now, runner, &load(step));
                }
            }
        }
    }
}

fn open_member(name: &str, centre: usize) -> Membership {
    Membership::open(MembershipSettings {
        entry_id: name.to_string(),
        data_centre: format!("dc-{centre}"),
        address: name.to_string(),
        incarnation: 1_000,
        seed_addresses: vec!["dc-0-entry-00".to_string(), "dc-0-entry-01".to_string()],
        seed: 1,
        parameters: ProtocolParameters::default(),
    })
}

fn place(name: &str) -> RunnerInfo {
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
