//! Cost of each role of an entry process at the planned fleet size, computed from the slopes.

use crate::{plan::FleetSize, slope::Slopes};
use serde::Serialize;

/// Implementation of a role that a cost belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Implementation {
    /// The current implementation, which is to be replaced.
    AsBuilt,
    /// The current implementation, which the plan keeps.
    Both,
    /// The planned implementation, not built yet.
    Planned,
}

/// Cost of a role in one entry process at the planned fleet size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoleCost {
    /// Name of the role.
    pub role: String,
    /// Description of the state that the role holds.
    pub state: String,
    /// Implementation that the cost belongs to.
    pub form: Implementation,
    /// Memory.
    pub memory_bytes: f64,
    /// Processor time, in cores.
    pub core_share: f64,
    /// Network traffic, sent and received.
    pub network_bytes_per_second: f64,
    /// Messages, sent and received.
    pub messages_per_second: f64,
    /// Writes to the platform by all entry processes together.
    pub platform_writes_per_second: f64,
    /// Reads from the platform by all entry processes together.
    pub platform_reads_per_second: f64,
}

impl Default for RoleCost {
    fn default() -> RoleCost {
        RoleCost {
            role: String::new(),
            state: String::new(),
            form: Implementation::Both,
            memory_bytes: 0.0,
            core_share: 0.0,
            network_bytes_per_second: 0.0,
            messages_per_second: 0.0,
            platform_writes_per_second: 0.0,
            platform_reads_per_second: 0.0,
        }
    }
}

impl RoleCost {
    /// Returns memory, cores, network bytes, messages, platform writes and platform reads, in this
    /// order.
    pub fn figures(&self) -> [f64; 6] {
        [
            self.memory_bytes,
            self.core_share,
            self.network_bytes_per_second,
            self.messages_per_second,
            self.platform_writes_per_second,
            self.platform_reads_per_second,
        ]
    }
}

const DAY_SECONDS: f64 = 86_400.0;
/// Packet headers and encryption of each message between processes.
const MESSAGE_OVERHEAD_BYTES: f64 = 80.0;

/// Computes the cost of each role.
pub fn role_costs(size: &FleetSize, slopes: &Slopes) -> Vec<RoleCost> {
    vec![
        routing(size, slopes),
        admission(size, slopes),
        membership(slopes),
        configuration(size, slopes),
        streams(size, slopes),
        claims(size, slopes),
        claims_as_built(size, slopes),
        directory_as_built(size, slopes),
        sharded_directory(size, slopes),
    ]
}

fn routing(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    RoleCost {
        role: "routing".to_string(),
        state: format!("{:.0} runners with loads and beliefs", size.runners),
        memory_bytes: slopes.value("candidate memory") * size.runners,
        core_share: slopes.value("routing time, 174 runners") * size.requests_per_entry(),
        ..RoleCost::default()
    }
}

fn admission(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let waiting = size.requests_per_entry() * size.response_seconds;
    RoleCost {
        role: "queues and limits".to_string(),
        state: format!("{:.0} client accounts, {waiting:.0} waiting requests", size.accounts),
        memory_bytes: slopes.value("account memory") * size.accounts
            + slopes.value("queued request memory") * waiting,
        core_share: slopes.value("admission time") * size.requests_per_entry(),
        ..RoleCost::default()
    }
}

fn membership(slopes: &Slopes) -> RoleCost {
    let messages = 2.0 * slopes.value("gossip messages, 360 processes");
    RoleCost {
        role: "membership".to_string(),
        state: "360 members, 870 runner states, loads of 174 runners".to_string(),
        memory_bytes: slopes.value("membership memory, 360 processes"),
        core_share: slopes.value("gossip core share, 360 processes"),
        network_bytes_per_second: 2.0 * slopes.value("gossip sent, 360 processes")
            + messages * MESSAGE_OVERHEAD_BYTES,
        messages_per_second: messages,
        ..RoleCost::default()
    }
}

fn configuration(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let rate = size.patches_per_day / DAY_SECONDS;
    let bytes = slopes.value("configuration size");
    let packed_bytes = slopes.value("configuration packed");
    let apply_seconds = slopes.value("configuration take-over time")
        + slopes.value("configuration packing time")
        + slopes.value("patch time");
    RoleCost {
        role: "configuration".to_string(),
        form: Implementation::Both,
        state: format!("the record of {bytes:.0} bytes, in force and as read"),
        memory_bytes: 2.0 * slopes.value("configuration memory") + 2.0 * bytes,
        core_share: apply_seconds * rate,
        network_bytes_per_second: 2.0 * packed_bytes * rate,
        messages_per_second: 4.0 * rate,
        platform_writes_per_second: rate,
        platform_reads_per_second: size.data_centres + 3.0 * rate,
    }
}

