//! Drives memberships in virtual time over a network with cuts, and counts bytes.
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

pub struct Fleet {
    pub now: Duration,
    pub nodes: BTreeMap<String, Membership>,
    pub stopped: BTreeSet<String>,
    pub cut_centres: BTreeSet<(String, String)>,
    pub cut_links: BTreeSet<(String, String)>,
    pub sent_bytes: BTreeMap<String, u64>,
    pub sent_messages: BTreeMap<String, u64>,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Tick(String),
    Deliver { from: String, to: String, message: Vec<u8> },
}

pub fn name(centre: usize, index: usize) -> String {
    format!("dc{centre}-entry-{index:02}")
}

impl Fleet {
    /// `centres` data centres of `entries` processes each, with `runners` runners each.
    pub fn spawn(centres: usize, entries: usize, runners: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            stopped: BTreeSet::new(),
            cut_centres: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            sent_bytes: BTreeMap::new(),
            sent_messages: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
        };
        for centre in 0..centres {
            for index in 0..entries {
                fleet.start(centre, index, 1_000, seed);
            }
        }
        for node in fleet.nodes.values_mut() {
            node.set_runners(places(centres, runners));
        }
        fleet
    }

    pub fn start(&mut self, centre: usize, index: usize, incarnation: u64, seed: u64) {
        let entry_id = name(centre, index);
        let parts = MembershipSettings {
            entry_id: entry_id.clone(),
            data_centre: format!("dc{centre}"),
            address: entry_id.clone(),
            incarnation,
            seed_addresses: vec![name(0, 0), name(0, 1)],
            seed,
            parameters: ProtocolParameters::default(),
        };
        self.nodes.insert(entry_id.clone(), Membership::open(parts));
        self.stopped.remove(&entry_id);
        let phase = Duration::from_millis((centre * 37 + index * 13) as u64 % 200);
        let at = self.now + phase;
        self.push(at, Event::Tick(entry_id));
    }

    pub fn node(&mut self, centre: usize, index: usize) -> &mut Membership {
        self.nodes.get_mut(&name(centre, index)).unwrap()
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

    /// Runs until `done`, and gives how long that took.
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

    pub fn cut(&mut self, one: usize, other: usize) {
        self.cut_centres.insert((format!("dc{one}"), format!("dc{other}")));
        self.cut_centres.insert((format!("dc{other}"), format!("dc{one}")));
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
        let centres = (from[..3].to_string(), to[..3].to_string());
        let cut = self.cut_centres.contains(&centres)
            || self.cut_links.contains(&(from.to_string(), to.to_string()));
        if cut || self.stopped.contains(to) {
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

pub fn places(centres: usize, runners: usize) -> Vec<RunnerInfo> {
    let place = |centre, index| RunnerInfo {
        name: runner(centre, index),
        data_centre: format!("dc{centre}"),
        model: "tala-llm".to_string(),
    };
    (0..centres).flat_map(|centre| (0..runners).map(move |index| place(centre, index))).collect()
}

pub fn runner(centre: usize, index: usize) -> String {
    format!("dc{centre}-runner-{index:03}")
}
