//! Schema of a configuration document.

use super::{Field, FieldKind, field, required};

const COUNT: FieldKind = FieldKind::Integer { min: 1, max: u32::MAX as u64 };
const SHARE: FieldKind = FieldKind::Number { min: 0.0, max: 1.0 };
const WEIGHT: FieldKind = FieldKind::Number { min: 0.0, max: 1e9 };
const RATE: FieldKind = FieldKind::Number { min: 0.0, max: 1e15 };
const TIME: FieldKind = FieldKind::Integer { min: 1, max: 86_400_000 };
const BYTES: FieldKind = FieldKind::Integer { min: 0, max: u64::MAX };
const VERSION: FieldKind = FieldKind::Integer { min: 1, max: u64::MAX };

/// Fields of a configuration document.
pub const CONFIGURATION_FIELDS: &[Field] = &[
    field(
        "accounts",
        FieldKind::Map(&FieldKind::Object(ACCOUNT_FIELDS)),
        "client accounts by name",
    ),
    field("models", FieldKind::Map(&FieldKind::Object(MODEL_FIELDS)), "models by name"),
    field(
        "serving",
        FieldKind::Map(&FieldKind::Object(SERVING_FIELDS)),
        "serving configurations by name",
    ),
    field("services", FieldKind::Map(&FieldKind::Object(SERVICE_FIELDS)), "plain services by name"),
    field(
        "data_centres",
        FieldKind::Map(&FieldKind::Object(DATA_CENTRE_FIELDS)),
        "targets by data centre",
    ),
];

const ACCOUNT_FIELDS: &[Field] = &[
    field("role", FieldKind::Choice(&["caller", "operator"]), "permissions of the account"),
    field(
        "token_hashes",
        FieldKind::List(&FieldKind::NonEmptyText),
        "hashes of the account's tokens",
    ),
    field("weight", WEIGHT, "weight of the fair share when the fleet is at capacity"),
    field("requests_limit", COUNT, "limit of requests queued or running at the same time"),
    field("tokens_per_second_limit", RATE, "limit of estimated tokens admitted per second"),
    field("saved_bytes_limit", BYTES, "limit of bytes of saved prefixes in the stores"),
];

const MODEL_FIELDS: &[Field] = &[
    required("weight_version", VERSION, "desired weight version"),
    field("also_served_weight_versions", FieldKind::List(&VERSION), "other weight versions in use"),
    field(
        "adapters",
        FieldKind::List(&FieldKind::NonEmptyText),
        "adapters that requests may select",
    ),
    required("serving", FieldKind::NonEmptyText, "name of the serving configuration"),
    field("context_bytes_per_token", BYTES, "bytes of cached context per token"),
];

const SERVING_FIELDS: &[Field] = &[
    field("first_token_weight", WEIGHT, "weight of the time to first token"),
    field("recompute_weight", WEIGHT, "weight of the recomputed share"),
    field("link_weight", WEIGHT, "weight of bytes over a store's link"),
    field("first_token_target_ms", TIME, "target time to first token"),
    field("deadline_ms", TIME, "default deadline of a request"),
    field("attempts_limit", COUNT, "limit of attempts for a repeatable request"),
    field(
        "retry_percent_limit",
        FieldKind::Integer { min: 0, max: 100 },
        "limit of retries per 100 first attempts",
    ),
    field("saving", FieldKind::Boolean, "whether prefixes are saved to stores"),
    field("link_share_limit", SHARE, "share of the bandwidth of each store's link for transfers"),
    field("loads_limit", COUNT, "limit of runners that load weights at the same time"),
    field("serving_share_floor", SHARE, "minimum share of runners serving during a rollout"),
];

const SERVICE_FIELDS: &[Field] = &[
    field("not_repeatable", FieldKind::List(&FieldKind::NonEmptyText), "non-idempotent calls"),
    field("deadline_ms", TIME, "default deadline of a call"),
];

const DATA_CENTRE_FIELDS: &[Field] = &[
    field("region", FieldKind::Text, "region of the data centre"),
    field("runners", FieldKind::Map(&FieldKind::Object(RUNNER_FIELDS)), "runners by name"),
    field("stores", FieldKind::Map(&FieldKind::Object(STORE_FIELDS)), "store VMs by name"),
    field(
        "services",
        FieldKind::Map(&FieldKind::Object(INSTANCE_FIELDS)),
        "instances of plain services",
    ),
];

const RUNNER_FIELDS: &[Field] = &[
    required("address", FieldKind::Address, "address as IP:port"),
    required("model", FieldKind::NonEmptyText, "model that it serves"),
    field("checks_fencing", FieldKind::Boolean, "whether it rejects outdated fencing numbers"),
];

const STORE_FIELDS: &[Field] = &[
    required("address", FieldKind::Address, "address as IP:port"),
    required("link_bytes_per_second", RATE, "bandwidth of its link"),
];

const INSTANCE_FIELDS: &[Field] = &[
    required("address", FieldKind::Address, "address as IP:port"),
    required("service", FieldKind::NonEmptyText, "service that it is an instance of"),
];