/// Cost of claims at the planned rate if each shard has one writer, to which the other processes
/// forward.
fn claims(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let rate = size.requests_per_second * size.keyed_share;
    let slope = |what: &str| slopes.value(&format!("claim {what}, 1 writers, 280/s"));
    RoleCost {
        role: "claims, one writer a shard".to_string(),
        form: Implementation::Planned,
        state: format!("{rate:.0} claims a second in the fleet"),
        core_share: slope("time") * rate / size.entries,
        network_bytes_per_second: slope("bytes") * rate / size.entries,
        platform_writes_per_second: slope("writes") * rate,
        platform_reads_per_second: slope("reads") * rate,
        ..RoleCost::default()
    }
}

/// Cost of claims at the planned rate in the current implementation, where every process writes to
/// every shard. It is computed from a measurement with 24 writers; 360 writers cost more.
fn claims_as_built(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let rate = size.requests_per_second * size.keyed_share;
    let slope = |what: &str| slopes.value(&format!("claim {what}, 24 writers, 50/s"));
    RoleCost {
        role: "claims, as built".to_string(),
        state: "the tail of every shard at every process".to_string(),
        form: Implementation::AsBuilt,
        core_share: slope("time") * rate / size.entries,
        network_bytes_per_second: slope("bytes") * rate / size.entries,
        platform_writes_per_second: slope("writes") * rate,
        platform_reads_per_second: slope("reads") * rate,
        ..RoleCost::default()
    }
}

/// Share of the cached blocks of a data centre that the directory tracks.
const TRACKED_BLOCK_SHARE: f64 = 0.25;
/// Interval at which the tracked blocks of each runner are sent to the peers as a snapshot.
const SNAPSHOT_SECONDS: f64 = 30.0;
/// Replicas of each shard of a sharded directory.
const SHARD_REPLICAS: f64 = 2.0;

/// Cost of the directory in the current implementation, where every process holds all tracked blocks
/// of its data centre.
fn directory_as_built(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let entries = tracked_blocks(size);
    let changes_per_second = block_changes(size) + entries / SNAPSHOT_SECONDS;
    RoleCost {
        role: "directory, as built".to_string(),
        state: format!("{entries:.0} blocks, the whole data centre's"),
        form: Implementation::AsBuilt,
        memory_bytes: entries * slopes.value("directory entry memory"),
        core_share: slopes.value("directory look-up time") * size.requests_per_entry(),
        network_bytes_per_second: changes_per_second * slopes.value("directory change"),
        ..RoleCost::default()
    }
}

/// Cost of a directory sharded over the processes of a data centre, with two replicas of each shard.
/// No snapshots are counted: a block is sent again only after a lost message.
fn sharded_directory(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let shard_share = SHARD_REPLICAS / size.entries_per_data_centre();
    let entries = tracked_blocks(size) * shard_share;
    let lookups = 2.0 * size.requests_per_entry();
    let lookup_bytes = 2.0 * size.blocks_per_prompt * TRACKED_BLOCK_SHARE * BYTES_PER_KEY;
    RoleCost {
        role: "directory, split".to_string(),
        form: Implementation::Planned,
        state: format!("{entries:.0} blocks"),
        memory_bytes: entries * slopes.value("directory entry memory"),
        core_share: slopes.value("directory look-up time") * lookups,
        network_bytes_per_second: 2.0
            * block_changes(size)
            * shard_share
            * slopes.value("directory change")
            + lookups * (lookup_bytes + 2.0 * MESSAGE_OVERHEAD_BYTES),
        messages_per_second: 2.0 * lookups,
        ..RoleCost::default()
    }
}

/// Size of a block key in a message.
const BYTES_PER_KEY: f64 = 16.0;

/// Returns the number of blocks of a data centre that the directory tracks.
fn tracked_blocks(size: &FleetSize) -> f64 {
    size.runners_per_data_centre() * size.blocks_per_runner * TRACKED_BLOCK_SHARE
}

/// Returns the number of tracked blocks that are added or evicted in a data centre per second.
fn block_changes(size: &FleetSize) -> f64 {
    let prompts = size.requests_per_second / size.data_centres;
    2.0 * prompts * size.blocks_per_prompt * size.changed_share * TRACKED_BLOCK_SHARE
}

fn streams(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let open = size.streams_per_entry();
    RoleCost {
        role: "open streams".to_string(),
        state: format!("{open:.0} answers under way"),
        memory_bytes: slopes.value("stream memory") * open,
        ..RoleCost::default()
    }
}
