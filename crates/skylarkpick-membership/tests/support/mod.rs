//! A simulated cluster: memberships in virtual time over a network that can be partitioned, with
//! counts of the messages and bytes sent.
#![allow(dead_code, clippy::unwrap_used)]

use prost::Message;
use skylarkpick_membership::{
    Membership, MembershipSettings, Outgoing, ProtocolParameters, RunnerInfo,
};
use skylarkpick_protocol::peer::PeerMessage;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

/// Memberships and the network between them.
pub struct Fleet {
    pub now: Duration,
    pub nodes: BTreeMap<String, Membership>,
    /// Processes that neither tick nor receive messages.
    pub stopped: BTreeSet<String>,
    /// Pairs of data centres (from, to) whose messages are dropped.
    pub partitioned: BTreeSet<(String, String)>,
    /// Pairs of processes (from, to) whose messages are dropped.
    pub broken_links: BTreeSet<(String, String)>,
    /// Bytes sent by each process.
    pub sent_bytes: BTreeMap<String, u64>,
    /// Messages sent by each process.
    pub sent_messages: BTreeMap<String, u64>,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Tick(String),
    Deliver { from: String, to: String, message: Vec<u8> },
}

/// Returns the id of an entry process.
pub fn name(data_centre: usize, index: usize) -> String {
    format!("dc{data_centre}-entry-{index:02}")
}

impl Fleet {
    /// Starts `entries` processes in each of `data_centres` data centres, which have `runners`
    /// runners each.
    pub fn spawn(data_centres: usize, entries: usize, runners: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            stopped: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            sent_bytes: BTreeMap::new(),
            sent_messages: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
        };
        for data_centre in 0..data_centres {
            for index in 0..entries {
                fleet.start(data_centre, index, 1_000, seed);
            }
        }
        for node in fleet.nodes.values_mut() {
            node.set_runners(runner_infos(data_centres, runners));
        }
        fleet
    }

    /// Starts a process, or restarts it under a higher incarnation.
    pub fn start(&mut self, data_centre: usize, index: usize, incarnation: u64, seed: u64) {
        let entry_id = name(data_centre, index);
        let parts = MembershipSettings {
            entry_id: entry_id.clone(),
            data_centre: format!("dc{data_centre}"),
            address: entry_id.clone(),
            incarnation,
            seed_addresses: vec![name(0, 0), name(0, 1)],
            seed,
            parameters: ProtocolParameters::default(),
        };
        self.nodes.insert(entry_id.clone(), Membership::open(parts));
        self.stopped.remove(&entry_id);
        let phase = Duration::from_millis((data_centre * 37 + index * 13) as u64 % 200);
        let at = self.now + phase;
        self.push(at, Event::Tick(entry_id));
    }

    pub fn node(&mut self, data_centre: usize, index: usize) -> &mut Membership {
        self.nodes.get_mut(&name(data_centre, index)).unwrap()
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= end) {
            let Reverse((at, _, event)) = self.queue.pop().unwrap();
            self.now = at;
            match event {
                Event::Tick(node) => self.tick(&node),
                Event::Deliver { from, to, message } => self.deliver(&from, &to, &message),
            }
        }
        self.now = end;
    }

    /// Runs until `done` returns true, and returns how long that took; `None` if it exceeds
    /// `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&BTreeMap<String, Membership>) -> bool,
    ) -> Option<Duration> {
        let started = self.now;
        while self.now - started < limit {
            if done(&self.nodes) {
                return Some(self.now - started);
            }
            self.run(Duration::from_millis(50));
        }
        None
    }

    pub fn send(&mut self, from: &str, outgoing: Vec<Outgoing>) {
        for Outgoing { address, message } in outgoing {
            let message = message.encode_to_vec();
            *self.sent_bytes.entry(from.to_string()).or_default() += message.len() as u64;
            *self.sent_messages.entry(from.to_string()).or_default() += 1;
            let latency = if from[..3] == address[..3] { 1 } else { 2 };
            let at = self.now + Duration::from_millis(latency);
            self.push(at, Event::Deliver { from: from.to_string(), to: address, message });
        }
    }

    /// Drops all messages between two data centres.
    pub fn partition(&mut self, one: usize, other: usize) {
        self.partitioned.insert((format!("dc{one}"), format!("dc{other}")));
        self.partitioned.insert((format!("dc{other}"), format!("dc{one}")));
    }

    fn tick(&mut self, node: &str) {
        if !self.stopped.contains(node) {
            let now = self.now;
            let out = self.nodes.get_mut(node).unwrap().tick(now);
            self.send(node, out);
        }
        let at = self.now + Duration::from_millis(200);
        self.push(at, Event::Tick(node.to_string()));
    }

    fn deliver(&mut self, from: &str, to: &str, message: &[u8]) {
        let data_centres = (from[..3].to_string(), to[..3].to_string());
        let is_dropped = self.partitioned.contains(&data_centres)
            || self.broken_links.contains(&(from.to_string(), to.to_string()));
        if is_dropped || self.stopped.contains(to) {
            return;
        }
        let Some(node) = self.nodes.get_mut(to) else { return };
        let out = node.receive(self.now, PeerMessage::decode(message).unwrap());
        self.send(to, out);
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }
}

/// Returns the runners of all data centres.
pub fn runner_infos(data_centres: usize, runners: usize) -> Vec<RunnerInfo> {
    let info = |data_centre, index| RunnerInfo {
        name: runner(data_centre, index),
        data_centre: format!("dc{data_centre}"),
        model: "tala-llm".to_string(),
    };
    (0..data_centres)
        .flat_map(|data_centre| (0..runners).map(move |index| info(data_centre, index)))
        .collect()
}

/// Returns the name of a runner.
pub fn runner(data_centre: usize, index: usize) -> String {
    format!("dc{data_centre}-runner-{index:03}")
}
