//! The configuration versions in force across the cluster, and the processes that lag behind.

use crate::membership::Membership;
use skylarkpick_interface::{ConfigurationVersion, DataCentreId, EntryId};
use skylarkpick_protocol::peer::{Member, MemberState};
use std::time::Duration;

/// State of one entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Id of the process.
    pub entry_id: EntryId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// State of the process.
    pub state: MemberState,
    /// Configuration version in force there; 0 if unknown.
    pub version: ConfigurationVersion,
}

/// A process that doesn't have the newest configuration version in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LaggingMember {
    /// State of the process.
    pub member: MemberView,
    /// Time since this process learned of the first version that the other one lacks.
    pub lagging_for: Duration,
}

/// The configuration versions in force across the cluster, as seen by this process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionStatus {
    /// Newest version that is in force at any process.
    pub version: ConfigurationVersion,
    /// Live processes with that version in force.
    pub in_force_on: usize,
    /// Live processes.
    pub members: usize,
    /// Live processes without that version.
    pub lagging: Vec<LaggingMember>,
    /// Data centres without a message for longer than the silence timeout; their entries may be
    /// outdated.
    pub silent_data_centres: Vec<DataCentreId>,
}

impl Membership {
    /// Returns every known process, sorted by id.
    pub fn member_views(&self) -> Vec<MemberView> {
        let members = self.gossip_state.members.iter();
        let mut views: Vec<MemberView> =
            members.map(|(key, member)| self.view(*key, member)).collect();
        views.sort_by(|left, right| left.entry_id.cmp(&right.entry_id));
        views
    }

    /// Returns the configuration versions in force across the cluster.
    pub fn version_status(&self, now: Duration) -> VersionStatus {
        let version = self.newest_version();
        let mut live = self.member_views();
        live.retain(|view| view.state < MemberState::Dead);
        let members = live.len();
        live.retain(|view| view.version < version);
        let lagging: Vec<LaggingMember> =
            live.into_iter().map(|member| self.lagging(now, member)).collect();
        let mut silent_data_centres: Vec<DataCentreId> =
            self.other_data_centres().into_iter().collect();
        silent_data_centres.retain(|data_centre| self.is_silent(now, data_centre));
        VersionStatus {
            version,
            in_force_on: members - lagging.len(),
            members,
            lagging,
            silent_data_centres,
        }
    }

    fn lagging(&self, now: Duration, member: MemberView) -> LaggingMember {
        let missed = self.versions_learned_at.range(member.version + 1..).next();
        let since = missed.map_or(now, |(_, learned_at)| *learned_at);
        LaggingMember { member, lagging_for: now.saturating_sub(since) }
    }

    fn view(&self, key: u64, member: &Member) -> MemberView {
        MemberView {
            entry_id: member.entry_id.clone(),
            data_centre: member.data_centre.clone(),
            incarnation: member.incarnation,
            state: member.state(),
            version: self.gossip_state.in_force.get(&key).copied().unwrap_or_default(),
        }
    }
}
