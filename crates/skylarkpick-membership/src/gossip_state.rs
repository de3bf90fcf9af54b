//! What a process knows of members and runners, and how two processes' knowledge merges.

use crate::rendezvous::digest_of;
use skylarkpick_interface::DataCentreId;
use skylarkpick_protocol::peer::{
    CentreLoad, Gossip, InForce, Member, MemberState, RunnerLoad, RunnerState,
};
use std::collections::{BTreeMap, BTreeSet};

/// Runners that a process remembers at most, against growth by wrong messages.
const RUNNERS_LIMIT: usize = 4_096;

/// Names one piece of news. Urgent kinds come first in the order.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum NewsKey {
    /// State of an entry process.
    Member(u64),
    /// State of a runner.
    RunnerState(u64),
    /// Version in force at an entry process.
    InForce(u64),
    /// Load of a model's runners in a data centre.
    DataCentreLoad(DataCentreId, String),
    /// Load of a runner.
    RunnerLoad(u64),
}

/// What a merge changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A member is new, or its state changed.
    Member(u64),
    /// A member has a higher version in force.
    InForce(u64),
    /// A runner has another state.
    RunnerState(u64),
    /// A runner began to leave.
    RunnerLeaving(u64),
    /// A runner has a newer load.
    RunnerLoad(u64),
    /// A data centre has a newer load.
    DataCentreLoad(DataCentreId, String),
}

/// What a process knows. Merging is commutative and idempotent, and nothing known is undone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipState {
    /// Entry processes by the digest of their id.
    pub members: BTreeMap<u64, Member>,
    /// Version in force by entry process.
    pub in_force: BTreeMap<u64, u64>,
    /// Runners by the digest of their name.
    pub runner_states: BTreeMap<u64, RunnerState>,
    /// Loads of runners.
    pub runner_loads: BTreeMap<u64, RunnerLoad>,
    /// Loads of data centres by model.
    pub centre_loads: BTreeMap<(DataCentreId, String), CentreLoad>,
}

/// Whether a runner leaves, by anybody's word about its present incarnation.
pub(crate) fn is_leaving(state: &RunnerState) -> bool {
    state.leaving_plus_one > state.incarnation
}

impl GossipState {
    /// Merges news in and gives what it changed.
    pub fn merge(&mut self, gossip: Gossip) -> Vec<Change> {
        let mut changes = Vec::new();
        for member in gossip.members {
            changes.extend(self.merge_member(member));
        }
        for in_force in gossip.in_force {
            changes.extend(self.merge_in_force(in_force));
        }
        for state in gossip.runner_states {
            changes.extend(self.merge_runner_state(state));
        }
        for load in gossip.runner_loads {
            changes.extend(self.merge_runner_load(load));
        }
        for load in gossip.centre_loads {
            changes.extend(self.merge_centre_load(load));
        }
        changes
    }

    /// Merges one member in. Strangers that are dead or left stay unknown.
    pub fn merge_member(&mut self, member: Member) -> Option<Change> {
        let key = digest_of(&member.entry_id);
        let gone = member.state >= MemberState::Dead as i32;
        match self.members.get(&key) {
            None if gone => return None,
            Some(known) if rank(known) >= rank(&member) => return None,
            _ => {}
        }
        self.members.insert(key, member);
        Some(Change::Member(key))
    }

    /// Merges a version in force in, of a known member.
    pub fn merge_in_force(&mut self, in_force: InForce) -> Option<Change> {
        if !self.members.contains_key(&in_force.entry) {
            return None;
        }
        let known = self.in_force.entry(in_force.entry).or_default();
        if *known >= in_force.version {
            return None;
        }
        *known = in_force.version;
        Some(Change::InForce(in_force.entry))
    }

