//! What each role takes at the planned size, from the slopes.

use crate::{plan::FleetSize, slope::Slopes};
use serde::Serialize;

/// Which form of a role a share describes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Implementation {
    /// The form that stands today, to be replaced.
    AsBuilt,
    /// The same today and as planned.
    Both,
    /// The form that the plan counts on, not built yet.
    Planned,
}

/// What a role takes in one entry process at the planned size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoleCost {
    /// The role.
    pub role: String,
    /// State that the role keeps, in words.
    pub state: String,
    /// Whether the role takes this today, at the planned size, or both.
    pub form: Implementation,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Share of a core.
    pub core_share: f64,
    /// Bytes a second, sent and received.
    pub network_bytes_per_second: f64,
    /// Messages a second, sent and received.
    pub messages_per_second: f64,
    /// Writes a second at the platform, of all processes together.
    pub platform_writes_per_second: f64,
    /// Reads a second at the platform, of all processes together.
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
    /// Memory, cores, bytes, messages, platform writes and reads, in this order.
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

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;
/// Bytes of packet headers and encryption for each message between processes.
const PACKET_OVERHEAD_BYTES: f64 = 80.0;

/// Works out each role's share.
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
        directory_split(size, slopes),
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
    let waiting = size.requests_per_entry() * size.answer_seconds;
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
            + messages * PACKET_OVERHEAD_BYTES,
        messages_per_second: messages,
        ..RoleCost::default()
    }
}

fn configuration(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let rate = size.patches_per_day / DAY_SECONDS;
    let bytes = slopes.value("configuration size");
    let packed = slopes.value("configuration packed");
    let work = slopes.value("configuration take-over time")
        + slopes.value("configuration packing time")
        + slopes.value("patch time");
    RoleCost {
        role: "configuration".to_string(),
        form: Implementation::Both,
        state: format!("the record of {bytes:.0} bytes, in force and as read"),
        memory_bytes: 2.0 * slopes.value("configuration memory") + 2.0 * bytes,
        core_share: work * rate,
        network_bytes_per_second: 2.0 * packed * rate,
        messages_per_second: 4.0 * rate,
        platform_writes_per_second: rate,
        platform_reads_per_second: size.data_centres + 3.0 * rate,
    }
}

/// Claims at the planned rate, as if each shard had one writer that the others forward to.
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

/// Claims at the planned rate as they are made today: every process writes to every shard.
/// Worked out from 24 writers; with 360 it is more.
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

/// Share of a data centre's kept blocks in the directory.
const KEPT_BLOCK_SHARE: f64 = 0.25;
/// Time between two snapshots of a runner to its peers, in seconds.
const SNAPSHOT_SECONDS: f64 = 30.0;
/// Holders of each part of a split directory.
const PART_HOLDERS: f64 = 2.0;

/// The directory as it is today: the whole data centre's at every process.
fn directory_as_built(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let entries = kept_blocks(size);
    let told = block_changes(size) + entries / SNAPSHOT_SECONDS;
    RoleCost {
        role: "directory, as built".to_string(),
        state: format!("{entries:.0} blocks, the whole data centre's"),
        form: Implementation::AsBuilt,
        memory_bytes: entries * slopes.value("directory entry memory"),
        core_share: slopes.value("directory look-up time") * size.requests_per_entry(),
        network_bytes_per_second: told * slopes.value("directory change"),
        ..RoleCost::default()
    }
}

/// The directory split over the processes of a data centre, each part held twice and no block
/// told again while no message was lost.
fn directory_split(size: &FleetSize, slopes: &Slopes) -> RoleCost {
    let part = PART_HOLDERS / size.entries_per_centre();
    let entries = kept_blocks(size) * part;
    let look_ups = 2.0 * size.requests_per_entry();
    let look_up_bytes = 2.0 * size.blocks_per_prompt * KEPT_BLOCK_SHARE * BYTES_PER_KEY;
    RoleCost {
        role: "directory, split".to_string(),
        form: Implementation::Planned,
        state: format!("{entries:.0} blocks"),
        memory_bytes: entries * slopes.value("directory entry memory"),
        core_share: slopes.value("directory look-up time") * look_ups,
        network_bytes_per_second: 2.0
            * block_changes(size)
            * part
            * slopes.value("directory change")
            + look_ups * (look_up_bytes + 2.0 * PACKET_OVERHEAD_BYTES),
        messages_per_second: 2.0 * look_ups,
        ..RoleCost::default()
    }
}

/// Bytes of a key in a message.
const BYTES_PER_KEY: f64 = 16.0;

/// Blocks of a data centre that the directory keeps.
fn kept_blocks(size: &FleetSize) -> f64 {
    size.runners_per_centre() * size.blocks_per_runner * KEPT_BLOCK_SHARE
}

/// Kept blocks that are added or evicted in a data centre in a second.
fn block_changes(size: &FleetSize) -> f64 {
    let prompts = size.requests_per_second / size.data_centres;
    2.0 * prompts * size.blocks_per_prompt * size.changed_share * KEPT_BLOCK_SHARE
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
