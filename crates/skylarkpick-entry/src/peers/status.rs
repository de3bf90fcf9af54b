//! Which process has which configuration in force, and the state of the membership.

use kameo::Reply;
use serde::Serialize;
use skylarkpick_interface::{ConfigurationVersion, DataCentreId, EntryId};
use skylarkpick_membership::{MemberView, Membership};
use skylarkpick_protocol::peer::MemberState;
use std::time::Duration;

/// Version in force at one process.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// Name of the process.
    pub entry_id: EntryId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Incarnation that it is known under.
    pub incarnation: u64,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Version in force there; 0 for none known.
    pub version: ConfigurationVersion,
    /// Time since this process learned of a newer version; missing where none is newer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lagging_for_ms: Option<u64>,
}

/// Which version is in force where, as far as the asked process knows.
#[derive(Clone, Debug, Default, Eq, PartialEq, Reply, Serialize)]
pub struct ConfigurationStatus {
    /// The newest version in force anywhere.
    pub version: ConfigurationVersion,
    /// Live processes that have it in force.
    pub in_force_on: usize,
    /// Live processes.
    pub members: usize,
    /// Every live process.
    pub processes: Vec<ProcessStatus>,
    /// Data centres that nothing was heard of for some time; what is said of them is old.
    pub silent_data_centres: Vec<DataCentreId>,
}

/// State of the membership, for the state dump.
#[derive(Clone, Debug, Default, Eq, PartialEq, Reply, Serialize)]
pub struct PeersState {
    /// Address that peers reach this process at; empty for a process alone.
    pub address: String,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Every process known, the dead and the left for some time too.
    pub members: Vec<ProcessStatus>,
    /// Who watches the configuration for this data centre.
    pub configuration_watcher: Option<EntryId>,
    /// Who reads the platform's list for this data centre.
    pub list_reader: Option<EntryId>,
    /// Bridges of this data centre.
    pub bridges: Vec<EntryId>,
    /// Runners that leave, by anybody's word.
    pub leaving_runners: Vec<String>,
    /// Data centres that nothing was heard of for some time.
    pub silent_data_centres: Vec<DataCentreId>,
}

pub(super) fn configuration_status(membership: &Membership, now: Duration) -> ConfigurationStatus {
    let status = membership.version_status(now);
    let mut processes: Vec<ProcessStatus> = membership
        .member_views()
        .into_iter()
        .filter(|view| view.state < MemberState::Dead)
        .map(process_status)
        .collect();
    for lagging in &status.lagging {
        let found = processes.iter_mut().find(|one| one.entry_id == lagging.member.entry_id);
        if let Some(process) = found {
            process.lagging_for_ms = u64::try_from(lagging.lagging_for.as_millis()).ok();
        }
    }
    ConfigurationStatus {
        version: status.version,
        in_force_on: status.in_force_on,
        members: status.members,
        processes,
        silent_data_centres: status.silent_data_centres,
    }
}

pub(super) fn process_status(view: MemberView) -> ProcessStatus {
    let state = match view.state {
        MemberState::Unspecified => "unknown",
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    };
    ProcessStatus {
        entry_id: view.entry_id,
        data_centre: view.data_centre,
        incarnation: view.incarnation,
        state: state.to_string(),
        version: view.version,
        lagging_for_ms: None,
    }
}
