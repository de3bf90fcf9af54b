//! Assignment of roles and runners to the live members of a data centre, by rendezvous hashing.

use crate::{
    membership::Membership,
    rendezvous::{digest_of, highest_weighted},
};
use skylarkpick_protocol::peer::{Member, MemberState};
use std::time::Duration;

impl Membership {
    /// Returns the members of all data centres that are alive or suspected.
    pub fn live_members(&self) -> Vec<&Member> {
        let members = self.gossip_state.members.values();
        members.filter(|member| member.state < MemberState::Dead as i32).collect()
    }

    /// Returns whether this process holds a role that one process of its data centre has.
    ///
    /// While members have different views, the role may have two holders or none for some seconds.
    pub fn holds_role(&self, role: &str) -> bool {
        let alive =
            self.alive_members_of(&self.settings.data_centre).into_iter().map(|(key, _)| key);
        highest_weighted(digest_of(role), alive, 1) == [self.own_key]
    }

    /// Returns the holder of a role in this data centre.
    pub fn role_holder(&self, role: &str) -> Option<&Member> {
        let alive =
            self.alive_members_of(&self.settings.data_centre).into_iter().map(|(key, _)| key);
        self.gossip_state.members.get(highest_weighted(digest_of(role), alive, 1).first()?)
    }

    /// Returns whether this process reads the status and load of a runner. If the runner's data
    /// centre is silent or has no live member, a member of this data centre reads it too.
    pub fn is_reporter(&self, now: Duration, runner: &str) -> bool {
        let key = digest_of(runner);
        let Some(runner) = self.runners.get(&key) else { return false };
        let mut alive = self.alive_members_of(&runner.data_centre);
        if alive.is_empty() || self.is_silent(now, &runner.data_centre) {
            alive = self.alive_members_of(&self.settings.data_centre);
        }
        highest_weighted(key, alive.into_iter().map(|(key, _)| key), 1) == [self.own_key]
    }

    /// Returns the addresses of live members that have at least `version` in force, those of this
    /// data centre first. Each process gets its own order, which spreads the load.
    pub fn addresses_with_version(&self, version: u64) -> Vec<String> {
        let mut holders: Vec<(bool, u64, &Member)> = self
            .gossip_state
            .in_force
            .iter()
            .filter(|(key, held)| **held >= version && **key != self.own_key)
            .filter_map(|(key, _)| Some((key, self.gossip_state.members.get(key)?)))
            .filter(|(_, member)| member.state < MemberState::Dead as i32)
            .map(|(key, member)| {
                let is_remote = member.data_centre != self.settings.data_centre;
                (is_remote, digest_of(&format!("{}/{key}/{version}", self.own_key)), member)
            })
            .collect();
        holders.sort_unstable_by_key(|(is_remote, order, _)| (*is_remote, *order));
        holders.into_iter().map(|(_, _, member)| member.address.clone()).collect()
    }

    pub(crate) fn alive_members_of(&self, data_centre: &str) -> Vec<(u64, &Member)> {
        let alive = |member: &Member| {
            member.state == MemberState::Alive as i32 && member.data_centre == data_centre
        };
        let members = self.gossip_state.members.iter();
        members.filter(|(_, member)| alive(member)).map(|(key, member)| (*key, member)).collect()
    }

    /// Returns the other members of this data centre that are alive or suspected.
    pub(crate) fn local_peers(&self) -> Vec<Member> {
        let is_peer = |member: &&Member| {
            member.data_centre == self.settings.data_centre && member.entry_id != self.own.entry_id
        };
        self.live_members().into_iter().filter(is_peer).cloned().collect()
    }
}
