//! The replicated state of the cluster, and how the states of two processes merge.

use crate::rendezvous::digest_of;
use skylarkpick_interface::DataCentreId;
use skylarkpick_protocol::peer::{
    CentreLoad, Gossip, InForce, Member, MemberState, RunnerLoad, RunnerState,
};
use std::collections::{BTreeMap, BTreeSet};

/// Most runner states, runner loads and data centre loads, so that invalid messages cannot use up
/// memory.
const ENTRIES_LIMIT: usize = 4_096;

/// Key of an entry of the state whose current value is to be sent. Of updates with equally many
/// copies left, those of earlier kinds are sent first.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UpdateKey {
    /// State of an entry process, by the digest of its id.
    Member(u64),
    /// State of a runner, by the digest of its name.
    RunnerState(u64),
    /// Configuration version in force at an entry process.
    InForce(u64),
    /// Total load of a model's runners in a data centre.
    DataCentreLoad(DataCentreId, String),
    /// Load of a runner.
    RunnerLoad(u64),
}

/// What a merge changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A member is new, or its state changed.
    Member(u64),
    /// A member has a higher configuration version in force.
    InForce(u64),
    /// The state of a runner changed.
    RunnerState(u64),
    /// A runner started to leave.
    RunnerLeaving(u64),
    /// A runner has a newer load.
    RunnerLoad(u64),
    /// A data centre has a newer load for a model.
    DataCentreLoad(DataCentreId, String),
}

/// The replicated state of the cluster. A merge only moves entries forward. It is idempotent and
/// commutative, except that while a member is unknown, its version is ignored, and so is the member
/// itself if it is dead or has left.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipState {
    /// Entry processes by the digest of their id.
    pub members: BTreeMap<u64, Member>,
    /// Configuration version in force, by the digest of the entry process's id.
    pub in_force: BTreeMap<u64, u64>,
    /// States of runners by the digest of their name.
    pub runner_states: BTreeMap<u64, RunnerState>,
    /// Loads of runners by the digest of their name.
    pub runner_loads: BTreeMap<u64, RunnerLoad>,
    /// Loads by data centre and model.
    pub data_centre_loads: BTreeMap<(DataCentreId, String), CentreLoad>,
}

/// Returns whether a runner is leaving: whether any process flagged its current incarnation.
pub(crate) fn is_leaving(state: &RunnerState) -> bool {
    state.leaving_plus_one > state.incarnation
}

impl GossipState {
    /// Merges updates and returns what they changed.
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
            changes.extend(self.merge_data_centre_load(load));
        }
        changes
    }

    /// Merges a member. An unknown member that is dead or has left is ignored.
    pub fn merge_member(&mut self, member: Member) -> Option<Change> {
        let key = digest_of(&member.entry_id);
        let is_dead_or_left = member.state >= MemberState::Dead as i32;
        match self.members.get(&key) {
            None if is_dead_or_left => return None,
            Some(known) if precedence(known) >= precedence(&member) => return None,
            _ => {}
        }
        self.members.insert(key, member);
        Some(Change::Member(key))
    }

    /// Merges the configuration version in force at a known member.
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

    /// Merges the state of a runner. A leaving flag survives from either side.
    pub fn merge_runner_state(&mut self, state: RunnerState) -> Option<Change> {
        let key = state.runner;
        let Some(known) = self.runner_states.get(&key) else {
            if self.runner_states.len() >= ENTRIES_LIMIT {
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
        let starts_to_leave = is_leaving(&merged) && !is_leaving(known);
        self.runner_states.insert(key, merged);
        Some(runner_change(key, starts_to_leave))
    }

    /// Merges the load of a runner.
    pub fn merge_runner_load(&mut self, load: RunnerLoad) -> Option<Change> {
        let known = self.runner_loads.get(&load.runner);
        let exceeds_limit = known.is_none() && self.runner_loads.len() >= ENTRIES_LIMIT;
        if exceeds_limit || known.is_some_and(|known| known.sequence >= load.sequence) {
            return None;
        }
        let key = load.runner;
        self.runner_loads.insert(key, load);
        Some(Change::RunnerLoad(key))
    }

    /// Merges the load of a data centre.
    pub fn merge_data_centre_load(&mut self, load: CentreLoad) -> Option<Change> {
        let key = (load.data_centre.clone(), load.model.clone());
        let known = self.data_centre_loads.get(&key);
        let exceeds_limit = known.is_none() && self.data_centre_loads.len() >= ENTRIES_LIMIT;
        if exceeds_limit || known.is_some_and(|known| known.sequence >= load.sequence) {
            return None;
        }
        self.data_centre_loads.insert(key.clone(), load);
        Some(Change::DataCentreLoad(key.0, key.1))
    }

    /// Copies the current value of an entry into `gossip`, if the entry still exists.
    pub(crate) fn copy_into(&self, key: &UpdateKey, gossip: &mut Gossip) {
        match key {
            UpdateKey::Member(key) => gossip.members.extend(self.members.get(key).cloned()),
            UpdateKey::InForce(key) => {
                let version = self.in_force.get(key);
                gossip
                    .in_force
                    .extend(version.map(|version| InForce { entry: *key, version: *version }));
            }
            UpdateKey::RunnerState(key) => {
                gossip.runner_states.extend(self.runner_states.get(key).copied());
            }
            UpdateKey::RunnerLoad(key) => {
                gossip.runner_loads.extend(self.runner_loads.get(key).copied());
            }
            UpdateKey::DataCentreLoad(data_centre, model) => {
                let load = self.data_centre_loads.get(&(data_centre.clone(), model.clone()));
                gossip.centre_loads.extend(load.cloned());
            }
        }
    }

    /// Returns the keys of all entries except loads, which are refreshed all the time and so need
    /// no anti-entropy.
    pub(crate) fn keys_except_loads(&self) -> BTreeSet<UpdateKey> {
        let members = self.members.keys().map(|key| UpdateKey::Member(*key));
        let in_force = self.in_force.keys().map(|key| UpdateKey::InForce(*key));
        let states = self.runner_states.keys().map(|key| UpdateKey::RunnerState(*key));
        members.chain(in_force).chain(states).collect()
    }
}

fn precedence(member: &Member) -> (u64, i32) {
    (member.incarnation, member.state)
}

fn runner_change(key: u64, starts_to_leave: bool) -> Change {
    if starts_to_leave { Change::RunnerLeaving(key) } else { Change::RunnerState(key) }
}

fn merge_states(one: &RunnerState, other: &RunnerState) -> RunnerState {
    let order = |state: &RunnerState| {
        let unreachable = u64::from(state.unreachable);
        let version = (state.incarnation, state.revision);
        (version, state.start_mark, state.weight_version, unreachable)
    };
    let newer = if order(other) > order(one) { other } else { one };
    let leaving = one.leaving_plus_one.max(other.leaving_plus_one);
    // A flag that was set before the incarnation was known applies to the incarnation found since.
    let unbound = |state: &RunnerState| state.incarnation == 0 && state.leaving_plus_one == 1;
    let bound = if unbound(one) || unbound(other) { newer.incarnation + 1 } else { 0 };
    RunnerState { leaving_plus_one: leaving.max(bound), ..*newer }
}
