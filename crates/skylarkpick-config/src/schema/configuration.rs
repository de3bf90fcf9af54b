//! Fields of a configuration document.

use super::{Field, FieldKind, field, required};

const COUNT: FieldKind = FieldKind::Whole { floor: 1, limit: u32::MAX as u64 };
const SHARE: FieldKind = FieldKind::Number { floor: 0.0, limit: 1.0 };
const WEIGHT: FieldKind = FieldKind::Number { floor: 0.0, limit: 1e9 };
const RATE: FieldKind = FieldKind::Number { floor: 0.0, limit: 1e15 };
const TIME: FieldKind = FieldKind::Whole { floor: 1, limit: 86_400_000 };
const BYTES: FieldKind = FieldKind::Whole { floor: 0, limit: u64::MAX };
const VERSION: FieldKind = FieldKind::Whole { floor: 1, limit: u64::MAX };

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
    field(
        "services",
        FieldKind::Map(&FieldKind::Object(SERVICE_FIELDS)),
        "rules of plain services by name",
    ),
    field(
        "data_centres",
        FieldKind::Map(&FieldKind::Object(DATA_CENTRE_FIELDS)),
        "targets by data centre",
    ),
];

const ACCOUNT_FIELDS: &[Field] = &[
    field("role", FieldKind::Choice(&["caller", "operator"]), "what the account may do"),
    field("token_hashes", FieldKind::List(&FieldKind::Name), "hashes of the account's tokens"),
    field("weight", WEIGHT, "share of a full fleet in proportion to other accounts"),
    field("requests_limit", COUNT, "requests queued or running at once"),
    field("tokens_per_second_limit", RATE, "estimated tokens that may be started in a second"),
    field("saved_bytes_limit", BYTES, "bytes of saved prefixes in the stores"),
];

const MODEL_FIELDS: &[Field] = &[
    required("weight_version", VERSION, "weights that the runners are brought to"),
    field("also_served_weight_versions", FieldKind::List(&VERSION), "other weights still served"),
    field("adapters", FieldKind::List(&FieldKind::Name), "adapters that requests may name"),
    required("serving", FieldKind::Name, "name of the serving configuration"),
    field("context_bytes_per_token", BYTES, "bytes of cached context for each token"),
];

const SERVING_FIELDS: &[Field] = &[
    field("first_token_weight", WEIGHT, "weight of the time to first token"),
    field("recompute_weight", WEIGHT, "weight of the recomputed share"),
    field("link_weight", WEIGHT, "weight of bytes over a store's link"),
    field("first_token_target_ms", TIME, "time to first token to aim for"),
    field("deadline_ms", TIME, "time after which a request is given up"),
    field("attempts_limit", COUNT, "attempts for a repeatable request"),
    field("retry_percent_limit", FieldKind::Whole { floor: 0, limit: 100 }, "retries per cent"),
    field("saving", FieldKind::Flag, "whether prefixes are saved to stores"),
    field("link_share_limit", SHARE, "share of each store's link for transfers"),
    field("loads_limit", COUNT, "weights that may load at the same moment"),
    field("serving_share_floor", SHARE, "share of runners that serve on during a roll-out"),
];

const SERVICE_FIELDS: &[Field] = &[
    field("not_repeatable", FieldKind::List(&FieldKind::Name), "calls that must not run twice"),
    field("deadline_ms", TIME, "time after which a call is given up"),
];

const DATA_CENTRE_FIELDS: &[Field] = &[
    field("region", FieldKind::Text, "region that the data centre lies in"),
    field("runners", FieldKind::Map(&FieldKind::Object(RUNNER_FIELDS)), "runners by name"),
    field("stores", FieldKind::Map(&FieldKind::Object(STORE_FIELDS)), "store VMs by name"),
    field(
        "services",
        FieldKind::Map(&FieldKind::Object(INSTANCE_FIELDS)),
        "instances of plain services",
    ),
];

const RUNNER_FIELDS: &[Field] = &[
    required("address", FieldKind::Address, "IP number and port"),
    required("model", FieldKind::Name, "model that it serves"),
    field("checks_fencing", FieldKind::Flag, "whether it refuses an old fencing number"),
];

const STORE_FIELDS: &[Field] = &[
    required("address", FieldKind::Address, "IP number and port"),
    required("link_bytes_per_second", RATE, "bytes a second that its link carries"),
];

const INSTANCE_FIELDS: &[Field] = &[
    required("address", FieldKind::Address, "IP number and port"),
    required("service", FieldKind::Name, "service that it is an instance of"),
];