    /// Merges a runner's state in. A leaving flag wins from either side.
    pub fn merge_runner_state(&mut self, state: RunnerState) -> Option<Change> {
        let key = state.runner;
        let Some(known) = self.runner_states.get(&key) else {
            if self.runner_states.len() >= RUNNERS_LIMIT {
                return None;
            }
            let leaving = is_leaving(&state);
            self.runner_states.insert(key, state);
            return Some(runner_change(key, leaving));
        };
        let merged = merge_states(known, &state);
        if merged == *known {
            return None;
        }
        let began = is_leaving(&merged) && !is_leaving(known);
        self.runner_states.insert(key, merged);
        Some(runner_change(key, began))
    }

    /// Merges a runner's load in.
    pub fn merge_runner_load(&mut self, load: RunnerLoad) -> Option<Change> {
        let known = self.runner_loads.get(&load.runner);
        let surplus = known.is_none() && self.runner_loads.len() >= RUNNERS_LIMIT;
        if surplus || known.is_some_and(|known| known.sequence >= load.sequence) {
            return None;
        }
        let key = load.runner;
        self.runner_loads.insert(key, load);
        Some(Change::RunnerLoad(key))
    }

    /// Merges a data centre's load in.
    pub fn merge_centre_load(&mut self, load: CentreLoad) -> Option<Change> {
        let key = (load.data_centre.clone(), load.model.clone());
        let known = self.centre_loads.get(&key);
        let surplus = known.is_none() && self.centre_loads.len() >= RUNNERS_LIMIT;
        if surplus || known.is_some_and(|known| known.sequence >= load.sequence) {
            return None;
        }
        self.centre_loads.insert(key.clone(), load);
        Some(Change::DataCentreLoad(key.0, key.1))
    }

    /// Adds one piece of news to `gossip`, if it is still known.
    pub(crate) fn copy_into(&self, key: &NewsKey, gossip: &mut Gossip) {
        match key {
            NewsKey::Member(key) => gossip.members.extend(self.members.get(key).cloned()),
            NewsKey::InForce(key) => {
                let version = self.in_force.get(key);
                gossip
                    .in_force
                    .extend(version.map(|version| InForce { entry: *key, version: *version }));
            }
            NewsKey::RunnerState(key) => {
                gossip.runner_states.extend(self.runner_states.get(key).copied());
            }
            NewsKey::RunnerLoad(key) => {
                gossip.runner_loads.extend(self.runner_loads.get(key).copied());
            }
            NewsKey::DataCentreLoad(centre, model) => {
                let load = self.centre_loads.get(&(centre.clone(), model.clone()));
                gossip.centre_loads.extend(load.cloned());
            }
        }
    }

    /// Every lasting piece of news: all but the loads.
    pub(crate) fn lasting_keys(&self) -> BTreeSet<NewsKey> {
        let members = self.members.keys().map(|key| NewsKey::Member(*key));
        let in_force = self.in_force.keys().map(|key| NewsKey::InForce(*key));
        let states = self.runner_states.keys().map(|key| NewsKey::RunnerState(*key));
        members.chain(in_force).chain(states).collect()
    }
}

fn rank(member: &Member) -> (u64, i32) {
    (member.incarnation, member.state)
}

fn runner_change(key: u64, began_to_leave: bool) -> Change {
    if began_to_leave { Change::RunnerLeaving(key) } else { Change::RunnerState(key) }
}

fn merge_states(one: &RunnerState, other: &RunnerState) -> RunnerState {
    let order = |state: &RunnerState| {
        let unreachable = u64::from(state.unreachable);
        let place = (state.incarnation, state.revision);
        (place, state.start_mark, state.weight_version, unreachable)
    };
    let newer = if order(other) > order(one) { other } else { one };
    let leaving = one.leaving_plus_one.max(other.leaving_plus_one);
    // A flag from before the incarnation was known holds for the incarnation that is found.
    let unbound = |state: &RunnerState| state.incarnation == 0 && state.leaving_plus_one == 1;
    let bound = if unbound(one) || unbound(other) { newer.incarnation + 1 } else { 0 };
    RunnerState { leaving_plus_one: leaving.max(bound), ..*newer }
}
