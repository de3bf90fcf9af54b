//! Schema of the placement policy, which experiments change.

use super::{Field, FieldKind, field};

const FACTOR: FieldKind = FieldKind::Number { min: 0.0, max: 100.0 };
const SHARE: FieldKind = FieldKind::Number { min: 0.0, max: 1.0 };

/// Fields of a policy file.
pub const POLICY_FIELDS: &[Field] = &[
    field("affinity_factor", FACTOR, "Factor on the bonus of the targets that a prompt hashes to"),
    field(
        "recompute_penalty_factor",
        FACTOR,
        "Penalty for prefilling shared tokens again, relative to their prefill time",
    ),
    field("eviction_risk", FACTOR, "Share of the fetches from a runner that miss"),
    field("occupancy_limit", SHARE, "Share of an engine's memory that running requests may fill"),
    field(
        "occupancy_penalty_share",
        FACTOR,
        "Penalty for a full engine, relative to the time for which requests occupy its memory",
    ),
    field(
        "capacity_wait_share",
        SHARE,
        "Share of the latency objective for which a request waits for capacity",
    ),
    field("learns_times", FieldKind::Boolean, "Whether the times of targets are learned"),
    field("samples_memory", FieldKind::Boolean, "Whether the memory of engines is sampled"),
    field("saves_parts", FieldKind::Boolean, "Whether shared parts are saved to stores"),
    field("ejects_targets", FieldKind::Boolean, "Whether targets are ejected after failures"),
    field(
        "detects_partitions",
        FieldKind::Boolean,
        "Whether whole data centres are found unreachable",
    ),
    field(
        "target_speeds",
        FieldKind::Choice(&["always", "never", "reported"]),
        "For which services the speeds of single targets are learned",
    ),
];
