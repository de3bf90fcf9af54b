//! Who does what in a data centre, by rendezvous hashing over its live members.

use crate::{
    membership::Membership,
    rendezvous::{digest_of, highest},
};
use skylarkpick_protocol::peer::{Member, MemberState};
use std::time::Duration;

impl Membership {
    /// Members of every data centre that are alive or only suspected.
    pub fn live_members(&self) -> Vec<&Member> {
        let members = self.gossip_state.members.values();
        members.filter(|member| member.state < MemberState::Dead as i32).collect()
    }

    /// Whether this process holds a role of which its data centre needs one.
    ///
    /// While members disagree about who lives, two may hold a role or none for some seconds.
    pub fn holds_role(&self, role: &str) -> bool {
        let alive = self.alive_in(&self.parts.data_centre).into_iter().map(|(key, _)| key);
        highest(digest_of(role), alive, 1) == [self.own_key]
    }

    /// Who holds a role in this data centre.
    pub fn role_holder(&self, role: &str) -> Option<&Member> {
        let alive = self.alive_in(&self.parts.data_centre).into_iter().map(|(key, _)| key);
        self.gossip_state.members.get(highest(digest_of(role), alive, 1).first()?)
    }

    /// Whether this process reads a runner for its data centre. Runners of a data centre without a
    /// live member, or of a silent one, are read from here too.
    pub fn is_reporter(&self, now: Duration, runner: &str) -> bool {
        let key = digest_of(runner);
        let Some(place) = self.places.get(&key) else { return false };
        let mut alive = self.alive_in(&place.data_centre);
        if alive.is_empty() || self.is_silent(now, &place.data_centre) {
            alive = self.alive_in(&self.parts.data_centre);
        }
        highest(key, alive.into_iter().map(|(key, _)| key), 1) == [self.own_key]
    }

    /// Addresses of live members that have at least `version` in force, those of this data centre
    /// first, shuffled by this process's digest.
    pub fn addresses_with_version(&self, version: u64) -> Vec<String> {
        let mut holders: Vec<(bool, u64, &Member)> = self
            .gossip_state
            .in_force
            .iter()
            .filter(|(key, held)| **held >= version && **key != self.own_key)
            .filter_map(|(key, _)| Some((key, self.gossip_state.members.get(key)?)))
            .filter(|(_, member)| member.state < MemberState::Dead as i32)
            .map(|(key, member)| {
                let away = member.data_centre != self.parts.data_centre;
                (away, digest_of(&format!("{}/{key}/{version}", self.own_key)), member)
            })
            .collect();
        holders.sort_unstable_by_key(|(away, order, _)| (*away, *order));
        holders.into_iter().map(|(_, _, member)| member.address.clone()).collect()
    }

    pub(crate) fn alive_in(&self, centre: &str) -> Vec<(u64, &Member)> {
        let alive = |member: &Member| {
            member.state == MemberState::Alive as i32 && member.data_centre == centre
        };
        let members = self.gossip_state.members.iter();
        members.filter(|(_, member)| alive(member)).map(|(key, member)| (*key, member)).collect()
    }

    /// Other members of this data centre that are alive or only suspected.
    pub(crate) fn peers_of_centre(&self) -> Vec<Member> {
        let is_peer = |member: &&Member| {
            member.data_centre == self.parts.data_centre && member.entry_id != self.own.entry_id
        };
        self.live_members().into_iter().filter(is_peer).cloned().collect()
    }
}
