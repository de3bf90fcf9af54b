//! Snapshot of the membership for the rest of the process.

use skylarkpick_interface::{ConfigurationVersion, DataCentreId, EntryId};
use skylarkpick_membership::digest_of;
use std::collections::BTreeSet;

/// A live entry process.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PeerProcess {
    /// Name of the process.
    pub entry_id: EntryId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Address that peers connect to.
    pub address: String,
}

/// Snapshot of the membership.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeersView {
    /// Live processes of every data centre, including this one, sorted by name.
    pub members: Vec<PeerProcess>,
    /// The newest version in force anywhere.
    pub newest_version: ConfigurationVersion,
    /// Addresses of the processes to fetch the newest version from, the nearest first.
    pub version_holders: Vec<String>,
    /// Digests of the targets that any source reports as leaving.
    pub(crate) leaving_targets: BTreeSet<u64>,
    /// Whether this process watches the configuration for its data centre.
    pub watches_configuration: bool,
    /// Whether this process reads the platform's list of VMs for its data centre.
    pub reads_list: bool,
}

impl PeersView {
    /// Whether a target (a runner, a store, an instance of a plain service) is leaving.
    pub fn is_leaving(&self, target: &str) -> bool {
        self.leaving_targets.contains(&digest_of(target))
    }

    /// Live processes of one data centre.
    pub fn members_of(&self, data_centre: &str) -> Vec<&PeerProcess> {
        self.members.iter().filter(|member| member.data_centre == data_centre).collect()
    }
}
