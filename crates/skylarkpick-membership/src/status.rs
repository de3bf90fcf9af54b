//! Which process has which configuration in force, and who lags.

use crate::membership::Membership;
use skylarkpick_interface::{ConfigurationVersion, DataCentreId, EntryId};
use skylarkpick_protocol::peer::{Member, MemberState};
use std::time::Duration;

/// What is known of one entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Name of the process.
    pub entry_id: EntryId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// Version that it has in force; 0 for none known.
    pub version: ConfigurationVersion,
}

/// A process without the newest version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LaggingMember {
    /// What is known of the process.
    pub member: MemberView,
    /// Time since this process learned of a version that the other lacks.
    pub lagging_for: Duration,
}

/// Which version is in force where, as far as this process knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionStatus {
    /// The newest version in force anywhere.
    pub version: ConfigurationVersion,
    /// Live processes with that version in force.
    pub in_force_on: usize,
    /// Live processes.
    pub members: usize,
    /// Live processes without it.
    pub lagging: Vec<LaggingMember>,
    /// Data centres that nothing was heard of for some time.
    pub silent_data_centres: Vec<DataCentreId>,
}

impl Membership {
    /// Every known process, in the order of their names.
    pub fn member_views(&self) -> Vec<MemberView> {
        let members = self.gossip_state.members.iter();
        let mut views: Vec<MemberView> =
            members.map(|(key, member)| self.view(*key, member)).collect();
        views.sort_by(|left, right| left.entry_id.cmp(&right.entry_id));
        views
    }

    /// Which version is in force where.
    pub fn version_status(&self, now: Duration) -> VersionStatus {
        let version = self.newest_version();
        let mut live = self.member_views();
        live.retain(|view| view.state < MemberState::Dead);
        let members = live.len();
        live.retain(|view| view.version < version);
        let lagging: Vec<LaggingMember> =
            live.into_iter().map(|member| self.lagging(now, member)).collect();
        let mut silent_data_centres: Vec<DataCentreId> = self.other_centres().into_iter().collect();
        silent_data_centres.retain(|centre| self.is_silent(now, centre));
        VersionStatus {
            version,
            in_force_on: members - lagging.len(),
            members,
            lagging,
            silent_data_centres,
        }
    }

    fn lagging(&self, now: Duration, member: MemberView) -> LaggingMember {
        let missed = self.versions_known_at.range(member.version + 1..).next();
        let since = missed.map_or(now, |(_, known_at)| *known_at);
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
