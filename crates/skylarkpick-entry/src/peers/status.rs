//! Reports of the membership: the configuration version in force at each process, and the state
//! dump.

use kameo::Reply;
use serde::Serialize;
use skylarkpick_interface::{ConfigurationVersion, DataCentreId, EntryId};
use skylarkpick_membership::{MemberView, Membership};
use skylarkpick_protocol::peer::MemberState;
use std::time::Duration;

/// A process of the fleet and the configuration version in force there.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// Name of the process.
    pub entry_id: EntryId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Incarnation that this process last saw.
    pub incarnation: u64,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Version in force there; 0 if none is known.
    pub version: ConfigurationVersion,
    /// Time since the reporting process learned of a newer version; absent if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lagging_for_ms: Option<u64>,
}

/// Configuration versions in force in the fleet, as the reporting process sees them.
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
    /// Data centres without recent updates; the entries for their processes may be outdated.
    pub silent_data_centres: Vec<DataCentreId>,
}

/// State of the membership, for the state dump.
#[derive(Clone, Debug, Default, Eq, PartialEq, Reply, Serialize)]
pub struct PeersState {
    /// Address at which peers reach this process; empty if it runs without peers.
    pub address: String,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Every known process; dead ones and those that left are listed for some time.
    pub members: Vec<ProcessStatus>,
    /// Process that watches the configuration for this data centre.
    pub configuration_watcher: Option<EntryId>,
    /// Process that reads the platform's list of VMs for this data centre.
    pub list_reader: Option<EntryId>,
    /// Processes that gossip with other data centres on behalf of this one.
    pub bridges: Vec<EntryId>,
    /// Runners that any source reports as leaving.
    pub leaving_runners: Vec<String>,
    /// Data centres without recent updates.
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
        let found =
            processes.iter_mut().find(|process| process.entry_id == lagging.member.entry_id);
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
